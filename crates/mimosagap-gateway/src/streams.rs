//! Generations up to their first event: queueing, placement and the attempts at engines.
//!
//! `stream_relay` takes over once the first event has arrived.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use http::Response;
use http_body_util::BodyExt;
use mimosagap_routing::hedging::HedgeDenial;
use mimosagap_routing::placement::{
    GenerationDemand, Placement, PlacementOptions, cost_jitter, place_generation,
};
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::residency::AllowedRegions;
use mimosagap_routing::retry_budget::RetryPurpose;
use mimosagap_routing::target_suspicion::{EventWait, LifeSign};
use mimosagap_routing::targets::{Locality, PRIORITY_LEVELS, Target, TargetKey, TargetOutcome};
use mimosagap_routing::wait_queue::{QueuedRequest, WaitQueue, max_queue_time};
use mimosagap_types::prelude::*;
use rand::Rng;

use crate::body_reader::{ResponsePace, read_to_end};
use crate::calls::{BufferedResponse, forward_response, record_response};
use crate::crash_probe::{self, AnswerProgress};
use crate::event_source::{EventSource, SourceItem};
use crate::exchange::{
    Exchange, ExchangeError, SendOptions, record_failed_attempt, release_connection, send_request,
    sleep_unless_zero,
};
use crate::hang_watch::{self, HangWatch};
use crate::hedging::{self, HedgeRecord};
use crate::ingress::InFlightGuard;
use crate::load_reservation::LoadReservation;
use crate::log::LogEvent;
use crate::peers::SMALL_FLEET_HOSTS;
use crate::reach;
use crate::relay::relay_request;
use crate::remote_placement::{self, PlacementOutcome};
use crate::request::RoutedRequest;
use crate::residency;
use crate::response::{ResponseBody, forwarded_head, refusal_response};
use crate::resumption::{self, StreamStart};
use crate::sse::StreamEvent;
use crate::state::{GatewayState, SharedGateway, millis};
use crate::stream_relay::StreamRelay;
use crate::suspicion;

/// Limit on the sends of one request, including those that an engine rejected.
const MAX_SENDS: u32 = 4;

/// Number of the send of a hedge: only the first attempt of a generation is hedged.
const HEDGE_ATTEMPT: u32 = 2;

/// Estimates what a generation needs, from its headers and the lengths of earlier generations of
/// its route.
fn estimate_demand(gateway: &SharedGateway, request: &RoutedRequest) -> GenerationDemand {
    let head = &request.head;
    let expected_tokens = gateway.with_state(|state| {
        let lengths = state
            .length_estimators
            .entry(request.route.name.clone())
            .or_default();
        if let Some(hint) = head.output_tokens_hint {
            lengths.record_hint(hint);
        }
        lengths.expected_tokens(head.output_tokens_hint, head.max_output_tokens)
    });
    GenerationDemand {
        prompt_tokens: head.prompt_tokens,
        expected_tokens,
        generated_tokens: 0,
        priority_level: usize::from(request.priority()).min(PRIORITY_LEVELS - 1),
    }
}

/// Starts a generation and returns its response once the first event has arrived; a task relays the
/// rest.
pub async fn handle_stream(
    gateway: &SharedGateway,
    mut request: RoutedRequest,
    in_flight: InFlightGuard,
) -> Response<ResponseBody> {
    let start = match resumption::resolve(gateway, &request).await {
        Ok(start) => start,
        Err(reason) => return refusal_response(gateway, (&request).into(), reason),
    };
    if let Some(origin) = start.origin() {
        request.service = origin.service.clone();
    }
    let request = Rc::new(request);
    if reach::is_isolated(gateway, &request.service)
        && let Some(response) = relay_stream(gateway, &request).await
    {
        return response;
    }
    let demand = estimate_demand(gateway, &request);
    let mut has_sent = false;
    // A verdict against the request ends its wait, and the attempt of an engine that has not begun
    // to answer.
    let outcome = tokio::select! {
        biased;
        () = suspicion::blocked(gateway, &request) => Err(RefusalReason::Quarantined),
        outcome = start_confirmed(gateway, &request, demand, &start, &mut has_sent) => outcome,
    };
    let outcome = outcome.unwrap_or_else(|reason| {
        StartOutcome::Refused(if has_sent {
            reason.after_send()
        } else {
            reason
        })
    });
    if let StartOutcome::Refused(RefusalReason::NoTarget | RefusalReason::VersionGone) = outcome
        && let Some(response) = relay_stream(gateway, &request).await
    {
        return response;
    }
    match outcome {
        StartOutcome::Refused(reason) => refusal_response(gateway, request.as_ref().into(), reason),
        StartOutcome::Responded(target, response) => {
            forward_response(gateway, &request, target, response)
        }
        StartOutcome::Stream(stream) => {
            let head = forwarded_head(stream.source.head.status, &stream.source.head.headers);
            record_response(gateway, &request, "stream");
            let (relay, body) = StreamRelay::new(Rc::clone(gateway), request, demand, stream);
            tokio::task::spawn_local(async move {
                relay.run().await;
                drop(in_flight);
            });
            head.map(|()| body.boxed_unsync())
        }
    }
}

