//! Which target gets a request.
//!
//! Load pattern: many hosts send prompts of thousands of tokens to engines whose memory holds about
//! ten of them. An engine reads prompts one after the other, so the time to the first token is the
//! unread work ahead; its memory fills while answers of unknown length grow, and an engine that
//! runs out preempts. A request is placed where its prompt is read first, among the engines whose
//! memory holds it to its expected end. When all engines are behind, a request that would wait for
//! too long behind the prompts of others is not placed: with each such request all that follow are
//! late too, although the engines could serve nearly as many in time.

use std::time::Duration;

use mimosagap_types::prelude::*;
use rand::Rng;
use serde::{Deserialize, Serialize};

use crate::hashing::stable_hash;
use crate::targets::{Locality, Target, TargetKey, TargetTable};

/// Part of an engine's memory that is filled by expected ends. The rest takes answers that get
/// longer than expected and the parts of prompts that are shared.
pub const MAX_KV_FILL: f64 = 1.05;

/// Part of the memory that requests below the highest rank leave to it.
const URGENT_RESERVE: f64 = 0.08;

/// Cost of an engine in another zone of the region, for its round trip and its bytes.
const ZONE_COST: Duration = Duration::from_millis(6);

/// Cost of an engine in another region: a round trip of 60 ms, the price of its bytes, and loads
/// that are half a second old, in which several prompts may have been sent there.
const REGION_COST: Duration = Duration::from_millis(250);

/// An engine of another region is not used this long after it was listed. All hosts see it empty
/// then, and what they send is known to the others only after the next report and a trip of 30 ms.
const FIRST_REPORTS: Duration = Duration::from_millis(700);

/// Of the engines of other regions a host uses one in this many, so that few hosts see the same
/// engine free between two reports.
const FAR_PARTS: u64 = 4;

/// Costs are spread at random by up to this much for each host of the region, because hosts that
/// choose at the same moment do not see each other's choice: about the time until they hear of it.
const SPREAD_PER_HOST: Duration = Duration::from_millis(8);

/// Most that costs are spread: a fraction of the time to read one prompt.
const MOST_SPREAD: Duration = Duration::from_millis(200);

/// Cost of memory that is full: more running requests make every token slower.
const FULL_COST: Duration = Duration::from_millis(350);

/// Cost of a target where everything failed lately.
const FAILURE_COST: Duration = Duration::from_millis(2500);

/// Cost of a target that asked another host to send nothing for a while: about what a refusal and
/// another send take.
const BUSY_COST: Duration = Duration::from_millis(300);

/// Failure rate up to which a target of a plain service counts as sound: somewhat more than the
/// part of requests that fail wherever they run.
const SOUND_FAILURES: f64 = 0.25;

/// Cost of a target of a plain service where everything failed lately, above the rate of a sound
/// one. A rate of 0.3 is reason enough to use another region.
const CALL_FAILURE_COST: Duration = Duration::from_secs(5);

/// Cost of one request in flight for each slot of a plain service.
const SLOT_COST: Duration = Duration::from_millis(60);

/// What a generation needs.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct GenerationDemand {
    /// Prompt tokens.
    pub prompt_tokens: u32,
    /// Expected output tokens.
    pub expected_tokens: u32,
    /// Output tokens that it has made; more than 0 if it runs already.
    pub generated_tokens: u32,
    /// Rank, 0 first.
    pub priority_level: usize,
}

impl GenerationDemand {
    /// The memory that it is expected to need on average over the rest of its life. Requests on
    /// one engine end at different times, so their sum stays near the sum of the averages.
    #[must_use]
    pub fn mean_kv_tokens(&self) -> u32 {
        self.prompt_tokens
            + u32::midpoint(
                self.generated_tokens,
                self.expected_tokens.max(self.generated_tokens),
            )
    }
}

fn distance_cost(distance: Locality) -> Duration {
    match distance {
        Locality::SameZone => Duration::ZERO,
        Locality::SameRegion => ZONE_COST,
        Locality::OtherRegion => REGION_COST,
    }
}

fn busy_cost(target: &Target, now: Duration) -> Duration {
    if target.backoff.is_active_for_peers(now) {
        BUSY_COST
    } else {
        Duration::ZERO
    }
}

/// How far a target is from a zone that may be another one than this host's.
fn distance_from(target: &Target, home: &ZoneName) -> Locality {
    if target.entry.zone == *home {
        Locality::SameZone
    } else {
        target.locality.max(Locality::SameRegion)
    }
}

/// How widely the choices of a number of hosts that share engines are spread.
#[must_use]
pub fn cost_jitter(hosts: usize) -> Duration {
    let hosts = u32::try_from(hosts.saturating_sub(1)).unwrap_or(u32::MAX);
    SPREAD_PER_HOST.saturating_mul(hosts).min(MOST_SPREAD)
}

