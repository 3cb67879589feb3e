//! Guards against engines filled beyond the ceiling, traffic that leaves its region, and uneven
//! load.

mod common;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use common::*;
use mimosagap_core::forecast::AdmissionBound;
use mimosagap_core::{AttemptEnd, Event, ListedTarget, LoadReport, Submission};
use mimosagap_rules::set::PlacementWeights;
use mimosagap_rules::statement::Priority;
use mimosagap_types::prelude::*;
use rstest::rstest;

/// Engines 1 to 3 in the own zone, in another zone of the region, and in another region.
fn three_distances_harness(text: &str) -> ReducerHarness {
    let mut harness = ReducerHarness::new(text);
    let mut list: Vec<ListedTarget> = (1..=3).map(|n| listed(engine(n), false)).collect();
    list[1].zone = ZoneName::new("norte-a2");
    list[2].zone = ZoneName::new("lisboa-a1");
    list[2].region = RegionName::new("lisboa-a");
    harness.step(Event::TargetsListed(list));
    for number in 1..=3 {
        harness.report(number, load_report(1));
    }
    harness
}

fn used_report(usage: f64) -> LoadReport {
    LoadReport {
        running: 10,
        memory_usage: usage,
        ..load_report(1)
    }
}

fn target_of(harness: &mut ReducerHarness, submission: Submission) -> Option<SocketAddr> {
    dispatched(&harness.submit(submission).1).map(|(_, target)| target)
}

/// Fails if a request leaves its zone without need, stays although the zone is full, or leaves the
/// region while that has room.
#[test]
fn the_nearest_engine_with_room_is_chosen() {
    let mut harness = three_distances_harness("");
    assert_eq!(
        target_of(&mut harness, generation(1, true)),
        Some(engine(1))
    );
    harness.report(1, used_report(0.95));
    assert_eq!(
        target_of(&mut harness, generation(1, true)),
        Some(engine(2))
    );
    harness.report(2, used_report(0.8));
    assert_eq!(
        target_of(&mut harness, generation(1, true)),
        Some(engine(2))
    );
    harness.report(2, used_report(0.95));
    assert_eq!(
        target_of(&mut harness, generation(1, true)),
        Some(engine(3))
    );
}

/// Fails if a request for a model that a rule keeps in a region leaves it.
#[rstest]
#[case("forecast")]
#[case("round-robin")]
#[case("least-outstanding")]
#[case("two-choices")]
fn a_kept_model_never_leaves_its_region(#[case] policy: &str) {
    let text = format!(
        "keep region quotes norte-a # insurer: data\nroute quotes policy {policy} # manager: test"
    );
    let mut harness = three_distances_harness(&text);
    harness.step(unreachable(engine(1), true));
    harness.step(unreachable(engine(2), true));
    let (_, effects) = harness.submit(generation(1, true));
    let refusal = refused(&effects).expect("no engine in the region is up");
    assert_eq!(refusal.cause, RefusalCause::NoTarget);
    assert_eq!(refusal.rule.as_ref().map(|rule| rule.line), Some(1));
}

/// Fails if a request is admitted above the ceiling of the rules, or kept waiting below it.
#[rstest]
#[case("", 0.80, true)]
#[case("", 0.91, false)]
#[case("memory ceiling 60% # manager: test", 0.65, false)]
#[case("weigh preemptions 9 stall 1 # manager: test", 0.865, false)]
#[case("class quote priority high # manager: test", 0.89, true)]
#[case("", 0.88, false)]
#[case("weigh preemptions 1 stall 9 # manager: test", 0.85, true)]
fn admission_ends_at_the_ceiling(
    #[case] text: &str,
    #[case] usage: f64,
    #[case] is_admitted: bool,
) {
    let mut harness = ReducerHarness::with_targets(text, 1, 0);
    harness.report(1, used_report(usage));
    let target = target_of(&mut harness, generation(1, true));
    assert_eq!(target.is_some(), is_admitted);
}

/// Fails if a burst between two reports overfills an engine: placements of this daemon and its
/// peers must count before a report includes them.
#[rstest]
#[case(0, 15)]
#[case(60_000, 10)]
fn placements_count_before_reports_include_them(
    #[case] peer_tokens: u64,
    #[case] max_count: usize,
) {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    harness.report(1, used_report(0.1));
    harness.step(Event::PeerPlacements {
        daemon: DaemonId::new("b"),
        placements: vec![(engine(1), peer_tokens)],
    });
    let placed = (0..40)
        .filter(|_| target_of(&mut harness, sized_generation(5_000, Some(100), &[])).is_some());
    let count = placed.count();
    assert!((2..=max_count + 1).contains(&count), "{count}");
    let placements = harness.reducer.placements();
    assert_eq!(placements, [(engine(1), 5_000 * count as u64)]);
}

