//! Replays evacuations of a zone, and failures of the store and of hosts during them.

mod support;

use std::collections::BTreeSet;
use std::time::Duration;

use mimosagap_routing::evacuation::{EvacuationChange, Evacuations, RESTORE_HOLD, is_current};
use mimosagap_routing::migration;
use mimosagap_routing::placement::{PlacementOptions, may_place_on, place_call, place_generation};
use mimosagap_routing::residency::{PermittedTarget, UNRESTRICTED};
use mimosagap_routing::store_revision::StoreEra;
use mimosagap_routing::targets::{Locality, TargetKey, TargetTable};
use mimosagap_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use support::{LONG_GENERATION, NOW, engines, entry, service};

fn zone(name: &str) -> ZoneName {
    ZoneName::new(name)
}

fn zones(names: &[&str]) -> BTreeSet<ZoneName> {
    names.iter().copied().map(ZoneName::new).collect()
}

/// Targets chosen by every decision for a new request or a copy, over many repetitions with load.
fn chosen_targets(targets: &mut TargetTable, source: TargetKey) -> Vec<TargetKey> {
    let (service, home_zone) = (service(), zone("a"));
    let options = PlacementOptions {
        service: &service,
        demand: LONG_GENERATION,
        version: None,
        home_zone: &home_zone,
        max_queue_time: Duration::from_secs(1),
        restart_time: Some(Duration::from_millis(1)),
        cost_jitter: Duration::from_millis(50),
        remote_partition_host: None,
        residency: &UNRESTRICTED,
    };
    let mut rng = SmallRng::seed_from_u64(1);
    let mut chosen = Vec::new();
    for _ in 0..20 {
        let placed = place_generation(targets, &options, |_, _| true, NOW, &mut rng);
        let keys = [
            place_call(targets, &service, &[], &UNRESTRICTED, NOW),
            place_call(targets, &service, &chosen, &UNRESTRICTED, NOW),
            placed.map(|placement| placement.target),
            targets.get(source).and_then(|engine| {
                migration::choose_destination(
                    targets,
                    &service,
                    engine,
                    500,
                    &[],
                    &UNRESTRICTED,
                    NOW,
                )
            }),
        ];
        for key in keys.into_iter().flatten().map(PermittedTarget::key) {
            targets.add_request(key, 900, 0, 1);
            chosen.push(key);
        }
        let placeable = targets
            .iter()
            .filter(|(_, target)| may_place_on(targets, &options, target, NOW));
        chosen.extend(placeable.map(|(key, _)| key));
    }
    chosen
}

/// Guards against sends to an evacuated zone by any decision: first sends, retries, copies, and
/// restarts at draining engines. Without the evacuation the same replay uses the zone.
#[test]
fn no_decision_chooses_a_target_of_an_evacuated_zone() {
    let replay = |evacuated: &[&str]| {
        let (mut targets, keys) = engines(&["a", "a", "b", "b"]);
        targets.set_drain_timeout(Duration::from_secs(4));
        targets.mark_draining(keys[1], NOW);
        targets.set_evacuated_zones(zones(evacuated), NOW);
        let late = targets.upsert(entry(9, "a"), Locality::SameZone, NOW).0;
        let chosen = chosen_targets(&mut targets, keys[2]);
        let in_zone = [keys[0], keys[1], late];
        (
            chosen.iter().filter(|key| in_zone.contains(key)).count(),
            chosen.len(),
        )
    };
    let (in_zone, total) = replay(&["a"]);
    assert_eq!(in_zone, 0, "of {total} choices");
    assert!(total > 0, "the other zone is used");
    assert!(replay(&[]).0 > 0, "without the evacuation the zone is used");
}

/// Guards against use of a draining engine of the zone, which has a check of its own.
#[test]
fn draining_engines_of_the_zone_are_not_used_either() {
    let (mut targets, keys) = engines(&["a"]);
    targets.mark_draining(keys[0], NOW);
    let is_usable = |targets: &TargetTable| {
        let target = targets.get(keys[0]).expect("the target is in the table");
        target.is_available_while_draining(NOW)
    };
    assert!(is_usable(&targets));
    targets.set_evacuated_zones(zones(&["a"]), NOW);
    assert!(!is_usable(&targets));
}

/// Guards against waiting for, or blaming the rate limit of, engines that cannot be used.
#[test]
fn a_service_whose_only_engines_are_evacuated_counts_as_without_targets() {
    let (mut targets, keys) = engines(&["a", "b"]);
    targets.set_evacuated_zones(zones(&["a"]), NOW);
    assert!(!targets.has_only_evacuated(&service(), NOW));
    targets.mark_draining(keys[1], NOW);
    assert!(targets.has_only_evacuated(&service(), NOW));
    assert!(!targets.is_held_back(&service(), &UNRESTRICTED, NOW));
    assert_eq!(targets.time_until_available(&service(), NOW), None);
    targets.set_evacuated_zones(BTreeSet::new(), NOW);
    assert!(!targets.has_only_evacuated(&service(), NOW));
}

