//! Prompts of thousands of tokens, sent by many hosts to engines that hold about ten of them.

#[path = "support/quote.rs"]
mod quote;
mod support;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mimosagap_routing::placement::{
    GenerationDemand, PlacementOptions, cost_jitter, place_call, place_generation,
};
use mimosagap_routing::targets::{Locality, TargetKey, TargetLoad, TargetOutcome, TargetTable};
use mimosagap_types::prelude::*;
use quote::quote_options;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{MEMORY, NOW, QUOTE, engines, entry, service};

fn place_with(
    targets: &TargetTable,
    demand: GenerationDemand,
    cost_jitter: Duration,
    random: &mut SmallRng,
) -> Option<TargetKey> {
    let (service, home) = (service(), ZoneName::new("a"));
    let options = PlacementOptions {
        demand,
        cost_jitter,
        ..quote_options(&service, &home)
    };
    let place = place_generation(targets, &options, |_, _| true, NOW, random);
    place.map(|placement| placement.target)
}

fn place(targets: &TargetTable, need: GenerationDemand) -> Option<TargetKey> {
    let mut random = SmallRng::seed_from_u64(1);
    place_with(targets, need, Duration::ZERO, &mut random)
}

#[test]
fn a_burst_goes_round_the_engines_instead_of_queueing_on_one() {
    let (mut targets, keys) = engines(&["a", "a", "a"]);
    for _ in 0..6 {
        let key = place(&targets, QUOTE).expect("there is room");
        targets.add_request(
            key,
            QUOTE.mean_kv_tokens(),
            QUOTE.prompt_tokens,
            QUOTE.priority_level,
        );
    }
    for key in keys {
        assert_eq!(targets.get(key).unwrap().local_load.requests, 2);
    }
}

#[test]
fn unread_prompts_of_other_hosts_count() {
    let (mut targets, keys) = engines(&["a", "a"]);
    let load = TargetLoad {
        requests: 3,
        kv_tokens: 9000,
        pending_prefill: [0, 9000, 0, 0],
    };
    targets.record_peer_load("i-0", 77, load, NOW);
    assert_eq!(place(&targets, QUOTE), Some(keys[1]));
}

#[test]
fn an_urgent_prompt_is_read_after_less_urgent_ones() {
    let (mut targets, keys) = engines(&["a", "a"]);
    targets.add_request(keys[0], 6000, 6000, 2);
    let urgent = GenerationDemand {
        priority_level: 0,
        ..QUOTE
    };
    assert_eq!(place(&targets, urgent), Some(keys[1]));
}

#[test]
fn full_memory_makes_a_request_wait() {
    let (mut targets, keys) = engines(&["a"]);
    targets.add_request(keys[0], MEMORY, 0, 1);
    assert_eq!(place(&targets, QUOTE), None);
}

/// Load pattern: a fleet that serves 97 of 100 requests of an overloaded day had 30 of 100 late,
/// because each of them was sent behind two or three prompts wherever there was memory.
#[test]
fn a_request_is_not_sent_behind_more_prompts_than_it_may_wait_for() {
    let (mut targets, keys) = engines(&["a"]);
    targets.add_request(keys[0], 6000, 6000, 1);
    let place = |targets: &TargetTable, max_queue_time| {
        let (service, home) = (service(), ZoneName::new("a"));
        let options = PlacementOptions {
            max_queue_time,
            ..quote_options(&service, &home)
        };
        let mut random = SmallRng::seed_from_u64(1);
        let place = place_generation(targets, &options, |_, _| true, NOW, &mut random);
        place.map(|placement| placement.target)
    };
    let queue = targets.get(keys[0]).unwrap().prefill_queue_time(NOW);
    let less = queue.saturating_sub(Duration::from_millis(1));
    assert_eq!(place(&targets, queue), Some(keys[0]));
    assert_eq!(place(&targets, less), None);
    // Its own prompt does not count, so that long ones are not turned away first.
    targets.finish_prefill(keys[0], 6000, 1, 0, queue);
    assert_eq!(place(&targets, Duration::ZERO), Some(keys[0]));
}

#[test]
fn an_idle_engine_takes_a_request_of_any_size() {
    let (targets, keys) = engines(&["a"]);
    let huge = GenerationDemand {
        prompt_tokens: MEMORY,
        ..QUOTE
    };
    assert_eq!(place(&targets, huge), Some(keys[0]));
}

