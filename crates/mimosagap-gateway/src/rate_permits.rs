//! Permits to send requests to targets that name a rate limit for all hosts together.
//!
//! A host that wants to send a request to such a target asks the keeper of the target over UDP, and
//! sends nothing without a permit. This module holds the client and the handler that runs on
//! keepers and deputies; the decisions are in `mimosagap_routing::rate_keeper` and
//! `mimosagap_routing::keeper_selection`. Each ask carries what the target last said to the host,
//! so that a keeper decides by the newest limit that any asking host has heard.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_routing::cold_rate::{
    COLD_PERMIT_FEATURE, COLD_PERMIT_TTL, DEPUTY_COUNT, LocalShare, MAX_COLD_WAIT, keeper_fraction,
};
use mimosagap_routing::keeper_selection::{KeeperSelector, MAX_PROOF_AGE, rate_fraction};
use mimosagap_routing::rate_keeper::{PermitAsk, PermitClass, PermitDecision, RateKeeper};
use mimosagap_routing::rate_limit::RateStatement;
use mimosagap_routing::retry_budget::RetryBudget;
use mimosagap_routing::targets::TargetKey;
use mimosagap_types::prelude::*;
use rand::Rng;
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::exchange::sleep_unless_zero;
use crate::log::LogEvent;
use crate::peers::PeerMessage;
use crate::pending_responses::{PendingResponse, PendingResponses};
use crate::state::{Gateway, GatewayState, SharedGateway, millis};
use crate::target_notices;

/// Time for a response of a keeper in the host's own region, and in another one. A small host may
/// be without processor time for a tenth of a second.
const RESPONSE_TIMEOUT: (Duration, Duration) =
    (Duration::from_millis(60), Duration::from_millis(160));

/// Number of times that an ask is sent before it counts as failed. Datagrams get lost.
const MAX_ASKS: u32 = 2;

/// Time for which a target is not used after an ask for it failed.
const FAILURE_HOLD: Duration = Duration::from_millis(100);

/// A permit is void this long after the start of its slot. A host that was suspended meanwhile must
/// not use it.
const PERMIT_TTL: Duration = Duration::from_millis(250);

/// Largest random change of the time after which a host asks again, as a fraction, so that hosts
/// that were denied together do not ask together.
const HOLD_JITTER: f64 = 0.25;

/// Name of the keeper in the log if a host used its local share of the rate of a cold engine.
const LOCAL_SHARE: &str = "local";

/// Statement of a host that heard of no limit, which asks for a permit because the target may be
/// cold. No response arrives at the time of its request.
const NO_STATEMENT: RateStatement = RateStatement {
    per_second: None,
    asked_at: Duration::ZERO,
    heard_at: Duration::ZERO,
};

/// Targets that the log names for one refused request.
const MAX_HELD_LINES: usize = 4;

/// Responses that are kept for asks that arrive twice.
const MAX_RECENT_RESPONSES: usize = 256;

/// Asks the keeper of a target for a permit.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct PermitRequest {
    id: u64,
    instance: String,
    started_unix_ms: u64,
    /// What the target last said to the host that asks, with ages instead of times.
    statement: RateStatement,
    ask: PermitAsk,
}

/// The response to a [`PermitRequest`].
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct PermitResponse {
    id: u64,
    answer: PermitAnswer,
}

#[derive(Debug, Clone, Copy)]
#[derive(Serialize, Deserialize)]
enum PermitAnswer {
    /// The host decided by the limit that it knows.
    Decided(PermitDecision),
    /// The target names no limit any more; the statement has ages instead of times.
    Unlimited(RateStatement),
    /// The host does not know the target, or is about to stop.
    Unable,
}

/// Why a request may not be sent now.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum PermitError {
    /// An earlier ask was denied, and the time to ask again has not come.
    Held,
    /// The keeper has no slot in time.
    Denied,
    /// Neither the keeper nor a deputy responds.
    NoKeeper,
    /// The slot passed before the request could be sent.
    Expired,
}

