//! Which engine gets a copy of a generation's memory while it grows.
//!
//! Load pattern: engines are taken away or crash every few seconds, while generations run for many
//! seconds. A copy that is kept elsewhere from the start lets a generation go on after a pause of
//! some tens of milliseconds; a copy that is begun after the notice waits behind those of all other
//! generations on the link. A copy fills memory that new requests need when load is high, wherever
//! it is, so none is made then.

use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::placement::StreamNeed;
use crate::targets::{Distance, TargetKey, Targets};

/// A shorter answer is not worth a copy, in output tokens: it is made in about a second.
const MIN_OUTPUT: u32 = 100;

/// Part of an engine's memory up to which it takes copies.
const MEMORY_CEILING: f64 = 0.45;

/// Part of the memory of all engines together up to which copies are made. Above it the engines
/// that look free now are needed for new requests before the generation ends.
const FLEET_CEILING: f64 = 0.3;

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
    if fleet_fill(targets, service, engine.memory_tokens, now) > FLEET_CEILING {
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

/// Part of the memory of all usable engines that is promised.
fn fleet_fill(targets: &Targets, service: &DeploymentName, capacity: u32, now: Duration) -> f64 {
    let usable = targets.of_service(service);
    let usable = usable.filter(|(_, target)| target.is_usable(now));
    let (promised, engines) = usable.fold((0.0, 0.0), |(promised, engines), (_, target)| {
        (promised + f64::from(target.load(now).tokens), engines + 1.0)
    });
    promised / (engines * f64::from(capacity)).max(1.0)
}
