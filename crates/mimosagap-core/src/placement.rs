//! Choice of the target for a request. Under the forecast policy an engine must have room for the
//! stream over the whole forecast, and the cheapest such engine is chosen; the other policies are
//! baselines that queue in the engine.

use std::time::Instant;

use mimosagap_rules::statement::RoutePolicy;
use mimosagap_types::prelude::*;
use rand::Rng;

use crate::forecast::{AdmissionBound, MemoryForecast, engine_forecast};
use crate::targets::{Target, TargetDistance, TargetGroup, TargetKey, TargetTable};

/// Cost of an engine in another zone. All costs are in fractions of an engine's KV cache.
const OTHER_ZONE_COST: f64 = 0.15;

/// Cost of an engine in another region. It exceeds all differences in load, because traffic between
/// regions is slow and paid by volume.
const OTHER_REGION_COST: f64 = 2.0;

/// Cost of requests waiting in the engine, times their number for each running stream.
const WAITING_COST: f64 = 0.5;

/// Bonus for a full prefix match. Small enough that affinity never outweighs an overloaded engine.
const MAX_PREFIX_BONUS: f64 = 0.2;

/// Tokens of one prefix block: the input is hashed in blocks of 256 bytes, at 4 bytes a token.
pub const BLOCK_TOKENS: u32 = 64;

/// Cost of a target at which the request failed before.
const PREVIOUS_FAILURE_COST: f64 = 4.0;

/// An engine takes no request if its own queue is longer than this plus one for every 16 running
/// streams: the request would wait there, bound to one engine, instead of here.
const MAX_ENGINE_WAITING: u32 = 1;

/// What a request requires of an engine.
#[derive(Debug)]
pub struct EngineRequirements<'a> {
    /// KV cache needed now and at each horizon, in tokens.
    pub need: MemoryForecast,
    /// Hashes of the input's leading blocks.
    pub prefix: &'a [u64],
    /// Targets at which the request failed before; avoided if there are others.
    pub failed_targets: &'a [TargetKey],
    /// Region that the request must stay in; `None` for any region.
    pub required_region: Option<&'a RegionName>,
    /// Whether the request is a suspect, which needs an engine without another trial.
    pub is_suspect: bool,
}

fn is_eligible(target: &Target, requirements: &EngineRequirements<'_>, now: Instant) -> bool {
    target.is_usable(now)
        && (!requirements.is_suspect || target.trial.is_none())
        && requirements
            .required_region
            .is_none_or(|region| *region == target.region)
}

/// Chooses an engine; `None` means that the request has to wait.
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
    let chosen_target = match policy {
        RoutePolicy::Forecast | RoutePolicy::RoundRobin => {
            eligible.get(group.round_robin_next % eligible.len())
        }
        RoutePolicy::LeastOutstanding => eligible.iter().min_by_key(load),
        RoutePolicy::TwoChoices => {
            let first_index = rng.random_range(0..eligible.len());
            let second_index = rng.random_range(0..eligible.len());
            [&eligible[first_index], &eligible[second_index]]
                .into_iter()
                .min_by_key(load)
        }
    };
    chosen_target.map(|(key, _)| *key)
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

/// Forecast use with the request added, as a fraction of the KV cache; `None` if the engine must
/// not take it.
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
    // An idle engine takes any request; otherwise one above the ceiling would wait for ever.
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

/// Prompt tokens in an engine's prefix cache, which need no additional memory.
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

/// Chooses a target of a plain service: the nearest one, and among those the one with the fewest
/// requests of this daemon. Targets at which the request failed are excluded.
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
