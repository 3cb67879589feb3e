//! Calls of plain services.
//!
//! The whole response of a target is read before the caller gets any of it, so that a failed
//! attempt can be followed by another one at a different target.

use std::future::{Future, poll_fn};
use std::pin::Pin;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::response::Parts;
use mimosagap_routing::hedging::{HedgeDenial, HedgePlan};
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::residency::PermittedTarget;
use mimosagap_routing::retry_budget::RetryPurpose;
use mimosagap_routing::retry_value::RetryCause;
use mimosagap_routing::targets::{TargetKey, TargetOutcome};

use crate::body_reader::{ResponsePace, read_to_end};
use crate::crash_probe::{self, AnswerProgress};
use crate::exchange::{
    ExchangeError, SendOptions, record_failed_attempt, release_connection, send_request,
    sleep_unless_zero,
};
use crate::hedging::{self, HedgeRecord};
use crate::load_reservation::{LoadReservation, record_outcome};
use crate::log::LogEvent;
use crate::reach;
use crate::relay::relay_request;
use crate::request::RoutedRequest;
use crate::residency;
use crate::response::{ResponseBody, forwarded_head, full_body, refusal_response};
use crate::state::{SharedGateway, millis};
use crate::suspicion;

/// While the operators set no limit on hedges, an idempotent call is hedged, that is sent to a second
/// target, when it has no response after this fraction of the route's latency objective. The slowest
/// calls of a healthy target take less.
const HEDGE_DELAY_FRACTION: f64 = 0.75;

/// A call waits at most this fraction of the route's latency objective for the rate limit of a
/// target; the rest is for the response.
const PERMIT_WAIT_FRACTION: f64 = 0.5;

/// A call waits at most this long for the rate limit of a target if another target has none: about
/// the time that a target in another region takes longer.
const MAX_WAIT_WITH_ALTERNATIVE: Duration = Duration::from_millis(50);

/// Limit on the sends of one request, including those that a target rejected.
const MAX_SENDS: u32 = 4;

/// Complete response of a target.
pub struct BufferedResponse {
    /// Status and headers.
    pub head: Parts,
    /// Whole body, read before the response is used.
    pub body: Bytes,
}

struct AttemptResult {
    target: TargetKey,
    /// Number of the send, starting at 1.
    attempt: u32,
    result: Result<BufferedResponse, ExchangeError>,
}

struct RunningAttempt<'a> {
    target: TargetKey,
    /// Number of the send, starting at 1.
    attempt: u32,
    started_at: Duration,
    future: Pin<Box<dyn Future<Output = AttemptResult> + 'a>>,
}

/// When a call is hedged.
enum HedgeTimer<'a> {
    /// After [`HEDGE_DELAY_FRACTION`] of the objective, without a limit of the operators.
    Fixed,
    /// As planned, if the limit and the state of the service allow it then.
    Planned(HedgePlan),
    /// The call was hedged already.
    Sent(HedgeRecord<'a>),
    /// No hedge is allowed any more.
    Over,
}

impl<'a> HedgeTimer<'a> {
    fn new(gateway: &SharedGateway, request: &RoutedRequest) -> Self {
        if !hedging::is_enabled(gateway, request) {
            return Self::Fixed;
        }
        hedging::plan(gateway, request).map_or(Self::Over, Self::Planned)
    }

    /// Time until the hedge of a call that was first sent at `sent_at`.
    fn time_left(&self, request: &RoutedRequest, sent_at: Duration, now: Duration) -> Duration {
        match self {
            Self::Planned(plan) => (sent_at + plan.delay).saturating_sub(now),
            _ => request
                .route
                .latency_objective
                .mul_f64(HEDGE_DELAY_FRACTION),
        }
    }

    fn is_over(&self) -> bool {
        matches!(self, Self::Sent(_) | Self::Over)
    }

    /// The record of the hedge, to settle it.
    fn take_record(&mut self) -> Option<HedgeRecord<'a>> {
        match std::mem::replace(self, Self::Over) {
            Self::Sent(record) => Some(record),
            _ => None,
        }
    }

    /// Settles the hedge if its target left it unsent.
    fn refund_unsent(&mut self, target: TargetKey) {
        if matches!(self, Self::Sent(record) if record.target == target)
            && let Some(record) = self.take_record()
        {
            record.refund(HedgeDenial::RateLimited);
        }
    }
}

/// Progress of a call over its attempts.
#[derive(Default)]
struct CallProgress {
    tried: Vec<TargetKey>,
    sends: u32,
    /// Sends that a target may have executed.
    executions: u32,
    was_rejected: bool,
    was_aborted: bool,
    /// Attempts that were not sent because of the rate limit of their target.
    rate_limited_attempts: u32,
    /// Attempts that were not sent after their target was chosen, those included.
    unsent_attempts: u32,
    error_response: Option<(TargetKey, BufferedResponse)>,
    /// What led to the last retry; `None` for a first attempt and a hedge.
    retry_cause: Option<RetryCause>,
}