impl PermitError {
    /// Stable name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Held => "held",
            Self::Denied => "denied",
            Self::NoKeeper => "no_keeper",
            Self::Expired => "expired",
        }
    }
}

/// Sends asks, matches responses to them, and keeps the responses of this host.
pub struct PermitClient {
    pending: PendingResponses<PermitAnswer>,
    selector: RefCell<KeeperSelector>,
    /// Responses of this host to others, by the hash of the host that asked and the id.
    recent_responses: RefCell<VecDeque<((u64, u64), PermitResponse)>>,
}

impl PermitClient {
    /// Creates a client that was started at a time since boot. A process that is restarted uses
    /// other ids than the one before, whose asks other hosts may still remember.
    pub fn new(started_at: Duration) -> Self {
        let first_id = u64::try_from(started_at.as_nanos()).unwrap_or_default();
        Self {
            pending: PendingResponses::new(first_id),
            selector: RefCell::default(),
            recent_responses: RefCell::default(),
        }
    }

    /// Passes a response to the ask that waits for it.
    pub fn complete(&self, response: &PermitResponse) {
        self.pending.complete(response.id, response.answer);
    }
}

/// What a request asks for.
#[derive(Debug, Clone, Copy)]
pub struct PermitOptions<'a> {
    /// Attempt id, for the log; empty for calls that belong to no request.
    pub id: &'a str,
    /// Why the request is sent.
    pub class: PermitClass,
    /// How long it can wait for its slot.
    pub max_wait: Duration,
}

/// A permit to send one request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Permit {
    /// Time from which it is void; `None` if it was checked when the slot began.
    valid_until: Option<Duration>,
}

impl Permit {
    /// Whether the request may be sent now.
    pub fn is_valid(&self, now: Duration) -> bool {
        self.valid_until.is_none_or(|until| now < until)
    }
}

/// Waits until a request may be sent to a target. Returns at once if the target names no limit and
/// its service no rate for cold engines.
pub async fn acquire_permit(
    gateway: &SharedGateway,
    key: TargetKey,
    options: PermitOptions<'_>,
) -> Result<Permit, PermitError> {
    let now = gateway.now();
    let limit = gateway.with_state(|state| {
        let target = state.targets.get(key)?;
        target.permit_rate(now)?;
        Some((target.hold_time(now), target.cold.is_cold(now)))
    });
    let Some((hold, may_be_cold)) = limit else {
        return Ok(Permit { valid_until: None });
    };
    let mut asked_at = now;
    let (keeper, result) = match options.max_wait.checked_sub(hold) {
        Some(max_wait) => {
            sleep_unless_zero(hold).await;
            asked_at = gateway.now();
            ask_keeper(
                gateway,
                key,
                PermitOptions {
                    max_wait,
                    ..options
                },
            )
            .await
        }
        // What goes on at a target is worth an ask whatever happened to new requests.
        None if options.class == PermitClass::Continuation => {
            ask_keeper(gateway, key, options).await
        }
        None => (String::new(), Err(PermitError::Held)),
    };
    let (keeper, result) = match result {
        Err(PermitError::NoKeeper) if may_be_cold => use_local_share(gateway, key),
        result => (keeper, result),
    };
    let result = match result {
        Ok(wait) => await_slot(gateway, wait).await.map(|()| wait),
        Err(error) => Err(error),
    };
    log_permit(gateway, key, options.id, &keeper, result);
    if may_be_cold {
        count_cold_permit(gateway, &keeper, result);
    }
    result.map(|wait| Permit {
        valid_until: may_be_cold.then(|| {
            // The keeper granted the slot between the ask and its response.
            let granted_at = if keeper == LOCAL_SHARE {
                gateway.now()
            } else {
                asked_at
            };
            granted_at + wait + COLD_PERMIT_TTL
        }),
    })
}

