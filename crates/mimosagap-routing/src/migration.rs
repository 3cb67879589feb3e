//! Decides which running generations are migrated off a draining engine, and where to.
//!
//! Engines are terminated about two seconds after their notice, several at once, while some of
//! their generations still run for many seconds. Copying the KV cache of a generation takes about a
//! fifth of a second within a zone, twice as long between zones and several times as long between
//! regions, and a link carries one copy after the other. So a generation that ends in time stays,
//! and the others go to the nearest engine with free capacity. Copies to other regions start later
//! than near ones: a copy to another region that starts first delays all others of its engine until
//! the engine is gone. A generation is handed over as soon as the engine with its copy has no
//! prefill pending, while the draining engine still runs it.

use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::residency::{PermittedTarget, ResidencyPolicy};
use crate::targets::{Locality, Target, TargetKey, TargetTable};

/// A generation that is expected to end within this time stays on its draining engine.
const STAY_THRESHOLD: Duration = Duration::from_millis(700);

/// Minimum of the expected remaining length, as a fraction of the tokens generated so far: the
/// longer a generation has run, the more is left of it on average.
const MIN_REMAINING_FRACTION: f64 = 0.25;

/// A copy is renewed after this fraction of its time to live. Tokens generated since then have to
/// be prefilled at the handover.
const COPY_RENEWAL_FRACTION: f64 = 0.7;

/// Time after the notice before copies to another region start. Such a copy takes a second or more
/// and delays all others on the link, so copies within the region go first.
const OTHER_REGION_COPY_DELAY: Duration = Duration::from_millis(700);

/// Fraction of the destination's KV cache that migrations may fill. Losing a generation costs more
/// than preempting one, so this exceeds the limit for new requests below the highest priority.
const MAX_KV_FILL: f64 = 1.0;

/// Cost of a copy to another zone, as a fraction of the destination's KV cache: it takes twice as
/// long.
const OTHER_ZONE_COST: f64 = 0.4;

/// Cost of a copy to another region; more than that of a full engine in another zone.
const OTHER_REGION_COST: f64 = 1.5;

/// Cost of prefill pending at the destination, which delays the prefill of what the copy lacks.
const PENDING_PREFILL_COST: f64 = 0.25;

/// Whether a generation is expected to run for long enough to be migrated.
fn is_worth_migrating(generation: &GenerationState) -> bool {
    let generated_tokens = f64::from(generation.generated_tokens);
    let remaining_tokens = f64::from(generation.expected_tokens) - generated_tokens;
    generation
        .time_per_token
        .mul_f64(remaining_tokens.max(MIN_REMAINING_FRACTION * generated_tokens))
        > STAY_THRESHOLD
}

/// A copy of a generation's KV cache at another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvCopy {
    /// The engine that holds the copy.
    pub target: TargetKey,
    /// When the copy was complete.
    pub completed_at: Duration,
}

/// State of a running generation, as far as its migration depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationState {
    /// The engine that runs it.
    pub source: TargetKey,
    /// Output tokens generated so far.
    pub generated_tokens: u32,
    /// Expected output tokens in total.
    pub expected_tokens: u32,
    /// Time per output token.
    pub time_per_token: Duration,
    /// Its newest complete copy.
    pub kv_copy: Option<KvCopy>,
    /// Whether another copy is in progress.
    pub is_copying: bool,
    /// Whether the engine with the copy was asked to continue it.
    pub is_handed_over: bool,
}

/// The next action for a generation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MigrationStep {
    /// Take no action.
    Stay,
    /// Copy the KV cache, preferably to the engine given, which holds an older copy.
    Copy(Option<TargetKey>),
    /// Wait until the engine with the copy can continue the generation at once.
    Await(TargetKey),
    /// Continue at the engine with the copy.
    HandOver(TargetKey),
}

