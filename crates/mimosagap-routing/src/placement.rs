//! Chooses the target of a request.
//!
//! Many hosts send prompts of thousands of tokens to engines whose KV cache holds about ten of
//! them. An engine prefills one prompt after the other, so the time to the first token is the
//! prefill pending there. Its KV cache fills while responses of unknown length grow, and an engine
//! that runs out preempts generations. A generation is therefore placed where its first token is
//! expected earliest, among the engines whose KV cache holds it up to its expected end.
//!
//! When all engines are behind, a generation that would wait too long for the prefill of others is
//! not placed: it would delay all that follow beyond their objective too, although the engines
//! could serve nearly as many in time.

use std::time::Duration;

use mimosagap_types::prelude::*;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::hashing::stable_hash;
use crate::residency::{PermittedTarget, ResidencyPolicy};
use crate::target_suspicion::SuspicionPolicy;
use crate::targets::{Locality, Target, TargetKey, TargetTable};

/// Fraction of an engine's KV capacity that the expected sizes of its generations may fill. It
/// allows for responses that get longer than expected and for prompt prefixes that are shared.
pub const MAX_KV_FILL: f64 = 1.05;

/// Fraction of the KV capacity that is reserved for generations of the highest priority.
const URGENT_KV_RESERVE: f64 = 0.08;

/// Cost of a target in another zone of the region, for its round trip and its traffic.
const OTHER_ZONE_COST: Duration = Duration::from_millis(6);

/// Cost of a target in another region: a round trip of 60 ms, the price of its traffic, and load
/// reports that are half a second old, in which several prompts may have been sent there.
const OTHER_REGION_COST: Duration = Duration::from_millis(250);

/// Time after its listing before an engine of another region is used. All hosts see a new engine
/// empty, and learn what others send there only from the next report, after a trip of 30 ms.
const NEW_REMOTE_ENGINE_DELAY: Duration = Duration::from_millis(700);

/// Cost of an engine for an unrestricted generation in a region in which restricted requests lack
/// capacity. It exceeds [`OTHER_REGION_COST`] and [`FULL_KV_COST`] together, so that even a nearly
/// full engine of another region is preferred to one that has just got capacity there.
const CONTENDED_REGION_COST: Duration = Duration::from_millis(800);

/// A host uses one in this many of the engines of other regions, so that few hosts see the same
/// engine idle between two reports.
const REMOTE_PARTITIONS: u64 = 4;

/// Maximum random cost per host of the region: about the time until hosts that choose at the same
/// moment learn of each other's choice.
const JITTER_PER_HOST: Duration = Duration::from_millis(8);

/// Upper bound of the random cost: a fraction of the prefill time of one prompt.
const MAX_JITTER: Duration = Duration::from_millis(200);

/// Cost of a full KV cache: more concurrent requests make every token slower.
const FULL_KV_COST: Duration = Duration::from_millis(350);

/// Cost of an engine whose recent requests all failed.
const FAILURE_COST: Duration = Duration::from_millis(2500);

/// Cost of a target that requested a backoff from another host: about the time of a rejection and
/// another send.
const PEER_BACKOFF_COST: Duration = Duration::from_millis(300);

/// Failure rate up to which a target of a plain service counts as healthy: somewhat more than the
/// fraction of requests that fail at any target.
const BASELINE_FAILURE_RATE: f64 = 0.25;

/// Cost of a failure rate that exceeds [`BASELINE_FAILURE_RATE`] by 1, for a target of a plain
/// service. A rate of 0.3 costs as much as another region.
const CALL_FAILURE_COST: Duration = Duration::from_secs(5);

/// Cost of one request in flight per slot of a target of a plain service.
const SLOT_COST: Duration = Duration::from_millis(60);

/// Resources that a generation needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GenerationDemand {
    /// Length of the prompt.
    pub prompt_tokens: u32,
    /// Expected number of output tokens.
    pub expected_tokens: u32,
    /// Output tokens generated so far; 0 if it has not started.
    pub generated_tokens: u32,
    /// Priority level; 0 is the most urgent.
    pub priority_level: usize,
}

impl GenerationDemand {
    /// Expected KV cache size in tokens, averaged over the rest of the generation. The generations
    /// of an engine end at different times, so their total stays near the sum of the averages.
    #[must_use]
    pub fn mean_kv_tokens(&self) -> u32 {
        self.prompt_tokens
            + u32::midpoint(
                self.generated_tokens,
                self.expected_tokens.max(self.generated_tokens),
            )
    }
}

