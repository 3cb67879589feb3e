//! The choice of a target.

use std::time::Instant;

use mimosagap_rules::statement::RoutePolicy;
use mimosagap_types::prelude::*;
use rand::Rng;

use crate::forecast::{AdmissionBound, MemoryForecast, engine_forecast};
use crate::targets::{Target, TargetDistance, TargetGroup, TargetKey, TargetTable};

/// Cost of an engine in another zone. Costs are in parts of an engine's memory.
const OTHER_ZONE_COST: f64 = 0.15;

/// Cost of an engine in another region. It exceeds every other difference, because traffic
/// between regions is slow and paid for by volume.
const OTHER_REGION_COST: f64 = 2.0;

/// Cost of one waiting request for each running one.
const WAITING_COST: f64 = 0.5;

/// The most that a full prefix match is worth, so that affinity never outweighs a hot engine.
const MAX_PREFIX_BONUS: f64 = 0.2;

/// Tokens of one block of a prefix: the caller side hashes 256 bytes at a time, 4 for each token.
pub const BLOCK_TOKENS: u32 = 64;

/// Cost of a target at which the request failed before.
const PREVIOUS_FAILURE_COST: f64 = 4.0;

/// An engine with more waiting requests than this, and one for every 16 running, takes no more:
/// the request would wait there, bound to one engine, instead of here.
const MAX_ENGINE_WAITING: u32 = 1;

/// A request which looks for an engine.
#[derive(Debug)]
pub struct EngineRequirements<'a> {
    /// What it needs now and at each horizon, in tokens.
    pub need: MemoryForecast,
    /// Hashes of its leading blocks.
    pub prefix: &'a [u64],
    /// Targets at which it failed.
    pub failed_targets: &'a [TargetKey],
    /// The region which it must not leave.
    pub required_region: Option<&'a RegionName>,
    /// Whether it is a suspect, which needs an engine without another trial.
    pub is_suspect: bool,
}

fn is_eligible(target: &Target, requirements: &EngineRequirements<'_>, now: Instant) -> bool {
    target.is_usable(now)
        && (!requirements.is_suspect || target.trial.is_none())
        && requirements
            .required_region
            .is_none_or(|region| *region == target.region)
}

/// Chooses an engine. `None` means that the request has to wait.
pub fn choose_engine(
    targets: &TargetTable,
    group: &TargetGroup,
    policy: RoutePolicy,
    bound: AdmissionBound,
    requirements: &EngineRequirements<'_>,
    rng: &mut impl Rng,
    now: Instant,
) -> Option<TargetKey> {
    if policy == RoutePolicy::Forecast {
        return choose_by_forecast(targets, group, bound, requirements, now);
    }
    let mut eligible: Vec<(TargetKey, &Target)> = group
        .targets
        .iter()
        .filter_map(|key| targets.get(*key).map(|target| (*key, target)))
        .filter(|(_, target)| is_eligible(target, requirements, now))
        .collect();
    retain_unless_empty(&mut eligible, |(key, _)| {
        !requirements.failed_targets.contains(key)
    });
    retain_unless_empty(&mut eligible, |(_, target)| {
        target.distance < TargetDistance::OtherRegion
    });
    if eligible.is_empty() {
        return None;
    }
    let load = |(_, target): &&(TargetKey, &Target)| target.outstanding();
    let choice = match policy {
        RoutePolicy::Forecast | RoutePolicy::RoundRobin => {
            eligible.get(group.round_robin_next % eligible.len())
        }
        RoutePolicy::LeastOutstanding => eligible.iter().min_by_key(load),
        RoutePolicy::TwoChoices => {
            let first = rng.random_range(0..eligible.len());
            let second = rng.random_range(0..eligible.len());
            [&eligible[first], &eligible[second]]
                .into_iter()
                .min_by_key(load)
        }
    };
    choice.map(|(key, _)| *key)
}

fn retain_unless_empty<T>(items: &mut Vec<T>, predicate: impl Fn(&T) -> bool) {
    if items.iter().any(&predicate) {
        items.retain(predicate);
    }
}

