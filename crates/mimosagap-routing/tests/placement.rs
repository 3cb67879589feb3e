//! Many hosts send prompts of thousands of tokens to engines whose KV cache holds about ten.

#[path = "support/options.rs"]
mod options;
mod support;

use std::collections::{HashMap, HashSet};
use std::time::Duration;

use mimosagap_routing::placement::{
    GenerationDemand, PlacementOptions, cost_jitter, place_call, place_generation,
};
use mimosagap_routing::residency::{PermittedTarget, UNRESTRICTED};
use mimosagap_routing::targets::{Locality, TargetKey, TargetLoad, TargetOutcome, TargetTable};
use mimosagap_types::prelude::*;
use options::long_generation_options;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;
use support::{KV_CAPACITY_TOKENS, LONG_GENERATION, NOW, engines, entry, service};

fn place_any_call(targets: &TargetTable, now: Duration) -> Option<TargetKey> {
    place_call(targets, &service(), &[], &UNRESTRICTED, now).map(PermittedTarget::key)
}

fn place_with(
    targets: &TargetTable,
    demand: GenerationDemand,
    cost_jitter: Duration,
    random: &mut SmallRng,
) -> Option<TargetKey> {
    let (service, home_zone) = (service(), ZoneName::new("a"));
    let options = PlacementOptions {
        demand,
        cost_jitter,
        ..long_generation_options(&service, &home_zone)
    };
    let placement = place_generation(targets, &options, |_, _| true, NOW, random);
    placement.map(|placement| placement.target.key())
}

fn place(targets: &TargetTable, demand: GenerationDemand) -> Option<TargetKey> {
    let mut random = SmallRng::seed_from_u64(1);
    place_with(targets, demand, Duration::ZERO, &mut random)
}

#[test]
fn a_burst_is_spread_evenly_over_the_engines() {
    let (mut targets, keys) = engines(&["a", "a", "a"]);
    for _ in 0..6 {
        let key = place(&targets, LONG_GENERATION).expect("an engine has capacity");
        targets.add_request(
            key,
            LONG_GENERATION.mean_kv_tokens(),
            LONG_GENERATION.prompt_tokens,
            LONG_GENERATION.priority_level,
        );
    }
    for key in keys {
        assert_eq!(targets.get(key).unwrap().local_load.requests, 2);
    }
}

#[test]
fn the_pending_prefill_of_other_hosts_counts() {
    let (mut targets, keys) = engines(&["a", "a"]);
    let load = TargetLoad {
        requests: 3,
        kv_tokens: 9000,
        pending_prefill: [0, 9000, 0, 0],
    };
    targets.record_peer_load("i-0", 77, load, NOW);
    assert_eq!(place(&targets, LONG_GENERATION), Some(keys[1]));
}

#[test]
fn less_urgent_pending_prefill_counts_for_an_urgent_request() {
    let (mut targets, keys) = engines(&["a", "a"]);
    targets.add_request(keys[0], 6000, 6000, 2);
    let urgent_demand = GenerationDemand {
        priority_level: 0,
        ..LONG_GENERATION
    };
    assert_eq!(place(&targets, urgent_demand), Some(keys[1]));
}

#[test]
fn a_request_is_not_placed_on_a_full_kv_cache() {
    let (mut targets, keys) = engines(&["a"]);
    targets.add_request(keys[0], KV_CAPACITY_TOKENS, 0, 1);
    assert_eq!(place(&targets, LONG_GENERATION), None);
}

/// On an overloaded day, a fleet that served 97 of 100 requests had 30 of 100 late: each of these
/// was queued behind two or three prompts at an engine with free KV cache.
#[test]
fn a_request_is_not_placed_beyond_its_maximum_queue_time() {
    let (mut targets, keys) = engines(&["a"]);
    targets.add_request(keys[0], 6000, 6000, 1);
    let place = |targets: &TargetTable, max_queue_time| {
        let (service, home_zone) = (service(), ZoneName::new("a"));
        let options = PlacementOptions {
            max_queue_time,
            ..long_generation_options(&service, &home_zone)
        };
        let mut random = SmallRng::seed_from_u64(1);
        let placement = place_generation(targets, &options, |_, _| true, NOW, &mut random);
        placement.map(|placement| placement.target.key())
    };
    let queue_time = targets.get(keys[0]).unwrap().prefill_queue_time(NOW);
    let shorter_time = queue_time.saturating_sub(Duration::from_millis(1));
    assert_eq!(place(&targets, queue_time), Some(keys[0]));
    assert_eq!(place(&targets, shorter_time), None);
    // The prefill of its own prompt does not count, so that long prompts are not refused first.
    targets.finish_prefill(keys[0], 6000, 1, 0, queue_time);
    assert_eq!(place(&targets, Duration::ZERO), Some(keys[0]));
}