/// Hands a generation that reached no engine to another host. Returns `None` if no other host serves
/// it, and if this one stops, which could end before the generation.
async fn relay_stream(
    gateway: &SharedGateway,
    request: &Rc<RoutedRequest>,
) -> Option<Response<ResponseBody>> {
    if gateway.is_stopping() {
        return None;
    }
    match relay_request(gateway, request).await {
        Ok(response) => Some(response),
        Err(reason) if reason.holds_for_one_host() => None,
        Err(reason) => Some(refusal_response(gateway, request.as_ref().into(), reason)),
    }
}

/// A stream whose first event has arrived.
pub struct StartedStream {
    /// Source of the events after the first.
    pub source: EventSource,
    /// First event, not forwarded yet.
    pub first_event: StreamEvent,
    /// Load of the generation on its engine.
    pub reservation: LoadReservation,
    /// Version of the engine that began the stream; `None` if unknown.
    pub version: Option<SoftwareVersion>,
    /// Number of sends so far.
    pub sends: u32,
    /// Number of sends that an engine may have executed.
    pub executions: u32,
}

enum StartOutcome {
    Refused(RefusalReason),
    Responded(TargetKey, BufferedResponse),
    Stream(Box<StartedStream>),
}

/// Starts a stream while the store confirms the version that it resumes at.
async fn start_confirmed(
    gateway: &SharedGateway,
    request: &Rc<RoutedRequest>,
    demand: GenerationDemand,
    start: &StreamStart,
    has_sent: &mut bool,
) -> Result<StartOutcome, RefusalReason> {
    let version = start.origin().map(|origin| &origin.version);
    let (outcome, ()) = tokio::try_join!(
        async { Ok(start_stream(gateway, request, demand, version, has_sent).await) },
        resumption::confirm(gateway, request, start),
    )?;
    Ok(outcome)
}