fn choose_by_forecast(
    targets: &TargetTable,
    group: &TargetGroup,
    bound: AdmissionBound,
    requirements: &EngineRequirements<'_>,
    now: Instant,
) -> Option<TargetKey> {
    let mean_change = group.mean_stream_change();
    let mut best: Option<(f64, TargetKey)> = None;
    for key in &group.targets {
        let Some(target) = targets.get(*key) else {
            continue;
        };
        if !is_eligible(target, requirements, now) {
            continue;
        }
        let matching_blocks = target.cache.matching_blocks(requirements.prefix);
        let Some(usage) = usage_if_admitted(
            target,
            mean_change,
            bound,
            requirements,
            matching_blocks,
            now,
        ) else {
            continue;
        };
        let cost = placement_cost(*key, target, usage, requirements)
            - prefix_bonus(matching_blocks, requirements.prefix);
        if best.is_none_or(|(lowest, _)| cost < lowest) {
            best = Some((cost, *key));
        }
    }
    best.map(|(_, key)| key)
}

/// The forecast use with the candidate, or `None` if the engine must not take it.
fn usage_if_admitted(
    target: &Target,
    mean_change: [f64; 3],
    bound: AdmissionBound,
    requirements: &EngineRequirements<'_>,
    matching_blocks: usize,
    now: Instant,
) -> Option<f64> {
    let load = target.load.as_ref()?;
    let forecast = engine_forecast(target, mean_change, now);
    let cached = f64::from(cached_tokens(matching_blocks));
    let need = requirements.need.map(|tokens| (tokens - cached).max(0.0));
    let usage = bound.peak_usage(&forecast, &need, load.capacity());
    // An engine without any work takes every request, or one above the ceiling would wait for
    // ever.
    let is_idle = target.streams() == 0 && load.report.waiting == 0 && target.peer_tokens() <= 0.0;
    let has_room = usage <= bound.ceiling
        && load.report.waiting <= MAX_ENGINE_WAITING + load.report.running / 16;
    (is_idle || has_room).then_some(usage)
}

fn placement_cost(
    key: TargetKey,
    target: &Target,
    usage: f64,
    requirements: &EngineRequirements<'_>,
) -> f64 {
    let waiting = target.load.as_ref().map_or(0, |load| load.report.waiting);
    let queueing = WAITING_COST * f64::from(waiting) / f64::from(target.streams() + 1);
    let distance = match target.distance {
        TargetDistance::SameZone => 0.0,
        TargetDistance::SameRegion => OTHER_ZONE_COST,
        TargetDistance::OtherRegion => OTHER_REGION_COST,
    };
    let failure = if requirements.failed_targets.contains(&key) {
        PREVIOUS_FAILURE_COST
    } else {
        0.0
    };
    usage + queueing + distance + failure
}

/// Tokens of a prompt that an engine holds already and shares between streams.
#[must_use]
pub fn cached_tokens(matching_blocks: usize) -> u32 {
    u32::try_from(matching_blocks)
        .unwrap_or(u32::MAX)
        .saturating_mul(BLOCK_TOKENS)
}

#[expect(clippy::cast_precision_loss, reason = "a prefix has few blocks")]
fn prefix_bonus(matching_blocks: usize, prefix: &[u64]) -> f64 {
    if prefix.is_empty() {
        return 0.0;
    }
    MAX_PREFIX_BONUS * matching_blocks as f64 / prefix.len() as f64
}

/// Chooses a target of a plain service: the nearest with the fewest requests of this daemon, not
/// one at which the request failed before.
#[must_use]
pub fn choose_service(
    targets: &TargetTable,
    group: &TargetGroup,
    failed_targets: &[TargetKey],
    now: Instant,
) -> Option<TargetKey> {
    group
        .targets
        .iter()
        .filter(|key| !failed_targets.contains(key))
        .filter_map(|key| targets.get(*key).map(|target| (*key, target)))
        .filter(|(_, target)| target.is_usable(now))
        .min_by_key(|(_, target)| (target.distance, target.outstanding()))
        .map(|(key, _)| key)
}
