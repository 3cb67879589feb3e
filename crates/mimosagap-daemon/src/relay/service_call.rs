//! Sends a call to a plain service, attempt by attempt, and returns its response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderMap, HeaderValue};
use hyper::{Method, Request, StatusCode, Uri};
use mimosagap_core::{AttemptEnd, Event};
use mimosagap_types::prelude::*;

use super::IDLE_TIMEOUT;
use super::connection::{SendError, header_text, send_request};
use crate::control::RecordedResponse;
use crate::requests::{OpenRequest, RequestCommand};
use crate::shared::SharedState;

/// Maximum size of a service's response body, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A caller's request to a service.
#[derive(Debug, Clone)]
pub struct ServiceCall {
    /// HTTP method of the caller's request, forwarded unchanged.
    pub method: Method,
    /// Path and query within the service, without the `/v1/services/{service}` prefix.
    pub uri: Uri,
    /// The headers that are forwarded to the target.
    pub headers: HeaderMap,
    /// The request body.
    pub body: Bytes,
    /// Maximum time from sending the request to the response head.
    pub first_byte_timeout: Duration,
    /// Whether the call is an order, which must run at most once.
    pub is_order: bool,
}

/// The service's response, received now or recorded earlier.
#[derive(Debug, Clone)]
pub struct ServiceResponse {
    /// HTTP status, passed to the caller unchanged.
    pub status: StatusCode,
    /// The `Content-Type` header; `None` if the service sent none.
    pub content_type: Option<HeaderValue>,
    /// The response body; `None` if the record of the order does not hold it.
    pub body: Option<Bytes>,
}

impl ServiceResponse {
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

/// Serves a call until it has a final response.
///
/// When `caller_left` resolves, a call that waits for dispatch is withdrawn. An attempt in progress
/// is not interrupted, because its target may already run the order, whose response is recorded.
///
/// # Errors
/// The refusal that is the caller's final response.
pub async fn serve_call(
    shared: &Arc<SharedState>,
    request: &mut OpenRequest,
    call: &ServiceCall,
    caller_left: impl Future<Output = ()>,
) -> Result<ServiceResponse, Refusal> {
    let mut caller_left = std::pin::pin!(caller_left);
    loop {
        let command = tokio::select! {
            biased;
            command = request.next_command() => command,
            () = &mut caller_left => {
                let ticket = request.ticket;
                shared.events.send(Event::CallerLeft { ticket });
                return Err(caller_left_refusal());
            }
        };
        match command {
            RequestCommand::Refuse(refusal) => return Err(refusal),
            RequestCommand::RespondFromRecord(record) => {
                return record.map(ServiceResponse::from_record).ok_or_else(|| {
                    Refusal::new(
                        RefusalCause::OrderInProgress,
                        "the order ran, but its answer is not at hand; ask the service for it",
                    )
                    .with_outcome(RunOutcome::Ran)
                });
            }
            RequestCommand::Cancel { .. } => {}
            RequestCommand::Dispatch {
                attempt, target, ..
            } => {
                let (end, service_response) = run_attempt(shared, call, target).await;
                if let (true, Some(service_response)) = (call.is_order, &service_response) {
                    let record = service_response.to_record();
                    shared.requests.store_response(request.ticket, record);
                }
                shared.events.send(Event::AttemptEnded {
                    ticket: request.ticket,
                    attempt,
                    end,
                });
                if let Some(service_response) = service_response {
                    return Ok(service_response);
                }
            }
        }
    }
}

fn caller_left_refusal() -> Refusal {
    Refusal::new(
        RefusalCause::Cancelled,
        "the caller left before the call was sent",
    )
}

async fn run_attempt(
    shared: &Arc<SharedState>,
    call: &ServiceCall,
    target: TargetAddress,
) -> (AttemptEnd, Option<ServiceResponse>) {
    let lost_end = AttemptEnd::Lost {
        delivered_tokens: 0,
        target_died: false,
    };
    let response =
        match send_request(target, call.build_request(target), call.first_byte_timeout).await {
            Ok(response) => response,
            Err(SendError::NotConnected { refused }) => {
                let address = target;
                shared
                    .events
                    .send(Event::TargetUnreachable { address, refused });
                return (AttemptEnd::NotSent, None);
            }
            Err(SendError::TimedOut | SendError::Failed) => return (lost_end, None),
        };
    if response.is_not_run() {
        let end = AttemptEnd::Rejected {
            retry_after: response.retry_after(),
            leaving: response.is_leaving(),
        };
        return (end, None);
    }
    let status = response.head.status;
    let content_type = response.head.headers.get(CONTENT_TYPE).cloned();
    match response.read_body(MAX_RESPONSE_BYTES, IDLE_TIMEOUT).await {
        Ok(body) => {
            let service_response = ServiceResponse {
                status,
                content_type,
                body: Some(body),
            };
            (AttemptEnd::Completed { tokens: 0 }, Some(service_response))
        }
        Err(_) => (lost_end, None),
    }
}

impl ServiceCall {
    fn build_request(&self, target: TargetAddress) -> Request<Full<Bytes>> {
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

/// Returns the caller's idempotency key, or generates one for this request.
///
/// # Errors
/// If the key is empty, longer than 255 bytes or not visible ASCII, or if none can be generated.
pub fn idempotency_key(headers: &HeaderMap) -> Result<String, Refusal> {
    if !headers.contains_key("idempotency-key") {
        let mut bytes = [0; 16];
        getrandom::fill(&mut bytes).map_err(|_| {
            let message = "no random key could be made; send an Idempotency-Key";
            Refusal::new(RefusalCause::NoTarget, message)
        })?;
        return Ok(format!("daemon-{:032x}", u128::from_be_bytes(bytes)));
    }
    header_text(headers, "idempotency-key")
        .filter(|key| (1..=255).contains(&key.len()))
        .map(ToOwned::to_owned)
        .ok_or_else(|| {
            let message = "the Idempotency-Key must have 1 to 255 visible ASCII characters";
            Refusal::new(RefusalCause::BadRequest, message)
        })
}