impl CallProgress {
    /// Takes back what was counted for an attempt that was not sent.
    fn undo_send(&mut self, gateway: &SharedGateway, request: &RoutedRequest, attempt: u32) {
        self.unsent_attempts += 1;
        self.executions -= 1;
        self.sends -= 1;
        if attempt > 1 {
            gateway.refund_retry(&request.service);
        }
    }

    /// Records an attempt without a response. Returns whether another attempt may follow.
    fn record_error(
        &mut self,
        gateway: &SharedGateway,
        request: &RoutedRequest,
        attempt: u32,
        error: ExchangeError,
    ) -> bool {
        match error {
            ExchangeError::Unreachable => {
                self.executions -= 1;
                true
            }
            ExchangeError::OutsideRegions | ExchangeError::Evacuated => {
                self.undo_send(gateway, request, attempt);
                true
            }
            ExchangeError::Rejected | ExchangeError::InBackoff => {
                self.executions -= 1;
                self.was_rejected = true;
                hedging::record_rejection(gateway, request);
                true
            }
            ExchangeError::RateLimited => {
                self.rate_limited_attempts += 1;
                self.undo_send(gateway, request, attempt);
                true
            }
            ExchangeError::Aborted | ExchangeError::LimitExceeded => {
                self.was_aborted = true;
                request.route.kind.is_idempotent()
            }
        }
    }
}

/// Sends a call to targets until one responds, and returns the response for the caller.
pub async fn handle_call(
    gateway: &SharedGateway,
    request: &RoutedRequest,
) -> Response<ResponseBody> {
    if gateway.may_exit_before(request) {
        let reason = RefusalReason::ShuttingDown;
        return refusal_response(gateway, request.into(), reason);
    }
    if reach::is_isolated(gateway, &request.service) {
        return relay_or_refuse(gateway, request).await;
    }
    let mut progress = CallProgress::default();
    let mut running: Vec<RunningAttempt<'_>> = Vec::new();
    start_attempt(gateway, request, &mut progress, &mut running);
    let deadline = sleep_unless_zero(request.response_time_left(gateway.now()));
    tokio::pin!(deadline);
    let is_idempotent = request.route.kind.is_idempotent();
    let mut hedge = HedgeTimer::new(gateway, request);
    loop {
        let Some(oldest) = running.first() else {
            settle_hedge(&mut hedge, &progress);
            return final_response(gateway, request, progress).await;
        };
        let hedge_delay = hedge.time_left(request, oldest.started_at, gateway.now());
        let may_hedge =
            is_idempotent && running.len() == 1 && progress.sends == 1 && !hedge.is_over();
        tokio::select! {
            attempt = next_finished(&mut running) => {
                let target = attempt.target;
                record_retry(gateway, request, &mut progress, &attempt);
                let should_retry = match attempt.result {
                    Ok(response) if is_idempotent && response.head.status.is_server_error() => {
                        progress.error_response = Some((target, response));
                        progress.retry_cause = Some(RetryCause::ErrorResponse);
                        true
                    }
                    Ok(response) => {
                        record_unresponsive(
                            gateway,
                            request,
                            &running,
                            TargetOutcome::ReturnedError,
                        );
                        if let Some(record) = hedge.take_record() {
                            record.finish(target);
                        }
                        return forward_response(gateway, request, target, response);
                    }
                    Err(error) => {
                        if matches!(
                            error,
                            ExchangeError::RateLimited
                                | ExchangeError::OutsideRegions
                                | ExchangeError::Evacuated
                        ) {
                            hedge.refund_unsent(target);
                        }
                        progress.record_error(gateway, request, attempt.attempt, error)
                    }
                };
                if should_retry && running.is_empty() {
                    start_attempt(gateway, request, &mut progress, &mut running);
                }
            }
            () = sleep_unless_zero(hedge_delay), if may_hedge => {
                if let HedgeTimer::Planned(plan) = hedge {
                    hedge = start_hedge(gateway, request, plan, &mut progress, &mut running);
                } else {
                    start_attempt(gateway, request, &mut progress, &mut running);
                    // A call is hedged at most once, even if there was no second target.
                    progress.sends = progress.sends.max(2);
                }
            }
            () = &mut deadline => {
                record_unresponsive(gateway, request, &running, TargetOutcome::Failed);
                if let Some(record) = hedge.take_record() {
                    record.fail();
                }
                let reason = if progress.executions > 0 || progress.was_aborted {
                    RefusalReason::DeadlineAfterSend
                } else {
                    RefusalReason::DeadlineBeforeSend
                };
                return refusal_response(gateway, request.into(), reason);
            }
        }
    }
}

