//! Which engine gets a copy of a generation's memory while it grows.
//!
//! Load pattern: engines are taken away or crash every few seconds, while generations run for many
//! seconds. A copy that is kept elsewhere from the start lets a generation go on after a pause of
//! some tens of milliseconds; a copy that is begun after the notice waits behind those of all other
//! generations on the link. A copy fills memory, so none is made where new requests need it.

use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::placement::StreamNeed;
use crate::targets::{Distance, TargetKey, Targets};

/// A shorter answer is not worth a copy, in output tokens: it is made in about a second.
const MIN_OUTPUT: u32 = 100;

/// Part of an engine's memory up to which it takes copies.
const MEMORY_CEILING: f64 = 0.45;

/// Cost of an engine in another zone than the generation's, as a part of an engine's memory.
const AWAY_COST: f64 = 0.15;

/// Cost of an engine in another region than this host: its first event after a break comes two
/// round trips later.
const FAR_COST: f64 = 0.3;

/// Chooses the engine for a copy of a generation that runs at `source`.
#[must_use]
pub fn choose_backup(
    targets: &Targets,
    service: &DeploymentName,
    source: TargetKey,
    need: StreamNeed,
    now: Duration,
) -> Option<TargetKey> {
    let engine = targets.engine(service)?;
    if !engine.can_back_up || need.output < MIN_OUTPUT {
        return None;
    }
    let zone = &targets.get(source)?.entry.zone;
    targets
        .of_service(service)
        .filter(|(key, target)| *key != source && target.is_usable(now))
        .filter_map(|(key, target)| {
            let load = target.load(now);
            let tokens = f64::from(load.tokens + need.tokens());
            let filled = tokens / f64::from(engine.memory_tokens.max(1));
            let away = if target.entry.zone == *zone {
                0.0
            } else {
                AWAY_COST
            };
            let far = if target.distance == Distance::Elsewhere {
                FAR_COST
            } else {
                0.0
            };
            let has_room = filled <= MEMORY_CEILING && load.requests < engine.slots;
            has_room.then_some((filled + away + far + target.failure_rate(now), key))
        })
        .min_by(|(first, _), (second, _)| first.total_cmp(second))
        .map(|(_, key)| key)
}
