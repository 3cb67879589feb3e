//! Dozens of hosts that place prompts in the same moment.

#[path = "support/quote.rs"]
mod quote;
mod support;

use std::time::Duration;

use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_routing::placement::place_generation;
use mimosagap_routing::placer_selection::PlacerSelector;
use mimosagap_routing::targets::{PRIORITY_LEVELS, TargetKey, TargetLoad, TargetTable};
use mimosagap_types::prelude::*;
use quote::quote_options;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::{NOW, QUOTE, engines, service};

fn work() -> TargetLoad {
    TargetLoad {
        requests: 1,
        kv_tokens: QUOTE.mean_kv_tokens(),
        pending_prefill: [0, QUOTE.prompt_tokens, 0, 0],
    }
}

fn place(targets: &TargetTable, now: Duration) -> TargetKey {
    let (service, home) = (service(), ZoneName::new("a"));
    let options = quote_options(&service, &home);
    let mut random = SmallRng::seed_from_u64(1);
    place_generation(targets, &options, |_, _| true, now, &mut random)
        .expect("there is room")
        .target
}

fn unread(targets: &TargetTable, key: TargetKey, now: Duration) -> u32 {
    targets
        .get(key)
        .expect("it is listed")
        .pending_prefill_tokens(now)
}

/// From a trace: an engine that had just been listed got seven prompts of seven hosts within 81 ms,
/// before any of them heard of another.
#[test]
fn prompts_of_many_hosts_in_one_moment_go_round_the_engines() {
    let (mut targets, keys) = engines(&["a"; 10]);
    for key in &keys[1..] {
        targets.add_request(
            *key,
            QUOTE.mean_kv_tokens(),
            QUOTE.prompt_tokens,
            QUOTE.priority_level,
        );
    }
    for host in 0..30 {
        let key = place(&targets, NOW);
        targets.reserve(key, host, work(), NOW);
    }
    let most = keys.iter().map(|key| unread(&targets, *key, NOW)).max();
    assert_eq!(most, Some(4 * QUOTE.prompt_tokens));
}

#[test]
fn a_report_takes_the_place_of_the_promises_of_its_host() {
    let (mut targets, keys) = engines(&["a"]);
    targets.reserve(keys[0], 7, work(), NOW);
    targets.reserve(keys[0], 8, work(), NOW);
    targets.record_peer_load("i-0", 7, work(), NOW);
    assert_eq!(unread(&targets, keys[0], NOW), 2 * QUOTE.prompt_tokens);
}

#[test]
fn a_promise_to_a_host_that_never_sends_lapses() {
    let (mut targets, keys) = engines(&["a"]);
    targets.reserve(keys[0], 7, work(), NOW);
    assert_eq!(unread(&targets, keys[0], NOW + Duration::from_secs(1)), 0);
    assert_eq!(work().pending_prefill.len(), PRIORITY_LEVELS);
}

fn fleet(names: &[&str]) -> HostTable {
    let mut fleet = HostTable::default();
    for (name, number) in names.iter().zip(1..) {
        let record = HostRecord {
            caller_address: ([10, 0, 0, number], 8740).into(),
            peer_address: ([10, 0, 0, number], 7200).into(),
            zone: ZoneName::new(&name[..2]),
            capacity: HostCapacity::default(),
            region: RegionName::new(&name[..1]),
        };
        fleet.upsert(name, record);
    }
    fleet
}

fn placer(choice: &PlacerSelector, fleet: &HostTable, now: Duration) -> Option<String> {
    let placer = choice.select(fleet, &RegionName::new("a"), now);
    placer.map(|(name, _)| name.to_owned())
}

#[test]
fn all_hosts_ask_the_same_placer_until_it_fails_them() {
    let fleet = fleet(&["a1-1", "a1-2", "a2-1", "b1-1"]);
    let mut choice = PlacerSelector::default();
    let first = placer(&choice, &fleet, NOW).expect("the region has hosts");
    assert_eq!(
        placer(&PlacerSelector::default(), &fleet, NOW),
        Some(first.clone())
    );
    choice.record_failure(&first, NOW);
    let second = placer(&choice, &fleet, NOW).expect("another host takes its place");
    assert!(second != first && second.starts_with('a'), "{second}");
    let later = NOW + Duration::from_secs(3);
    assert_eq!(placer(&choice, &fleet, later), Some(first));
}

#[test]
fn a_region_whose_hosts_all_fail_has_no_placer() {
    let fleet = fleet(&["a1-1", "b1-1"]);
    let mut choice = PlacerSelector::default();
    choice.record_failure("a1-1", NOW);
    assert_eq!(placer(&choice, &fleet, NOW), None);
}
