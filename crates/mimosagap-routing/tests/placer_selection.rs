//! Dozens of hosts place prompts at the same moment.

#[path = "support/options.rs"]
mod options;
mod support;

use std::time::Duration;

use mimosagap_routing::hosts::{HostCapacity, HostRecord, HostTable};
use mimosagap_routing::placement::{may_place_on, place_generation};
use mimosagap_routing::placer_selection::PlacerSelector;
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use mimosagap_routing::targets::{PRIORITY_LEVELS, TargetKey, TargetLoad, TargetTable};
use mimosagap_types::prelude::*;
use options::long_generation_options;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::{LONG_GENERATION, NOW, engines, service};

fn request_load() -> TargetLoad {
    TargetLoad {
        requests: 1,
        kv_tokens: LONG_GENERATION.mean_kv_tokens(),
        pending_prefill: [0, LONG_GENERATION.prompt_tokens, 0, 0],
    }
}

fn place(targets: &TargetTable, now: Duration) -> TargetKey {
    let (service, home_zone) = (service(), ZoneName::new("a"));
    let options = long_generation_options(&service, &home_zone);
    let mut random = SmallRng::seed_from_u64(1);
    place_generation(targets, &options, |_, _| true, now, &mut random)
        .expect("an engine has capacity")
        .target
        .key()
}

fn pending_prefill(targets: &TargetTable, key: TargetKey, now: Duration) -> u32 {
    targets
        .get(key)
        .expect("the target is listed")
        .pending_prefill_tokens(now)
}

/// A newly listed engine got the prompts of seven hosts within 81 ms, before any of them learned of
/// the others' load.
#[test]
fn simultaneous_prompts_of_many_hosts_are_spread_over_the_engines() {
    let (mut targets, keys) = engines(&["a"; 10]);
    for key in &keys[1..] {
        targets.add_request(
            *key,
            LONG_GENERATION.mean_kv_tokens(),
            LONG_GENERATION.prompt_tokens,
            LONG_GENERATION.priority_level,
        );
    }
    for host in 0..30 {
        let key = place(&targets, NOW);
        targets.reserve(key, host, request_load(), NOW);
    }
    let max_pending = keys
        .iter()
        .map(|key| pending_prefill(&targets, *key, NOW))
        .max();
    assert_eq!(max_pending, Some(4 * LONG_GENERATION.prompt_tokens));
}

#[test]
fn a_load_report_replaces_the_reservations_of_its_host() {
    let (mut targets, keys) = engines(&["a"]);
    targets.reserve(keys[0], 7, request_load(), NOW);
    targets.reserve(keys[0], 8, request_load(), NOW);
    targets.record_peer_load("i-0", 7, request_load(), NOW);
    assert_eq!(
        pending_prefill(&targets, keys[0], NOW),
        2 * LONG_GENERATION.prompt_tokens
    );
}

#[test]
fn the_reservation_of_a_host_that_never_sends_expires() {
    let (mut targets, keys) = engines(&["a"]);
    targets.reserve(keys[0], 7, request_load(), NOW);
    assert_eq!(
        pending_prefill(&targets, keys[0], NOW + Duration::from_secs(1)),
        0
    );
    assert_eq!(request_load().pending_prefill.len(), PRIORITY_LEVELS);
}

fn host_table(names: &[&str]) -> HostTable {
    let mut hosts = HostTable::default();
    for (name, number) in names.iter().zip(1..) {
        let record = HostRecord {
            caller_address: ([10, 0, 0, number], 8740).into(),
            peer_address: ([10, 0, 0, number], 7200).into(),
            zone: ZoneName::new(&name[..2]),
            capacity: HostCapacity::default(),
            features: Vec::new(),
            region: RegionName::new(&name[..1]),
        };
        hosts.upsert(name, record, revision(1));
    }
    hosts
}

fn selected_placer(selector: &PlacerSelector, hosts: &HostTable, now: Duration) -> Option<String> {
    let placer = selector.select(hosts, &RegionName::new("a"), now);
    placer.map(|(name, _)| name.to_owned())
}

#[test]
fn all_hosts_select_the_same_placer_until_it_fails() {
    let hosts = host_table(&["a1-1", "a1-2", "a2-1", "b1-1"]);
    let mut selector = PlacerSelector::default();
    let first = selected_placer(&selector, &hosts, NOW).expect("the region has hosts");
    assert_eq!(
        selected_placer(&PlacerSelector::default(), &hosts, NOW),
        Some(first.clone())
    );
    selector.record_failure(&first, NOW);
    let second = selected_placer(&selector, &hosts, NOW).expect("another host takes its place");
    assert!(second != first && second.starts_with('a'), "{second}");
    let later = NOW + Duration::from_secs(3);
    assert_eq!(selected_placer(&selector, &hosts, later), Some(first));
}

#[test]
fn a_region_whose_hosts_all_fail_has_no_placer() {
    let hosts = host_table(&["a1-1", "b1-1"]);
    let mut selector = PlacerSelector::default();
    selector.record_failure("a1-1", NOW);
    assert_eq!(selected_placer(&selector, &hosts, NOW), None);
}

/// A placer that was restarted had not heard that an engine announced its leaving, and granted it
/// for generations that must not be started again. The host that asked knew, and sent them there for
/// seconds.
#[test]
fn an_engine_that_leaves_is_not_used_though_the_placer_grants_it() {
    let (mut targets, keys) = engines(&["a", "a"]);
    assert!(targets.mark_draining(keys[0], NOW));
    let (service, home_zone) = (service(), ZoneName::new("a"));
    let options = long_generation_options(&service, &home_zone);
    let may_place = |key: TargetKey| {
        let target = targets.get(key).expect("the target is listed");
        may_place_on(&targets, &options, target, NOW + Duration::from_secs(5))
    };
    assert_eq!([keys[0], keys[1]].map(may_place), [false, true]);
}

fn revision(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra(1), number)
}