/// Waits until a call about a generation that runs at a target may be sent there. Such a call starts
/// nothing and needs no permit of a cold engine; a limit that the target names holds for all calls.
pub async fn acquire_call_permit(
    gateway: &SharedGateway,
    key: TargetKey,
    options: PermitOptions<'_>,
) -> Result<Permit, PermitError> {
    let now = gateway.now();
    let is_limited = gateway.with_state(|state| {
        let target = state.targets.get(key);
        target.is_some_and(|target| target.rate.per_second(now).is_some())
    });
    if is_limited {
        acquire_permit(gateway, key, options).await
    } else {
        Ok(Permit { valid_until: None })
    }
}

/// Uses this host's share of the rate of an engine, because neither the keeper nor its deputy
/// responds. Without a share now, the engine is held until the next one.
fn use_local_share(
    gateway: &SharedGateway,
    key: TargetKey,
) -> (String, Result<Duration, PermitError>) {
    let now = gateway.now();
    let wait = gateway.with_state(|state| {
        let host_count = state.sharing_hosts(now)?;
        let target = state.targets.get_mut(key)?;
        let share = LocalShare::new(gateway.host_hash, &target.entry.instance, host_count);
        target.cold.use_local_share(&share, now)
    });
    match wait {
        Some(Duration::ZERO) => (LOCAL_SHARE.to_owned(), Ok(Duration::ZERO)),
        wait => {
            hold(gateway, key, wait.unwrap_or(FAILURE_HOLD), 1.0);
            (String::new(), Err(PermitError::NoKeeper))
        }
    }
}

fn count_cold_permit(gateway: &Gateway, keeper: &str, result: Result<Duration, PermitError>) {
    let name = match result {
        Ok(_) if keeper == LOCAL_SHARE => "local_share",
        Ok(_) => "granted",
        Err(error) => error.name(),
    };
    let permits = &gateway.metrics.exclusions.cold_permits;
    permits.with_label_values(&[name]).inc();
}

/// Waits for the start of a slot, and checks that this host was not suspended beyond its end.
async fn await_slot(gateway: &Gateway, wait: Duration) -> Result<(), PermitError> {
    let slot = gateway.now() + wait;
    sleep_unless_zero(wait).await;
    if gateway.now() < slot + PERMIT_TTL {
        Ok(())
    } else {
        Err(PermitError::Expired)
    }
}

/// Asks the keeper, or this host if it is the one. Returns its name and the time until the slot.
async fn ask_keeper(
    gateway: &SharedGateway,
    key: TargetKey,
    options: PermitOptions<'_>,
) -> (String, Result<Duration, PermitError>) {
    let client = &gateway.permit_client;
    let settings = &gateway.settings;
    let now = gateway.now();
    let mut pending = client.pending.add();
    let prepared = gateway.with_state(|state| {
        let region = state.targets.region_of(key);
        let selector = client.selector.borrow();
        let target = state.targets.get(key)?;
        let (name, record) = if target.cold.is_cold(now) {
            selector.select_among(
                DEPUTY_COUNT + 1,
                COLD_PERMIT_FEATURE,
                &state.hosts,
                region,
                now,
            )?
        } else {
            selector.select(&state.hosts, region, now)?
        };
        let budget = state.retry_budgets.get(&target.entry.service);
        let bounds = gateway.retry_bounds();
        let demand = budget.map_or(0.0, |budget: &RetryBudget| budget.request_rate(&bounds));
        let request = PermitRequest {
            id: pending.id,
            instance: target.entry.instance.clone(),
            started_unix_ms: target.entry.started_unix_ms,
            statement: target.rate.newest().unwrap_or(NO_STATEMENT),
            ask: PermitAsk {
                host_hash: gateway.host_hash,
                class: options.class,
                max_wait: options.max_wait,
                demand,
            },
        };
        let response_timeout = if record.region == settings.region {
            RESPONSE_TIMEOUT.0
        } else {
            RESPONSE_TIMEOUT.1
        };
        Some((
            name.to_owned(),
            record.peer_address,
            response_timeout,
            request,
        ))
    });
    let Some((name, address, response_timeout, request)) = prepared else {
        return (String::new(), Err(PermitError::NoKeeper));
    };
    let answer = if name == settings.host {
        Some(decide(gateway, &request))
    } else {
        request_permit(gateway, address, response_timeout, &request, &mut pending).await
    };
    let result = apply_answer(gateway, key, &name, answer);
    (name, result)
}

