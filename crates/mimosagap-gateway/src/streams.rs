//! Generations: where one waits and is placed, until its first event is there.

use std::rc::Rc;
use std::time::Duration;

use http::Response;
use http_body_util::BodyExt;
use mimosagap_routing::placement::{PlaceOptions, Placement, StreamNeed, place_stream, spread};
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::targets::{Distance, RANKS, Target, TargetKey, TargetOutcome};
use mimosagap_routing::waiting::{Waiting, WaitingList, patience};
use rand::Rng;

use crate::body_reader::{AnswerPace, read_whole};
use crate::calls::{WholeAnswer, count_answer, deliver};
use crate::crash_probe;
use crate::event_source::{EventSource, SourceItem};
use crate::exchange::{
    Exchange, ExchangeError, SendOptions, attempt_failed, exchange, keep, pause,
};
use crate::ingress::InFlight;
use crate::load_reservation::LoadClaim;
use crate::log::LogEvent;
use crate::peers::SMALL_FLEET_HOSTS;
use crate::remote_placement::{self, Placed};
use crate::request::RoutedRequest;
use crate::response::{ResponseBody, refuse, target_head};
use crate::sse::StreamEvent;
use crate::state::{GatewayState, SharedGateway, millis};
use crate::stream_relay::StreamRelay;

/// Sends of one request, those included that an engine turned away.
const MAX_SENDS: u32 = 4;

/// What a generation needs, from what the caller says of it and its route's requests needed.
fn need_of(gateway: &SharedGateway, request: &RoutedRequest) -> StreamNeed {
    let head = &request.head;
    let output = gateway.with_state(|state| {
        let lengths = state
            .length_estimators
            .entry(request.route.name.clone())
            .or_default();
        if let Some(hint) = head.output_tokens_hint {
            lengths.arrived(hint);
        }
        lengths.expected(head.output_tokens_hint, head.max_output_tokens)
    });
    StreamNeed {
        prompt: head.prompt_tokens,
        output,
        made: 0,
        rank: usize::from(request.priority()).min(RANKS - 1),
    }
}

/// Carries a generation to its first event, and leaves the rest to a task.
pub async fn carry(
    gateway: &SharedGateway,
    request: RoutedRequest,
    in_flight: InFlight,
) -> Response<ResponseBody> {
    let request = Rc::new(request);
    let need = need_of(gateway, &request);
    match begin(gateway, &request, need).await {
        Begun::Refused(reason) => refuse(gateway, request.as_ref().into(), reason),
        Begun::Answered(target, answer) => deliver(gateway, &request, target, answer),
        Begun::Stream(stream) => {
            let head = target_head(stream.source.head.status, &stream.source.head.headers);
            count_answer(gateway, &request, "stream");
            let (relay, body) = StreamRelay::new(Rc::clone(gateway), request, need, stream);
            tokio::task::spawn_local(async move {
                relay.run().await;
                drop(in_flight);
            });
            head.map(|()| body.boxed_unsync())
        }
    }
}

/// A stream whose first event is there.
pub struct BegunStream {
    /// The rest of its events.
    pub source: EventSource,
    /// The first event.
    pub first: StreamEvent,
    /// Its place at the engine.
    pub claim: LoadClaim,
    /// Sends so far.
    pub sends: u32,
    /// Sends that may have run.
    pub runs: u32,
}

enum Begun {
    Refused(RefusalReason),
    Answered(TargetKey, WholeAnswer),
    Stream(Box<BegunStream>),
}