/// Fails if a request does not follow its cached prefix, or follows it to a much fuller engine.
#[test]
fn prefix_affinity_is_bounded() {
    let mut harness = ReducerHarness::with_targets("", 2, 0);
    let prefixed_generation = || sized_generation(100, None, &[11, 12, 13]);
    let cache_stored = |address| Event::CacheChanged {
        address,
        stored: vec![11, 12, 13],
        removed: Vec::new(),
        gap: false,
    };
    harness.step(cache_stored(engine(2)));
    harness.report(2, used_report(0.15));
    assert_eq!(
        target_of(&mut harness, prefixed_generation()),
        Some(engine(2))
    );
    harness.report(2, used_report(0.5));
    assert_eq!(
        target_of(&mut harness, prefixed_generation()),
        Some(engine(1))
    );
}

/// Fails if a baseline policy does not distribute requests as documented.
#[rstest]
#[case("round-robin", 10, 10)]
#[case("least-outstanding", 10, 10)]
#[case("two-choices", 6, 14)]
fn baseline_policies_distribute_requests(
    #[case] policy: &str,
    #[case] min_count: u32,
    #[case] max_count: u32,
) {
    let text = format!("route quotes policy {policy} # manager: comparison");
    let mut harness = ReducerHarness::with_targets(&text, 3, 0);
    for number in 1..=3 {
        harness.report(number, used_report(0.99));
    }
    let mut counts = BTreeMap::new();
    for _ in 0..30 {
        let target = target_of(&mut harness, generation(1, true));
        *counts
            .entry(target.expect("baselines queue in the engine"))
            .or_insert(0) += 1;
    }
    assert_eq!(counts.len(), 3);
    assert!(
        counts
            .values()
            .all(|count| (min_count..=max_count).contains(count)),
        "{counts:?}"
    );
}

/// Fails if a call goes to a target that is farther or busier than necessary.
#[test]
fn calls_go_to_the_nearest_target_with_the_fewest_requests() {
    let mut harness = ReducerHarness::new("");
    let mut list: Vec<ListedTarget> = (1..=3).map(|n| listed(service(n), false)).collect();
    list[0].region = RegionName::new("lisboa-a");
    list[0].zone = ZoneName::new("lisboa-a1");
    harness.step(Event::TargetsListed(list));
    let first = target_of(&mut harness, call(1)).expect("a target");
    let second = target_of(&mut harness, call(1)).expect("a target");
    assert_ne!(first, second);
    assert!(first != service(1) && second != service(1));
}

/// Fails if the growth of a stream between reports does not raise the forecast, or its end does not
/// lower it.
#[test]
fn the_forecast_follows_running_streams() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let forecast = |harness: &ReducerHarness| harness.reducer.target_views(harness.now)[0].forecast;
    for _ in 0..20 {
        let (ticket, _) = harness.submit(generation(1, true));
        harness.end(ticket, 1, AttemptEnd::Completed { tokens: 3_000 });
    }
    harness.now += Duration::from_secs(1);
    harness.report(1, load_report(1));
    let idle = forecast(&harness);
    let (ticket, _) = harness.submit(generation(1, true));
    let placed = forecast(&harness);
    assert!(placed[0] > idle[0]);
    harness.now += Duration::from_millis(250);
    harness.step(progress(ticket, 1, 100));
    harness.report(
        1,
        LoadReport {
            running: 1,
            ..used_report(0.05)
        },
    );
    let long = forecast(&harness);
    assert!(
        long[1] > long[0],
        "a stream of a class with long outputs is expected to grow"
    );
    harness.end(ticket, 1, AttemptEnd::Completed { tokens: 3_000 });
    harness.now += Duration::from_secs(1);
    harness.report(1, load_report(1));
    assert!(forecast(&harness).iter().all(|tokens| *tokens < 1e-6));
}

/// Fails if the weights of the rules raise the ceiling above the value in the rules.
#[rstest]
#[case(0.0, 0.0, 0.9, 4)]
#[case(1.0, 0.0, 0.882, 4)]
#[case(1.0, 1.0, 0.9, 4)]
#[case(1.0, 2.0, 0.9, 3)]
#[case(0.0, 1.0, 0.9, 2)]
fn weights_never_raise_the_ceiling(
    #[case] preemptions: f64,
    #[case] stall: f64,
    #[case] ceiling: f64,
    #[case] checked_entries: usize,
) {
    let bound = AdmissionBound::new(0.9, PlacementWeights { preemptions, stall }, Priority::High);
    assert!((bound.ceiling - ceiling).abs() < 1e-9);
    assert_eq!(bound.checked_entries, checked_entries);
}

/// Fails if a daemon takes all free memory of an engine that it shares: the other daemons see the
/// same report, and their digests arrive late.
#[rstest]
#[case(0, 17)]
#[case(30, 7)]
fn a_shared_engine_keeps_room_for_the_other_daemons(
    #[case] peer_streams: u32,
    #[case] max_count: usize,
) {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let running = peer_streams;
    harness.report(
        1,
        LoadReport {
            running,
            ..load_report(1)
        },
    );
    let large_generation = || sized_generation(5_000, Some(100), &[]);
    let placed = (0..40).filter(|_| target_of(&mut harness, large_generation()).is_some());
    let count = placed.count();
    assert!((1..=max_count).contains(&count), "{count}");
}
