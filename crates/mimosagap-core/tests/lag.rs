//! Guards against forecasts from old figures that are taken for new ones.

mod common;

use std::time::{Duration, Instant};

use common::*;
use mimosagap_core::memory_history::MemoryHistory;
use mimosagap_core::report_lag::LagEstimator;
use mimosagap_core::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Fails if the age of reports is not found, or an age is found where there is none.
#[rstest]
#[case(0, 0.5)]
#[case(2, 0.5)]
#[case(6, 0.5)]
#[case(6, 0.0)]
fn the_age_of_reports_is_found(#[case] index: usize, #[case] own_part: f64) {
    let mut random = SmallRng::seed_from_u64(3);
    let mut lag = LagEstimator::default();
    for _ in 0..400 {
        let own = LagEstimator::candidate_ages().map(|_| random.random_range(-1.0..1.0));
        let foreign = random.random_range(-1.0..1.0);
        lag.observe(own_part * own[index] + foreign, own);
    }
    let expected = if own_part > 0.0 {
        LagEstimator::candidate_ages()[index]
    } else {
        Duration::ZERO
    };
    assert_eq!(lag.estimate(), expected);
}

/// Fails if the past of the held memory is wrong or grows without bound.
#[test]
fn held_memory_remembers_the_last_seconds() {
    let start = Instant::now();
    let at = |ms: u64| start + Duration::from_millis(ms);
    let mut held = MemoryHistory::default();
    held.add(100, at(1_000));
    held.grow(50, at(2_000));
    held.remove(150, at(3_000));
    let past: Vec<u64> = [999, 1_000, 2_500, 3_000, 9_000]
        .map(|ms| held.tokens_at(at(ms)))
        .to_vec();
    assert_eq!(past, [0, 100, 150, 0, 0]);
    for round in 0..10_000 {
        held.add(1, at(4_000 + round));
    }
    assert_eq!(held.tokens(), 10_000);
    assert_eq!(held.tokens_at(at(20_000)), 10_000);
}

/// Fails if an engine's age of figures is ignored: work placed after they were taken must count,
/// and work that ended since must not.
#[test]
fn work_since_the_figures_were_taken_counts() {
    let mut harness = Harness::with_targets("", 1, 0);
    let placed = |harness: &Harness| harness.core.target_views(harness.now)[0].forecast[0];
    harness.now += Duration::from_secs(1);
    let (ticket, _) = harness.submit(generation(1, true));
    harness.now += Duration::from_secs(1);
    let old = LoadReport {
        age: Duration::from_millis(1_500),
        ..load(1)
    };
    harness.report(1, old);
    assert!(placed(&harness) >= 100.0);
    let new = LoadReport {
        memory_usage: 0.001,
        running: 1,
        ..load(1)
    };
    harness.report(1, new);
    assert!((placed(&harness) - 100.0).abs() < 1.0);
    harness.end(ticket, 1, AttemptEnd::Completed { tokens: 1 });
    assert!(placed(&harness) < 1.0);
}