#[test]
fn an_idle_engine_accepts_a_request_of_any_size() {
    let (targets, keys) = engines(&["a"]);
    let large_demand = GenerationDemand {
        prompt_tokens: KV_CAPACITY_TOKENS,
        ..LONG_GENERATION
    };
    assert_eq!(place(&targets, large_demand), Some(keys[0]));
}

#[test]
fn jitter_spreads_simultaneous_choices_of_many_hosts() {
    let (targets, _) = engines(&["a"; 10]);
    let chosen: HashSet<TargetKey> = (0..28)
        .filter_map(|seed| {
            let mut random = SmallRng::seed_from_u64(seed);
            place_with(&targets, LONG_GENERATION, cost_jitter(28), &mut random)
        })
        .collect();
    assert!(chosen.len() >= 6, "{} engines chosen", chosen.len());
}

/// A newly listed engine got the prompts of hosts of three other regions within 81 ms, before its
/// load was reported. In a small fleet all hosts learn of loads at once, so the engine is used.
#[rstest]
#[case::just_listed_in_a_large_fleet(NOW, true, 0)]
#[case::known_for_a_while(NOW.saturating_sub(Duration::from_secs(1)), true, 10)]
#[case::just_listed_in_a_small_fleet(NOW, false, 10)]
fn a_new_engine_of_another_region_is_not_used_by_a_large_fleet(
    #[case] listed_at: Duration,
    #[case] is_large_fleet: bool,
    #[case] min_chosen: usize,
) {
    let (mut targets, keys) = engines(&["a"]);
    targets.add_request(keys[0], KV_CAPACITY_TOKENS / 2, 9000, 1);
    let (remote_key, _) = targets.upsert(entry(7, "b"), Locality::OtherRegion, listed_at);
    let mut random = SmallRng::seed_from_u64(1);
    let chosen = (0..60).filter(|host| {
        let (service, home_zone) = (service(), ZoneName::new("a"));
        let options = PlacementOptions {
            remote_partition_host: is_large_fleet.then_some(*host),
            ..long_generation_options(&service, &home_zone)
        };
        let placement = place_generation(&targets, &options, |_, _| true, NOW, &mut random);
        placement.is_some_and(|placement| placement.target.key() == remote_key)
    });
    let chosen = chosen.count();
    assert!(
        if min_chosen == 0 {
            chosen == 0
        } else {
            chosen >= min_chosen
        },
        "{chosen}"
    );
}

/// Between two load reports, 40 hosts of other regions see the same engines idle.
#[test]
fn few_hosts_of_other_regions_choose_the_same_engine() {
    let (mut targets, _) = engines(&[]);
    for number in 0..36 {
        targets.upsert(entry(number, "b"), Locality::OtherRegion, Duration::ZERO);
    }
    let mut random = SmallRng::seed_from_u64(1);
    let mut chosen: HashMap<TargetKey, u32> = HashMap::new();
    for host in 0..40 {
        let (service, home_zone) = (service(), ZoneName::new("a"));
        let options = PlacementOptions {
            remote_partition_host: Some(host),
            ..long_generation_options(&service, &home_zone)
        };
        let placement = place_generation(&targets, &options, |_, _| true, NOW, &mut random);
        let placement = placement.expect("the partition of each host has an engine");
        *chosen.entry(placement.target.key()).or_default() += 1;
    }
    let max_choices = chosen.values().max().copied();
    assert!(
        max_choices <= Some(15),
        "{max_choices:?} of 40 chose one engine"
    );
}

#[test]
fn a_failing_target_is_avoided_until_its_failure_rate_decays() {
    let (mut targets, keys) = engines(&["a", "a"]);
    for _ in 0..8 {
        targets.record_outcome(keys[0], TargetOutcome::Failed, NOW);
    }
    assert_eq!(place_any_call(&targets, NOW), Some(keys[1]));
    let later = NOW + Duration::from_mins(1);
    let failure_rate = targets.get(keys[0]).unwrap().failure_rate(later);
    assert!(failure_rate < 0.01, "{failure_rate} has not decayed");
}