/// Returns the next action for a generation. After its handover a generation is not copied again:
/// no engine would use the copy, which would occupy memory there for seconds.
#[must_use]
pub fn next_step(
    targets: &TargetTable,
    service: &DeploymentName,
    generation: &GenerationState,
    now: Duration,
) -> MigrationStep {
    let is_leaving = |key| targets.is_leaving(key, now);
    let engine_spec = targets
        .engine_spec(service)
        .filter(|engine_spec| engine_spec.supports_migration);
    let needs_migration = is_leaving(generation.source) && is_worth_migrating(generation);
    let Some(engine_spec) = engine_spec.filter(|_| needs_migration && !generation.is_handed_over)
    else {
        return MigrationStep::Stay;
    };
    let kv_copy = generation
        .kv_copy
        .filter(|kv_copy| !is_leaving(kv_copy.target));
    let renewal_age = engine_spec.kv_copy_ttl.mul_f64(COPY_RENEWAL_FRACTION);
    let needs_renewal = |kv_copy: &KvCopy| now >= kv_copy.completed_at + renewal_age;
    match kv_copy {
        Some(kv_copy) if !needs_renewal(&kv_copy) => match targets.get(kv_copy.target) {
            Some(target) if can_continue(target, now) => MigrationStep::HandOver(kv_copy.target),
            _ => MigrationStep::Await(kv_copy.target),
        },
        _ if generation.is_copying => MigrationStep::Stay,
        old_copy => MigrationStep::Copy(old_copy.map(|kv_copy| kv_copy.target)),
    }
}

/// Whether an engine can continue a generation from its copy at once. It prefills what the copy
/// lacks after all admitted prompts, which may take hundreds of milliseconds.
fn can_continue(target: &Target, now: Duration) -> bool {
    target.is_available(now) && target.pending_prefill_tokens(now) == 0
}

/// Chooses the engine that receives a generation of `kv_tokens` tokens from `source`. `None` means
/// that no engine of the same version outside `excluded_targets` that `policy` permits has free
/// capacity.
#[must_use]
pub fn choose_destination(
    targets: &TargetTable,
    service: &DeploymentName,
    source: &Target,
    kv_tokens: u32,
    excluded_targets: &[TargetKey],
    policy: &ResidencyPolicy,
    now: Duration,
) -> Option<PermittedTarget> {
    let engine_spec = targets.engine_spec(service)?;
    let version = &source.entry.version;
    let may_leave_region = source
        .draining_since
        .is_some_and(|since| now >= since + OTHER_REGION_COPY_DELAY);
    let cost = |target: &Target| {
        let locality_cost = match targets.locality_between(&source.entry.zone, &target.entry.zone) {
            Locality::SameZone => 0.0,
            Locality::SameRegion => OTHER_ZONE_COST,
            Locality::OtherRegion if may_leave_region => OTHER_REGION_COST,
            Locality::OtherRegion => return None,
        };
        let load = target.load(now);
        let kv_fill = f64::from(load.kv_tokens + kv_tokens)
            / f64::from(engine_spec.kv_capacity_tokens.max(1));
        let has_capacity = kv_fill <= MAX_KV_FILL && load.requests < engine_spec.slots;
        let cost_if = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
        let cost = kv_fill
            + locality_cost
            + cost_if(
                load.pending_prefill.iter().any(|tokens| *tokens > 0),
                PENDING_PREFILL_COST,
            )
            + 2.0 * target.failure_rate(now);
        has_capacity.then_some(cost)
    };
    targets
        .of_service(service)
        .filter(|(key, target)| target.is_available(now) && !excluded_targets.contains(key))
        .filter(|(_, target)| policy.allows(targets, target))
        .filter(|(_, target)| target.entry.instance != source.entry.instance)
        .filter(|(_, target)| target.has_version(version))
        .filter_map(|(key, target)| cost(target).map(|cost| (cost, key)))
        .min_by(|(first, _), (second, _)| first.total_cmp(second))
        .and_then(|(_, key)| policy.permit_target(targets, key))
}
