//! Listeners and the endpoints that they serve.

use std::convert::Infallible;
use std::future::ready;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use mimosagap_platform::addresses::{AddressQuery, encode_addresses};
use mimosagap_platform::names;
use mimosagap_routing::discovery::host_addresses;
use mimosagap_routing::residency::AllowedRegions;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::change_feed;
use crate::connection::set_socket_options;
use crate::ingress;
use crate::log::LogEvent;
use crate::relay;
use crate::response::{ResponseBody, local_response};
use crate::state::SharedGateway;

/// Length of the accept queue, in connections.
const ACCEPT_BACKLOG: u32 = 1024;

/// Read buffer of a connection in bytes; larger than the longest request head allowed.
const READ_BUFFER_BYTES: usize = 64 << 10;

/// Idle timeout of a caller's connection until a configuration sets one.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Delay after a failed accept, which happens when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Longest time for which callers may cache a list of addresses.
pub const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Path of the metrics endpoint.
pub const METRICS_PATH: &str = "/metrics";

/// Kind of clients that a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Callers that send requests for targets.
    Callers,
    /// The platform and callers that ask for readiness or addresses of hosts, and scrapers of
    /// metrics.
    Status,
    /// Other hosts of the fleet.
    Peers,
}

/// Opens a listener. The address is reusable, so that a restart does not wait for old connections.
pub fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Accepts connections until the process ends, and serves each in a task of its own.
pub async fn accept_connections(gateway: SharedGateway, listener: TcpListener, kind: ListenerKind) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let gateway = Rc::clone(&gateway);
                tokio::task::spawn_local(serve_connection(gateway, stream, peer.ip(), kind));
            }
            Err(error) => {
                gateway.log.event(&LogEvent::Trouble {
                    what: "accept",
                    cause: error.to_string(),
                });
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

async fn serve_connection(
    gateway: SharedGateway,
    stream: TcpStream,
    peer: IpAddr,
    kind: ListenerKind,
) {
    if set_socket_options(&stream).is_err() {
        // The peer has closed the connection already.
        return;
    }
    let idle_timeout = gateway
        .config()
        .map_or(DEFAULT_IDLE_TIMEOUT, |config| config.limits.idle_timeout);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_buf_size(READ_BUFFER_BYTES);
    // An error means that the peer disconnected or violated the protocol; requests log their own
    // outcome.
    let _ = match kind {
        ListenerKind::Callers => {
            let caller_connections = gateway.metrics.caller_connections.clone();
            caller_connections.inc();
            let service =
                service_fn(move |request| ingress::handle_request(Rc::clone(&gateway), request));
            let result = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
            caller_connections.dec();
            result
        }
        ListenerKind::Peers => {
            let service =
                service_fn(move |request| handle_peer_request(Rc::clone(&gateway), peer, request));
            builder
                .serve_connection(TokioIo::new(stream), service)
                .await
        }
        ListenerKind::Status => {
            let service = service_fn(move |request| {
                ready(Ok::<_, Infallible>(handle_status_request(
                    &gateway, &request,
                )))
            });
            builder
                .serve_connection(TokioIo::new(stream), service)
                .await
        }
    };
}

fn handle_status_request(
    gateway: &SharedGateway,
    request: &Request<Incoming>,
) -> Response<ResponseBody> {
    let path = request.uri().path();
    if request.method() != Method::GET {
        local_response(StatusCode::METHOD_NOT_ALLOWED, "text/plain", Vec::new())
    } else if path == names::READINESS_PATH {
        let status = if is_ready(gateway) {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        local_response(status, "text/plain", Vec::new())
    } else if path == names::ADDRESSES_PATH {
        let query = AddressQuery::parse(request.uri().query().unwrap_or_default());
        addresses_response(gateway, &query)
    } else if path == METRICS_PATH {
        metrics_response(gateway)
    } else {
        local_response(StatusCode::NOT_FOUND, "text/plain", Vec::new())
    }
}

async fn handle_peer_request(
    gateway: SharedGateway,
    peer: IpAddr,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    if request.headers().contains_key(relay::RELAYED_HEADER) {
        return if is_listed_host(&gateway, peer) {
            relay::serve_relayed(gateway, request).await
        } else {
            Ok(relay::decline_unlisted())
        };
    }
    let uri = request.uri();
    Ok(if uri.path() == change_feed::CONFIG_PATH {
        change_feed::handle_config_request(&gateway)
    } else if uri.path() == change_feed::FEED_PATH {
        change_feed::handle_poll(&gateway, uri.query().unwrap_or_default()).await
    } else {
        local_response(StatusCode::NOT_FOUND, "text/plain", Vec::new())
    })
}

/// Whether an address is that of a host that the store lists.
fn is_listed_host(gateway: &SharedGateway, address: IpAddr) -> bool {
    gateway.with_state(|state| {
        let mut hosts = state.hosts.live();
        hosts.any(|(_, record)| record.peer_address.ip() == address)
    })
}

/// Whether the host accepts requests: it is not stopping, and its configuration is confirmed
/// recently enough for requests with API keys.
fn is_ready(gateway: &SharedGateway) -> bool {
    let now = gateway.now();
    gateway.with_state(|state| {
        state.stopping_since.is_none()
            && state.config.config().is_some()
            && state.config.may_accept_keys(now)
    })
}

fn addresses_response(gateway: &SharedGateway, query: &AddressQuery) -> Response<ResponseBody> {
    let own_host = gateway.settings.host.as_str();
    let excluded_host = (!is_ready(gateway)).then_some(own_host);
    let (zone, region) = (query.zone.as_ref(), query.region.as_ref());
    let preferred_regions = match (&query.name, gateway.config()) {
        (Some(name), Some(config)) => config.preferred_regions(name),
        _ => AllowedRegions::Any,
    };
    let mut addresses = gateway.with_state(|state| {
        let hosts = &state.hosts;
        host_addresses(hosts, zone, region, excluded_host, &preferred_regions)
    });
    if addresses.is_empty() && excluded_host.is_none() {
        addresses.push(gateway.settings.caller_address);
    }
    if addresses.is_empty() {
        return local_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new());
    }
    let ttl = ADDRESS_TTL.min(gateway.settings.bounds.address_ttl);
    local_response(
        StatusCode::OK,
        "application/json",
        encode_addresses(&addresses, ttl),
    )
}

fn metrics_response(gateway: &SharedGateway) -> Response<ResponseBody> {
    let now = gateway.now();
    let age = gateway.with_state(|state| state.config.confirmation_age(now));
    gateway.metrics.refresh_gauges(age.unwrap_or(now));
    let limits: Vec<(String, f64)> = gateway.with_state(|state| {
        let targets = state.targets.iter();
        let limited = targets.filter_map(|(_, target)| {
            let rate = target.rate.newest()?.per_second?;
            Some((target.entry.instance.clone(), rate))
        });
        limited.collect()
    });
    let cold_count = gateway.with_state(|state| {
        let targets = state.targets.iter();
        let cold = targets.filter(|(_, target)| target.cold.is_cold(now));
        cold.filter(|(_, target)| !target.is_removed(now)).count()
    });
    let cold_targets = &gateway.metrics.exclusions.cold_targets;
    cold_targets.set(i64::try_from(cold_count).unwrap_or(i64::MAX));
    let signals = &gateway.metrics.target_signals;
    signals.set_limits(limits.into_iter());
    match gateway.metrics.encode() {
        Ok(text) => local_response(StatusCode::OK, "text/plain", text),
        Err(error) => {
            let text = error.to_string().into_bytes();
            local_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", text)
        }
    }
}
