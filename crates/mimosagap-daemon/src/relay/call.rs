//! A call to a plain service.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use mimosagap_core::{AttemptEnd, Event};
use mimosagap_types::prelude::*;

use super::SILENCE;
use super::connection::{SendError, header, send};
use crate::control::RecordedResponse;
use crate::requests::{Command, OpenRequest};
use crate::shared::SharedState;

/// Longest answer of a service, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// What the caller wants from the service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// The method.
    pub method: Method,
    /// Path and query within the service.
    pub uri: Uri,
    /// The headers which are passed on.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// The longest wait for the first byte of the answer.
    pub first_byte_timeout: Duration,
    /// Whether the call must run at most once.
    pub is_order: bool,
}

/// What the caller gets.
#[derive(Debug, Clone)]
pub struct ServiceAnswer {
    /// The status.
    pub status: StatusCode,
    /// The content type, if there is one.
    pub content_type: Option<HeaderValue>,
    /// The body; `None` if it is recorded no more.
    pub body: Option<Bytes>,
}

impl ServiceAnswer {
    fn to_record(&self) -> RecordedResponse {
        let content_type = self.content_type.as_ref();
        RecordedResponse {
            status: self.status.as_u16(),
            content_type: content_type
                .and_then(|value| value.to_str().ok())
                .map(ToOwned::to_owned),
            body: self.body.as_ref().map(|body| body.to_vec()),
        }
    }

    fn from_record(record: RecordedResponse) -> Self {
        Self {
            status: StatusCode::from_u16(record.status).unwrap_or(StatusCode::OK),
            content_type: record
                .content_type
                .and_then(|text| HeaderValue::from_str(&text).ok()),
            body: record.body.map(Bytes::from),
        }
    }
}

/// Serves a call until it is over. `left` ends when the caller leaves; that withdraws a call which
/// still waits, but not an order that a target may have seen, whose answer is recorded.
///
/// # Errors
/// The refusal which is the caller's final answer.
pub async fn serve(
    shared: &Arc<SharedState>,
    request: &mut OpenRequest,
    call: &ServiceCall,
    left: impl Future<Output = ()>,
) -> Result<ServiceAnswer, Refusal> {
    let mut left = std::pin::pin!(left);
    loop {
        let command = tokio::select! {
            biased;
            command = request.command() => command,
            () = &mut left => {
                let ticket = request.ticket;
                shared.events.send(Event::CallerLeft { ticket });
                return Err(caller_left());
            }
        };
        match command {
            Command::Refuse(refusal) => return Err(refusal),
            Command::AnswerFromRecord(record) => {
                return record.map(ServiceAnswer::from_record).ok_or_else(|| {
                    Refusal::new(
                        RefusalCause::OrderInProgress,
                        "the order ran, but its answer is not at hand; ask the service for it",
                    )
                    .with_outcome(RunOutcome::Ran)
                });
            }
            Command::Cancel { .. } => {}
            Command::Dispatch {
                attempt, target, ..
            } => {
                let (end, answer) = run(shared, call, target).await;
                if let (true, Some(answer)) = (call.is_order, &answer) {
                    let record = answer.to_record();
                    shared.requests.keep_answer(request.ticket, record);
                }
                shared.events.send(Event::AttemptEnded {
                    ticket: request.ticket,
                    attempt,
                    end,
                });
                if let Some(answer) = answer {
                    return Ok(answer);
                }
            }
        }
    }
}

fn caller_left() -> Refusal {
    Refusal::new(
        RefusalCause::Cancelled,
        "the caller left before the call was sent",
    )
}

async fn run(
    shared: &Arc<SharedState>,
    call: &ServiceCall,
    target: TargetAddress,
) -> (AttemptEnd, Option<ServiceAnswer>) {
    let lost = AttemptEnd::Lost {
        delivered: 0,
        target_died: false,
    };
    let link = match send(target, call.request(target), call.first_byte_timeout).await {
        Ok(link) => link,
        Err(SendError::NotConnected { refused }) => {
            let address = target;
            shared
                .events
                .send(Event::TargetUnreachable { address, refused });
            return (AttemptEnd::NotSent, None);
        }
        Err(SendError::Silent | SendError::Broken) => return (lost, None),
    };
    if link.is_not_run() {
        let end = AttemptEnd::Rejected {
            retry_after: link.retry_after(),
            leaving: link.is_leaving(),
        };
        return (end, None);
    }
    let status = link.head.status;
    let content_type = link.head.headers.get(CONTENT_TYPE).cloned();
    match link.collect(MAX_ANSWER_BYTES, SILENCE).await {
        Ok(body) => {
            let answer = ServiceAnswer {
                status,
                content_type,
                body: Some(body),
            };
            (AttemptEnd::Completed { tokens: 0 }, Some(answer))
        }
        Err(_) => (lost, None),
    }
}

impl ServiceCall {
    fn request(&self, target: TargetAddress) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let mut headers = self.headers.clone();
        if let Ok(host) = HeaderValue::from_str(&target.to_string()) {
            headers.insert(HOST, host);
        }
        *request.headers_mut() = headers;
        request
    }
}

/// The caller's idempotency key, or one made for a single use.
///
/// # Errors
/// If the key is empty, longer than 255 bytes or not plain text.
pub fn idempotency_key(headers: &HeaderMap) -> Result<String, Refusal> {
    if !headers.contains_key("idempotency-key") {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes).map_err(|_| {
            let message = "no random key could be made; send an Idempotency-Key";
            Refusal::new(RefusalCause::NoTarget, message)
        })?;
        return Ok(format!("daemon-{:032x}", u128::from_be_bytes(bytes)));
    }
    header(headers, "idempotency-key")
        .filter(|key| (1..=255).contains(&key.len()))
        .map(ToOwned::to_owned)
        .ok_or_else(|| {
            let message = "the Idempotency-Key must have 1 to 255 visible ASCII characters";
            Refusal::new(RefusalCause::BadRequest, message)
        })
}
