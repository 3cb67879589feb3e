//! Calls of plain services: the whole answer is read before the caller gets any of it.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use mimosagap_routing::placement::place_call;
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::targets::{TargetKey, TargetOutcome};

use crate::body_reader::{AnswerPace, read_whole};
use crate::crash_probe;
use crate::exchange::{ExchangeError, SendOptions, attempt_failed, exchange, keep, pause};
use crate::load_reservation::{LoadClaim, count_outcome};
use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::response::{ResponseBody, refuse, target_head, whole};
use crate::state::{SharedGateway, millis};

/// A repeatable call is sent a second time when the first has no answer after this part of its
/// latency target; the slowest calls of a sound target take less.
const SECOND_SEND: f64 = 0.75;

/// Sends of one request, those included that a target turned away.
const MAX_SENDS: u32 = 4;

/// A whole answer of a target.
pub struct WholeAnswer {
    /// Status and headers.
    pub head: Parts,
    /// The body.
    pub body: Bytes,
}

struct Attempt {
    target: TargetKey,
    result: Result<WholeAnswer, ExchangeError>,
}

struct Running<'a> {
    target: TargetKey,
    attempt: Pin<Box<dyn Future<Output = Attempt> + 'a>>,
}

/// What is known of a call so far.
struct CallState {
    tried: Vec<TargetKey>,
    sends: u32,
    /// Sends that may have run.
    runs: u32,
    turned_away: bool,
    broke: bool,
    error_answer: Option<(TargetKey, WholeAnswer)>,
}

/// Carries a call to its answer.
pub async fn carry(gateway: &SharedGateway, request: &RoutedRequest) -> Response<ResponseBody> {
    let mut state = CallState {
        tried: Vec::new(),
        sends: 0,
        runs: 0,
        turned_away: false,
        broke: false,
        error_answer: None,
    };
    let mut running: Vec<Running<'_>> = Vec::new();
    start(gateway, request, &mut state, &mut running);
    let deadline = pause(request.time_to_answer(gateway.now()));
    tokio::pin!(deadline);
    let is_repeatable = request.route.kind.is_idempotent();
    loop {
        if running.is_empty() {
            return conclude(gateway, request, state);
        }
        let silence = request.route.latency_objective.mul_f64(SECOND_SEND);
        let may_hedge = is_repeatable && running.len() == 1 && state.sends == 1;
        tokio::select! {
            attempt = next_done(&mut running) => {
                let target = attempt.target;
                let again = match attempt.result {
                    Ok(answer) if is_repeatable && answer.head.status.is_server_error() => {
                        state.error_answer = Some((target, answer));
                        true
                    }
                    Ok(answer) => {
                        count_silent(gateway, &running, TargetOutcome::ReturnedError);
                        return deliver(gateway, request, target, answer);
                    }
                    Err(ExchangeError::Unreachable) => {
                        state.runs -= 1;
                        true
                    }
                    Err(ExchangeError::NotRun | ExchangeError::HeldBack) => {
                        state.runs -= 1;
                        state.turned_away = true;
                        true
                    }
                    Err(ExchangeError::Broken | ExchangeError::Endless) => {
                        state.broke = true;
                        is_repeatable
                    }
                };
                if again && running.is_empty() {
                    start(gateway, request, &mut state, &mut running);
                }
            }
            () = pause(silence), if may_hedge => {
                start(gateway, request, &mut state, &mut running);
                // Not tried again if there is no second target.
                state.sends = state.sends.max(2);
            }
            () = &mut deadline => {
                count_silent(gateway, &running, TargetOutcome::Failed);
                let reason = if state.runs > 0 || state.broke {
                    RefusalReason::DeadlineAfterSend
                } else {
                    RefusalReason::DeadlineBeforeSend
                };
                return refuse(gateway, request.into(), reason);
            }
        }
    }
}

