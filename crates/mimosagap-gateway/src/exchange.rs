//! One attempt to send a request to a target and receive its response head.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{Request, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use mimosagap_platform::engine::{
    ResponseKind, classify_response, closes_connection, keep_alive_timeout,
};
use mimosagap_platform::request::{Continuation, ForwardParams, target_headers};
use mimosagap_routing::prompt::describe_parts;
use mimosagap_routing::rate_keeper::PermitClass;
use mimosagap_routing::residency::PermittedTarget;
use mimosagap_routing::targets::{TargetEntry, TargetKey, TargetOutcome};

use crate::body_reader::BodyError;
use crate::connection::{HttpConnection, SendError};
use crate::crash_probe::{self, AnswerProgress};
use crate::load_reservation::record_outcome;
use crate::log::LogEvent;
use crate::rate_permits::{PermitOptions, acquire_permit};
use crate::request::RoutedRequest;
use crate::residency;
use crate::state::{Gateway, SharedGateway, millis};
use crate::target_notices;

/// Time for which a connection that was used before may wait for a permit, if the request must not
/// be sent twice: an ask that is repeated, and a slot. With the 1.5 s for which the pool takes a
/// connection as fresh it stays well below the idle time of targets.
const MAX_READY_TIME: Duration = Duration::from_millis(600);

/// Highest value of the priority header.
const MAX_HEADER_PRIORITY: u8 = 9;

/// A target's response head and the connection that delivers the body.
pub struct Exchange {
    /// Status and headers.
    pub head: Parts,
    /// Response body, not read yet.
    pub body: Incoming,
    /// Connection, reusable once the body is read to its end.
    pub connection: HttpConnection,
}

/// Why an attempt got no usable response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The target rejected the request: it has not executed it and never will.
    Rejected,
    /// Nothing was sent because the target requested a backoff.
    InBackoff,
    /// Nothing was sent because of the rate limit that the target names.
    RateLimited,
    /// Nothing was sent because the configuration has changed, and the target is now in a region that
    /// is not allowed.
    OutsideRegions,
    /// Nothing was sent because operators evacuated the target's zone.
    Evacuated,
    /// The connection failed or delivered something other than a response to this request, which
    /// may have been executed.
    Aborted,
    /// The response exceeds the limits on its size or time; the request may have been executed.
    LimitExceeded,
}

impl ExchangeError {
    /// Stable name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Unreachable => "unreachable",
            Self::Rejected => "not_run",
            Self::InBackoff => "held_back",
            Self::RateLimited => "rate_limited",
            Self::OutsideRegions => "outside_regions",
            Self::Evacuated => "evacuated",
            Self::Aborted => "broken",
            Self::LimitExceeded => "endless",
        }
    }
}

impl From<BodyError> for ExchangeError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Aborted => Self::Aborted,
            BodyError::LimitExceeded => Self::LimitExceeded,
        }
    }
}

/// Options of one attempt.
#[derive(Debug, Clone, Copy, Default)]
pub struct SendOptions<'a> {
    /// Number of this send, starting at 1.
    pub attempt: u32,
    /// Where a stream resumes; `None` for a request from its start.
    pub continuation: Option<&'a Continuation>,
    /// How long the request can wait for the rate limit of its target.
    pub max_permit_wait: Duration,
}

/// Sends a request to a target and waits for the response head; a failure is logged and counted.
pub async fn send_request(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    target: PermittedTarget,
    options: SendOptions<'_>,
) -> Result<Exchange, ExchangeError> {
    let started_at = gateway.now();
    let result = try_send(gateway, request, target, options).await;
    if let Err(error) = &result {
        let key = target.key();
        record_failed_attempt(gateway, request, key, options.attempt, *error, started_at);
    }
    result
}

/// Logs and counts a failed attempt and records its outcome for the target.
pub fn record_failed_attempt(
    gateway: &Gateway,
    request: &RoutedRequest,
    key: TargetKey,
    attempt: u32,
    error: ExchangeError,
    started_at: Duration,
) {
    let cause = error.name();
    gateway
        .metrics
        .failed_attempts
        .with_label_values(&[cause])
        .inc();
    gateway.log.event(&LogEvent::AttemptFailed {
        id: &request.head.attempt_id,
        target: &gateway.instance(key),
        attempt,
        cause,
        after_ms: millis(gateway.now().saturating_sub(started_at)),
    });
    let outcome = match error {
        ExchangeError::Unreachable => Some(TargetOutcome::Unreachable),
        ExchangeError::Rejected => Some(TargetOutcome::Rejected),
        ExchangeError::Aborted => Some(TargetOutcome::Failed),
        ExchangeError::LimitExceeded => Some(TargetOutcome::LimitExceeded),
        ExchangeError::InBackoff
        | ExchangeError::RateLimited
        | ExchangeError::OutsideRegions
        | ExchangeError::Evacuated => None,
    };
    if let Some(outcome) = outcome {
        record_outcome(gateway, key, outcome);
    }
}