/// Sends a generation to engines until one produces the first event; one that resumes a stream goes
/// to engines of its version only.
async fn start_stream(
    gateway: &SharedGateway,
    request: &Rc<RoutedRequest>,
    demand: GenerationDemand,
    version: Option<&SoftwareVersion>,
    has_sent: &mut bool,
) -> StartOutcome {
    let mut tried = Vec::new();
    let mut sends = 0;
    let mut executions = 0;
    let mut was_aborted = false;
    let mut was_rejected = false;
    let mut is_counted = false;
    let reason = loop {
        if executions == 0 && gateway.may_exit_before(request) {
            break RefusalReason::ShuttingDown;
        }
        let placement = match find_engine(gateway, request, demand, version, &tried).await {
            Ok(placement) => placement,
            Err(reason) => break reason,
        };
        let target = placement.target.key();
        if !resumption::note_send(gateway, request, target).await {
            tried.push(target);
            continue;
        }
        if sends == 0 {
            if !std::mem::replace(&mut is_counted, true) {
                gateway.count_request(&request.service);
            }
        } else if sends >= MAX_SENDS || !gateway.try_spend_retry(request, RetryPurpose::Attempt) {
            break RefusalReason::TargetsRejected;
        }
        sends += 1;
        *has_sent = true;
        let reservation =
            LoadReservation::for_stream(gateway, target, &demand, demand.prompt_tokens);
        let timeout = request.response_time_left(gateway.now());
        let attempt = await_first_event(gateway, request, demand, reservation, &placement, sends);
        let attempt = await_hedged_event(gateway, request, demand, target, &tried, attempt);
        let Ok(hedged) = tokio::time::timeout(timeout, attempt).await else {
            break RefusalReason::DeadlineAfterSend;
        };
        let target = hedged.target;
        if let Some(other) = hedged.other {
            tried.push(other.target);
            sends += 1;
            executions += u32::from(other.may_have_run);
        }
        match hedged.result {
            Ok(FirstOutput::Event(mut stream)) => {
                stream.sends = sends;
                stream.executions = executions + 1;
                return StartOutcome::Stream(stream);
            }
            Ok(FirstOutput::Response(response)) => {
                executions += 1;
                let may_retry = request.route.kind.is_idempotent()
                    && response.head.status.is_server_error()
                    && executions < request.route.max_attempts;
                if !may_retry {
                    return StartOutcome::Responded(target, response);
                }
            }
            Err(ExchangeError::Aborted | ExchangeError::LimitExceeded) => {
                was_aborted = true;
                executions += 1;
                if !request.route.kind.is_idempotent() || executions >= request.route.max_attempts {
                    break RefusalReason::TargetAborted;
                }
            }
            Err(ExchangeError::RateLimited) => {
                sends -= 1;
                if sends > 0 {
                    gateway.refund_retry(&request.service);
                }
                if permit_wait(gateway, request).is_zero() {
                    break RefusalReason::RateLimited;
                }
                // The target is held back until the next ask, and may be used then.
                continue;
            }
            Err(ExchangeError::Rejected | ExchangeError::InBackoff) => {
                was_rejected = true;
                hedging::record_rejection(gateway, request);
            }
            Err(ExchangeError::Unreachable) => {}
            Err(ExchangeError::OutsideRegions | ExchangeError::Evacuated) => {
                sends -= 1;
                if sends > 0 {
                    gateway.refund_retry(&request.service);
                }
            }
        }
        tried.push(target);
    };
    let may_have_run = was_aborted || executions > 0;
    StartOutcome::Refused(match reason {
        RefusalReason::DeadlineAfterSend => RefusalReason::DeadlineAfterSend,
        _ if may_have_run => RefusalReason::TargetAborted,
        RefusalReason::TargetsRejected if !was_rejected => RefusalReason::NoTarget,
        other => other,
    })
}

/// How long a generation can wait for the rate limit of an engine.
fn permit_wait(gateway: &SharedGateway, request: &RoutedRequest) -> Duration {
    let waited = gateway.now().saturating_sub(request.arrived_at);
    max_queue_time(request.route.latency_objective).saturating_sub(waited)
}

enum FirstOutput {
    Event(Box<StartedStream>),
    Response(BufferedResponse),
}

/// Result of an attempt that may have been hedged.
struct HedgedOutput {
    /// Engine of the attempt that brought the result.
    target: TargetKey,
    result: Result<FirstOutput, ExchangeError>,
    /// The other attempt, if both were sent.
    other: Option<EndedAttempt>,
}

/// An attempt that brought no result.
struct EndedAttempt {
    target: TargetKey,
    may_have_run: bool,
}

impl EndedAttempt {
    /// The attempt with this result; `None` if the rate limit of its engine left it unsent.
    fn new(target: TargetKey, result: &Result<FirstOutput, ExchangeError>) -> Option<Self> {
        let may_have_run = match result {
            Ok(_) | Err(ExchangeError::Aborted | ExchangeError::LimitExceeded) => true,
            Err(ExchangeError::RateLimited) => return None,
            Err(
                ExchangeError::Unreachable
                | ExchangeError::OutsideRegions
                | ExchangeError::Evacuated
                | ExchangeError::Rejected
                | ExchangeError::InBackoff,
            ) => false,
        };
        Some(Self {
            target,
            may_have_run,
        })
    }
}