/// Sends until an engine makes the first event.
async fn begin(gateway: &SharedGateway, request: &Rc<RoutedRequest>, need: StreamNeed) -> Begun {
    let mut tried = Vec::new();
    let mut sends = 0;
    let mut runs = 0;
    let mut broke = false;
    if let Some(left) = gateway.shutdown_time_left()
        && gateway.token_time(&request.service) * need.output + need_time(need) > left.mul_f64(0.8)
    {
        return Begun::Refused(RefusalReason::Leaving);
    }
    let reason = loop {
        let place = match find_place(gateway, request, need, &tried).await {
            Ok(place) => place,
            Err(reason) => break reason,
        };
        if sends == 0 {
            gateway.count_request(&request.service);
        } else if sends >= MAX_SENDS || !gateway.try_spend_retry(&request.service) {
            break RefusalReason::TurnedAway;
        }
        sends += 1;
        let target = place.target;
        let claim = LoadClaim::stream(gateway, target, &need, need.prompt);
        let wait = request.time_to_answer(gateway.now());
        let attempt = first_event(gateway, request, need, claim, place.first_token, sends);
        match tokio::time::timeout(wait, attempt).await {
            Ok(Ok(FirstItem::Event(mut stream))) => {
                stream.sends = sends;
                stream.runs = runs + 1;
                return Begun::Stream(stream);
            }
            Ok(Ok(FirstItem::Answer(answer))) => {
                runs += 1;
                let may_repeat = request.route.kind.is_idempotent()
                    && answer.head.status.is_server_error()
                    && runs < request.route.max_attempts;
                if !may_repeat {
                    return Begun::Answered(target, answer);
                }
            }
            Ok(Err(ExchangeError::Broken | ExchangeError::Endless)) => {
                broke = true;
                runs += 1;
                if !request.route.kind.is_idempotent() || runs >= request.route.max_attempts {
                    break RefusalReason::TargetBroke;
                }
            }
            Ok(Err(
                ExchangeError::NotRun | ExchangeError::HeldBack | ExchangeError::Unreachable,
            )) => {}
            Err(_) => break RefusalReason::LateSent,
        }
        tried.push(target);
    };
    let may_have_run = broke || runs > 0;
    Begun::Refused(match reason {
        RefusalReason::LateSent => RefusalReason::LateSent,
        _ if may_have_run => RefusalReason::TargetBroke,
        other => other,
    })
}

/// About how long an idle engine reads a prompt.
fn need_time(need: StreamNeed) -> Duration {
    Duration::from_micros(u64::from(need.prompt) * 140)
}

enum FirstItem {
    Event(Box<BegunStream>),
    Answer(WholeAnswer),
}

async fn first_event(
    gateway: &SharedGateway,
    request: &Rc<RoutedRequest>,
    need: StreamNeed,
    mut claim: LoadClaim,
    expected: Duration,
    attempt: u32,
) -> Result<FirstItem, ExchangeError> {
    let begun = gateway.now();
    let target = claim.target;
    let options = SendOptions {
        attempt,
        ..SendOptions::default()
    };
    let exchange = exchange(gateway, request, target, options).await?;
    if !exchange.head.status.is_success() {
        return whole_answer(gateway, request, &claim, exchange, attempt).await;
    }
    let mut source = EventSource::new(exchange);
    match source.next().await {
        SourceItem::Event(first) => {
            let took = claim.prompt_read();
            gateway.log.event(&LogEvent::FirstEvent {
                id: &request.head.attempt_id,
                target: &gateway.instance(target),
                after_ms: millis(took),
                expected_ms: millis(expected),
                prompt: need.prompt,
                ahead: claim.ahead,
            });
            Ok(FirstItem::Event(Box::new(BegunStream {
                source,
                first,
                claim,
                sends: attempt,
                runs: 1,
            })))
        }
        SourceItem::End | SourceItem::Broken => {
            claim.outcome(TargetOutcome::Failed);
            crash_probe::connection_broke(gateway, target, request.mark);
            Err(ExchangeError::Broken)
        }
        SourceItem::Endless => {
            let error = ExchangeError::Endless;
            attempt_failed(gateway, request, target, attempt, error, begun);
            Err(error)
        }
    }
}

async fn whole_answer(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    claim: &LoadClaim,
    exchange: Exchange,
    attempt: u32,
) -> Result<FirstItem, ExchangeError> {
    let begun = gateway.now();
    let body = match read_whole(gateway, exchange.body, AnswerPace::AtOnce).await {
        Ok(body) => body,
        Err(cause) => {
            let error = cause.into();
            attempt_failed(gateway, request, claim.target, attempt, error, begun);
            return Err(error);
        }
    };
    claim.outcome(TargetOutcome::Failed);
    keep(gateway, claim.target, &exchange.head, exchange.connection);
    Ok(FirstItem::Answer(WholeAnswer {
        head: exchange.head,
        body,
    }))
}

/// Removes a request from its waiting list however it stops waiting.
struct WaitGuard<'a> {
    gateway: &'a SharedGateway,
    request: &'a RoutedRequest,
    ticket: u64,
    since: Duration,
}

