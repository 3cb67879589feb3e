//! Stand-in for a host list: serves the list that a test sets, with an adjustable delay.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use pico_args::Arguments;
use serde::Deserialize;
use serde_json::Value;

use crate::http::{self, BufferedRequest, HandlerResult, RunResult};

#[derive(Default)]
struct HostList {
    lag: Duration,
    /// The lists in the order in which they were set, each with the time from which it is served.
    versions: VecDeque<(Instant, Value)>,
}

impl HostList {
    fn replace(&mut self, now: Instant, host_list: Value) {
        self.versions.push_back((now + self.lag, host_list));
    }

    fn visible_list(&mut self, now: Instant) -> Value {
        while self
            .versions
            .get(1)
            .is_some_and(|(visible_from, _)| *visible_from <= now)
        {
            self.versions.pop_front();
        }
        self.versions
            .front()
            .filter(|(visible_from, _)| *visible_from <= now)
            .map_or_else(
                || Value::Array(Vec::new()),
                |(_, host_list)| host_list.clone(),
            )
    }
}

#[derive(Deserialize)]
struct LagRequest {
    ms: u64,
}

/// Runs the host list until SIGTERM.
///
/// # Errors
/// If an option is wrong or the address cannot be bound.
pub fn run(mut arguments: Arguments) -> RunResult {
    let listen = http::listen_option(&mut arguments)?;
    http::reject_unknown_options(arguments)?;
    let host_list = Arc::new(Mutex::new(HostList::default()));
    http::run_until_sigterm(async move {
        let listener = http::bind(listen).await?;
        http::serve(listener, move |request| {
            let response = handle_request(&host_list, &request);
            async move { response }
        })
        .await
    })
}

fn handle_request(host_list: &Mutex<HostList>, request: &BufferedRequest) -> HandlerResult {
    let mut host_list = host_list.lock().unwrap_or_else(PoisonError::into_inner);
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/") => http::json(StatusCode::OK, &host_list.visible_list(Instant::now())),
        (&Method::PUT, "/control/hosts") => {
            http::handle_json(request.body(), |hosts: Vec<Value>| {
                host_list.replace(Instant::now(), Value::Array(hosts));
                http::empty_object()
            })
        }
        (&Method::POST, "/control/lag") => http::handle_json(request.body(), |lag: LagRequest| {
            host_list.lag = Duration::from_millis(lag.ms);
            http::empty_object()
        }),
        _ => http::not_found(),
    }
}
