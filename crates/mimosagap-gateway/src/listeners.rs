//! Listeners and what they serve.

use std::convert::Infallible;
use std::future::ready;
use std::net::SocketAddr;
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
use tokio::net::{TcpListener, TcpSocket, TcpStream};

use crate::change_feed;
use crate::connection::set_socket_options;
use crate::ingress;
use crate::log::LogEvent;
use crate::response::{ResponseBody, local_response};
use crate::state::SharedGateway;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1024;

/// Read buffer of a caller's connection in bytes; larger than the longest head allowed.
const READ_BUFFER: usize = 64 << 10;

/// Idle life of a caller's connection before a configuration names one.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Pause after a connection could not be accepted, because descriptors ran out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long callers keep an answer with addresses.
pub const ADDRESS_LIFE: Duration = Duration::from_secs(2);

/// Where metrics are served.
pub const METRICS_PATH: &str = "/metrics";

/// What a listener serves.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ListenerKind {
    /// Requests of callers.
    Callers,
    /// Questions of the platform and of callers about this host and the fleet, and metrics.
    Questions,
    /// Questions of other hosts.
    Peers,
}

/// Opens a listener.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections for ever.
pub async fn accept(gateway: SharedGateway, listener: TcpListener, kind: ListenerKind) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                let gateway = Rc::clone(&gateway);
                tokio::task::spawn_local(serve(gateway, stream, kind));
            }
            Err(error) => {
                gateway.log.event(&LogEvent::Trouble {
                    what: "accept",
                    cause: error.to_string(),
                });
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(gateway: SharedGateway, stream: TcpStream, kind: ListenerKind) {
    if set_socket_options(&stream).is_err() {
        // The caller closed it already.
        return;
    }
    let idle = gateway
        .config()
        .map_or(DEFAULT_IDLE, |config| config.limits.idle_timeout);
    let mut builder = http1::Builder::new();
    builder
        .timer(TokioTimer::new())
        .header_read_timeout(idle)
        .max_buf_size(READ_BUFFER);
    // An error here is a caller that left or broke the protocol; requests log their own ends.
    let _ = match kind {
        ListenerKind::Callers => {
            let callers = gateway.metrics.caller_connections.clone();
            callers.inc();
            let service =
                service_fn(move |request| ingress::handle_request(Rc::clone(&gateway), request));
            let end = builder
                .serve_connection(TokioIo::new(stream), service)
                .await;
            callers.dec();
            end
        }
        ListenerKind::Peers => {
            let service = service_fn(move |request| answer_peer(Rc::clone(&gateway), request));
            builder
                .serve_connection(TokioIo::new(stream), service)
                .await
        }
        ListenerKind::Questions => {
            let service =
                service_fn(move |request| ready(Ok::<_, Infallible>(answer(&gateway, &request))));
            builder
                .serve_connection(TokioIo::new(stream), service)
                .await
        }
    };
}

fn answer(gateway: &SharedGateway, request: &Request<Incoming>) -> Response<ResponseBody> {
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
        addresses(gateway, &query)
    } else if path == METRICS_PATH {
        metrics(gateway)
    } else {
        local_response(StatusCode::NOT_FOUND, "text/plain", Vec::new())
    }
}

async fn answer_peer(
    gateway: SharedGateway,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let uri = request.uri();
    Ok(if uri.path() == change_feed::PATH {
        change_feed::answer(&gateway, uri.query().unwrap_or_default()).await
    } else {
        local_response(StatusCode::NOT_FOUND, "text/plain", Vec::new())
    })
}

/// Whether the host takes requests: it is not stopping and can run requests with keys.
fn is_ready(gateway: &SharedGateway) -> bool {
    let now = gateway.now();
    gateway.with_state(|state| {
        state.stopping_since.is_none()
            && state.config.config().is_some()
            && state.config.may_accept_keys(now)
    })
}

fn addresses(gateway: &SharedGateway, query: &AddressQuery) -> Response<ResponseBody> {
    let own = gateway.settings.host.as_str();
    let avoid = (!is_ready(gateway)).then_some(own);
    let (zone, region) = (query.zone.as_ref(), query.region.as_ref());
    let mut list = gateway.with_state(|state| host_addresses(&state.hosts, zone, region, avoid));
    if list.is_empty() && avoid.is_none() {
        list.push(gateway.settings.caller_address);
    }
    if list.is_empty() {
        return local_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new());
    }
    let life = ADDRESS_LIFE.min(gateway.settings.bounds.address_ttl);
    local_response(
        StatusCode::OK,
        "application/json",
        encode_addresses(&list, life),
    )
}

fn metrics(gateway: &SharedGateway) -> Response<ResponseBody> {
    let now = gateway.now();
    let age = gateway.with_state(|state| state.config.confirmation_age(now));
    gateway.metrics.refresh_gauges(age.unwrap_or(now));
    match gateway.metrics.encode() {
        Ok(text) => local_response(StatusCode::OK, "text/plain", text),
        Err(error) => {
            let text = error.to_string().into_bytes();
            local_response(StatusCode::INTERNAL_SERVER_ERROR, "text/plain", text)
        }
    }
}
