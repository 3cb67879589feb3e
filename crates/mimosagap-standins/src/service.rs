//! A plain service with a ledger of executions.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::header::HeaderValue;
use hyper::{Method, StatusCode};
use pico_args::Arguments;
use serde::{Deserialize, Serialize};
use serde_json::json;

use crate::http::{self, Answer, RunResult, WholeRequest};

#[derive(Clone, Copy)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
struct Behaviour {
    /// The time between the execution and its answer.
    delay_ms: u64,
    status: u16,
    /// Executes the call and closes the connection instead of answering.
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
struct Ledger {
    behaviour: Behaviour,
    executions: BTreeMap<String, u64>,
    total: u64,
    running: u64,
    leaving: Option<Leaving>,
}

struct Leaving {
    since: Instant,
    refused: u64,
    last_refused: Option<Duration>,
}

/// What `GET /control/stats` returns.
#[derive(Serialize)]
struct ServiceStats {
    executions: u64,
    running: u64,
    leaving: bool,
    /// Calls that arrived after the leave notice.
    refused_leaving: u64,
    /// How long after the notice the last of them arrived.
    last_refused_after_ms: Option<u128>,
}

/// Runs the service.
///
/// # Errors
/// If an option is wrong or the address cannot be bound.
pub fn run(mut arguments: Arguments) -> RunResult {
    let listen = http::listen_option(&mut arguments)?;
    http::finish_options(arguments)?;
    let ledger = Arc::new(Mutex::new(Ledger::default()));
    http::run_until_terminated(async move {
        let listener = http::bind(listen).await?;
        http::serve(listener, move |request| {
            let ledger = Arc::clone(&ledger);
            async move {
                if request.uri().path().starts_with("/control/") {
                    control(&ledger, &request)
                } else {
                    call(ledger, request).await
                }
            }
        })
        .await
    })
}

fn lock(ledger: &Mutex<Ledger>) -> std::sync::MutexGuard<'_, Ledger> {
    ledger.lock().unwrap_or_else(PoisonError::into_inner)
}

fn control(ledger: &Mutex<Ledger>, request: &WholeRequest) -> Answer {
    let mut ledger = lock(ledger);
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/control/ledger") => http::json(StatusCode::OK, &ledger.executions),
        (&Method::GET, "/control/stats") => http::json(StatusCode::OK, &ledger.stats()),
        (&Method::POST, "/control/behaviour") => http::with_json(request.body(), |behaviour| {
            ledger.behaviour = behaviour;
            http::done()
        }),
        (&Method::POST, "/control/leave") => {
            ledger.leaving.get_or_insert(Leaving {
                since: Instant::now(),
                refused: 0,
                last_refused: None,
            });
            http::done()
        }
        _ => http::not_found(),
    }
}

impl Ledger {
    fn stats(&self) -> ServiceStats {
        let leaving = self.leaving.as_ref();
        ServiceStats {
            executions: self.total,
            running: self.running,
            leaving: leaving.is_some(),
            refused_leaving: leaving.map_or(0, |leaving| leaving.refused),
            last_refused_after_ms: leaving
                .and_then(|leaving| leaving.last_refused)
                .map(|time| time.as_millis()),
        }
    }

    /// Enters a call; `None` if the service is leaving.
    fn enter(&mut self, key: &str) -> Option<(u64, Behaviour)> {
        if let Some(leaving) = &mut self.leaving {
            leaving.refused += 1;
            leaving.last_refused = Some(leaving.since.elapsed());
            return None;
        }
        self.total += 1;
        self.running += 1;
        let executions = self.executions.entry(key.to_owned()).or_default();
        *executions += 1;
        Some((*executions, self.behaviour))
    }
}

async fn call(ledger: Arc<Mutex<Ledger>>, request: WholeRequest) -> Answer {
    let key = request
        .headers()
        .get("idempotency-key")
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned();
    let entered = lock(&ledger).enter(&key);
    let Some((executions, behaviour)) = entered else {
        let body = json!({"error": "the service is leaving; call another target"});
        let mut response = http::json(StatusCode::SERVICE_UNAVAILABLE, &body)?;
        let outcome = HeaderValue::from_static("not_run");
        response.headers_mut().insert("x-outcome", outcome);
        return Ok(response);
    };
    // The work goes on when the caller's connection breaks, as it does in most services.
    let work = tokio::spawn(async move {
        tokio::time::sleep(Duration::from_millis(behaviour.delay_ms)).await;
        lock(&ledger).running -= 1;
    });
    work.await.map_err(std::io::Error::other)?;
    if behaviour.close {
        return Err(http::close_without_answer());
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
