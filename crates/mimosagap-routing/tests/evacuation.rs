//! Engines that are taken away while others of their zone get new prompts.

#[path = "support/quote.rs"]
mod quote;
mod support;

use std::time::Duration;

use mimosagap_routing::placement::place_stream;
use mimosagap_routing::targets::{TargetKey, Targets};
use mimosagap_types::prelude::*;
use quote::quote_options;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::{MEMORY, NOW, engines, service};

fn place(targets: &Targets, now: Duration) -> Option<TargetKey> {
    let (service, home) = (service(), ZoneName::new("a"));
    let options = quote_options(&service, &home);
    let mut random = SmallRng::seed_from_u64(1);
    place_stream(targets, &options, |_, _| true, now, &mut random).map(|place| place.target)
}

/// Load pattern: the zone's last engine got new prompts for as long as it had room, and four of
/// seven generations of the engine that left were refused there.
#[test]
fn new_prompts_leave_room_for_generations_on_engines_that_leave() {
    let (mut targets, keys) = engines(&["a", "a", "b"]);
    targets.begin(keys[0], MEMORY / 2, 0, 1);
    targets.begin(keys[1], MEMORY * 3 / 4, 0, 1);
    targets.begin(keys[2], MEMORY * 4 / 5, 0, 1);
    targets.leaves(keys[0], NOW);
    assert_eq!(place(&targets, NOW), Some(keys[2]));
    let later = NOW + Duration::from_secs(3);
    assert_eq!(place(&targets, later), Some(keys[1]));
}

/// A prompt that is not read yet cannot be copied.
#[test]
fn unread_prompts_on_engines_that_leave_need_no_room() {
    let (mut targets, keys) = engines(&["a", "a"]);
    targets.begin(keys[0], MEMORY, MEMORY, 1);
    targets.begin(keys[1], MEMORY * 3 / 4, 0, 1);
    targets.leaves(keys[0], NOW);
    assert_eq!(place(&targets, NOW), Some(keys[1]));
}