async fn request_permit(
    gateway: &SharedGateway,
    address: SocketAddr,
    response_timeout: Duration,
    request: &PermitRequest,
    pending: &mut PendingResponse<'_, PermitAnswer>,
) -> Option<PermitAnswer> {
    let socket = gateway.placer_rpc.socket()?;
    for _ in 0..MAX_ASKS {
        let message = PermitRequest {
            statement: request.statement.to_ages(gateway.now()),
            ..request.clone()
        };
        let bytes = PeerMessage::PermitRequest(message).encode()?;
        // A datagram that cannot be sent counts as lost.
        let _ = socket.send_to(&bytes, address).await;
        if let Ok(answer) = timeout(response_timeout, pending.receive()).await {
            return answer;
        }
    }
    None
}

/// Applies an answer to what this host knows of the target. Returns the time until the slot.
fn apply_answer(
    gateway: &SharedGateway,
    key: TargetKey,
    keeper: &str,
    answer: Option<PermitAnswer>,
) -> Result<Duration, PermitError> {
    let now = gateway.now();
    let mut selector = gateway.permit_client.selector.borrow_mut();
    let has_named_limit = gateway.with_state(|state| {
        let target = state.targets.get(key);
        target.is_some_and(|target| target.rate.per_second(now).is_some())
    });
    match answer {
        None => selector.record_failure(keeper, now),
        // A keeper may learn of a new engine later than this host. For other engines it still grants.
        Some(PermitAnswer::Unable) if has_named_limit => selector.record_failure(keeper, now),
        Some(_) => selector.record_response(keeper),
    }
    drop(selector);
    match answer {
        Some(PermitAnswer::Decided(PermitDecision::Granted(wait))) => Ok(wait),
        Some(PermitAnswer::Decided(PermitDecision::Denied { ask_in, overload })) => {
            hold(gateway, key, ask_in, overload);
            Err(PermitError::Denied)
        }
        Some(PermitAnswer::Unlimited(statement)) => {
            target_notices::record_statement(gateway, key, statement.from_ages(now), "host");
            Ok(Duration::ZERO)
        }
        Some(PermitAnswer::Unable) | None => {
            hold(gateway, key, FAILURE_HOLD, 1.0);
            Err(PermitError::NoKeeper)
        }
    }
}

/// Bars a target until it is time to ask again, and wakes waiting requests then.
fn hold(gateway: &SharedGateway, key: TargetKey, ask_in: Duration, overload: f64) {
    let now = gateway.now();
    let ask_in = gateway.with_state(|state| {
        let GatewayState { targets, rng, .. } = state;
        let jitter = rng.random_range(1.0 - HOLD_JITTER..1.0 + HOLD_JITTER);
        let ask_in = ask_in.mul_f64(jitter);
        if let Some(target) = targets.get_mut(key) {
            target.hold(ask_in, overload, now);
        }
        ask_in
    });
    let gateway = std::rc::Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        tokio::time::sleep(ask_in).await;
        gateway.capacity_freed.notify_waiters();
    });
}

fn log_permit(
    gateway: &Gateway,
    key: TargetKey,
    id: &str,
    keeper: &str,
    result: Result<Duration, PermitError>,
) {
    let now = gateway.now();
    let name = result.err().map_or("granted", PermitError::name);
    gateway
        .metrics
        .target_signals
        .permits
        .with_label_values(&[name])
        .inc();
    let (per_second, named_for, ask_in) = gateway.with_state(|state| {
        let target = state.targets.get(key);
        target.map_or((None, None, Duration::ZERO), |target| {
            (
                target.permit_rate(now),
                target.rate.named_for(now),
                target.hold_time(now),
            )
        })
    });
    gateway.log.event(&LogEvent::RatePermit {
        id,
        target: &gateway.instance(key),
        result: name,
        keeper,
        per_second,
        named_ms: named_for.map(millis),
        wait_ms: result.map_or(0, millis),
        ask_in_ms: millis(ask_in),
    });
}

