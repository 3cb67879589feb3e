//! Stand-in for a plain service, which counts executions by idempotency key.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use pico_args::Arguments;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{self, BufferedRequest, HandlerResult, RunResult};

#[derive(Clone, Copy)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Behaviour {
    /// Time between the execution and its response.
    delay_ms: u64,
    /// Status of the responses.
    status: u16,
    /// Whether to close the connection after the execution instead of responding.
    close: bool,
}

impl Default for Behaviour {
    fn default() -> Self {
        Self {
            delay_ms: 0,
            status: 200,
            close: false,
        }
    }
}

#[derive(Default)]
struct ServiceState {
    behaviour: Behaviour,
    /// Number of executions by idempotency key.
    executions: BTreeMap<String, u64>,
    total: u64,
    running: u64,
    leaving: Option<LeaveState>,
}

struct LeaveState {
    notified_at: Instant,
    refused_calls: u64,
    last_refused_after: Option<Duration>,
}

/// Body of the response to `GET /control/stats`.
#[derive(Serialize)]
struct ServiceStats {
    executions: u64,
    running: u64,
    leaving: bool,
    /// Calls that were refused after `POST /control/leave`.
    refused_leaving: u64,
    /// Time from the leave notice to the last of these calls.
    last_refused_after_ms: Option<u128>,
}

/// Runs the service until SIGTERM.
///
/// # Errors
/// If an option is wrong or the address cannot be bound.
pub fn run(mut arguments: Arguments) -> RunResult {
    let listen = http::listen_option(&mut arguments)?;
    http::reject_unknown_options(arguments)?;
    let state = Arc::new(Mutex::new(ServiceState::default()));
    http::run_until_sigterm(async move {
        let listener = http::bind(listen).await?;
        http::serve(listener, move |request| {
            let state = Arc::clone(&state);
            async move {
                if request.uri().path().starts_with("/control/") {
                    handle_control(&state, &request)
                } else {
                    handle_call(state, request).await
                }
            }
        })
        .await
    })
}

fn lock(state: &Mutex<ServiceState>) -> std::sync::MutexGuard<'_, ServiceState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

fn handle_control(state: &Mutex<ServiceState>, request: &BufferedRequest) -> HandlerResult {
    let mut state = lock(state);
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/control/ledger") => http::json(StatusCode::OK, &state.executions),
        (&Method::GET, "/control/stats") => http::json(StatusCode::OK, &state.stats()),
        (&Method::POST, "/control/behaviour") => http::handle_json(request.body(), |behaviour| {
            state.behaviour = behaviour;
            http::empty_object()
        }),
        (&Method::POST, "/control/leave") => {
            state.leaving.get_or_insert(LeaveState {
                notified_at: Instant::now(),
                refused_calls: 0,
                last_refused_after: None,
            });
            http::empty_object()
        }
        _ => http::not_found(),
    }
}

impl ServiceState {
    fn stats(&self) -> ServiceStats {
        let leaving = self.leaving.as_ref();
        ServiceStats {
            executions: self.total,
            running: self.running,
            leaving: leaving.is_some(),
            refused_leaving: leaving.map_or(0, |leaving| leaving.refused_calls),
            last_refused_after_ms: leaving
                .and_then(|leaving| leaving.last_refused_after)
                .map(|time| time.as_millis()),
        }
    }

    /// Counts a call as executed and running. Returns the executions under its key and the
    /// behaviour to apply, or `None` if the service is leaving.
    fn begin_call(&mut self, key: &str) -> Option<(u64, Behaviour)> {
        if let Some(leaving) = &mut self.leaving {
            leaving.refused_calls += 1;
            leaving.last_refused_after = Some(leaving.notified_at.elapsed());
            return None;
        }
        self.total += 1;
        self.running += 1;
        let executions = self.executions.entry(key.to_owned()).or_default();
        *executions += 1;
        Some((*executions, self.behaviour))
    }
}

async fn handle_call(state: Arc<Mutex<ServiceState>>, request: BufferedRequest) -> HandlerResult {
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let started_call = lock(&state).begin_call(&key);
    let Some((executions, behaviour)) = started_call else {
        let body = json!({"error": "the service is leaving; call another target"});
        let mut response = http::json(StatusCode::SERVICE_UNAVAILABLE, &body)?;
        let outcome = HeaderValue::from_static("not_run");
        response.headers_mut().insert("x-outcome", outcome);
        return Ok(response);
    };
    // A task of its own, because most services finish a call even if its connection breaks.
    let execution = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(behaviour.delay_ms)).await;
        lock(&state).running -= 1;
    });
    execution.await.map_err(std::io::Error::other)?;
    if behaviour.close {
        return Err(http::close_without_response());
    }
    let status = StatusCode::from_u16(behaviour.status).unwrap_or(StatusCode::OK);
    http::json(
        status,
        &json!({
            "method": request.method().as_str(),
            "path": request.uri().path_and_query().map_or("", |path| path.as_str()),
            "key": key,
            "executions": executions,
            "body": String::from_utf8_lossy(request.body()),
        }),
    )
}