fn locality_cost(locality: Locality) -> Duration {
    match locality {
        Locality::SameZone => Duration::ZERO,
        Locality::SameRegion => OTHER_ZONE_COST,
        Locality::OtherRegion => OTHER_REGION_COST,
    }
}

fn peer_backoff_cost(target: &Target, now: Duration) -> Duration {
    if target.backoff.is_active_for_peers(now) {
        PEER_BACKOFF_COST
    } else {
        Duration::ZERO
    }
}

/// Locality of a target relative to `home_zone`, which may differ from the zone of this host.
fn locality_from(target: &Target, home_zone: &ZoneName) -> Locality {
    if target.entry.zone == *home_zone {
        Locality::SameZone
    } else {
        target.locality.max(Locality::SameRegion)
    }
}

/// Maximum random cost for a number of hosts that choose among the same engines.
#[must_use]
pub fn cost_jitter(host_count: usize) -> Duration {
    let peer_count = u32::try_from(host_count.saturating_sub(1)).unwrap_or(u32::MAX);
    JITTER_PER_HOST.saturating_mul(peer_count).min(MAX_JITTER)
}

/// Parameters for the placement of one generation.
#[derive(Debug, Clone, Copy)]
pub struct PlacementOptions<'a> {
    /// Service of the generation.
    pub service: &'a DeploymentName,
    /// Resources that it needs.
    pub demand: GenerationDemand,
    /// Version of the engine that began it, which is the only one that may continue it; `None` if no
    /// engine has begun it.
    pub version: Option<&'a SoftwareVersion>,
    /// Zone of the host that serves the caller.
    pub home_zone: &'a ZoneName,
    /// Maximum time that it may wait for the prefill of other prompts.
    pub max_queue_time: Duration,
    /// Time that it takes at an engine after its prefill; `None` if it must not be restarted
    /// elsewhere.
    pub restart_time: Option<Duration>,
    /// Maximum random cost that is added to each engine.
    pub cost_jitter: Duration,
    /// Hash of the host that chooses, if it uses only its partition of the engines of other regions
    /// because it learns of their loads late; `None` if it may use all. A restricted request may use
    /// all engines of its regions in any case, because these are few.
    pub remote_partition_host: Option<u64>,
    /// Where the request may be served.
    pub residency: &'a ResidencyPolicy,
}

/// The engine chosen for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The chosen engine.
    pub target: PermittedTarget,
    /// Expected time to the first token.
    pub time_to_first_token: Duration,
    /// Cost that was compared; the engine with the lowest cost is chosen.
    pub cost: Duration,
}

/// Fraction of an engine's KV capacity that is reserved, with `extra_tokens` for one more request.
fn expected_kv_fill(
    target: &Target,
    capacity_tokens: u32,
    extra_tokens: u32,
    now: Duration,
) -> f64 {
    f64::from(target.load(now).kv_tokens + extra_tokens) / f64::from(capacity_tokens.max(1))
}

/// Cost of taking capacity that restricted requests lack, for an unrestricted generation.
fn contention_cost(
    targets: &TargetTable,
    options: &PlacementOptions<'_>,
    target: &Target,
    now: Duration,
) -> Duration {
    let is_contended = !options.residency.is_restricted()
        && targets
            .zone_region(&target.entry.zone)
            .is_some_and(|region| {
                let contention = targets.contention();
                contention.is_contended(options.service, region, now)
            });
    if is_contended {
        CONTENDED_REGION_COST
    } else {
        Duration::ZERO
    }
}

/// Whether a host may use an engine: any in its region, and those of its partition of the other
/// regions that were not listed just now.
fn may_use_remote(host_hash: u64, target: &Target, now: Duration) -> bool {
    let is_in_partition = || {
        let hash = stable_hash(&[&host_hash.to_be_bytes(), target.entry.instance.as_bytes()]);
        hash.is_multiple_of(REMOTE_PARTITIONS)
    };
    target.locality != Locality::OtherRegion
        || (now >= target.listed_at + NEW_REMOTE_ENGINE_DELAY && is_in_partition())
}

/// Whether a generation that may be restarted is expected to end before its draining engine does.
fn ends_before_shutdown(
    targets: &TargetTable,
    options: &PlacementOptions<'_>,
    target: &Target,
    now: Duration,
) -> bool {
    let end = |time| now + target.prefill_time(options.demand.prompt_tokens, now) + time;
    target.is_available_while_draining(now)
        && options
            .restart_time
            .zip(targets.serves_until(target))
            .is_some_and(|(time, until)| end(time) < until)
}

