//! Engines that are taken away some time after their notice.

#[path = "support/quote.rs"]
mod quote;
mod support;

use std::time::Duration;

use mimosagap_routing::drain_time::DrainTimes;
use mimosagap_routing::placement::{GenerationDemand, PlacementOptions, place_generation};
use mimosagap_routing::targets::{TargetKey, TargetTable};
use mimosagap_types::prelude::*;
use quote::quote_options;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::{MEMORY, NOW, QUOTE, engines, entry, service};

const NOTICE: Duration = Duration::from_secs(2);

/// A question with a short answer.
const QUESTION: GenerationDemand = GenerationDemand {
    prompt_tokens: 2200,
    expected_tokens: 14,
    generated_tokens: 0,
    priority_level: 0,
};

/// Two engines of which the first has had its notice. Three others were taken away before.
fn fleet() -> (TargetTable, Vec<TargetKey>) {
    let (mut targets, keys) = engines(&["a", "a", "a", "a", "a"]);
    targets.set_drain_timeout(Duration::from_secs(4));
    for key in &keys[2..] {
        let instance = targets.get(*key).unwrap().entry.instance.clone();
        targets.mark_draining(*key, NOW.saturating_sub(NOTICE));
        targets.mark_removed(&instance, NOW);
    }
    targets.mark_draining(keys[0], NOW);
    (targets, keys)
}

fn place(
    targets: &TargetTable,
    demand: GenerationDemand,
    is_repeatable: bool,
    now: Duration,
) -> Option<TargetKey> {
    let (service, home) = (service(), ZoneName::new("a"));
    let options = PlacementOptions {
        demand,
        restart_time: is_repeatable.then(|| Duration::from_millis(11) * demand.expected_tokens),
        ..quote_options(&service, &home)
    };
    let mut random = SmallRng::seed_from_u64(1);
    let place = place_generation(targets, &options, |_, _| true, now, &mut random);
    place.map(|place| place.target)
}

/// Load pattern: a third of all engines has had its notice or is not yet replaced, and the others
/// are full. Nothing was sent to the engines that go on for two seconds more.
#[test]
fn a_short_answer_goes_to_an_engine_that_leaves_when_the_others_are_full() {
    let (mut targets, keys) = fleet();
    targets.add_request(keys[1], MEMORY, 0, 1);
    assert_eq!(place(&targets, QUESTION, true, NOW), Some(keys[0]));
    // One that may not be begun again, or is long, would be lost with the engine.
    assert_eq!(place(&targets, QUESTION, false, NOW), None);
    assert_eq!(place(&targets, QUOTE, true, NOW), None);
    // There is no time left for it.
    assert_eq!(
        place(&targets, QUESTION, true, NOW + NOTICE.mul_f64(0.6)),
        None
    );
}

#[test]
fn nothing_is_sent_to_an_engine_that_is_gone() {
    let (mut targets, keys) = fleet();
    targets.add_request(keys[1], MEMORY, 0, 1);
    targets.mark_removed(&entry(0, "a").instance, NOW);
    assert_eq!(place(&targets, QUESTION, true, NOW), None);
}

/// Engines that were drained for long say nothing about when hosts must stop.
#[test]
fn the_bound_on_engines_that_leave_goes_before_what_was_seen() {
    let (mut targets, keys) = fleet();
    let bound = Duration::from_secs(1);
    targets.set_drain_timeout(bound);
    let target = targets.get(keys[0]).unwrap();
    assert!(targets.serves_until(target).unwrap() < NOW + bound);
}

#[test]
fn nothing_is_relied_on_before_some_engines_have_ended() {
    let mut notices = DrainTimes::default();
    notices.record(NOTICE);
    notices.record(NOTICE);
    assert_eq!(notices.conservative_estimate(), Duration::ZERO);
    notices.record(NOTICE / 2);
    assert!(notices.conservative_estimate() > Duration::ZERO);
    assert!(notices.conservative_estimate() < NOTICE / 2);
}
