//! The check of rate limits reports a fleet that exceeds one, and excuses gateways that cannot know
//! it.

use std::time::{Duration, Instant};

use mimosagap_soak::rate_check::{NOTICE_LIMIT, RATE_WINDOW, RateChecker};
use rstest::rstest;

/// Counts violations over 12 s in which a target that names `limit` from the start gets one request
/// each `interval`, from six gateways in turn.
fn violations(checker: &mut RateChecker, limit: f64, interval: Duration) -> usize {
    let start = Instant::now();
    checker.record_limit("t", 0, limit, start);
    let count = u32::try_from(Duration::from_secs(12).as_millis() / interval.as_millis());
    (0..count.expect("few requests"))
        .filter(|number| {
            let gateway = usize::try_from(*number).expect("few requests") % 6;
            let at = start + interval * *number;
            checker.record_arrival("t", gateway, at).is_some()
        })
        .count()
}

#[rstest]
#[case::at_the_limit(250, false)]
#[case::within_the_tolerance(150, false)]
#[case::twice_the_limit(125, true)]
fn a_fleet_above_a_limit_is_reported(#[case] interval_ms: u64, #[case] is_reported: bool) {
    let interval = Duration::from_millis(interval_ms);
    let count = violations(&mut RateChecker::default(), 4.0, interval);
    assert_eq!(count > 0, is_reported, "{count} violations");
}

/// Only one gateway received a response with the limit. The others must have learned it from that
/// one within the time that the platform states.
#[test]
fn gateways_that_no_response_told_count_after_the_time_to_learn_of_a_limit() {
    let mut checker = RateChecker::default();
    let start = Instant::now();
    checker.record_limit("t", 0, 1.0, start);
    let before = (0..100).filter_map(|_| checker.record_arrival("t", 1, start));
    assert_eq!(before.count(), 0);
    let window_start = start + NOTICE_LIMIT;
    let window_end = window_start + RATE_WINDOW;
    let arrivals = (0..12).map(|number| window_start + Duration::from_millis(number * 10));
    let reported: Vec<_> = arrivals
        .chain([window_end])
        .filter_map(|at| checker.record_arrival("t", 1, at))
        .collect();
    assert_eq!(reported.len(), 1, "{reported:?}");
}

#[test]
fn a_restarted_gateway_is_excused() {
    let mut checker = RateChecker::default();
    let start = Instant::now();
    checker.record_limit("t", 0, 1.0, start);
    let now = start + NOTICE_LIMIT + RATE_WINDOW;
    checker.excuse_gateway(1, now);
    let reported = (0..100).filter_map(|_| checker.record_arrival("t", 1, now));
    assert_eq!(reported.count(), 0);
}

/// The bound follows the higher limit while gateways may not know the lower one, and then the lower.
#[test]
fn a_lowered_limit_binds_after_the_time_to_learn_of_it() {
    let mut checker = RateChecker::default();
    let start = Instant::now();
    checker.record_limit("t", 0, 10.0, start);
    let lowered_at = start + Duration::from_secs(10);
    checker.record_limit("t", 0, 1.0, lowered_at);
    let burst = |checker: &mut RateChecker, from: Instant| {
        let times = (0..40).map(|number| from + Duration::from_millis(number * 100));
        let reported = times.filter_map(|at| checker.record_arrival("t", 0, at));
        reported.count()
    };
    assert_eq!(burst(&mut checker, lowered_at), 0);
    let later = lowered_at + NOTICE_LIMIT + RATE_WINDOW;
    assert!(burst(&mut checker, later + Duration::from_secs(1)) > 0);
}

/// A limit that is left unused fails callers, too.
#[test]
fn the_use_of_a_limit_is_measured_if_nothing_disturbed_it() {
    let use_of = |is_disturbed: bool| {
        let mut checker = RateChecker::default();
        violations(&mut checker, 4.0, Duration::from_millis(500));
        if is_disturbed {
            checker.excuse_gateway(2, Instant::now());
        }
        checker.end_limit("t", Instant::now() + Duration::from_secs(12));
        checker.usages().to_vec()
    };
    let usages = use_of(false);
    assert!((1.9..2.1).contains(&usages[0].used), "{usages:?}");
    assert_eq!(usages[0].worst_window, 9);
    assert!(use_of(true).is_empty());
}
