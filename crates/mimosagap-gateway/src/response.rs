//! Responses to callers: refusals, responses of the gateway itself and heads of targets' responses.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use mimosagap_platform::names;
use mimosagap_platform::request::end_to_end_headers;
use mimosagap_routing::quarantine::RequestTraits;
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::residency::ResidencyPolicy;
use mimosagap_types::prelude::*;
use rand::Rng;

use crate::log::LogEvent;
use crate::rate_permits;
use crate::request::RoutedRequest;
use crate::residency;
use crate::state::{Gateway, millis};

/// Error of a stream body that ended early. The connection to the caller is closed without the end
/// of the body, so that the caller sees the stream as incomplete.
#[derive(Debug)]
pub struct IncompleteStream;

impl std::fmt::Display for IncompleteStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("stream ended before it was complete")
    }
}

impl std::error::Error for IncompleteStream {}

/// Body of a response to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, IncompleteStream>;

/// Builds a body from bytes in memory.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// Builds a response that the gateway itself produces, such as its metrics.
pub fn local_response(
    status: StatusCode,
    content_type: &'static str,
    body: Vec<u8>,
) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Largest relative increase of `Retry-After`, drawn at random so that callers do not all return at
/// the same moment.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// Demand over rate beyond which callers return no later. Callers wait at most a third of the time
/// that they have left.
const MAX_RETRY_OVERLOAD: f64 = 8.0;

/// Facts about a refused request that its log line and response need.
#[derive(Clone, Copy)]
pub struct RefusedRequest<'a> {
    /// Attempt id as the caller sent it.
    pub id: &'a str,
    /// What the request is recognized by; `None` before its body is read.
    pub traits: Option<&'a RequestTraits>,
    /// When the head arrived, as time since boot.
    pub arrived_at: Duration,
    /// Service of the request; `None` before its route is found.
    pub service: Option<&'a DeploymentName>,
    /// The request with its route; `None` before its route is found.
    pub routed: Option<&'a RoutedRequest>,
    /// Whether another host relays the request. It logs the refusal that its caller receives.
    pub is_relayed: bool,
}

impl<'a> From<&'a RoutedRequest> for RefusedRequest<'a> {
    fn from(request: &'a RoutedRequest) -> Self {
        Self {
            id: &request.head.attempt_id,
            traits: Some(&request.traits),
            arrived_at: request.arrived_at,
            service: Some(&request.service),
            routed: Some(request),
            is_relayed: request.is_relayed,
        }
    }
}

/// Logs and counts a refusal and builds its response, with `Retry-After` where a retry may help.
pub fn refusal_response(
    gateway: &Gateway,
    request: RefusedRequest<'_>,
    reason: RefusalReason,
) -> Response<ResponseBody> {
    let id = request.id;
    if let (RefusalReason::RateLimited, Some(service)) = (reason, request.service) {
        rate_permits::log_held_targets(gateway, id, service);
    }
    gateway
        .metrics
        .refusals
        .with_label_values(&[reason.name()])
        .inc();
    if request.is_relayed {
        gateway.log.event(&LogEvent::RelayRefused {
            id,
            reason: reason.name(),
            after_ms: millis(gateway.now().saturating_sub(request.arrived_at)),
        });
    } else {
        log_refusal(gateway, request, reason);
    }
    let policy = request
        .routed
        .map_or_else(ResidencyPolicy::default, |routed| {
            residency::note_refusal(gateway, routed, reason)
        });
    let body = format!("{{\"error\":\"{}\"}}", reason.name());
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = local_response(status, "application/json", body.into_bytes());
    response.extensions_mut().insert(reason);
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(names::ATTEMPT_ID, id);
    }
    let now = gateway.now();
    let available_in = gateway.with_state(|state| match reason {
        RefusalReason::VersionUnknown => state.version_history.complete_in(now),
        RefusalReason::RequestMemory => Some(state.request_budget.retry_delay(now)),
        _ => request
            .service
            .and_then(|service| state.targets.time_until_permitted(service, &policy, now)),
    });
    if let Some(delay) = reason.retry_after(available_in) {
        let delay = spread_retry(gateway, request.service, reason, delay);
        let seconds = format!("{:.2}", delay.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

fn log_refusal(gateway: &Gateway, request: RefusedRequest<'_>, reason: RefusalReason) {
    let (config_version, config_age_ms) = gateway.config_version_and_age();
    gateway.log.event(&LogEvent::Refused {
        id: request.id,
        request: request
            .traits
            .map_or_else(String::new, |traits| traits.fingerprint.to_string()),
        suspect: suspect_text(gateway, request, reason),
        reason: reason.name(),
        status: reason.status(),
        after_ms: millis(gateway.now().saturating_sub(request.arrived_at)),
        config_version,
        config_age_ms,
    });
}

/// What a quarantined request is refused for; empty for other refusals.
fn suspect_text(gateway: &Gateway, request: RefusedRequest<'_>, reason: RefusalReason) -> String {
    if !reason.is_quarantine() {
        return String::new();
    }
    let blocked = request.traits.and_then(|traits| {
        gateway.with_state(|state| {
            let verdict = state.quarantine.blocking_verdict(traits)?;
            Some(verdict.blocked.to_string())
        })
    });
    blocked.unwrap_or_default()
}

/// Draws the time after which one of many refused callers is to return. With rate limits in force
/// they return over the longer a time the more of them there are for each request that is allowed.
fn spread_retry(
    gateway: &Gateway,
    service: Option<&DeploymentName>,
    reason: RefusalReason,
    delay: Duration,
) -> Duration {
    let now = gateway.now();
    gateway.with_state(|state| {
        let overload = match (reason, service) {
            (RefusalReason::RateLimited, Some(service)) => {
                state.targets.rate_overload(service, now)
            }
            _ => 1.0,
        };
        let spread = RETRY_AFTER_JITTER * overload.min(MAX_RETRY_OVERLOAD);
        delay.mul_f64(state.rng.random_range(1.0..1.0 + spread))
    })
}

/// Builds the caller's response head from a target's, without hop-by-hop headers and without
/// `Content-Length`, since the body is framed anew.
pub fn forwarded_head(status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let mut headers = end_to_end_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}
