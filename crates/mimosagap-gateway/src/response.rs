//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{HeaderMap, Response, StatusCode};
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use mimosagap_platform::names;
use mimosagap_platform::request::end_to_end_headers;
use mimosagap_routing::quarantine::RequestFingerprint;
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_types::prelude::*;
use rand::Rng;

use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::state::{Gateway, millis};

/// A stream that broke; the connection to the caller is closed without the end of the body.
#[derive(Debug)]
pub struct IncompleteStream;

impl std::fmt::Display for IncompleteStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("stream ended before it was complete")
    }
}

impl std::error::Error for IncompleteStream {}

/// The body of an answer to a caller.
pub type ResponseBody = UnsyncBoxBody<Bytes, IncompleteStream>;

/// A body that is there.
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into())
        .map_err(|never| match never {})
        .boxed_unsync()
}

/// An answer without a request, for the gateway's own calls.
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

/// Part by which the time to come back is spread over callers.
const RETRY_AFTER_JITTER: f64 = 0.5;

/// What a refusal says of its request.
#[derive(Debug, Clone, Copy)]
pub struct RefusedRequest<'a> {
    /// The id of this try.
    pub id: &'a str,
    /// Names the request over its tries, once its body was read.
    pub fingerprint: Option<RequestFingerprint>,
    /// When the head arrived.
    pub arrived_at: Duration,
    /// The service that it was for, once its route was known.
    pub service: Option<&'a DeploymentName>,
}

impl<'a> From<&'a RoutedRequest> for RefusedRequest<'a> {
    fn from(request: &'a RoutedRequest) -> Self {
        Self {
            id: &request.head.attempt_id,
            fingerprint: Some(request.fingerprint),
            arrived_at: request.arrived_at,
            service: Some(&request.service),
        }
    }
}

/// Refuses a request.
pub fn refusal_response(
    gateway: &Gateway,
    request: RefusedRequest<'_>,
    reason: RefusalReason,
) -> Response<ResponseBody> {
    let id = request.id;
    let (config_version, config_age_ms) = gateway.config_version_and_age();
    gateway
        .metrics
        .refusals
        .with_label_values(&[reason.name()])
        .inc();
    gateway.log.event(&LogEvent::Refused {
        id,
        request: request
            .fingerprint
            .map_or_else(String::new, |fingerprint| fingerprint.to_string()),
        reason: reason.name(),
        status: reason.status(),
        after_ms: millis(gateway.now().saturating_sub(request.arrived_at)),
        config_version,
        config_age_ms,
    });
    let body = format!("{{\"error\":\"{}\"}}", reason.name());
    let status = StatusCode::from_u16(reason.status()).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = local_response(status, "application/json", body.into_bytes());
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(names::ATTEMPT_ID, id);
    }
    let now = gateway.now();
    let available_in = request.service.and_then(|service| {
        gateway.with_state(|state| state.targets.time_until_available(service, now))
    });
    if let Some(delay) = reason.retry_after(available_in) {
        let jitter =
            gateway.with_state(|state| state.rng.random_range(1.0..1.0 + RETRY_AFTER_JITTER));
        let seconds = format!("{:.2}", delay.as_secs_f64() * jitter);
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    response
}

/// The head of a target's answer as the caller gets it.
pub fn forwarded_head(status: StatusCode, headers: &HeaderMap) -> Response<()> {
    let mut response = Response::new(());
    *response.status_mut() = status;
    let mut headers = end_to_end_headers(headers);
    headers.remove(header::CONTENT_LENGTH);
    *response.headers_mut() = headers;
    response
}