/// The fraction of 400 calls that go to the target of this zone, which fails with this probability.
/// The other target is in another region and does not fail.
fn same_zone_fraction(failure_probability: f64) -> f64 {
    let (mut targets, keys) = engines(&["a"]);
    targets.upsert(entry(7, "c"), Locality::OtherRegion, Duration::ZERO);
    let mut random = SmallRng::seed_from_u64(3);
    let mut fraction = 0.0;
    for call in 0..400 {
        let now = NOW + Duration::from_millis(200) * call;
        let key = place_any_call(&targets, now).expect("both targets are available");
        let is_same_zone = key == keys[0];
        fraction += f64::from(u8::from(is_same_zone)) / 400.0;
        let outcome = if is_same_zone && random.random_bool(failure_probability) {
            TargetOutcome::ReturnedError
        } else {
            TargetOutcome::Succeeded
        };
        targets.record_outcome(key, outcome, now);
    }
    fraction
}

/// One in seven lookups fails at any target. Counting these failures, a host sent a large part of
/// its calls to another region, 60 ms away.
#[test]
fn calls_stay_in_the_zone_at_the_baseline_failure_rate() {
    let fraction = same_zone_fraction(0.14);
    assert!(fraction > 0.97, "{fraction}");
}

/// A target fails another 40% of its calls while its health check succeeds.
#[test]
fn calls_leave_a_target_with_a_high_failure_rate() {
    let fraction = same_zone_fraction(0.54);
    assert!(fraction < 0.5, "{fraction}");
}

#[test]
fn an_unreachable_target_is_paused_and_tried_again() {
    let (mut targets, keys) = engines(&["a"]);
    targets.record_outcome(keys[0], TargetOutcome::Unreachable, NOW);
    assert_eq!(place(&targets, LONG_GENERATION), None);
    let key = keys[0];
    assert!(
        targets
            .get(key)
            .unwrap()
            .is_available(NOW + Duration::from_secs(1))
    );
}

#[test]
fn a_draining_target_is_not_used_again() {
    let (mut targets, keys) = engines(&["a"]);
    let mut draining_entry = entry(0, "a");
    draining_entry.is_draining = true;
    assert_eq!(
        targets.upsert(draining_entry, Locality::SameZone, NOW),
        (keys[0], true)
    );
    assert_eq!(place(&targets, LONG_GENERATION), None);
    targets.upsert(entry(0, "a"), Locality::SameZone, NOW);
    assert_eq!(place(&targets, LONG_GENERATION), None);
}

#[test]
fn a_restarted_target_with_the_same_instance_is_new() {
    let (mut targets, keys) = engines(&["a"]);
    targets.add_request(keys[0], KV_CAPACITY_TOKENS, 0, 1);
    let mut restarted_entry = entry(0, "a");
    restarted_entry.started_unix_ms = 2;
    let (key, is_new) = targets.upsert(restarted_entry, Locality::SameZone, NOW);
    assert!(is_new && key != keys[0]);
    assert_eq!(place(&targets, LONG_GENERATION), Some(key));
}

#[test]
fn a_removed_target_is_available_until_its_removal_time() {
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

/// One of three targets responds to two of five requests and lets the others time out. Judged by
/// its responses alone it looks healthy and keeps its share, so that a tenth of all requests of the
/// fleet fails there.
#[test]
fn a_target_with_many_timeouts_gets_few_requests() {
    const REQUESTS: u32 = 600;
    let interval = Duration::from_millis(20);
    let timeout = Duration::from_millis(1500);
    let (mut targets, keys) = engines(&["a", "a", "a"]);
    let mut timeouts: Vec<(Duration, TargetKey)> = Vec::new();
    let mut sent_count = 0;
    for request in 0..REQUESTS {
        let now = NOW + interval * request;
        while let Some((expires_at, key)) = timeouts
            .first()
            .copied()
            .filter(|(expires_at, _)| *expires_at <= now)
        {
            timeouts.remove(0);
            targets.remove_request(key, 0, 0, 0);
            targets.record_outcome(key, TargetOutcome::Failed, expires_at);
        }
        let key = place_any_call(&targets, now).expect("all targets are listed");
        sent_count += u32::from(key == keys[0]);
        if key == keys[0] && request % 5 > 1 {
            targets.add_request(key, 0, 0, 0);
            timeouts.push((now + timeout, key));
        } else {
            targets.record_outcome(key, TargetOutcome::Succeeded, now);
        }
    }
    assert!(sent_count < REQUESTS / 10, "{sent_count} of {REQUESTS}");
}
