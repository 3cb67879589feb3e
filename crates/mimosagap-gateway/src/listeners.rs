//! Listeners and the endpoints that they serve.

use std::convert::Infallible;
use std::future::ready;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::{Method, Request, Response, StatusCode};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use mimosagap_platform::addresses::{AddressQuery, encode_addresses};
use mimosagap_platform::names;
use mimosagap_routing::connection_bound::CONNECTION_BYTES;
use mimosagap_routing::discovery::host_addresses;
use mimosagap_routing::request_budget::RECEIVE_BUFFER_BYTES;
use mimosagap_routing::residency::AllowedRegions;
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::change_feed;
use crate::client_connections::{
    ConnectionSlot, ExchangeGuard, GuardedBody, ObservedStream, admit_connection,
};
use crate::connection::set_socket_options;
use crate::ingress::{self, ClientAddress};
use crate::log::LogEvent;
use crate::relay;
use crate::response::{ResponseBody, local_response};
use crate::state::SharedGateway;

/// Length of the accept queue, in connections.
const ACCEPT_BACKLOG: u32 = 1024;

/// Send buffer of a connection in the kernel, in bytes; bounds what is kept for a caller that does
/// not read.
const SEND_BUFFER_BYTES: u32 = 128 << 10;

/// Longest request head until a configuration sets a limit, in bytes.
const DEFAULT_HEAD_BYTES: usize = 16 << 10;

/// Room for the request line beside the headers, in bytes. Callers may not count it as a header.
const REQUEST_LINE_BYTES: usize = 4 << 10;

/// Smallest read buffer of a connection that the HTTP library allows, and the largest one that a
/// configuration can set, in bytes.
const MIN_READ_BUFFER_BYTES: usize = 8 << 10;
const MAX_READ_BUFFER_BYTES: usize = 64 << 10;

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

impl ListenerKind {
    /// All kinds, in the order of their declaration.
    pub const ALL: [Self; 3] = [Self::Callers, Self::Status, Self::Peers];

    /// Stable name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Status => "status",
            Self::Peers => "peers",
        }
    }
}

/// Opens a listener. The address is reusable, so that a restart does not wait for old connections.
pub fn bind_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    // Accepted connections inherit the sizes. Otherwise the kernel keeps up to 32 MB for each.
    socket.set_recv_buffer_size(u32::try_from(RECEIVE_BUFFER_BYTES).unwrap_or(u32::MAX))?;
    socket.set_send_buffer_size(SEND_BUFFER_BYTES)?;
    socket.bind(address)?;
    socket.listen(ACCEPT_BACKLOG)
}

/// Accepts connections until the process ends, and serves each in a task of its own.
pub async fn accept_connections(gateway: SharedGateway, listener: TcpListener, kind: ListenerKind) {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let peer = peer.ip();
                // A connection that is not admitted is closed.
                if let Some(slot) = admit_connection(&gateway, kind, peer) {
                    let gateway = Rc::clone(&gateway);
                    tokio::task::spawn_local(async move {
                        let activity = Arc::clone(&slot.activity);
                        tokio::select! {
                            biased;
                            () = activity.closed() => {}
                            () = serve_connection(gateway, stream, peer, kind, &slot) => {}
                        }
                    });
                }
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
    slot: &ConnectionSlot,
) {
    if set_socket_options(&stream).is_err() {
        // The peer has closed the connection already.
        return;
    }
    let limits = gateway.config().map(|config| config.limits);
    let idle_timeout = limits.map_or(DEFAULT_IDLE_TIMEOUT, |limits| limits.idle_timeout);
    let head_bytes = limits.map_or(DEFAULT_HEAD_BYTES, |limits| limits.max_header_bytes);
    let head_bytes = head_bytes.saturating_add(REQUEST_LINE_BYTES);
    let activity = Arc::clone(&slot.activity);
    let stream = ObservedStream::new(stream, Arc::clone(&activity));
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle_timeout)
        .max_header_size(head_bytes)
        .max_buf_size(head_bytes.clamp(MIN_READ_BUFFER_BYTES, MAX_READ_BUFFER_BYTES));
    // An error means that the peer disconnected or violated the protocol; requests log their own
    // outcome.
    let _ = match kind {
        ListenerKind::Callers => {
            let service = service_fn(move |mut request: Request<Incoming>| {
                request.extensions_mut().insert(ClientAddress(peer));
                let response = ingress::handle_request(Rc::clone(&gateway), request);
                guard_exchange(ExchangeGuard::new(&activity), response)
            });
            builder
                .serve_connection(TokioIo::new(stream), service)
                .await
        }
        ListenerKind::Peers => {
            let service = service_fn(move |mut request: Request<Incoming>| {
                request.extensions_mut().insert(ClientAddress(peer));
                let response = handle_peer_request(Rc::clone(&gateway), peer, request);
                guard_exchange(ExchangeGuard::new(&activity), response)
            });
            builder
                .serve_connection(TokioIo::new(stream), service)
                .await
        }
        ListenerKind::Status => {
            let service = service_fn(move |request| {
                let response = handle_status_request(&gateway, &request);
                guard_exchange(
                    ExchangeGuard::new(&activity),
                    ready(Ok::<_, Infallible>(response)),
                )
            });
            builder
                .serve_connection(TokioIo::new(stream), service)
                .await
        }
    };
}

/// Marks a connection as busy until the response of a request is sent.
async fn guard_exchange(
    exchange: ExchangeGuard,
    response: impl Future<Output = Result<Response<ResponseBody>, Infallible>>,
) -> Result<Response<ResponseBody>, Infallible> {
    let response = response.await?;
    Ok(response.map(|body| GuardedBody::new(body, exchange).boxed_unsync()))
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
    refresh_memory_gauges(gateway);
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

fn refresh_memory_gauges(gateway: &SharedGateway) {
    let (usage, limits, buffered_bytes) = gateway.with_state(|state| {
        let budget = &state.request_budget;
        let buffered_bytes = state.buffer_budget.used_bytes();
        (budget.usage(), *budget.limits(), buffered_bytes)
    });
    let unsent_bytes = gateway.unsent_response_bytes.load(Ordering::Relaxed);
    let metrics = &gateway.metrics.request_memory;
    let mut connections = 0;
    for kind in ListenerKind::ALL {
        let count = gateway.client_connections.count(kind);
        metrics.set_connections(kind.name(), count);
        connections += count;
    }
    metrics.set_bytes("reading", usage.reading_bytes);
    metrics.set_bytes("complete", usage.complete_bytes);
    metrics.set_bytes("capacity", limits.capacity_bytes);
    metrics.set_bytes("connections", connections * CONNECTION_BYTES);
    metrics.set_bytes("responses", buffered_bytes + unsent_bytes);
}
