//! Reads whose error a second target repeats, beside calls that a second target serves.

use std::time::Duration;

use mimosagap_routing::retry_budget::{RetryBounds, RetryBudget, RetryPurpose, capacity};
use mimosagap_routing::retry_value::{RetryCause, RetryValues, RetryVerdict};
use mimosagap_types::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rstest::rstest;

/// Bounds of the second deployment.
const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 276.0,
};

/// Replays a minute at one of `hosts` hosts at 10 calls a second. Half of them are reads: a fraction
/// `failing` of the reads is answered with an error, which a second target repeats for 72%. The same
/// fraction of the other calls gets no response, and a second target serves 95%. Returns the retries
/// sent and those that helped.
fn replay(hosts: usize, failing: f64, has_part: bool, seed: u64) -> (u32, u32) {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut budget = RetryBudget::new(Duration::ZERO);
    let mut values = RetryValues::default();
    let routes = [
        (ClassName::new("read"), RetryCause::ErrorResponse, 0.28),
        (ClassName::new("call"), RetryCause::NoResponse, 0.95),
    ];
    let (mut sent, mut helped) = (0, 0);
    for number in 0..600_u64 {
        let now = Duration::from_mins(1) + Duration::from_millis(100 * number);
        budget.record_request(now, &BOUNDS, Some(hosts));
        let (route, cause, success) = &routes[random.random_range(0..2)];
        // Both random numbers are drawn in any case, so that the replays see the same failures.
        let (has_failed, would_help) = (random.random_bool(failing), random.random_bool(*success));
        if !has_failed {
            continue;
        }
        let credit = budget.current_credit(now, &BOUNDS, Some(hosts));
        let capacity = capacity(&BOUNDS, Some(hosts));
        let verdict = values.judge(route, *cause, credit, capacity, now);
        if has_part && verdict != RetryVerdict::Send {
            continue;
        }
        if budget.try_spend(RetryPurpose::Attempt, now, &BOUNDS, Some(hosts)) {
            sent += 1;
            helped += u32::from(would_help);
            values.record(route, *cause, would_help, now);
        }
    }
    (sent, helped)
}

/// Guards against spending scarce credit on retries that repeat the error.
#[rstest]
#[case::few_hosts(6)]
#[case::many_hosts(106)]
#[case::most_hosts(300)]
fn scarce_credit_goes_to_retries_that_help(#[case] hosts: usize) {
    let helped = |has_part| -> u32 {
        let replays = (0..20).map(|seed| replay(hosts, 0.8, has_part, seed).1);
        replays.sum()
    };
    let (with, without) = (helped(true), helped(false));
    println!("{hosts} hosts: {with} retries helped with the part, {without} without");
    assert!(
        f64::from(with) >= 1.1 * f64::from(without),
        "{with} {without}"
    );
}

/// Guards against fewer retries where the budget allows all of them.
#[rstest]
#[case(6)]
#[case(106)]
fn nothing_is_skipped_with_credit_to_spare(#[case] hosts: usize) {
    for seed in 0..20 {
        assert_eq!(
            replay(hosts, 0.01, true, seed),
            replay(hosts, 0.01, false, seed)
        );
    }
}

/// Guards against an estimate that stays low because nothing is retried any more.
#[test]
fn an_estimate_without_outcomes_is_forgotten() {
    let mut values = RetryValues::default();
    let (read, call) = (ClassName::new("read"), ClassName::new("call"));
    for _ in 0..60 {
        values.record(&read, RetryCause::ErrorResponse, false, Duration::ZERO);
    }
    let mut judge = |now| {
        values.judge(&call, RetryCause::NoResponse, 0.5, 1.0, now);
        values.judge(&read, RetryCause::ErrorResponse, 1.0, 1.0, now)
    };
    assert!(matches!(judge(Duration::ZERO), RetryVerdict::Skip { .. }));
    assert_eq!(judge(Duration::from_mins(5)), RetryVerdict::Send);
}

/// Guards against skipping the retries of a service that has no better use for its credit.
#[test]
fn the_only_retry_of_a_service_needs_no_reserve() {
    let mut values = RetryValues::default();
    let read = ClassName::new("read");
    for _ in 0..60 {
        values.record(&read, RetryCause::ErrorResponse, false, Duration::ZERO);
    }
    let verdict = values.judge(&read, RetryCause::ErrorResponse, 1.0, 20.0, Duration::ZERO);
    assert_eq!(verdict, RetryVerdict::Send);
}
