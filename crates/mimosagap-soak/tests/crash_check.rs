//! The check of crashing parts reports late arrivals and sound requests that are no longer served,
//! and nothing else.

use std::time::{Duration, Instant};

use mimosagap_soak::crash_check::{
    CrashChecker, MAX_CRASHES, MAX_LATE_ARRIVALS, NOTICE_LIMIT, SETTLE_TIME,
};
use rstest::rstest;

const PART: &str = "dead";

/// A checker that saw this many crashes, one a second, and when the last one was.
fn checker_with_crashes(count: usize) -> (CrashChecker, Instant) {
    let mut checker = CrashChecker::default();
    let mut now = Instant::now();
    checker.start_series(PART, now);
    for _ in 0..count {
        now += Duration::from_secs(1);
        checker.record_crash(PART, now);
    }
    (checker, now)
}

fn late_violations(checker: &mut CrashChecker, at: Instant, gateway: usize) -> usize {
    let arrivals = 0..=MAX_LATE_ARRIVALS;
    arrivals
        .filter_map(|_| checker.record_arrival(PART, gateway, at, |_| true))
        .count()
}

#[rstest]
#[case::known_part(MAX_CRASHES, NOTICE_LIMIT + Duration::from_millis(1), 1)]
#[case::not_known_yet(MAX_CRASHES, NOTICE_LIMIT, 0)]
#[case::too_few_crashes(MAX_CRASHES - 1, NOTICE_LIMIT * 3, 0)]
fn late_arrivals_are_reported(
    #[case] crashes: usize,
    #[case] after: Duration,
    #[case] violations: usize,
) {
    let (mut checker, last_crash) = checker_with_crashes(crashes);
    assert_eq!(
        late_violations(&mut checker, last_crash + after, 0),
        violations
    );
}

#[test]
fn the_tolerated_late_arrivals_are_not_reported() {
    let (mut checker, last_crash) = checker_with_crashes(MAX_CRASHES);
    let late = last_crash + NOTICE_LIMIT * 2;
    for _ in 0..MAX_LATE_ARRIVALS {
        assert_eq!(checker.record_arrival(PART, 0, late, |_| true), None);
    }
    assert!(checker.record_arrival(PART, 0, late, |_| true).is_some());
}

#[test]
fn a_restarted_gateway_is_excused_for_a_time() {
    let (mut checker, last_crash) = checker_with_crashes(MAX_CRASHES);
    let late = last_crash + NOTICE_LIMIT * 2;
    checker.excuse_gateway(0, late);
    assert_eq!(late_violations(&mut checker, late, 0), 0);
    assert_eq!(late_violations(&mut checker, late, 1), 1);
}

#[test]
fn arrivals_around_a_disruption_are_excused() {
    let (mut checker, last_crash) = checker_with_crashes(MAX_CRASHES);
    let late = last_crash + NOTICE_LIMIT * 2;
    for _ in 0..=MAX_LATE_ARRIVALS {
        assert_eq!(checker.record_arrival(PART, 0, late, |_| false), None);
    }
}

#[rstest]
#[case::all_refused(0, true)]
#[case::fewer_than_half(14, true)]
#[case::half(15, false)]
#[case::all_served(30, false)]
fn sound_requests_are_compared_with_those_outside_the_series(
    #[case] served: usize,
    #[case] is_reported: bool,
) {
    let (mut checker, last_crash) = checker_with_crashes(MAX_CRASHES);
    let during = last_crash + SETTLE_TIME;
    for number in 0..30 {
        checker.record_sound_request(during, number < served);
    }
    let after = during + SETTLE_TIME * 3;
    checker.end_series(PART, during);
    for _ in 0..30 {
        checker.record_sound_request(after, true);
    }
    let outcomes = checker.outcomes(|_| true);
    assert_eq!(outcomes.len(), 1);
    assert_eq!(outcomes[0].sound_during, (served, 30));
    assert_eq!(outcomes[0].sound_outside, (30, 30));
    assert_eq!(outcomes[0].sound_violation().is_some(), is_reported);
}
