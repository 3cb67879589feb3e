//! Which running generations are moved off an engine that leaves, and where to.
//!
//! Load pattern: engines are taken away about two seconds after the notice, several at once, each
//! with some generations of many seconds. A copy of a generation's memory takes about a fifth of a
//! second within a zone, twice as long between zones and several times as long between regions, one
//! after the other on a link, so a generation that ends in time stays, and the nearest engine with
//! room takes the others. A copy to another region that was begun first held up all others of its
//! engine until the engine was gone. A generation goes on at the engine with its copy as soon as
//! that engine reads no prompt, while the one that leaves still runs it.

use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::targets::{Locality, Target, TargetKey, TargetTable};

/// A generation that is expected to end within this time stays on an engine that leaves.
const STAY: Duration = Duration::from_millis(700);

/// A generation that nears its expected length makes at least this part of what it has made: the
/// longer it has run, the more is left of it on average.
const LEAST_REST: f64 = 0.25;

/// A copy is brought up to date after this part of the time for which its engine keeps it. What it
/// lacks has to be read when the generation goes on from it.
const COPY_RENEWAL: f64 = 0.7;

/// A copy to another region takes a second and more, and holds up all other copies on the link, so
/// none is begun until those within the region had this time after the notice.
const FAR_DELAY: Duration = Duration::from_millis(700);

/// Part of the destination's memory that moves may fill. A generation that is lost costs more than
/// one that is preempted, so this is above the bound for new requests.
const MAX_KV_FILL: f64 = 1.0;

/// Cost of a copy to another zone, as a part of the destination's memory: it takes twice as long.
const AWAY_COST: f64 = 0.4;

/// Cost of a copy to another region, more than that of a full engine in another zone.
const FAR_COST: f64 = 1.5;

/// Cost of unread prompts at the destination, behind which it reads what the copy lacks.
const UNREAD_COST: f64 = 0.25;

/// Whether a run goes on for long enough to be moved.
fn is_worth_moving(run: &GenerationState) -> bool {
    let made = f64::from(run.generated_tokens);
    let rest = f64::from(run.expected_tokens) - made;
    run.time_per_token.mul_f64(rest.max(LEAST_REST * made)) > STAY
}

/// A copy of a run at another engine.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KvCopy {
    /// The engine that has it.
    pub target: TargetKey,
    /// When it was complete.
    pub completed_at: Duration,
}

/// What is known of a run whose engine may leave.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GenerationState {
    /// The engine it runs on.
    pub source: TargetKey,
    /// Output tokens that it has made.
    pub generated_tokens: u32,
    /// Output tokens that are expected in all.
    pub expected_tokens: u32,
    /// Time for one output token.
    pub time_per_token: Duration,
    /// Its newest copy.
    pub kv_copy: Option<KvCopy>,
    /// Whether another copy is being made.
    pub is_copying: bool,
    /// Whether the next engine was asked to go on.
    pub is_handed_over: bool,
}

/// What to do with a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MigrationStep {
    /// Nothing.
    Stay,
    /// Copy it, if possible to the engine named, which has an older copy.
    Copy(Option<TargetKey>),
    /// Wait until the engine with the copy reads no prompt.
    Await(TargetKey),
    /// Go on at the engine with the copy.
    HandOver(TargetKey),
}

/// The next step for a run. A run that is handed over is not copied again: nobody would use that
/// copy, which fills the memory of the engine for seconds.
#[must_use]
pub fn next_step(
    targets: &TargetTable,
    service: &DeploymentName,
    run: &GenerationState,
    now: Duration,
) -> MigrationStep {
    let is_leaving = |key| targets.is_leaving(key, now);
    let engine = targets
        .engine_spec(service)
        .filter(|engine| engine.supports_migration);
    let has_reason = is_leaving(run.source) && is_worth_moving(run);
    let Some(engine) = engine.filter(|_| has_reason && !run.is_handed_over) else {
        return MigrationStep::Stay;
    };
    let copy = run.kv_copy.filter(|copy| !is_leaving(copy.target));
    let life = engine.kv_copy_ttl.mul_f64(COPY_RENEWAL);
    let lapses = |copy: &KvCopy| now >= copy.completed_at + life;
    match copy {
        Some(copy) if !lapses(&copy) => match targets.get(copy.target) {
            Some(target) if can_take_over(target, now) => MigrationStep::HandOver(copy.target),
            _ => MigrationStep::Await(copy.target),
        },
        _ if run.is_copying => MigrationStep::Stay,
        older => MigrationStep::Copy(older.map(|copy| copy.target)),
    }
}

/// Whether a run can go on at the engine with its copy at once. An engine reads what a copy lacks
/// behind all prompts that it has admitted, which takes hundreds of milliseconds.
fn can_take_over(target: &Target, now: Duration) -> bool {
    target.is_available(now) && target.pending_prefill_tokens(now) == 0
}

/// The engine that takes a generation of `tokens` tokens from `source`.
#[must_use]
pub fn choose_destination(
    targets: &TargetTable,
    service: &DeploymentName,
    source: &Target,
    tokens: u32,
    avoid: &[TargetKey],
    now: Duration,
) -> Option<TargetKey> {
    let engine = targets.engine_spec(service)?;
    let may_go_far = source
        .draining_since
        .is_some_and(|since| now >= since + FAR_DELAY);
    let cost = |target: &Target| {
        let away = match targets.locality_between(&source.entry.zone, &target.entry.zone) {
            Locality::SameZone => 0.0,
            Locality::SameRegion => AWAY_COST,
            Locality::OtherRegion if may_go_far => FAR_COST,
            Locality::OtherRegion => return None,
        };
        let load = target.load(now);
        let filled =
            f64::from(load.kv_tokens + tokens) / f64::from(engine.kv_capacity_tokens.max(1));
        let has_room = filled <= MAX_KV_FILL && load.requests < engine.slots;
        let cost_if = |applies: bool, cost: f64| if applies { cost } else { 0.0 };
        let cost = filled
            + away
            + cost_if(
                load.pending_prefill.iter().any(|unread| *unread > 0),
                UNREAD_COST,
            )
            + 2.0 * target.failure_rate(now);
        has_room.then_some(cost)
    };
    targets
        .of_service(service)
        .filter(|(key, target)| target.is_available(now) && !avoid.contains(key))
        .filter(|(_, target)| target.entry.instance != source.entry.instance)
        .filter_map(|(key, target)| cost(target).map(|cost| (cost, key)))
        .min_by(|(first, _), (second, _)| first.total_cmp(second))
        .map(|(_, key)| key)
}
