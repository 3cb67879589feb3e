//! Guards against forecasts that take old load figures for current ones.

mod common;

use std::time::{Duration, Instant};

use common::*;
use mimosagap_core::memory_history::MemoryHistory;
use mimosagap_core::report_lag::LagEstimator;
use mimosagap_core::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Fails if the age of reports is not detected, or is detected where own and reported memory are
/// not correlated.
#[rstest]
#[case(0, 0.5)]
#[case(2, 0.5)]
#[case(6, 0.5)]
#[case(6, 0.0)]
fn the_age_of_reports_is_detected(#[case] index: usize, #[case] own_fraction: f64) {
    let mut rng = SmallRng::seed_from_u64(3);
    let mut estimator = LagEstimator::default();
    for _ in 0..400 {
        let own_changes = LagEstimator::candidate_ages().map(|_| rng.random_range(-1.0..1.0));
        let peer_change = rng.random_range(-1.0..1.0);
        estimator.observe(own_fraction * own_changes[index] + peer_change, own_changes);
    }
    let expected = if own_fraction > 0.0 {
        LagEstimator::candidate_ages()[index]
    } else {
        Duration::ZERO
    };
    assert_eq!(estimator.estimate(), expected);
}

/// Fails if the memory history returns wrong values or grows without bound.
#[test]
fn the_memory_history_covers_the_last_seconds() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut history = MemoryHistory::default();
    history.add(100, at(1_000));
    history.grow(50, at(2_000));
    history.remove(150, at(3_000));
    let samples: Vec<u64> = [999, 1_000, 2_500, 3_000, 9_000]
        .map(|ms| history.tokens_at(at(ms)))
        .to_vec();
    assert_eq!(samples, [0, 100, 150, 0, 0]);
    for round in 0..10_000 {
        history.add(1, at(4_000 + round));
    }
    assert_eq!(history.tokens(), 10_000);
    assert_eq!(history.tokens_at(at(20_000)), 10_000);
}

/// Fails if the age of an engine's figures is ignored: work placed since they were taken must
/// count, and work that ended since must not.
#[test]
fn work_since_the_figures_were_taken_is_included() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let current_tokens =
        |harness: &ReducerHarness| harness.reducer.target_views(harness.now)[0].forecast[0];
    harness.now += Duration::from_secs(1);
    let (ticket, _) = harness.submit(generation(1, true));
    harness.now += Duration::from_secs(1);
    let old_report = LoadReport {
        age: Duration::from_millis(1_500),
        ..load_report(1)
    };
    harness.report(1, old_report);
    assert!(current_tokens(&harness) >= 100.0);
    let new_report = LoadReport {
        memory_usage: 0.001,
        running: 1,
        ..load_report(1)
    };
    harness.report(1, new_report);
    assert!((current_tokens(&harness) - 100.0).abs() < 1.0);
    harness.end(ticket, 1, AttemptEnd::Completed { tokens: 1 });
    assert!(current_tokens(&harness) < 1.0);
}
