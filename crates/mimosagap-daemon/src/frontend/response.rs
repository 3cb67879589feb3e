//! Responses to callers.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Frame, SizeHint};
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode};
use mimosagap_types::prelude::*;
use serde_json::{Value, json};

use super::caller_io::BusyGuard;
use crate::relay::stream_body::StreamBody;
use crate::shared::SharedState;

/// A response to a caller.
pub type CallerResponse = Response<ResponseBody>;

/// The body of a response to a caller.
pub enum ResponseBody {
    /// Complete when the head is sent.
    Buffered(Full<Bytes>),
    /// Produced by a relay while it is sent.
    Relay(StreamBody),
    /// Another body, with the guard that marks its connection as busy.
    Guarded(Box<Self>, BusyGuard),
}

impl ResponseBody {
    /// Wraps a body so that its connection counts as busy until the body is sent.
    #[must_use]
    pub fn guarded(body: Self, guard: BusyGuard) -> Self {
        Self::Guarded(Box::new(body), guard)
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Buffered(body) => Pin::new(body).poll_frame(context),
            Self::Relay(body) => Pin::new(body).poll_frame(context),
            Self::Guarded(body, _) => Pin::new(body.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Buffered(body) => body.is_end_stream(),
            Self::Relay(body) => body.is_end_stream(),
            Self::Guarded(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Buffered(body) => body.size_hint(),
            Self::Relay(body) => body.size_hint(),
            Self::Guarded(body, _) => body.size_hint(),
        }
    }
}

/// A refusal with the HTTP status and connection handling of its response.
#[derive(Debug)]
pub struct RefusalResponse {
    /// The cause, message and outcome that the caller receives.
    pub refusal: Refusal,
    status: StatusCode,
    closes_connection: bool,
}

impl From<Refusal> for RefusalResponse {
    fn from(refusal: Refusal) -> Self {
        let status = StatusCode::from_u16(refusal.cause.status());
        Self {
            refusal,
            status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            closes_connection: false,
        }
    }
}

impl RefusalResponse {
    /// Creates a refusal of a request that was not run.
    #[must_use]
    pub fn new(cause: RefusalCause, message: impl Into<String>) -> Self {
        Refusal::new(cause, message).into()
    }

    /// Replaces the default status of the cause.
    #[must_use]
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Closes the connection after the response, because part of the request is unread.
    #[must_use]
    pub fn with_close(mut self) -> Self {
        self.closes_connection = true;
        self
    }

    /// Builds the HTTP response.
    #[must_use]
    pub fn into_response(self) -> CallerResponse {
        let body = json!({"error": refusal_json(&self.refusal)});
        let mut response = json_response(self.status, &body);
        let headers = response.headers_mut();
        set_outcome(headers, self.refusal.outcome);
        if let Some(delay) = self.refusal.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(retry_seconds(delay)));
        }
        if self.closes_connection {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

/// Returns the seconds for `Retry-After`: rounded up, at least 1.
#[must_use]
pub fn retry_seconds(delay: Duration) -> u64 {
    let round_up = u64::from(delay.subsec_nanos() > 0);
    (delay.as_secs() + round_up).max(1)
}

/// Returns the `error` object of a refusal.
#[must_use]
pub fn refusal_json(refusal: &Refusal) -> Value {
    let retry_after_ms = refusal
        .retry_after
        .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    let rule = refusal.rule.as_ref().map(
        |rule| json!({"revision": rule.revision, "line": rule.line, "asked_by": rule.asked_by}),
    );
    json!({
        "code": refusal.cause.as_str(),
        "message": refusal.message,
        "outcome": refusal.outcome.as_str(),
        "retry_after_ms": retry_after_ms,
        "rule": rule,
    })
}

/// Builds a response with a JSON body.
#[must_use]
pub fn json_response(status: StatusCode, body: &Value) -> CallerResponse {
    let body = Full::new(Bytes::from(body.to_string()));
    let mut response = Response::new(ResponseBody::Buffered(body));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    response
}

/// Sets the `x-outcome` header, which says whether the request was run.
pub fn set_outcome(headers: &mut HeaderMap, outcome: RunOutcome) {
    headers.insert("x-outcome", HeaderValue::from_static(outcome.as_str()));
}

/// Adds the headers of every response: the rules revision, and `connection: close` during a drain.
pub fn add_common_headers(shared: &SharedState, headers: &mut HeaderMap) {
    let revision = shared.view.rules().revision;
    headers.insert("x-rules-revision", HeaderValue::from(revision.0));
    if shared.view.is_draining() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
