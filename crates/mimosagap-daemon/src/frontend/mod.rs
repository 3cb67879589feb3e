//! The HTTP API for callers.

pub mod addresses;
pub mod auth;
pub mod caller_io;
pub mod generations;
pub mod response;
pub mod server;
pub mod services;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::{Method, Request, StatusCode};
use mimosagap_types::prelude::*;
use tokio::time::timeout;

use self::response::{CallerResponse, RefusalResponse};
use crate::shared::SharedState;

/// Handles one request and counts a refusal by its cause.
pub async fn handle_request(
    shared: Arc<SharedState>,
    request: Request<Incoming>,
) -> CallerResponse {
    let result = route(&shared, request).await;
    let mut response = result.unwrap_or_else(|refusal_response| {
        let cause = refusal_response.refusal.cause.as_str();
        shared.metrics.refusals.with_label_values(&[cause]).inc();
        refusal_response.into_response()
    });
    response::add_common_headers(&shared, response.headers_mut());
    response
}

async fn route(
    shared: &Arc<SharedState>,
    request: Request<Incoming>,
) -> Result<CallerResponse, RefusalResponse> {
    check_head(shared, &request)?;
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let method = request.method().clone();
    match segments.as_slice() {
        ["v1", "addresses"] if method == Method::GET => {
            Ok(addresses::list_addresses(shared, &request))
        }
        ["v1", "responses"] if method == Method::POST => generations::create(shared, request).await,
        ["v1", "responses", id] if method == Method::GET => {
            generations::resume(shared, &request, id).await
        }
        ["v1", "responses", id, "cancel"] if method == Method::POST => {
            generations::cancel(shared, &request, id).await
        }
        ["v1", "services", service, ..] => services::handle_call(shared, service, request).await,
        _ => {
            let message = format!("there is no {method} on this path; see docs/callers.md");
            Err(Refusal::new(RefusalCause::NotFound, message).into())
        }
    }
}

/// Refuses requests whose head exceeds the configured size. The HTTP library's own limit is higher.
fn check_head(shared: &SharedState, request: &Request<Incoming>) -> Result<(), RefusalResponse> {
    let header_lines = request.headers().iter();
    let size: usize = header_lines
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let max_bytes = shared.settings.bounds.max_header_bytes;
    if size as u64 + request.uri().to_string().len() as u64 <= max_bytes {
        return Ok(());
    }
    let message = format!("the headers are longer than {max_bytes} bytes; shorten them");
    Err(RefusalResponse::new(RefusalCause::BadRequest, message)
        .with_status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE))
}

/// Reads a request body within the configured size and time.
async fn read_body(shared: &SharedState, body: Incoming) -> Result<Bytes, RefusalResponse> {
    let bounds = &shared.settings.bounds;
    let max_bytes = usize::try_from(bounds.max_body_bytes).unwrap_or(usize::MAX);
    let limited_read = Limited::new(body, max_bytes).collect();
    match timeout(Duration::from_millis(bounds.read_timeout_ms), limited_read).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is longer than {max_bytes} bytes; shorten it");
            Err(RefusalResponse::new(RefusalCause::BadRequest, message)
                .with_status(StatusCode::PAYLOAD_TOO_LARGE)
                .with_close())
        }
        Ok(Err(_)) => {
            let message = "the body is not valid HTTP; send Content-Length or chunks";
            Err(RefusalResponse::new(RefusalCause::BadRequest, message).with_close())
        }
        Err(_) => {
            let timeout_ms = bounds.read_timeout_ms;
            let message = format!("the body took more than {timeout_ms} ms; send it faster");
            Err(RefusalResponse::new(RefusalCause::BadRequest, message)
                .with_status(StatusCode::REQUEST_TIMEOUT)
                .with_close())
        }
    }
}
