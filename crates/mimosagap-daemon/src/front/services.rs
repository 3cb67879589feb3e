//! Calls to plain services.

use std::sync::Arc;

use hyper::body::Incoming;
use hyper::header::{ACCEPT, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Request, Uri};
use mimosagap_core::{Event, Submission, WorkKind};
use mimosagap_settings::{DeploymentKind, DeploymentSettings};
use mimosagap_types::prelude::*;
use tokio::sync::oneshot;

use super::answer::{Answer, Denial, set_outcome};
use super::generations::opaque_answer;
use super::{auth, read_body};
use crate::relay::call::{self, ServiceAnswer, ServiceCall, idempotency_key};
use crate::shared::SharedState;

/// Answers `ANY /v1/services/{service}/{path}`.
///
/// # Errors
/// The refusal.
pub async fn call(
    shared: &Arc<SharedState>,
    service: &str,
    request: Request<Incoming>,
) -> Result<Answer, Denial> {
    let (head, body) = request.into_parts();
    let team =
        auth::team(shared, &head.headers).map_err(|refusal| Denial::from(refusal).with_close())?;
    let class = auth::class(&head.headers, None)?;
    let name = DeploymentName::new(service);
    let deployment = shared
        .settings
        .deployment(&name)
        .filter(|deployment| deployment.kind == DeploymentKind::Service)
        .ok_or_else(|| {
            let message = "there is no service of this name; see docs/callers.md";
            Refusal::new(RefusalCause::NotFound, message)
        })?;
    let uri = inner_uri(&head.uri, service)?;
    let is_order = !deployment.is_repeatable(head.method.as_str(), uri.path());
    let key = idempotency_key(&head.headers)?;
    let body = read_body(shared, body).await?;
    let submission = Submission {
        digest: digest(&team, &name, &head, &uri, &body),
        work: work(
            &team,
            deployment,
            is_order,
            &key,
            is_first_send(&head.headers),
        ),
        class,
        team,
    };
    let call = ServiceCall {
        headers: passed_headers(&head.headers, &key),
        first_byte_timeout: deployment.first_byte_timeout(),
        method: head.method,
        uri,
        body,
        is_order,
    };
    let served = serve(shared, submission, call).await?;
    Ok(into_answer(served, &key))
}

/// The path and query within the service.
fn inner_uri(uri: &Uri, service: &str) -> Result<Uri, Denial> {
    let whole = uri.path_and_query().map_or("", |path| path.as_str());
    let prefix = format!("/v1/services/{service}");
    let rest = whole.strip_prefix(&prefix).unwrap_or_default();
    let path = if rest.starts_with('/') {
        rest.to_owned()
    } else {
        format!("/{rest}")
    };
    path.parse()
        .map_err(|_| Denial::new(RefusalCause::BadRequest, "the path is not valid; encode it"))
}

fn digest(
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

/// Whether no earlier send of the order may have run: the caller says so, or the key is new because
/// the daemon made it.
fn is_first_send(headers: &HeaderMap) -> bool {
    !headers.contains_key("idempotency-key")
        || headers
            .get("x-first-send")
            .is_some_and(|value| value == "true")
}

fn work(
    team: &TeamName,
    deployment: &DeploymentSettings,
    is_order: bool,
    key: &str,
    is_first_send: bool,
) -> WorkKind {
    let service = deployment.name.clone();
    if !is_order {
        return WorkKind::IdempotentCall { service };
    }
    let key = RequestDigest::of(&[service.as_str().as_bytes(), key.as_bytes()]);
    WorkKind::Order {
        service,
        key: OrderKey {
            team: team.clone(),
            key,
        },
        is_first_send,
    }
}

/// The caller's token stays here; targets get only what they need.
fn passed_headers(headers: &HeaderMap, key: &str) -> HeaderMap {
    let mut passed = HeaderMap::new();
    for name in [CONTENT_TYPE, ACCEPT] {
        if let Some(value) = headers.get(&name) {
            passed.insert(name, value.clone());
        }
    }
    if let Ok(key) = HeaderValue::from_str(key) {
        passed.insert("idempotency-key", key);
    }
    passed
}

/// Runs the call in a task of its own, so that an order which was sent is followed to its end and
/// recorded even if its caller leaves.
async fn serve(
    shared: &Arc<SharedState>,
    submission: Submission,
    call: ServiceCall,
) -> Result<ServiceAnswer, Refusal> {
    let (mut reply, answer) = oneshot::channel();
    let mut request = shared.requests.open();
    shared.events.send(Event::Submitted {
        ticket: request.ticket,
        submission,
    });
    let task = Arc::clone(shared);
    tokio::spawn(async move {
        let served = call::serve(&task, &mut request, &call, reply.closed()).await;
        // A caller that has left does not take the answer.
        let _ = reply.send(served);
    });
    answer.await.unwrap_or_else(|_| {
        let message = "the call ended without a result; ask the service about it";
        Err(Refusal::new(RefusalCause::TargetFailed, message).with_outcome(RunOutcome::Unknown))
    })
}

fn into_answer(served: ServiceAnswer, key: &str) -> Answer {
    let outcome = if served.status.is_server_error() {
        RunOutcome::Unknown
    } else {
        RunOutcome::Ran
    };
    let is_kept = served.body.is_some();
    let body = served.body.unwrap_or_default();
    let mut answer = opaque_answer(served.status, served.content_type, body);
    let headers = answer.headers_mut();
    set_outcome(headers, outcome);
    if !is_kept {
        headers.insert("x-body-omitted", HeaderValue::from_static("true"));
    }
    if let Ok(key) = HeaderValue::from_str(key) {
        headers.insert("idempotency-key", key);
    }
    answer
}
