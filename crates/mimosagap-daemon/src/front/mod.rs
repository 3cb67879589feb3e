//! The daemon as callers see it.

pub mod addresses;
pub mod answer;
pub mod auth;
pub mod caller_io;
pub mod generations;
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

use self::answer::{Answer, Denial};
use crate::shared::SharedState;

/// Answers one request.
pub async fn handle(shared: Arc<SharedState>, request: Request<Incoming>) -> Answer {
    let result = route(&shared, request).await;
    let mut answer = result.unwrap_or_else(|denial| {
        let cause = denial.refusal.cause.as_str();
        shared.metrics.refusals.with_label_values(&[cause]).inc();
        denial.into_answer()
    });
    answer::add_common_headers(&shared, answer.headers_mut());
    answer
}

async fn route(shared: &Arc<SharedState>, request: Request<Incoming>) -> Result<Answer, Denial> {
    check_head(shared, &request)?;
    let path = request.uri().path().to_owned();
    let segments: Vec<&str> = path.split('/').skip(1).collect();
    let method = request.method().clone();
    match segments.as_slice() {
        ["v1", "addresses"] if method == Method::GET => Ok(addresses::answer(shared, &request)),
        ["v1", "responses"] if method == Method::POST => generations::create(shared, request).await,
        ["v1", "responses", id] if method == Method::GET => {
            generations::resume(shared, &request, id).await
        }
        ["v1", "responses", id, "cancel"] if method == Method::POST => {
            generations::cancel(shared, &request, id).await
        }
        ["v1", "services", service, ..] => services::call(shared, service, request).await,
        _ => {
            let message = format!("there is no {method} on this path; see docs/callers.md");
            Err(Refusal::new(RefusalCause::NotFound, message).into())
        }
    }
}

/// Refuses headers over the bound. The HTTP library's own bound is somewhat higher.
fn check_head(shared: &SharedState, request: &Request<Incoming>) -> Result<(), Denial> {
    let lines = request.headers().iter();
    let size: usize = lines
        .map(|(name, value)| name.as_str().len() + value.len() + 4)
        .sum();
    let bound = shared.settings.bounds.max_header_bytes;
    if size as u64 + request.uri().to_string().len() as u64 <= bound {
        return Ok(());
    }
    let message = format!("the headers are longer than {bound} bytes; shorten them");
    Err(Denial::new(RefusalCause::BadRequest, message)
        .with_status(StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE))
}

/// Reads a body within the bounds of size and time.
async fn read_body(shared: &SharedState, body: Incoming) -> Result<Bytes, Denial> {
    let bounds = &shared.settings.bounds;
    let limit = usize::try_from(bounds.max_body_bytes).unwrap_or(usize::MAX);
    let limited = Limited::new(body, limit).collect();
    match timeout(Duration::from_millis(bounds.read_timeout_ms), limited).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            let message = format!("the body is longer than {limit} bytes; shorten it");
            Err(Denial::new(RefusalCause::BadRequest, message)
                .with_status(StatusCode::PAYLOAD_TOO_LARGE)
                .with_close())
        }
        Ok(Err(_)) => {
            let message = "the body is not valid HTTP; send Content-Length or chunks";
            Err(Denial::new(RefusalCause::BadRequest, message).with_close())
        }
        Err(_) => {
            let limit = bounds.read_timeout_ms;
            let message = format!("the body took more than {limit} ms; send it faster");
            Err(Denial::new(RefusalCause::BadRequest, message)
                .with_status(StatusCode::REQUEST_TIMEOUT)
                .with_close())
        }
    }
}
