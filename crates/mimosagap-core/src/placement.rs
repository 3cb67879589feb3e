//! The choice of a target.

use std::time::Instant;

use mimosagap_rules::statement::RoutePolicy;
use mimosagap_types::prelude::*;
use rand::Rng;

use crate::forecast::{AdmissionBound, MemoryCourse, engine_course};
use crate::targets::{Distance, Group, Target, TargetKey, Targets};

/// Cost of an engine in another zone. Costs are in parts of an engine's memory.
const ZONE_COST: f64 = 0.15;

/// Cost of an engine in another region. It exceeds every other difference, because traffic
/// between regions is slow and paid for by volume.
const REGION_COST: f64 = 2.0;

/// Cost of one waiting request for each running one.
const WAITING_COST: f64 = 0.5;

/// The most that a full prefix match is worth, so that affinity never outweighs a hot engine.
const PREFIX_WORTH: f64 = 0.2;

/// Tokens of one block of a prefix: the caller side hashes 256 bytes at a time, 4 for each token.
pub const BLOCK_TOKENS: u32 = 64;

/// Cost of a target at which the request failed before.
const FAILED_COST: f64 = 4.0;

/// An engine with more waiting requests than this, and one for every 16 running, takes no more:
/// the request would wait there, bound to one engine, instead of here.
const MAX_WAITING: u32 = 1;

/// A request which looks for an engine.
#[derive(Debug)]
pub struct Candidate<'a> {
    /// What it needs now and at each horizon, in tokens.
    pub need: MemoryCourse,
    /// Hashes of its leading blocks.
    pub prefix: &'a [u64],
    /// Targets at which it failed.
    pub avoid: &'a [TargetKey],
    /// The region which it must not leave.
    pub kept: Option<&'a RegionName>,
    /// Whether it is a suspect, which needs an engine without another trial.
    pub suspect: bool,
}

fn is_open(target: &Target, candidate: &Candidate<'_>, now: Instant) -> bool {
    target.is_usable(now)
        && (!candidate.suspect || target.trial.is_none())
        && candidate.kept.is_none_or(|region| *region == target.region)
}

/// Chooses an engine. `None` means that the request has to wait.
pub fn choose_engine(
    targets: &Targets,
    group: &Group,
    policy: RoutePolicy,
    bound: AdmissionBound,
    candidate: &Candidate<'_>,
    random: &mut impl Rng,
    now: Instant,
) -> Option<TargetKey> {
    if policy == RoutePolicy::Forecast {
        return by_forecast(targets, group, bound, candidate, now);
    }
    let mut open: Vec<(TargetKey, &Target)> = group
        .targets
        .iter()
        .filter_map(|key| targets.get(*key).map(|target| (*key, target)))
        .filter(|(_, target)| is_open(target, candidate, now))
        .collect();
    keep_unless_empty(&mut open, |(key, _)| !candidate.avoid.contains(key));
    keep_unless_empty(&mut open, |(_, target)| {
        target.distance < Distance::Elsewhere
    });
    if open.is_empty() {
        return None;
    }
    let load = |(_, target): &&(TargetKey, &Target)| target.outstanding();
    let chosen = match policy {
        RoutePolicy::Forecast | RoutePolicy::RoundRobin => open.get(group.turn % open.len()),
        RoutePolicy::LeastOutstanding => open.iter().min_by_key(load),
        RoutePolicy::TwoChoices => {
            let first = random.random_range(0..open.len());
            let second = random.random_range(0..open.len());
            [&open[first], &open[second]].into_iter().min_by_key(load)
        }
    };
    chosen.map(|(key, _)| *key)
}

fn keep_unless_empty<T>(list: &mut Vec<T>, keep: impl Fn(&T) -> bool) {
    if list.iter().any(&keep) {
        list.retain(keep);
    }
}

fn by_forecast(
    targets: &Targets,
    group: &Group,
    bound: AdmissionBound,
    candidate: &Candidate<'_>,
    now: Instant,
) -> Option<TargetKey> {
    let typical = group.typical_change();
    let mut best: Option<(f64, TargetKey)> = None;
    for key in &group.targets {
        let Some(target) = targets.get(*key) else {
            continue;
        };
        if !is_open(target, candidate, now) {
            continue;
        }
        let matching = target.cache.matching(candidate.prefix);
        let Some(pressure) = pressure_if_admitted(target, typical, bound, candidate, matching, now)
        else {
            continue;
        };
        let cost =
            cost(*key, target, pressure, candidate) - prefix_worth(matching, candidate.prefix);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, *key));
        }
    }
    best.map(|(_, key)| key)
}

/// The forecast use with the candidate, or `None` if the engine must not take it.
fn pressure_if_admitted(
    target: &Target,
    typical: [f64; 3],
    bound: AdmissionBound,
    candidate: &Candidate<'_>,
    matching: usize,
    now: Instant,
) -> Option<f64> {
    let load = target.load.as_ref()?;
    let course = engine_course(target, typical, now);
    let shared = f64::from(shared_tokens(matching));
    let need = candidate.need.map(|tokens| (tokens - shared).max(0.0));
    let pressure = bound.peak(&course, &need, load.capacity());
    // An engine without any work takes every request, or one above the ceiling would wait for
    // ever.
    let is_idle = target.streams() == 0 && load.report.waiting == 0 && target.peer_tokens() <= 0.0;
    let has_room =
        pressure <= bound.ceiling && load.report.waiting <= MAX_WAITING + load.report.running / 16;
    (is_idle || has_room).then_some(pressure)
}

fn cost(key: TargetKey, target: &Target, pressure: f64, candidate: &Candidate<'_>) -> f64 {
    let waiting = target.load.as_ref().map_or(0, |load| load.report.waiting);
    let queueing = WAITING_COST * f64::from(waiting) / f64::from(target.streams() + 1);
    let distance = match target.distance {
        Distance::Zone => 0.0,
        Distance::Region => ZONE_COST,
        Distance::Elsewhere => REGION_COST,
    };
    let failed = if candidate.avoid.contains(&key) {
        FAILED_COST
    } else {
        0.0
    };
    pressure + queueing + distance + failed
}

/// Tokens of a prompt that an engine holds already and shares between streams.
#[must_use]
pub fn shared_tokens(matching: usize) -> u32 {
    u32::try_from(matching)
        .unwrap_or(u32::MAX)
        .saturating_mul(BLOCK_TOKENS)
}

#[expect(clippy::cast_precision_loss, reason = "a prefix has few blocks")]
fn prefix_worth(matching: usize, prefix: &[u64]) -> f64 {
    if prefix.is_empty() {
        return 0.0;
    }
    PREFIX_WORTH * matching as f64 / prefix.len() as f64
}

/// Chooses a target of a plain service: the nearest with the fewest requests of this daemon, not
/// one at which the request failed before.
#[must_use]
pub fn choose_service(
    targets: &Targets,
    group: &Group,
    avoid: &[TargetKey],
    now: Instant,
) -> Option<TargetKey> {
    group
        .targets
        .iter()
        .filter(|key| !avoid.contains(key))
        .filter_map(|key| targets.get(*key).map(|target| (*key, target)))
        .filter(|(_, target)| target.is_usable(now))
        .min_by_key(|(_, target)| (target.distance, target.outstanding()))
        .map(|(key, _)| key)
}