#[test]
fn hosts_that_choose_at_the_same_moment_do_not_all_choose_the_same_engine() {
    let (targets, _) = engines(&["a"; 10]);
    let chosen: HashSet<TargetKey> = (0..28)
        .filter_map(|seed| {
            let mut random = SmallRng::seed_from_u64(seed);
            place_with(&targets, QUOTE, cost_jitter(28), &mut random)
        })
        .collect();
    assert!(chosen.len() >= 6, "{} engines chosen", chosen.len());
}

/// From a trace: a newly listed engine got prompts of hosts of three other regions within 81 ms. In
/// a small fleet, whose hosts all hear of loads at once, it is used.
#[rstest]
#[case::just_listed_in_a_large_fleet(NOW, true, 0)]
#[case::known_for_a_while(NOW.saturating_sub(Duration::from_secs(1)), true, 10)]
#[case::just_listed_in_a_small_fleet(NOW, false, 10)]
fn an_engine_of_another_region_is_left_to_its_own_hosts_at_first(
    #[case] listed_at: Duration,
    #[case] is_large: bool,
    #[case] least: usize,
) {
    let (mut targets, keys) = engines(&["a"]);
    targets.add_request(keys[0], MEMORY / 2, 9000, 1);
    let (far, _) = targets.upsert(entry(7, "b"), Locality::OtherRegion, listed_at);
    let mut random = SmallRng::seed_from_u64(1);
    let chosen = (0..60).filter(|host| {
        let (service, home) = (service(), ZoneName::new("a"));
        let options = PlacementOptions {
            remote_partition_host: is_large.then_some(*host),
            ..quote_options(&service, &home)
        };
        let place = place_generation(&targets, &options, |_, _| true, NOW, &mut random);
        place.is_some_and(|place| place.target == far)
    });
    let chosen = chosen.count();
    assert!(
        if least == 0 {
            chosen == 0
        } else {
            chosen >= least
        },
        "{chosen}"
    );
}

/// Load pattern: 40 hosts of other regions see the same engines free between two reports.
#[test]
fn few_hosts_of_other_regions_choose_the_same_engine_between_two_reports() {
    let (mut targets, _) = engines(&[]);
    for number in 0..36 {
        targets.upsert(entry(number, "b"), Locality::OtherRegion, Duration::ZERO);
    }
    let mut random = SmallRng::seed_from_u64(1);
    let mut chosen: HashMap<TargetKey, u32> = HashMap::new();
    for host in 0..40 {
        let (service, home) = (service(), ZoneName::new("a"));
        let options = PlacementOptions {
            remote_partition_host: Some(host),
            ..quote_options(&service, &home)
        };
        let place = place_generation(&targets, &options, |_, _| true, NOW, &mut random);
        let place = place.expect("each host has engines that it may use");
        *chosen.entry(place.target).or_default() += 1;
    }
    let most = chosen.values().max().copied();
    assert!(most <= Some(15), "{most:?} of 40 chose one engine");
}

#[test]
fn a_target_that_fails_its_work_loses_it_although_nothing_else_tells() {
    let (mut targets, keys) = engines(&["a", "a"]);
    for _ in 0..8 {
        targets.record_outcome(keys[0], TargetOutcome::Failed, NOW);
    }
    assert_eq!(place_call(&targets, &service(), &[], NOW), Some(keys[1]));
    let later = NOW + Duration::from_mins(1);
    let failure_rate = targets.get(keys[0]).unwrap().failure_rate(later);
    assert!(failure_rate < 0.01, "{failure_rate} is not forgiven");
}

/// A near target of which a part of the calls fail, and one in another region that has none yet.
/// Returns which part of 400 calls the near one got.
fn near_part(failing: f64) -> f64 {
    let (mut targets, keys) = engines(&["a"]);
    targets.upsert(entry(7, "c"), Locality::OtherRegion, Duration::ZERO);
    let mut random = SmallRng::seed_from_u64(3);
    let mut near = 0.0;
    for call in 0..400 {
        let now = NOW + Duration::from_millis(200) * call;
        let key = place_call(&targets, &service(), &[], now).expect("both can be used");
        let is_near = key == keys[0];
        near += f64::from(u8::from(is_near)) / 400.0;
        let outcome = if is_near && random.random_bool(failing) {
            TargetOutcome::ReturnedError
        } else {
            TargetOutcome::Succeeded
        };
        targets.record_outcome(key, outcome, now);
    }
    near
}