impl Drop for WaitGuard<'_> {
    fn drop(&mut self) {
        let waited = self.gateway.now().saturating_sub(self.since);
        let route = self.request.route.name.as_str();
        self.gateway.metrics.observe_wait(route, waited);
        self.gateway.with_state(|state| {
            if let Some(list) = state.wait_queues.get_mut(&self.request.service) {
                list.remove(self.ticket);
            }
        });
        self.gateway.capacity_freed.notify_waiters();
    }
}

/// Chooses an engine: this host compares its region with the others, and within its region the
/// placer decides.
async fn place(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    need: StreamNeed,
    tried: &[TargetKey],
    spread: Duration,
) -> Option<Placement> {
    let is_large = gateway.with_state(|state| state.hosts.len() > SMALL_FLEET_HOSTS);
    let waited = gateway.now().saturating_sub(request.arrived);
    let patience = patience(request.route.target_latency).saturating_sub(waited);
    let token_time = gateway.token_time(&request.service);
    let near_options = PlaceOptions {
        service: &request.service,
        need,
        home: &gateway.settings.zone,
        patience,
        repeatable_for: (request.route.kind.is_idempotent() && need.made == 0)
            .then(|| token_time * need.output),
        spread: Duration::ZERO,
        far_host: None,
    };
    let known = |is_far: bool, spread: Duration| {
        let options = PlaceOptions {
            spread,
            far_host: is_large.then_some(gateway.host_id),
            ..near_options
        };
        let may_use = |key: TargetKey, target: &Target| {
            (target.distance == Distance::Elsewhere) == is_far && !tried.contains(&key)
        };
        let now = gateway.now();
        gateway.with_state(|state| {
            let GatewayState { targets, rng, .. } = state;
            place_stream(targets, &options, may_use, now, rng)
        })
    };
    let far = known(true, spread);
    let Some(near) = known(false, Duration::ZERO) else {
        return far;
    };
    if far.is_some_and(|far| far.cost < near.cost) {
        return far;
    }
    match remote_placement::ask(gateway, &near_options, tried).await {
        Placed::At(place) => Some(place),
        Placed::Full => far,
        Placed::Unknown => known(false, spread),
    }
}

/// Finds an engine with room, waiting for one if there is a prospect.
pub async fn find_place(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    need: StreamNeed,
    tried: &[TargetKey],
) -> Result<Placement, RefusalReason> {
    let now = gateway.now();
    let spread =
        gateway.with_state(|state| spread(state.hosts.in_region(&gateway.settings.region)));
    let is_behind = gateway.with_state(|state| {
        let list = state
            .wait_queues
            .entry(request.service.clone())
            .or_default();
        list.is_behind(need.rank)
    });
    if !is_behind && let Some(found) = place(gateway, request, need, tried, spread).await {
        return Ok(found);
    }
    let (ticket, until) = gateway.with_state(|state| {
        let mut any = false;
        let running: u32 = state
            .targets
            .of_service(&request.service)
            .inspect(|(_, target)| any |= target.is_usable(now))
            .map(|(_, target)| target.own.requests)
            .sum();
        if !any {
            return Err(RefusalReason::NoTarget);
        }
        let list: &mut WaitingList = state
            .wait_queues
            .entry(request.service.clone())
            .or_default();
        if !list.has_prospect(need.rank, running) {
            return Err(RefusalReason::Overload);
        }
        state.next_waiter_id += 1;
        let ticket = state.next_waiter_id;
        let waiting = Waiting::new(ticket, need.rank, now, request.route.target_latency);
        gateway.log.event(&LogEvent::Waits {
            id: &request.head.attempt_id,
            request: request.mark.to_string(),
            rank: need.rank,
            ahead: list.len(),
        });
        list.push(waiting);
        Ok((ticket, waiting.until))
    })?;
    let _guard = WaitGuard {
        gateway,
        request,
        ticket,
        since: now,
    };
    loop {
        let changed = gateway.capacity_freed.notified();
        let now = gateway.now();
        let is_first = gateway.with_state(|state| {
            state
                .wait_queues
                .get(&request.service)
                .is_some_and(|list| list.is_first(ticket))
        });
        if is_first && let Some(found) = place(gateway, request, need, tried, spread).await {
            return Ok(found);
        }
        if now >= until {
            return Err(RefusalReason::Overload);
        }
        let _ = tokio::time::timeout(until.saturating_sub(now), changed).await;
        // All hosts hear of a free place at once, and one request has room there.
        let turn = gateway.with_state(|state| spread.mul_f64(state.rng.random()));
        pause(turn).await;
    }
}
