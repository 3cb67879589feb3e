//! The host list: live and leaving hosts, with a lag.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::{Method, StatusCode};
use pico_args::Arguments;
use serde::Deserialize;
use serde_json::Value;

use crate::http::{self, Answer, RunResult, WholeRequest};

#[derive(Default)]
struct HostList {
    lag: Duration,
    /// Each list and the time from which on it is shown.
    versions: VecDeque<(Instant, Value)>,
}

impl HostList {
    fn replace(&mut self, now: Instant, list: Value) {
        self.versions.push_back((now + self.lag, list));
    }

    fn visible(&mut self, now: Instant) -> Value {
        while self.versions.get(1).is_some_and(|(from, _)| *from <= now) {
            self.versions.pop_front();
        }
        self.versions
            .front()
            .filter(|(from, _)| *from <= now)
            .map_or_else(|| Value::Array(Vec::new()), |(_, list)| list.clone())
    }
}

#[derive(Deserialize)]
struct LagRequest {
    ms: u64,
}

/// Runs the host list.
///
/// # Errors
/// If an option is wrong or the address cannot be bound.
pub fn run(mut arguments: Arguments) -> RunResult {
    let listen = http::listen_option(&mut arguments)?;
    http::finish_options(arguments)?;
    let list = Arc::new(Mutex::new(HostList::default()));
    http::run_until_terminated(async move {
        let listener = http::bind(listen).await?;
        http::serve(listener, move |request| {
            let answer = answer(&list, &request);
            async move { answer }
        })
        .await
    })
}

fn answer(list: &Mutex<HostList>, request: &WholeRequest) -> Answer {
    let mut list = list.lock().unwrap_or_else(PoisonError::into_inner);
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/") => http::json(StatusCode::OK, &list.visible(Instant::now())),
        (&Method::PUT, "/control/hosts") => http::with_json(request.body(), |hosts: Vec<Value>| {
            list.replace(Instant::now(), Value::Array(hosts));
            http::done()
        }),
        (&Method::POST, "/control/lag") => http::with_json(request.body(), |lag: LagRequest| {
            list.lag = Duration::from_millis(lag.ms);
            http::done()
        }),
        _ => http::not_found(),
    }
}