async fn try_send(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    target: PermittedTarget,
    options: SendOptions<'_>,
) -> Result<Exchange, ExchangeError> {
    let key = target.key();
    let entry =
        gateway.with_state(|state| state.targets.get(key).map(|target| target.entry.clone()));
    let entry = entry.ok_or(ExchangeError::Unreachable)?;
    let now = gateway.now();
    let is_last_resort = options.continuation.is_some();
    let may_send = gateway.with_state(|state| {
        let backoff = state.targets.backoff_mut(key);
        backoff.is_none_or(|backoff| backoff.try_send(is_last_resort, now))
    });
    if !may_send {
        return Err(ExchangeError::InBackoff);
    }
    let class = match options {
        SendOptions {
            continuation: Some(_),
            ..
        } => PermitClass::Continuation,
        SendOptions { attempt: 0 | 1, .. } => PermitClass::First(request.priority()),
        SendOptions { .. } => PermitClass::Spare,
    };
    let permit_options = PermitOptions {
        id: &request.head.attempt_id,
        class,
        max_wait: options.max_permit_wait,
    };
    let must_be_fresh = !request.route.kind.is_idempotent();
    // The permit of a cold engine does not last until a connection is open.
    let may_be_cold = gateway.with_state(|state| {
        let target = state.targets.get(key);
        target.is_some_and(|target| target.cold.is_cold(now))
    });
    let mut ready_connection = if may_be_cold {
        Some(acquire_connection(gateway, key, entry.address, must_be_fresh).await?)
    } else {
        None
    };
    let ready_at = gateway.now();
    let permit = acquire_permit(gateway, key, permit_options).await;
    let Ok(permit) = permit else {
        return_unused(gateway, key, ready_connection);
        return Err(ExchangeError::RateLimited);
    };
    let asked_at = gateway.now();
    // The target may have closed a connection that was idle during a long wait.
    if must_be_fresh && asked_at >= ready_at + MAX_READY_TIME {
        ready_connection = ready_connection.filter(|connection| connection.request_count == 0);
    }
    // The configuration may have changed since the target was chosen.
    if !residency::confirm_target(gateway, request, target) {
        return_unused(gateway, key, ready_connection);
        return Err(ExchangeError::OutsideRegions);
    }
    log_attempt(gateway, request, key, &entry, options);
    loop {
        let mut connection = match ready_connection.take() {
            Some(connection) => connection,
            None => acquire_connection(gateway, key, entry.address, must_be_fresh).await?,
        };
        if !permit.is_valid(gateway.now()) {
            return_unused(gateway, key, Some(connection));
            let permits = &gateway.metrics.exclusions.cold_permits;
            permits.with_label_values(&["expired"]).inc();
            return Err(ExchangeError::RateLimited);
        }
        // The zone may have been evacuated since the target was chosen.
        if gateway.with_state(|state| state.targets.is_evacuated(key)) {
            return Err(ExchangeError::Evacuated);
        }
        let is_first_use = connection.request_count == 0;
        let message = build_message(gateway, request, &entry, options);
        match connection.send(message).await {
            Ok(response) => {
                let (head, body) = response.into_parts();
                let exchange = Exchange {
                    head,
                    body,
                    connection,
                };
                return check_response(gateway, request, key, exchange, is_first_use, asked_at);
            }
            // The target closed an idle connection, so the next one is tried.
            Err(SendError::NotSent) if !is_first_use => {}
            Err(SendError::NotSent) => return Err(ExchangeError::Unreachable),
            Err(SendError::ConnectionFailed(_)) => {
                crash_probe::probe_after_failure(gateway, key, request, AnswerProgress::NONE);
                return Err(ExchangeError::Aborted);
            }
            Err(SendError::LimitExceeded) => return Err(ExchangeError::LimitExceeded),
        }
    }
}

/// Takes an idle connection from the pool or opens a new one. With `must_be_fresh`, connections
/// that were idle for long are not used.
pub async fn acquire_connection(
    gateway: &Gateway,
    key: TargetKey,
    address: SocketAddr,
    must_be_fresh: bool,
) -> Result<HttpConnection, ExchangeError> {
    let now = gateway.now();
    if let Some(connection) =
        gateway.with_state(|state| state.connection_pool.take(key, must_be_fresh, now))
    {
        return Ok(connection);
    }
    open_connection(gateway, address).await
}