/// Settles the hedge of a call after its last attempt.
fn settle_hedge(hedge: &mut HedgeTimer<'_>, progress: &CallProgress) {
    let Some(record) = hedge.take_record() else {
        return;
    };
    match &progress.error_response {
        Some((target, _)) => record.finish(*target),
        None => record.fail(),
    }
}

/// Sends a late call to a second target if the operators' limit, the state of the service and the
/// retry budget allow it.
fn start_hedge<'a>(
    gateway: &'a SharedGateway,
    request: &'a RoutedRequest,
    plan: HedgePlan,
    progress: &mut CallProgress,
    running: &mut Vec<RunningAttempt<'a>>,
) -> HedgeTimer<'a> {
    let late_target = running[0].target;
    let Some(credit) = hedging::try_hedge(gateway, request, plan, late_target) else {
        let next_plan = hedging::plan_after_denial(plan, request);
        return next_plan.map_or(HedgeTimer::Over, HedgeTimer::Planned);
    };
    if let Some(target) = start_attempt(gateway, request, progress, running) {
        HedgeTimer::Sent(credit.send_to(request, target))
    } else {
        credit.refund(request, HedgeDenial::NoTarget);
        HedgeTimer::Over
    }
}

/// Starts another attempt if the route, the retry budget and the available targets allow it. Returns
/// its target.
fn start_attempt<'a>(
    gateway: &'a SharedGateway,
    request: &'a RoutedRequest,
    progress: &mut CallProgress,
    running: &mut Vec<RunningAttempt<'a>>,
) -> Option<TargetKey> {
    // Targets may have crashed under an earlier attempt.
    if progress.sends > 0 && suspicion::is_blocked(gateway, request) {
        return None;
    }
    if progress.sends >= MAX_SENDS || progress.executions >= request.route.max_attempts {
        return None;
    }
    let permitted = hedging::choose_call_target(gateway, request, &progress.tried)?;
    let target = permitted.key();
    if progress.sends == 0 {
        if progress.unsent_attempts == 0 {
            gateway.count_request(&request.service);
        }
    } else if progress
        .retry_cause
        .is_some_and(|cause| !gateway.is_retry_worthwhile(request, cause))
        || !gateway.try_spend_retry(request, RetryPurpose::Attempt)
    {
        return None;
    }
    progress.tried.push(target);
    progress.sends += 1;
    progress.executions += 1;
    let attempt = progress.sends;
    let is_limited_hedge = !running.is_empty() && hedging::is_enabled(gateway, request);
    let max_permit_wait = if is_limited_hedge {
        Duration::ZERO
    } else {
        max_permit_wait(gateway, request, &progress.tried)
    };
    running.push(RunningAttempt {
        target,
        attempt,
        started_at: gateway.now(),
        future: Box::pin(async move {
            let result = run_attempt(gateway, request, permitted, attempt, max_permit_wait).await;
            AttemptResult {
                target,
                attempt,
                result,
            }
        }),
    });
    Some(target)
}

/// Records whether a retry helped, and assumes that the next one follows an attempt without a
/// response. An attempt that was not sent says nothing.
fn record_retry(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    progress: &mut CallProgress,
    attempt: &AttemptResult,
) {
    let has_helped = match &attempt.result {
        Err(ExchangeError::RateLimited | ExchangeError::InBackoff) => return,
        Err(_) => false,
        Ok(response) => !response.head.status.is_server_error(),
    };
    let cause = progress.retry_cause.replace(RetryCause::NoResponse);
    if let Some(cause) = cause
        && attempt.attempt > 1
    {
        gateway.record_retry(request, cause, has_helped);
    }
}

/// How long a call can wait for the rate limit of the target that was chosen last.
fn max_permit_wait(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    tried: &[TargetKey],
) -> Duration {
    let now = gateway.now();
    let waited = now.saturating_sub(request.arrived_at);
    let objective = request.route.latency_objective;
    let max_wait = objective
        .mul_f64(PERMIT_WAIT_FRACTION)
        .saturating_sub(waited);
    let policy = residency::policy(gateway, request);
    let has_alternative = gateway.with_state(|state| {
        let mut others = state.targets.of_service(&request.service);
        others.any(|(key, target)| {
            !tried.contains(&key)
                && target.is_available(now)
                && policy.allows(&state.targets, target)
                && target.rate.per_second(now).is_none()
        })
    });
    if has_alternative {
        max_wait.min(MAX_WAIT_WITH_ALTERNATIVE)
    } else {
        max_wait
    }
}

