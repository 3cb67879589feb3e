//! Engines that keep serving for some time after their termination notice.

#[path = "support/options.rs"]
mod options;
mod support;

use std::time::Duration;

use mimosagap_routing::drain_time::DrainTimes;
use mimosagap_routing::placement::{GenerationDemand, PlacementOptions, place_generation};
use mimosagap_routing::targets::{TargetKey, TargetTable};
use mimosagap_types::prelude::*;
use options::long_generation_options;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::{KV_CAPACITY_TOKENS, LONG_GENERATION, NOW, engines, entry, service};

/// Time from the termination notice of an engine to its end.
const DRAIN_TIME: Duration = Duration::from_secs(2);

/// A generation with a short response.
const SHORT_GENERATION: GenerationDemand = GenerationDemand {
    prompt_tokens: 2200,
    expected_tokens: 14,
    generated_tokens: 0,
    priority_level: 0,
};

/// Five engines: the first is draining, the second available, and the others have ended,
/// [`DRAIN_TIME`] after their notice.
fn engines_after_notice() -> (TargetTable, Vec<TargetKey>) {
    let (mut targets, keys) = engines(&["a", "a", "a", "a", "a"]);
    targets.set_drain_timeout(Duration::from_secs(4));
    for key in &keys[2..] {
        let instance = targets.get(*key).unwrap().entry.instance.clone();
        targets.mark_draining(*key, NOW.saturating_sub(DRAIN_TIME));
        targets.mark_removed(&instance, NOW);
    }
    targets.mark_draining(keys[0], NOW);
    (targets, keys)
}

fn place(
    targets: &TargetTable,
    demand: GenerationDemand,
    is_restartable: bool,
    now: Duration,
) -> Option<TargetKey> {
    let (service, home_zone) = (service(), ZoneName::new("a"));
    let options = PlacementOptions {
        demand,
        restart_time: is_restartable.then(|| Duration::from_millis(11) * demand.expected_tokens),
        ..long_generation_options(&service, &home_zone)
    };
    let mut random = SmallRng::seed_from_u64(1);
    let placement = place_generation(targets, &options, |_, _| true, now, &mut random);
    placement.map(|placement| placement.target.key())
}

/// A third of all engines is draining or not yet replaced, and the others are full. The draining
/// engines serve for two more seconds, which is enough for short generations.
#[test]
fn a_short_generation_uses_a_draining_engine_when_the_others_are_full() {
    let (mut targets, keys) = engines_after_notice();
    targets.add_request(keys[1], KV_CAPACITY_TOKENS, 0, 1);
    assert_eq!(place(&targets, SHORT_GENERATION, true, NOW), Some(keys[0]));
    // A generation that must not be restarted or is long would be lost with the engine.
    assert_eq!(place(&targets, SHORT_GENERATION, false, NOW), None);
    assert_eq!(place(&targets, LONG_GENERATION, true, NOW), None);
    // Too little time is left.
    assert_eq!(
        place(
            &targets,
            SHORT_GENERATION,
            true,
            NOW + DRAIN_TIME.mul_f64(0.6)
        ),
        None
    );
}

#[test]
fn a_removed_engine_is_not_used() {
    let (mut targets, keys) = engines_after_notice();
    targets.add_request(keys[1], KV_CAPACITY_TOKENS, 0, 1);
    targets.mark_removed(&entry(0, "a").instance, NOW);
    assert_eq!(place(&targets, SHORT_GENERATION, true, NOW), None);
}

/// Hosts must stop using an engine at the drain timeout, even if earlier engines ended later.
#[test]
fn the_drain_timeout_limits_the_expected_drain_time() {
    let (mut targets, keys) = engines_after_notice();
    let drain_timeout = Duration::from_secs(1);
    targets.set_drain_timeout(drain_timeout);
    let target = targets.get(keys[0]).unwrap();
    assert!(targets.serves_until(target).unwrap() < NOW + drain_timeout);
}

#[test]
fn the_estimate_is_zero_until_three_engines_have_ended() {
    let mut drain_times = DrainTimes::default();
    drain_times.record(DRAIN_TIME);
    drain_times.record(DRAIN_TIME);
    assert_eq!(drain_times.conservative_estimate(), Duration::ZERO);
    drain_times.record(DRAIN_TIME / 2);
    assert!(drain_times.conservative_estimate() > Duration::ZERO);
    assert!(drain_times.conservative_estimate() < DRAIN_TIME / 2);
}