/// Waits for the first event of `attempt` at `target`, and asks a second engine if that is late and
/// the operators' limit allows it. The first event of either wins; the connection of the other
/// attempt is closed when it is dropped here.
async fn await_hedged_event(
    gateway: &SharedGateway,
    request: &Rc<RoutedRequest>,
    demand: GenerationDemand,
    target: TargetKey,
    tried: &[TargetKey],
    attempt: impl Future<Output = Result<FirstOutput, ExchangeError>>,
) -> HedgedOutput {
    let started_at = gateway.now();
    let record_first = || {
        let elapsed = gateway.now().saturating_sub(started_at);
        hedging::record_response(gateway, request, target, 1, elapsed);
    };
    let record = RefCell::new(None);
    let finish = |winner| {
        if let Some(record) = record.take() {
            HedgeRecord::finish(record, winner);
        }
    };
    let second = send_hedge(gateway, request, demand, target, tried, &record);
    tokio::pin!(attempt, second);
    let first_result = tokio::select! {
        biased;
        result = &mut attempt => result,
        (second_target, second_result) = &mut second => {
            if is_final(&second_result) {
                record_first();
                finish(second_target);
                return HedgedOutput {
                    target: second_target,
                    result: second_result,
                    other: Some(EndedAttempt { target, may_have_run: true }),
                };
            }
            let result = attempt.await;
            finish(target);
            let other = EndedAttempt::new(second_target, &second_result);
            return HedgedOutput { target, result, other };
        }
    };
    let second_target = record.borrow().as_ref().map(|record| record.target);
    if is_final(&first_result) || second_target.is_none() {
        if let Ok(FirstOutput::Event(_)) = first_result {
            record_first();
        }
        finish(target);
        let other = second_target.map(|target| EndedAttempt {
            target,
            may_have_run: true,
        });
        return HedgedOutput {
            target,
            result: first_result,
            other,
        };
    }
    let (second_target, result) = second.await;
    if is_final(&result) {
        finish(second_target);
    } else if let Some(record) = record.take() {
        HedgeRecord::fail(record);
    }
    if let Err(ExchangeError::RateLimited) = result {
        return HedgedOutput {
            target,
            result: first_result,
            other: None,
        };
    }
    HedgedOutput {
        target: second_target,
        result,
        other: EndedAttempt::new(target, &first_result),
    }
}

/// Whether a result is passed on at once: an event, or an error that is the request's own fault.
fn is_final(result: &Result<FirstOutput, ExchangeError>) -> bool {
    match result {
        Ok(FirstOutput::Event(_)) => true,
        Ok(FirstOutput::Response(response)) => !response.head.status.is_server_error(),
        Err(_) => false,
    }
}

/// Sends a generation to a second engine once the first event of `late_target` is late, and fills
/// `record` then. Does not return if it is not sent.
async fn send_hedge<'a>(
    gateway: &SharedGateway,
    request: &'a Rc<RoutedRequest>,
    demand: GenerationDemand,
    late_target: TargetKey,
    tried: &[TargetKey],
    record: &RefCell<Option<HedgeRecord<'a>>>,
) -> (TargetKey, Result<FirstOutput, ExchangeError>) {
    let sent_at = gateway.now();
    let mut next_plan = hedging::plan(gateway, request).filter(|_| tried.is_empty());
    while let Some(plan) = next_plan {
        let late_at = sent_at + plan.delay;
        sleep_unless_zero(late_at.saturating_sub(gateway.now())).await;
        let Some(credit) = hedging::try_hedge(gateway, request, plan, late_target) else {
            next_plan = hedging::plan_after_denial(plan, request);
            continue;
        };
        let Some(placement) = choose_hedge_engine(gateway, request, demand, late_target).await
        else {
            credit.refund(request, HedgeDenial::NoTarget);
            break;
        };
        if !gateway.try_spend_retry(request, RetryPurpose::Attempt) {
            credit.refund(request, HedgeDenial::RetryBudget);
            break;
        }
        let target = placement.target.key();
        *record.borrow_mut() = Some(credit.send_to(request, target));
        let reservation =
            LoadReservation::for_stream(gateway, target, &demand, demand.prompt_tokens);
        let attempt = await_first_event(
            gateway,
            request,
            demand,
            reservation,
            &placement,
            HEDGE_ATTEMPT,
        );
        let result = attempt.await;
        match result {
            Err(ExchangeError::RateLimited) => {
                gateway.refund_retry(&request.service);
                if let Some(record) = record.take() {
                    record.refund(HedgeDenial::RateLimited);
                }
            }
            Err(ExchangeError::Rejected | ExchangeError::InBackoff) => {
                hedging::record_rejection(gateway, request);
            }
            Ok(_) | Err(_) => {}
        }
        return (target, result);
    }
    std::future::pending().await
}