/// Records `outcome` for targets that have not responded when their request ends without them.
///
/// Some targets accept requests and never respond to part of them. Judged by its responses alone,
/// such a target looks healthy and keeps getting non-idempotent requests, which must not be sent
/// again.
///
/// A target that is only late is none of these: a hedge of a learned delay may win long before the
/// response would be unusually late.
fn record_unresponsive(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    running: &[RunningAttempt<'_>],
    outcome: TargetOutcome,
) {
    let now = gateway.now();
    let min_silence = HedgePlan::for_objective(request.route.latency_objective).delay;
    for unresponsive in running {
        let (target, attempt) = (unresponsive.target, unresponsive.attempt);
        let elapsed = now.saturating_sub(unresponsive.started_at);
        hedging::record_response(gateway, request, target, attempt, elapsed);
        if elapsed >= min_silence || !hedging::is_enabled(gateway, request) {
            record_outcome(gateway, target, outcome);
        }
    }
}

async fn next_finished(running: &mut Vec<RunningAttempt<'_>>) -> AttemptResult {
    poll_fn(|context| {
        for index in 0..running.len() {
            if let Poll::Ready(attempt) = running[index].future.as_mut().poll(context) {
                drop(running.remove(index));
                return Poll::Ready(attempt);
            }
        }
        Poll::Pending
    })
    .await
}

async fn run_attempt(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    permitted: PermittedTarget,
    attempt: u32,
    max_permit_wait: Duration,
) -> Result<BufferedResponse, ExchangeError> {
    let started_at = gateway.now();
    let target = permitted.key();
    let reservation = LoadReservation::for_call(gateway, target);
    let options = SendOptions {
        attempt,
        max_permit_wait,
        ..SendOptions::default()
    };
    let exchange = send_request(gateway, request, permitted, options).await?;
    let body = match read_to_end(gateway, exchange.body, ResponsePace::DeadlineOnly).await {
        Ok(body) => body,
        Err(cause) => {
            let error = cause.into();
            record_failed_attempt(gateway, request, target, attempt, error, started_at);
            if error == ExchangeError::Aborted {
                crash_probe::probe_after_failure(gateway, target, request, AnswerProgress::NONE);
            }
            return Err(error);
        }
    };
    let outcome = if exchange.head.status.is_server_error() {
        TargetOutcome::ReturnedError
    } else {
        TargetOutcome::Succeeded
    };
    reservation.record_outcome(outcome);
    let elapsed = gateway.now().saturating_sub(started_at);
    hedging::record_response(gateway, request, target, attempt, elapsed);
    if outcome == TargetOutcome::Succeeded {
        suspicion::report_sound(gateway, &request.traits);
    }
    release_connection(gateway, target, &exchange.head, exchange.connection);
    Ok(BufferedResponse {
        head: exchange.head,
        body,
    })
}

/// Hands a call that reached no target to another host, or refuses it.
async fn relay_or_refuse(
    gateway: &SharedGateway,
    request: &RoutedRequest,
) -> Response<ResponseBody> {
    match relay_request(gateway, request).await {
        Ok(response) => response,
        Err(reason) => refusal_response(gateway, request.into(), reason),
    }
}

async fn final_response(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    progress: CallProgress,
) -> Response<ResponseBody> {
    if let Some((target, response)) = progress.error_response {
        return forward_response(gateway, request, target, response);
    }
    let reason = if progress.was_aborted {
        RefusalReason::TargetAborted
    } else if progress.rate_limited_attempts > 0 || gateway.is_held_back(request) {
        RefusalReason::RateLimited
    } else if progress.was_rejected {
        RefusalReason::TargetsRejected
    } else {
        return relay_or_refuse(gateway, request).await;
    };
    refusal_response(gateway, request.into(), reason)
}

/// Counts and logs a target's complete response and turns it into the caller's.
pub fn forward_response(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    target: TargetKey,
    response: BufferedResponse,
) -> Response<ResponseBody> {
    let status = response.head.status;
    let latency = record_response(gateway, request, status.as_str());
    gateway.log.event(&LogEvent::Answered {
        id: &request.head.attempt_id,
        target: &gateway.instance(target),
        status: status.as_u16(),
        after_ms: millis(latency),
    });
    forwarded_head(status, &response.head.headers).map(|()| full_body(response.body))
}

/// Counts a response, or the first event of a stream, in the metrics. Returns the time since the
/// request arrived.
pub fn record_response(gateway: &SharedGateway, request: &RoutedRequest, status: &str) -> Duration {
    let latency = gateway.now().saturating_sub(request.arrived_at);
    let team = request.team.as_ref().map_or("", |team| team.name.as_str());
    let route = request.route.name.as_str();
    gateway
        .metrics
        .observe_response(route, team, status, latency);
    latency
}
