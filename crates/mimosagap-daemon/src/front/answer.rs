//! Answers to callers.

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
use crate::relay::body::RelayBody;
use crate::shared::SharedState;

/// An answer to a caller.
pub type Answer = Response<AnswerBody>;

/// The body of an answer.
pub enum AnswerBody {
    /// Known when the head is sent.
    Whole(Full<Bytes>),
    /// Produced while it is sent.
    Relay(RelayBody),
    /// One of the others, with the mark that its connection is busy.
    Guarded(Box<Self>, BusyGuard),
}

impl AnswerBody {
    /// Keeps the connection marked as busy until the body is sent.
    #[must_use]
    pub fn guarded(body: Self, guard: BusyGuard) -> Self {
        Self::Guarded(Box::new(body), guard)
    }
}

impl Body for AnswerBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Whole(body) => Pin::new(body).poll_frame(context),
            Self::Relay(body) => Pin::new(body).poll_frame(context),
            Self::Guarded(body, _) => Pin::new(body.as_mut()).poll_frame(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Whole(body) => body.is_end_stream(),
            Self::Relay(body) => body.is_end_stream(),
            Self::Guarded(body, _) => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(body) => body.size_hint(),
            Self::Relay(body) => body.size_hint(),
            Self::Guarded(body, _) => body.size_hint(),
        }
    }
}

/// A refusal on its way to the caller.
#[derive(Debug)]
pub struct Denial {
    /// The refusal.
    pub refusal: Refusal,
    status: StatusCode,
    closes: bool,
}

impl From<Refusal> for Denial {
    fn from(refusal: Refusal) -> Self {
        let status = StatusCode::from_u16(refusal.cause.status());
        Self {
            refusal,
            status: status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR),
            closes: false,
        }
    }
}

impl Denial {
    /// A refusal of work that was not carried out.
    #[must_use]
    pub fn new(cause: RefusalCause, message: impl Into<String>) -> Self {
        Refusal::new(cause, message).into()
    }

    /// Replaces the status that goes with the cause.
    #[must_use]
    pub fn with_status(mut self, status: StatusCode) -> Self {
        self.status = status;
        self
    }

    /// Closes the connection after the answer, because the rest of the request is unread.
    #[must_use]
    pub fn with_close(mut self) -> Self {
        self.closes = true;
        self
    }

    /// The HTTP answer.
    #[must_use]
    pub fn into_answer(self) -> Answer {
        let body = json!({"error": refusal_json(&self.refusal)});
        let mut answer = json_answer(self.status, &body);
        let headers = answer.headers_mut();
        set_outcome(headers, self.refusal.outcome);
        if let Some(delay) = self.refusal.retry_after {
            headers.insert(RETRY_AFTER, HeaderValue::from(retry_seconds(delay)));
        }
        if self.closes {
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

/// Whole seconds for `Retry-After`, rounded up, at least 1.
#[must_use]
pub fn retry_seconds(delay: Duration) -> u64 {
    let partial = u64::from(delay.subsec_nanos() > 0);
    (delay.as_secs() + partial).max(1)
}

/// The `error` object of a refusal.
#[must_use]
pub fn refusal_json(refusal: &Refusal) -> Value {
    let milliseconds = refusal
        .retry_after
        .map(|delay| u64::try_from(delay.as_millis()).unwrap_or(u64::MAX));
    let rule = refusal.rule.as_ref().map(
        |rule| json!({"revision": rule.revision, "line": rule.line, "asked_by": rule.asked_by}),
    );
    json!({
        "code": refusal.cause.as_str(),
        "message": refusal.message,
        "outcome": refusal.outcome.as_str(),
        "retry_after_ms": milliseconds,
        "rule": rule,
    })
}

/// An answer with a JSON body.
#[must_use]
pub fn json_answer(status: StatusCode, body: &Value) -> Answer {
    let body = Full::new(Bytes::from(body.to_string()));
    let mut answer = Response::new(AnswerBody::Whole(body));
    *answer.status_mut() = status;
    let kind = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(CONTENT_TYPE, kind);
    answer
}

/// Says what happened to the work.
pub fn set_outcome(headers: &mut HeaderMap, outcome: RunOutcome) {
    headers.insert("x-outcome", HeaderValue::from_static(outcome.as_str()));
}

/// The headers of every answer.
pub fn add_common_headers(shared: &SharedState, headers: &mut HeaderMap) {
    let revision = shared.view.rules().revision;
    headers.insert("x-rules-revision", HeaderValue::from(revision.0));
    if shared.view.is_draining() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}