/// Chooses a second engine of the version of the late one, so that the stream has one version
/// whichever brings it.
async fn choose_hedge_engine(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    demand: GenerationDemand,
    late_target: TargetKey,
) -> Option<Placement> {
    let version = gateway.software_version(late_target)?;
    let (tried, version) = ([late_target], Some(&version));
    let placement =
        choose_engine(gateway, request, demand, version, &tried, Duration::ZERO).await?;
    let can_send = !suspicion::is_blocked(gateway, request)
        && !gateway.is_stopping()
        && resumption::note_send(gateway, request, placement.target.key()).await;
    can_send.then_some(placement)
}

async fn await_first_event(
    gateway: &SharedGateway,
    request: &Rc<RoutedRequest>,
    demand: GenerationDemand,
    mut reservation: LoadReservation,
    placement: &Placement,
    attempt: u32,
) -> Result<FirstOutput, ExchangeError> {
    let started_at = gateway.now();
    let target = reservation.target;
    let initial_regions = residency::initial_regions(gateway, request);
    let options = SendOptions {
        attempt,
        max_permit_wait: permit_wait(gateway, request),
        ..SendOptions::default()
    };
    let now = gateway.now();
    let may_wait_for_permit = gateway.with_state(|state| {
        let target = state.targets.get(target);
        target.is_some_and(|target| target.permit_rate(now).is_some())
    });
    let wait = EventWait::First {
        sent_at: if may_wait_for_permit {
            started_at + options.max_permit_wait
        } else {
            started_at
        },
        expected: placement.time_to_first_token,
    };
    let _watch = HangWatch::start(gateway, target, &request.service, wait);
    let exchange = send_request(gateway, request, placement.target, options).await?;
    if !exchange.head.status.is_success() {
        return read_error_response(gateway, request, &reservation, exchange, attempt).await;
    }
    let mut source = EventSource::new(exchange);
    match source.next().await {
        SourceItem::Event(first_event) => {
            let latency = reservation.finish_prefill();
            reach::record_contact(gateway, &request.service);
            hang_watch::record_sign(gateway, target, LifeSign::Answer);
            // A stream begins once.
            let _ = request.began_with.set(initial_regions);
            gateway.log.event(&LogEvent::FirstEvent {
                id: &request.head.attempt_id,
                target: &gateway.instance(target),
                after_ms: millis(latency),
                expected_ms: millis(placement.time_to_first_token),
                prompt: demand.prompt_tokens,
                ahead: reservation.prefill_ahead,
            });
            Ok(FirstOutput::Event(Box::new(StartedStream {
                source,
                first_event,
                version: gateway.software_version(target),
                reservation,
                sends: attempt,
                executions: 1,
            })))
        }
        SourceItem::End | SourceItem::Aborted => {
            reservation.record_outcome(TargetOutcome::Failed);
            crash_probe::probe_after_failure(gateway, target, request, AnswerProgress::NONE);
            Err(ExchangeError::Aborted)
        }
        SourceItem::LimitExceeded => {
            let error = ExchangeError::LimitExceeded;
            record_failed_attempt(gateway, request, target, attempt, error, started_at);
            Err(error)
        }
    }
}

async fn read_error_response(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    reservation: &LoadReservation,
    exchange: Exchange,
    attempt: u32,
) -> Result<FirstOutput, ExchangeError> {
    let started_at = gateway.now();
    let body = match read_to_end(gateway, exchange.body, ResponsePace::Immediate).await {
        Ok(body) => body,
        Err(cause) => {
            let error = cause.into();
            record_failed_attempt(
                gateway,
                request,
                reservation.target,
                attempt,
                error,
                started_at,
            );
            return Err(error);
        }
    };
    reservation.record_outcome(TargetOutcome::Failed);
    hang_watch::record_sign(gateway, reservation.target, LifeSign::Answer);
    release_connection(
        gateway,
        reservation.target,
        &exchange.head,
        exchange.connection,
    );
    Ok(FirstOutput::Response(BufferedResponse {
        head: exchange.head,
        body,
    }))
}

/// Removes a request from its wait queue when dropped, however the wait ends.
struct QueueGuard<'a> {
    gateway: &'a SharedGateway,
    request: &'a RoutedRequest,
    queue_key: (DeploymentName, AllowedRegions),
    ticket: u64,
    queued_at: Duration,
}