/// Load pattern: one in seven lookups fails wherever it runs. Its host used another region, 60 ms
/// away, for a large part of its calls.
#[test]
fn calls_stay_near_a_target_that_fails_as_seldom_as_all() {
    let part = near_part(0.14);
    assert!(part > 0.97, "{part}");
}

/// Load pattern: a target fails 40% of its calls beyond those, while its health check is good.
#[test]
fn calls_leave_a_target_that_fails_often() {
    let part = near_part(0.54);
    assert!(part < 0.5, "{part}");
}

#[test]
fn a_target_that_cannot_be_reached_is_left_alone_and_tried_again() {
    let (mut targets, keys) = engines(&["a"]);
    targets.record_outcome(keys[0], TargetOutcome::Unreachable, NOW);
    assert_eq!(place(&targets, QUOTE), None);
    let key = keys[0];
    assert!(
        targets
            .get(key)
            .unwrap()
            .is_available(NOW + Duration::from_secs(1))
    );
}

#[test]
fn a_target_that_leaves_gets_nothing_and_does_not_come_back() {
    let (mut targets, keys) = engines(&["a"]);
    let mut draining = entry(0, "a");
    draining.is_draining = true;
    assert_eq!(
        targets.upsert(draining, Locality::SameZone, NOW),
        (keys[0], true)
    );
    assert_eq!(place(&targets, QUOTE), None);
    targets.upsert(entry(0, "a"), Locality::SameZone, NOW);
    assert_eq!(place(&targets, QUOTE), None);
}

#[test]
fn a_target_that_started_again_under_its_id_is_a_new_one() {
    let (mut targets, keys) = engines(&["a"]);
    targets.add_request(keys[0], MEMORY, 0, 1);
    let mut again = entry(0, "a");
    again.started_unix_ms = 2;
    let (key, is_news) = targets.upsert(again, Locality::SameZone, NOW);
    assert!(is_news && key != keys[0]);
    assert_eq!(place(&targets, QUOTE), Some(key));
}

#[test]
fn an_entry_that_lapsed_in_an_outage_counts_until_its_time_to_come_back_is_over() {
    let (mut targets, keys) = engines(&["a"]);
    targets.mark_removed("i-0", NOW + Duration::from_secs(2));
    assert!(targets.get(keys[0]).unwrap().is_available(NOW));
    assert!(
        !targets
            .get(keys[0])
            .unwrap()
            .is_available(NOW + Duration::from_secs(2))
    );
    targets.upsert(entry(0, "a"), Locality::SameZone, NOW);
    assert!(
        targets
            .get(keys[0])
            .unwrap()
            .is_available(NOW + Duration::from_secs(3))
    );
}

/// Load pattern: one of three targets answers two of five orders and is silent about the others
/// until their time is over. Counted by its answers alone it looked sound and got its share: a tenth
/// of all orders of the fleet failed there.
#[test]
fn a_target_that_stays_silent_gets_few_orders() {
    const ORDERS: u32 = 600;
    let pause = Duration::from_millis(20);
    let timeout = Duration::from_millis(1500);
    let (mut targets, keys) = engines(&["a", "a", "a"]);
    let mut silent: Vec<(Duration, TargetKey)> = Vec::new();
    let mut sent = 0;
    for order in 0..ORDERS {
        let now = NOW + pause * order;
        while let Some((until, key)) = silent.first().copied().filter(|(until, _)| *until <= now) {
            silent.remove(0);
            targets.remove_request(key, 0, 0, 0);
            targets.record_outcome(key, TargetOutcome::Failed, until);
        }
        let key = place_call(&targets, &service(), &[], now).expect("all are listed");
        sent += u32::from(key == keys[0]);
        if key == keys[0] && order % 5 > 1 {
            targets.add_request(key, 0, 0, 0);
            silent.push((now + timeout, key));
        } else {
            targets.record_outcome(key, TargetOutcome::Succeeded, now);
        }
    }
    assert!(sent < ORDERS / 10, "{sent} of {ORDERS}");
}