/// Whether an engine has the version that began the generation, or one at which it may begin.
fn may_run(targets: &TargetTable, options: &PlacementOptions<'_>, target: &Target) -> bool {
    match options.version {
        Some(version) => target.has_version(version),
        None => targets
            .versions()
            .is_admitted(options.service, &target.entry.version),
    }
}

/// Whether this host may send a generation to an engine. A host that has just started does not know
/// which engines announced that they leave, so the host that sends judges its choice by this, too.
#[must_use]
pub fn may_place_on(
    targets: &TargetTable,
    options: &PlacementOptions<'_>,
    target: &Target,
    now: Duration,
) -> bool {
    may_run(targets, options, target)
        && options.residency.allows(targets, target)
        && (target.is_available(now) || ends_before_shutdown(targets, options, target, now))
}

/// Chooses an engine among those that `may_use` admits. `None` means that none has capacity.
#[must_use]
pub fn place_generation(
    targets: &TargetTable,
    options: &PlacementOptions<'_>,
    may_use: impl Fn(TargetKey, &Target) -> bool,
    now: Duration,
    random: &mut impl Rng,
) -> Option<Placement> {
    let demand = options.demand;
    let engine_spec = targets.engine_spec(options.service)?;
    let max_kv_fill = if demand.priority_level == 0 {
        MAX_KV_FILL
    } else {
        MAX_KV_FILL - URGENT_KV_RESERVE
    };
    let may_repeat = options.restart_time.is_some();
    let suspicion = SuspicionPolicy::new(targets, options.service, &demand, may_repeat, now);
    targets
        .of_service(options.service)
        .filter(|(key, target)| may_use(*key, target))
        .filter(|(_, target)| suspicion.admits(target))
        .filter(|(_, target)| may_place_on(targets, options, target, now))
        .filter(|(_, target)| {
            let partition_host = options
                .remote_partition_host
                .filter(|_| !options.residency.is_restricted());
            partition_host.is_none_or(|host_hash| may_use_remote(host_hash, target, now))
        })
        .filter_map(|(key, target)| {
            let permitted = options.residency.permit_target(targets, key)?;
            let load = target.load(now);
            let kv_fill = expected_kv_fill(
                target,
                engine_spec.kv_capacity_tokens,
                demand.mean_kv_tokens(),
                now,
            );
            let has_capacity = load.requests < engine_spec.slots
                && (kv_fill <= max_kv_fill || load.requests == 0)
                && target.prefill_queue_time(now) <= options.max_queue_time;
            has_capacity.then(|| {
                let locality = locality_from(target, options.home_zone);
                let time_to_first_token =
                    target.prefill_time(demand.prompt_tokens, now) + locality_cost(locality);
                let cost = time_to_first_token
                    + FULL_KV_COST.mul_f64(kv_fill.min(1.0))
                    + FAILURE_COST.mul_f64(target.failure_rate(now))
                    + peer_backoff_cost(target, now)
                    + contention_cost(targets, options, target, now)
                    + suspicion.cost(target)
                    + options.cost_jitter.mul_f64(random.random());
                Placement {
                    target: permitted,
                    time_to_first_token,
                    cost,
                }
            })
        })
        .min_by_key(|placement| placement.cost)
}

/// Chooses a target of a plain service that `policy` permits by distance, requests in flight per slot and failure rate.
///
/// A failure rate of up to 0.25 costs nothing: one in seven lookups returns an error at any target,
/// and a few such errors in a row sent the calls of a host to another region, 60 ms away, for
/// seconds.
#[must_use]
pub fn place_call(
    targets: &TargetTable,
    service: &DeploymentName,
    excluded_targets: &[TargetKey],
    policy: &ResidencyPolicy,
    now: Duration,
) -> Option<PermittedTarget> {
    targets
        .of_service(service)
        .filter(|(key, target)| target.is_available(now) && !excluded_targets.contains(key))
        .filter(|(_, target)| policy.allows(targets, target))
        .min_by_key(|(_, target)| {
            let slot_load =
                f64::from(target.load(now).requests) / f64::from(target.entry.slots.max(1));
            locality_cost(target.locality)
                + peer_backoff_cost(target, now)
                + SLOT_COST.mul_f64(slot_load)
                + CALL_FAILURE_COST
                    .mul_f64((target.failure_rate(now) - BASELINE_FAILURE_RATE).max(0.0))
        })
        .and_then(|(key, _)| policy.permit_target(targets, key))
}