/// Returns a connection to the pool on which nothing was ever sent. One that was used before is
/// closed, because the pool would count its idle time anew.
fn return_unused(gateway: &Gateway, key: TargetKey, connection: Option<HttpConnection>) {
    if let Some(connection) = connection.filter(|connection| connection.request_count == 0) {
        let now = gateway.now();
        gateway.with_state(|state| state.connection_pool.put(key, connection, None, now));
    }
}

async fn open_connection(
    gateway: &Gateway,
    address: SocketAddr,
) -> Result<HttpConnection, ExchangeError> {
    let result = HttpConnection::open(address).await;
    let label = if result.is_ok() { "opened" } else { "failed" };
    let connections = &gateway.metrics.target_connections;
    connections.with_label_values(&[label]).inc();
    result.map_err(|_| ExchangeError::Unreachable)
}

/// Opens a connection in the background and adds it to the pool, so that a stream which will need
/// it soon does not wait.
pub fn preconnect(gateway: &SharedGateway, key: TargetKey) {
    let address =
        gateway.with_state(|state| state.targets.get(key).map(|target| target.entry.address));
    let Some(address) = address else {
        return;
    };
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        if let Ok(connection) = open_connection(&gateway, address).await {
            let now = gateway.now();
            gateway.with_state(|state| state.connection_pool.put(key, connection, None, now));
        }
    });
}

/// Returns a connection to the pool after its response was read to the end, unless the target
/// closes it.
pub fn release_connection(
    gateway: &Gateway,
    key: TargetKey,
    head: &Parts,
    connection: HttpConnection,
) {
    if closes_connection(&head.headers) {
        return;
    }
    let now = gateway.now();
    let keep_alive = keep_alive_timeout(&head.headers);
    gateway.with_state(|state| state.connection_pool.put(key, connection, keep_alive, now));
}

fn build_message(
    gateway: &Gateway,
    request: &RoutedRequest,
    entry: &TargetEntry,
    options: SendOptions<'_>,
) -> Request<Full<Bytes>> {
    let params = ForwardParams {
        instance: &entry.instance,
        team: request.team.as_deref(),
        remaining: request.time_left(gateway.now()),
        priority: request
            .route
            .kind
            .is_stream()
            .then(|| request.priority().min(MAX_HEADER_PRIORITY)),
        continuation: options.continuation,
    };
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    // The path was taken from the caller's URI, so it always parses.
    *message.uri_mut() = request.path.parse().unwrap_or_default();
    *message.headers_mut() = target_headers(&request.headers, &params);
    message
}

fn check_response(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    key: TargetKey,
    exchange: Exchange,
    is_first_use: bool,
    asked_at: Duration,
) -> Result<Exchange, ExchangeError> {
    let Parts {
        status, headers, ..
    } = &exchange.head;
    let kind = classify_response(*status, headers, &request.head.attempt_id, is_first_use);
    if kind != ResponseKind::Foreign {
        target_notices::observe_head(gateway, key, *status, headers, asked_at);
    }
    match kind {
        ResponseKind::Executed => Ok(exchange),
        ResponseKind::NotExecuted => {
            if *status == StatusCode::MISDIRECTED_REQUEST {
                target_notices::report_leaving(gateway, key, "misdirected");
            }
            Err(ExchangeError::Rejected)
        }
        ResponseKind::Foreign => Err(ExchangeError::Aborted),
    }
}

fn log_attempt(
    gateway: &Gateway,
    request: &RoutedRequest,
    key: TargetKey,
    entry: &TargetEntry,
    options: SendOptions<'_>,
) {
    let now = gateway.now();
    let load = gateway.with_state(|state| state.targets.get(key).map(|target| target.load(now)));
    let load = load.unwrap_or_default();
    let (config_version, config_age_ms) = gateway.config_version_and_age();
    gateway.log.event(&LogEvent::Sent {
        id: &request.head.attempt_id,
        request: request.traits.fingerprint.to_string(),
        parts: describe_parts(&request.head.prompt_parts),
        target: &entry.instance,
        version: entry.version.as_str(),
        resumes: request.head.resumed_attempt.as_deref().unwrap_or(""),
        last_event: options
            .continuation
            .map(|continuation| continuation.last_event_id)
            .or(request.head.last_event_id)
            .unwrap_or(0),
        attempt: options.attempt,
        requests: load.requests,
        tokens: load.kv_tokens,
        config_version,
        config_age_ms,
    });
}

/// Sleeps for `duration`; returns without yielding if it is zero.
pub async fn sleep_unless_zero(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}