/// Logs for a refused request which targets of its service it could not use because of their rate
/// limits.
pub fn log_held_targets(gateway: &Gateway, id: &str, service: &DeploymentName) {
    let now = gateway.now();
    let held: Vec<TargetKey> = gateway.with_state(|state| {
        let targets = state.targets.of_service(service);
        targets
            .filter(|(_, target)| !target.hold_time(now).is_zero())
            .map(|(key, _)| key)
            .take(MAX_HELD_LINES)
            .collect()
    });
    for key in held {
        log_permit(gateway, key, id, "", Err(PermitError::Held));
    }
}

/// Responds to the ask of another host. An ask that arrives twice gets the same response.
pub fn handle_request(gateway: &SharedGateway, request: &PermitRequest) -> PermitResponse {
    let now = gateway.now();
    let cache_key = (request.ask.host_hash, request.id);
    let mut recent = gateway.permit_client.recent_responses.borrow_mut();
    if let Some((_, response)) = recent.iter().rev().find(|(key, _)| *key == cache_key) {
        return response.clone();
    }
    drop(recent);
    let request = PermitRequest {
        statement: request.statement.from_ages(now),
        ..request.clone()
    };
    let response = PermitResponse {
        id: request.id,
        answer: decide(gateway, &request),
    };
    recent = gateway.permit_client.recent_responses.borrow_mut();
    recent.push_back((cache_key, response.clone()));
    while recent.len() > MAX_RECENT_RESPONSES {
        recent.pop_front();
    }
    response
}

/// Decides as keeper or deputy on an ask whose statement has times of this host.
fn decide(gateway: &SharedGateway, request: &PermitRequest) -> PermitAnswer {
    let now = gateway.now();
    let key = gateway.with_state(|state| {
        let key = state.targets.find_instance(&request.instance)?;
        let entry = &state.targets.get(key)?.entry;
        (entry.started_unix_ms == request.started_unix_ms).then_some(key)
    });
    let Some(key) = key.filter(|_| !gateway.is_stopping()) else {
        return PermitAnswer::Unable;
    };
    if request.statement.asked_at != request.statement.heard_at {
        target_notices::record_statement(gateway, key, request.statement, "host");
    }
    gateway.with_state(|state| {
        // Until all hosts have registered again with a store that lost their records, another one may
        // take itself for the keeper.
        let is_settled = state
            .store_restored_at
            .is_none_or(|at| now.saturating_sub(at) >= MAX_PROOF_AGE);
        let proof_age = state.config.contact_age(now).filter(|_| is_settled);
        let region = state.targets.region_of(key);
        let host = &gateway.settings.host;
        let fraction = rate_fraction(&state.hosts, region, host, proof_age);
        let cold_fraction = keeper_fraction(&state.hosts, region, host, proof_age);
        let Some(target) = state.targets.get_mut(key) else {
            return PermitAnswer::Unable;
        };
        if let Some(cold_rate) = target.cold.per_second() {
            let named_rate = target.rate.per_second(now).map(|rate| rate * fraction);
            let cold_rate = cold_rate * cold_fraction;
            let rate = named_rate.map_or(cold_rate, |rate| rate.min(cold_rate));
            if rate <= 0.0 {
                return PermitAnswer::Unable;
            }
            let keeper = target.keeper.get_or_insert_with(|| {
                Box::new(RateKeeper::without_burst(rate, MAX_COLD_WAIT, now))
            });
            return PermitAnswer::Decided(keeper.decide(&request.ask, rate, now));
        }
        let Some(rate) = target.rate.per_second(now) else {
            return target.rate.newest().map_or(PermitAnswer::Unable, |newest| {
                PermitAnswer::Unlimited(newest.to_ages(now))
            });
        };
        let rate = rate * fraction;
        let keeper = target
            .keeper
            .get_or_insert_with(|| Box::new(RateKeeper::new(rate, now)));
        PermitAnswer::Decided(keeper.decide(&request.ask, rate, now))
    })
}