/// Starts one more attempt if route, budget and targets allow it.
fn start<'a>(
    gateway: &'a SharedGateway,
    request: &'a RoutedRequest,
    state: &mut CallState,
    running: &mut Vec<Running<'a>>,
) {
    let now = gateway.now();
    if state.sends >= MAX_SENDS || state.runs >= request.route.max_attempts {
        return;
    }
    let place = gateway.with_state(|gateway_state| {
        place_call(&gateway_state.targets, &request.service, &state.tried, now)
    });
    let Some(target) = place else {
        return;
    };
    if state.sends == 0 {
        gateway.count_request(&request.service);
    } else if !gateway.try_spend_retry(&request.service) {
        return;
    }
    state.tried.push(target);
    state.sends += 1;
    state.runs += 1;
    let attempt = state.sends;
    running.push(Running {
        target,
        attempt: Box::pin(async move {
            let result = read_answer(gateway, request, target, attempt).await;
            Attempt { target, result }
        }),
    });
}

/// Counts the targets that have not answered when their request ends without them.
///
/// Load pattern: a target takes requests and answers some of them never. Counted by its answers
/// alone it looked sound, and got its share of orders, which may not be sent again.
fn count_silent(gateway: &SharedGateway, running: &[Running<'_>], outcome: TargetOutcome) {
    for silent in running {
        count_outcome(gateway, silent.target, outcome);
    }
}

async fn next_done(running: &mut Vec<Running<'_>>) -> Attempt {
    poll_fn(|context| {
        for index in 0..running.len() {
            if let Poll::Ready(attempt) = running[index].attempt.as_mut().poll(context) {
                drop(running.remove(index));
                return Poll::Ready(attempt);
            }
        }
        Poll::Pending
    })
    .await
}

async fn read_answer(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    target: TargetKey,
    attempt: u32,
) -> Result<WholeAnswer, ExchangeError> {
    let begun = gateway.now();
    let claim = LoadClaim::call(gateway, target);
    let options = SendOptions {
        attempt,
        ..SendOptions::default()
    };
    let exchange = exchange(gateway, request, target, options).await?;
    let body = match read_whole(gateway, exchange.body, AnswerPace::Any).await {
        Ok(body) => body,
        Err(cause) => {
            let error = cause.into();
            attempt_failed(gateway, request, target, attempt, error, begun);
            if error == ExchangeError::Broken {
                crash_probe::connection_broke(gateway, target, request.mark);
            }
            return Err(error);
        }
    };
    let outcome = if exchange.head.status.is_server_error() {
        TargetOutcome::ReturnedError
    } else {
        TargetOutcome::Succeeded
    };
    claim.outcome(outcome);
    keep(gateway, target, &exchange.head, exchange.connection);
    Ok(WholeAnswer {
        head: exchange.head,
        body,
    })
}

fn conclude(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    state: CallState,
) -> Response<ResponseBody> {
    if let Some((target, answer)) = state.error_answer {
        return deliver(gateway, request, target, answer);
    }
    let reason = if state.broke {
        RefusalReason::TargetAborted
    } else if state.turned_away {
        RefusalReason::TargetsRejected
    } else {
        RefusalReason::NoTarget
    };
    refuse(gateway, request.into(), reason)
}

/// Gives the caller a target's whole answer.
pub fn deliver(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    target: TargetKey,
    answer: WholeAnswer,
) -> Response<ResponseBody> {
    let status = answer.head.status;
    let took = count_answer(gateway, request, status.as_str());
    gateway.log.event(&LogEvent::Answered {
        id: &request.head.attempt_id,
        target: &gateway.instance(target),
        status: status.as_u16(),
        after_ms: millis(took),
    });
    target_head(status, &answer.head.headers).map(|()| whole(answer.body))
}

/// Counts an answer, or the first event of one. Returns the time since the request arrived.
pub fn count_answer(gateway: &SharedGateway, request: &RoutedRequest, status: &str) -> Duration {
    let took = gateway.now().saturating_sub(request.arrived);
    let team = request.team.as_ref().map_or("", |team| team.name.as_str());
    let route = request.route.name.as_str();
    gateway.metrics.observe_answer(route, team, status, took);
    took
}