impl Drop for QueueGuard<'_> {
    fn drop(&mut self) {
        let waited = self.gateway.now().saturating_sub(self.queued_at);
        let route = self.request.route.name.as_str();
        self.gateway.metrics.observe_wait(route, waited);
        self.gateway.with_state(|state| {
            if let Some(queue) = state.wait_queues.get_mut(&self.queue_key) {
                queue.remove(self.ticket);
                // Lists of regions come and go with configurations.
                if queue.is_empty() {
                    state.wait_queues.remove(&self.queue_key);
                }
            }
        });
        self.gateway.capacity_freed.notify_waiters();
    }
}

/// Confirms the choice of an engine of another region with the placer of that region, for a
/// restricted request in a large fleet. Such a request may need any engine of the few regions that
/// are allowed, and this host knows their loads late. `choose` chooses by known loads among the
/// regions that are not given. `None` means that no region has capacity.
async fn place_in_other_region(
    gateway: &SharedGateway,
    options: &PlacementOptions<'_>,
    tried: &[TargetKey],
    choose: impl Fn(&[RegionName]) -> Option<Placement>,
) -> Option<Placement> {
    let mut full_regions = Vec::new();
    loop {
        let remote = choose(&full_regions)?;
        let key = remote.target.key();
        let region = gateway.with_state(|state| state.targets.region_of(key).cloned())?;
        let outcome = remote_placement::request_placement(gateway, &region, options, tried).await;
        match outcome {
            PlacementOutcome::Placed(placement) => return Some(placement),
            PlacementOutcome::NoDecision => return Some(remote),
            PlacementOutcome::NoCapacity => full_regions.push(region),
        }
    }
}

/// Chooses an engine. This host compares its region with the others by the loads that it knows; the
/// choice within the region is the placer's.
async fn choose_engine(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    demand: GenerationDemand,
    version: Option<&SoftwareVersion>,
    tried: &[TargetKey],
    cost_jitter: Duration,
) -> Option<Placement> {
    let is_large_fleet = gateway.with_state(|state| state.hosts.len() > SMALL_FLEET_HOSTS);
    let waited = gateway.now().saturating_sub(request.arrived_at);
    let max_queue_time = max_queue_time(request.route.latency_objective).saturating_sub(waited);
    let token_time = gateway.token_time(&request.service);
    let policy = residency::policy(gateway, request);
    let regional_options = PlacementOptions {
        service: &request.service,
        demand,
        version,
        home_zone: &gateway.settings.zone,
        max_queue_time,
        restart_time: (request.route.kind.is_idempotent() && demand.generated_tokens == 0)
            .then(|| token_time * demand.expected_tokens),
        cost_jitter: Duration::ZERO,
        remote_partition_host: None,
        residency: &policy,
    };
    let place_outside = |is_remote: bool, cost_jitter: Duration, regions: &[RegionName]| {
        let options = PlacementOptions {
            cost_jitter,
            remote_partition_host: is_large_fleet.then_some(gateway.host_hash),
            ..regional_options
        };
        let zone_regions = &gateway.settings.zone_regions;
        let is_in_given_region = |target: &Target| {
            let region = zone_regions.get(&target.entry.zone);
            region.is_some_and(|region| regions.contains(region))
        };
        let may_use = |key: TargetKey, target: &Target| {
            (target.locality == Locality::OtherRegion) == is_remote
                && !tried.contains(&key)
                && !is_in_given_region(target)
        };
        let now = gateway.now();
        gateway.with_state(|state| {
            let GatewayState { targets, rng, .. } = state;
            place_generation(targets, &options, may_use, now, rng)
        })
    };
    let remote = place_outside(true, cost_jitter, &[]);
    let regional = place_outside(false, Duration::ZERO, &[]);
    let is_remote_better = match (&remote, &regional) {
        (Some(remote), Some(regional)) => remote.cost < regional.cost,
        (_, regional) => regional.is_none(),
    };
    if !is_remote_better {
        let region = &gateway.settings.region;
        let placement =
            remote_placement::request_placement(gateway, region, &regional_options, tried);
        match placement.await {
            PlacementOutcome::Placed(placement) => return Some(placement),
            PlacementOutcome::NoCapacity => {}
            PlacementOutcome::NoDecision => return place_outside(false, cost_jitter, &[]),
        }
    }
    if is_large_fleet && policy.is_restricted() {
        let choose = |regions: &[RegionName]| place_outside(true, cost_jitter, regions);
        place_in_other_region(gateway, &regional_options, tried, choose).await
    } else {
        remote
    }
}

