//! The endpoint for calls to plain services.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Uri};
use mimosagap_core::{Event, Submission, WorkKind};
use mimosagap_settings::{DeploymentKind, DeploymentSettings};
use mimosagap_types::prelude::*;
use tokio::sync::oneshot;

use super::generations::opaque_response;
use super::response::{CallerResponse, RefusalResponse, set_outcome};
use super::{auth, read_body};
use crate::relay::service_call::{self, ServiceCall, ServiceResponse, idempotency_key};
use crate::shared::SharedState;

/// Handles requests with any method on `/v1/services/{service}/{path}`.
///
/// # Errors
/// The refusal, also if the call ends without a response.
pub async fn handle_call(
    shared: &Arc<SharedState>,
    service: &str,
    request: Request<Incoming>,
) -> Result<CallerResponse, RefusalResponse> {
    let (head, body) = request.into_parts();
    let team = auth::authenticate(shared, &head.headers)
        .map_err(|refusal| RefusalResponse::from(refusal).with_close())?;
    let class = auth::request_class(&head.headers, None)?;
    let name = DeploymentName::new(service);
    let deployment = shared
        .settings
        .deployment(&name)
        .filter(|deployment| deployment.kind == DeploymentKind::Service)
        .ok_or_else(|| {
            let message = "there is no service of this name; see docs/callers.md";
            Refusal::new(RefusalCause::NotFound, message)
        })?;
    let uri = service_uri(&head.uri, service)?;
    let is_order = !deployment.is_repeatable(head.method.as_str(), uri.path());
    let idempotency_key = idempotency_key(&head.headers)?;
    let body = read_body(shared, body).await?;
    let submission = Submission {
        digest: request_digest(&team, &name, &head, &uri, &body),
        work: work_kind(
            &team,
            deployment,
            is_order,
            &idempotency_key,
            is_first_send(&head.headers),
        ),
        class,
        team,
    };
    let call = ServiceCall {
        headers: forwarded_headers(&head.headers, &idempotency_key),
        first_byte_timeout: deployment.first_byte_timeout(),
        method: head.method,
        uri,
        body,
        is_order,
    };
    let service_response = run_detached(shared, submission, call).await?;
    Ok(into_caller_response(service_response, &idempotency_key))
}

/// Returns the path and query within the service.
fn service_uri(uri: &Uri, service: &str) -> Result<Uri, RefusalResponse> {
    let path_and_query = uri.path_and_query().map_or("", |path| path.as_str());
    let prefix = format!("/v1/services/{service}");
    let relative_path = path_and_query.strip_prefix(&prefix).unwrap_or_default();
    let path = if relative_path.starts_with('/') {
        relative_path.to_owned()
    } else {
        format!("/{relative_path}")
    };
    path.parse().map_err(|_| {
        RefusalResponse::new(RefusalCause::BadRequest, "the path is not valid; encode it")
    })
}

fn request_digest(
    team: &TeamName,
    service: &DeploymentName,
    head: &Parts,
    uri: &Uri,
    body: &[u8],
) -> RequestDigest {
    RequestDigest::of(&[
        team.as_str().as_bytes(),
        service.as_str().as_bytes(),
        head.method.as_str().as_bytes(),
        uri.to_string().as_bytes(),
        body,
    ])
}

/// Whether the order cannot have run before: the caller declares its first send, or the daemon
/// generated the key.
fn is_first_send(headers: &HeaderMap) -> bool {
    !headers.contains_key("idempotency-key")
        || headers
            .get("x-first-send")
            .is_some_and(|value| value == "true")
}

fn work_kind(
    team: &TeamName,
    deployment: &DeploymentSettings,
    is_order: bool,
    idempotency_key: &str,
    is_first_send: bool,
) -> WorkKind {
    let service = deployment.name.clone();
    if !is_order {
        return WorkKind::IdempotentCall { service };
    }
    let key = RequestDigest::of(&[service.as_str().as_bytes(), idempotency_key.as_bytes()]);
    WorkKind::Order {
        service,
        key: OrderKey {
            team: team.clone(),
            key,
        },
        is_first_send,
    }
}

/// Selects the headers for the target. The caller's token is not forwarded.
fn forwarded_headers(headers: &HeaderMap, idempotency_key: &str) -> HeaderMap {
    let mut forwarded = HeaderMap::new();
    for name in [CONTENT_TYPE, ACCEPT] {
        if let Some(value) = headers.get(&name) {
            forwarded.insert(name, value.clone());
        }
    }
    if let Ok(value) = HeaderValue::from_str(idempotency_key) {
        forwarded.insert("idempotency-key", value);
    }
    forwarded
}

/// Runs the call in a separate task, so that an order that was sent runs to its end and is recorded
/// even if its caller disconnects.
async fn run_detached(
    shared: &Arc<SharedState>,
    submission: Submission,
    call: ServiceCall,
) -> Result<ServiceResponse, Refusal> {
    let (mut result_sender, result_receiver) = oneshot::channel();
    let mut request = shared.requests.open();
    shared.events.send(Event::Submitted {
        ticket: request.ticket,
        submission,
    });
    let task_shared = Arc::clone(shared);
    tokio::spawn(async move {
        let result =
            service_call::serve_call(&task_shared, &mut request, &call, result_sender.closed())
                .await;
        // The receiver is dropped if the caller has disconnected.
        let _ = result_sender.send(result);
    });
    result_receiver.await.unwrap_or_else(|_| {
        let message = "the call ended without a result; ask the service about it";
        Err(Refusal::new(RefusalCause::TargetFailed, message).with_outcome(RunOutcome::Unknown))
    })
}

fn into_caller_response(
    service_response: ServiceResponse,
    idempotency_key: &str,
) -> CallerResponse {
    let outcome = if service_response.status.is_server_error() {
        RunOutcome::Unknown
    } else {
        RunOutcome::Ran
    };
    let has_body = service_response.body.is_some();
    let body = service_response.body.unwrap_or_default();
    let mut response =
        opaque_response(service_response.status, service_response.content_type, body);
    let headers = response.headers_mut();
    set_outcome(headers, outcome);
    if !has_body {
        headers.insert("x-body-omitted", HeaderValue::from_static("true"));
    }
    if let Ok(value) = HeaderValue::from_str(idempotency_key) {
        headers.insert("idempotency-key", value);
    }
    response
}