/// Guards against losing targets of the zone: they stay in the table and return with it.
#[test]
fn targets_return_with_their_zone() {
    let (mut targets, keys) = engines(&["a"]);
    targets.set_evacuated_zones(zones(&["a"]), NOW);
    let call = |targets: &TargetTable| {
        place_call(targets, &service(), &[], &UNRESTRICTED, NOW).map(PermittedTarget::key)
    };
    assert_eq!(call(&targets), None);
    targets.set_evacuated_zones(BTreeSet::new(), NOW);
    assert_eq!(call(&targets), Some(keys[0]));
}

/// Guards against an evacuation that ends with an outage of the store: no listing arrives then.
#[test]
fn an_evacuation_holds_while_the_store_is_away() {
    let mut evacuations = Evacuations::default();
    let started = evacuations.record_key(&zone("a"), StoreEra(1));
    assert_eq!(started, Some(EvacuationChange::Started));
    assert_eq!(evacuations.end_holds(Some(NOW)), []);
    assert_eq!(evacuations.zones(), zones(&["a"]));
    assert_eq!(
        evacuations.record_removal(&zone("a")),
        Some(EvacuationChange::Ended)
    );
    assert_eq!(evacuations.zones(), zones(&[]));
}

/// Guards against sends into the zone when the store comes back from a copy without the key, in the
/// time in which operators write it again, and against an end that no state of the store proves.
#[test]
fn an_evacuation_holds_when_an_older_copy_lacks_it() {
    let mut evacuations = Evacuations::default();
    evacuations.record_key(&zone("a"), StoreEra(1));
    let held = evacuations.record_listing(&zones(&[]), StoreEra(2), NOW);
    assert_eq!(held, [(zone("a"), EvacuationChange::Held)]);
    let almost = NOW + RESTORE_HOLD.mul_f64(0.99);
    assert_eq!(
        evacuations.record_listing(&zones(&[]), StoreEra(2), almost),
        []
    );
    assert_eq!(evacuations.end_holds(Some(almost)), []);
    assert_eq!(evacuations.end_holds(None), []);
    assert_eq!(evacuations.zones(), zones(&["a"]));
    let ended = evacuations.end_holds(Some(NOW + RESTORE_HOLD));
    assert_eq!(ended, [(zone("a"), EvacuationChange::Ended)]);
}

/// Guards against the end of a hold for a key that the operators have written again.
#[test]
fn a_key_that_is_written_again_replaces_the_hold() {
    let mut evacuations = Evacuations::default();
    evacuations.record_key(&zone("a"), StoreEra(1));
    evacuations.record_listing(&zones(&[]), StoreEra(2), NOW);
    assert_eq!(evacuations.record_key(&zone("a"), StoreEra(2)), None);
    assert_eq!(evacuations.end_holds(Some(NOW + RESTORE_HOLD)), []);
    assert_eq!(evacuations.zones(), zones(&["a"]));
    let listing = evacuations.record_listing(&zones(&[]), StoreEra(2), NOW);
    assert_eq!(listing, [(zone("a"), EvacuationChange::Ended)]);
}

/// Guards against a restarted host that reads only the older copy: another host reports what it
/// holds, for the rest of its time and not for ever.
#[test]
fn a_restarted_host_learns_of_a_held_evacuation() {
    let mut known = Evacuations::default();
    known.record_key(&zone("a"), StoreEra(1));
    known.record_listing(&zones(&[]), StoreEra(2), NOW);
    let later = NOW + Duration::from_secs(4);
    let report = known.held(later);
    assert_eq!(report, [(zone("a"), Duration::from_secs(6))]);
    let mut restarted = Evacuations::default();
    for (zone, remaining) in &report {
        let change = restarted.record_report(zone, *remaining, StoreEra(2), later);
        assert_eq!(change, Some(EvacuationChange::Held));
    }
    assert_eq!(
        restarted.record_listing(&zones(&[]), StoreEra(2), later),
        []
    );
    assert_eq!(restarted.zones(), zones(&["a"]));
    assert_eq!(restarted.end_holds(Some(NOW + RESTORE_HOLD)).len(), 1);
    assert_eq!(known.held(NOW + RESTORE_HOLD), []);
}

/// Guards against a partitioned host that takes an old state for the current one.
#[test]
fn a_state_older_than_the_bound_is_not_current() {
    let bound = Duration::from_secs(5);
    assert!(is_current(Some(Duration::from_secs(2)), bound));
    assert!(!is_current(Some(bound), bound));
    assert!(!is_current(None, bound));
}