/// Finds an engine with free capacity, waiting for one if it can be expected in time. A stream that
/// an engine has begun goes on only at an engine of the same `version`.
pub async fn find_engine(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    demand: GenerationDemand,
    version: Option<&SoftwareVersion>,
    tried: &[TargetKey],
) -> Result<Placement, RefusalReason> {
    let now = gateway.now();
    let permit_wait = permit_wait(gateway, request);
    let max_jitter = gateway
        .with_state(|state| cost_jitter(state.hosts.count_in_region(&gateway.settings.region)));
    let policy = residency::policy(gateway, request);
    let queue_key = (request.service.clone(), policy.allowed().clone());
    let must_queue = gateway.with_state(|state| {
        let queue = state.wait_queues.get(&queue_key);
        queue.is_some_and(|queue| queue.must_queue(demand.priority_level))
    });
    if !must_queue
        && let Some(placement) =
            choose_engine(gateway, request, demand, version, tried, max_jitter).await
    {
        return Ok(placement);
    }
    residency::note_contention(gateway, request, &policy);
    let (ticket, expires_at) = gateway.with_state(|state| {
        let mut has_available = false;
        let running_requests: u32 = state
            .targets
            .of_service(&request.service)
            .filter(|(_, target)| policy.allows(&state.targets, target))
            .filter(|(_, target)| version.is_none_or(|version| target.has_version(version)))
            .inspect(|(_, target)| has_available |= target.is_available_within(permit_wait, now))
            .map(|(_, target)| target.local_load.requests)
            .sum();
        let share = policy.fleet_share(&state.targets, &request.service, state.hosts.len(), now);
        let running_requests = running_requests.max(share);
        if !has_available && state.targets.is_held_back(&request.service, &policy, now) {
            return Err(RefusalReason::RateLimited);
        }
        if !has_available {
            return Err(match version {
                Some(_) => RefusalReason::VersionGone,
                None => RefusalReason::NoTarget,
            });
        }
        let queue: &mut WaitQueue = state.wait_queues.entry(queue_key.clone()).or_default();
        if !queue.can_admit(demand.priority_level, running_requests) {
            return Err(RefusalReason::Overload);
        }
        state.last_ticket += 1;
        let ticket = state.last_ticket;
        let queued_request = QueuedRequest::new(
            ticket,
            demand.priority_level,
            now,
            request.route.latency_objective,
        );
        gateway.log.event(&LogEvent::Waits {
            id: &request.head.attempt_id,
            request: request.traits.fingerprint.to_string(),
            rank: demand.priority_level,
            ahead: queue.len(),
        });
        queue.push(queued_request);
        Ok((ticket, queued_request.expires_at))
    })?;
    let _guard = QueueGuard {
        gateway,
        request,
        queue_key: queue_key.clone(),
        ticket,
        queued_at: now,
    };
    loop {
        let capacity_change = gateway.capacity_freed.notified();
        let now = gateway.now();
        let is_front = gateway.with_state(|state| {
            state
                .wait_queues
                .get(&queue_key)
                .is_some_and(|queue| queue.is_front(ticket))
        });
        if is_front
            && let Some(placement) =
                choose_engine(gateway, request, demand, version, tried, max_jitter).await
        {
            return Ok(placement);
        }
        if now >= expires_at {
            return Err(RefusalReason::Overload);
        }
        // Evacuations or a new configuration may have taken all engines during the wait.
        if residency::has_lost_targets(gateway, request, permit_wait)
            || gateway.with_state(|state| state.targets.has_only_evacuated(&request.service, now))
        {
            return Err(RefusalReason::NoTarget);
        }
        if gateway.may_exit_before(request) {
            return Err(RefusalReason::ShuttingDown);
        }
        let _ = tokio::time::timeout(expires_at.saturating_sub(now), capacity_change).await;
        // All hosts learn of freed capacity at once but it takes only one request, so each host
        // tries after a random delay.
        let jitter = gateway.with_state(|state| max_jitter.mul_f64(state.rng.random()));
        sleep_unless_zero(jitter).await;
    }
}