/// A generation that looks for an engine.
#[derive(Debug, Clone, Copy)]
pub struct PlacementOptions<'a> {
    /// Its service.
    pub service: &'a DeploymentName,
    /// What it needs.
    pub demand: GenerationDemand,
    /// The zone of the host that serves it.
    pub home_zone: &'a ZoneName,
    /// How long it may wait behind the prompts of others.
    pub max_queue_time: Duration,
    /// The time that it takes at an engine besides its prompt, if it may be begun again elsewhere.
    pub restart_time: Option<Duration>,
    /// Costs are spread at random by up to this much.
    pub cost_jitter: Duration,
    /// The host that chooses, if it hears late of the loads of other regions.
    pub remote_partition_host: Option<u64>,
}

/// An engine and when it is expected to send the first token.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Placement {
    /// The engine.
    pub target: TargetKey,
    /// Expected time to the first token.
    pub time_to_first_token: Duration,
    /// What the choice was made by; the least one wins.
    pub cost: Duration,
}

/// Part of an engine's memory that is promised to requests.
fn fill(target: &Target, capacity: u32, extra: u32, now: Duration) -> f64 {
    f64::from(target.load(now).kv_tokens + extra) / f64::from(capacity.max(1))
}

/// Whether a host may use an engine whose loads it hears of late, if it is in another region.
fn may_use_far(host: u64, target: &Target, now: Duration) -> bool {
    let is_shared = || {
        let mark = stable_hash(&[&host.to_be_bytes(), target.entry.instance.as_bytes()]);
        mark.is_multiple_of(FAR_PARTS)
    };
    target.locality != Locality::OtherRegion
        || (now >= target.listed_at + FIRST_REPORTS && is_shared())
}

/// Whether a request that may be begun again ends before an engine that leaves does.
fn ends_in_time(
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

/// Chooses among the engines that may be used. `None` means that none of them has room.
#[must_use]
pub fn place_generation(
    targets: &TargetTable,
    options: &PlacementOptions<'_>,
    may_use: impl Fn(TargetKey, &Target) -> bool,
    now: Duration,
    random: &mut impl Rng,
) -> Option<Placement> {
    let need = options.demand;
    let engine = targets.engine_spec(options.service)?;
    let ceiling = if need.priority_level == 0 {
        MAX_KV_FILL
    } else {
        MAX_KV_FILL - URGENT_RESERVE
    };
    targets
        .of_service(options.service)
        .filter(|(key, target)| may_use(*key, target))
        .filter(|(_, target)| {
            target.is_available(now) || ends_in_time(targets, options, target, now)
        })
        .filter(|(_, target)| {
            options
                .remote_partition_host
                .is_none_or(|host| may_use_far(host, target, now))
        })
        .filter_map(|(key, target)| {
            let load = target.load(now);
            let filled = fill(
                target,
                engine.kv_capacity_tokens,
                need.mean_kv_tokens(),
                now,
            );
            let has_room = load.requests < engine.slots
                && (filled <= ceiling || load.requests == 0)
                && target.prefill_queue_time(now) <= options.max_queue_time;
            has_room.then(|| {
                let distance = distance_from(target, options.home_zone);
                let time_to_first_token =
                    target.prefill_time(need.prompt_tokens, now) + distance_cost(distance);
                let cost = time_to_first_token
                    + FULL_COST.mul_f64(filled.min(1.0))
                    + FAILURE_COST.mul_f64(target.failure_rate(now))
                    + busy_cost(target, now)
                    + options.cost_jitter.mul_f64(random.random());
                Placement {
                    target: key,
                    time_to_first_token,
                    cost,
                }
            })
        })
        .min_by_key(|placement| placement.cost)
}

/// Chooses a target of a plain service: near, with few requests for its slots, without failures.
///
/// Load pattern: one in seven lookups is answered with an error, wherever it runs. A few such
/// answers in a row sent the calls of a host to another region, 60 ms away, for seconds.
#[must_use]
pub fn place_call(
    targets: &TargetTable,
    service: &DeploymentName,
    avoid: &[TargetKey],
    now: Duration,
) -> Option<TargetKey> {
    targets
        .of_service(service)
        .filter(|(key, target)| target.is_available(now) && !avoid.contains(key))
        .min_by_key(|(_, target)| {
            let busy = f64::from(target.load(now).requests) / f64::from(target.entry.slots.max(1));
            distance_cost(target.locality)
                + busy_cost(target, now)
                + SLOT_COST.mul_f64(busy)
                + CALL_FAILURE_COST.mul_f64((target.failure_rate(now) - SOUND_FAILURES).max(0.0))
        })
        .map(|(key, _)| key)
}
