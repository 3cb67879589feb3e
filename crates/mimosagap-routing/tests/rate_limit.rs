//! What one host believes of a target's rate limit, from responses and notices that overtake each
//! other.

use std::time::Duration;

use mimosagap_routing::rate_limit::{MIN_RATE, RAMP_TIME, RateChange, RateStatement, TargetRate};
use rstest::rstest;

const fn secs(value: u64) -> Duration {
    Duration::from_secs(value)
}

fn statement(per_second: Option<f64>, asked_at: u64, heard_at: u64) -> RateStatement {
    RateStatement {
        per_second,
        asked_at: secs(asked_at),
        heard_at: secs(heard_at),
    }
}

/// A limit of 4, heard at 12 s in the response to a request sent at 10 s.
fn limited() -> TargetRate {
    let mut rate = TargetRate::default();
    let change = rate.record(statement(Some(4.0), 10, 12), secs(12));
    assert_eq!(change, RateChange::Started);
    rate
}

#[test]
fn a_target_without_a_limit_stays_without_one() {
    let mut rate = TargetRate::default();
    let change = rate.record(statement(None, 1, 2), secs(2));
    assert_eq!(change, RateChange::Unchanged);
    assert_eq!(rate.per_second(secs(2)), None);
}

/// A response that left the target before the limit was named arrives after the one that names it,
/// and so does the notice of another host. Only a response to a later request ends the limit.
#[rstest]
#[case::response_to_an_earlier_request(None, 9, 13, RateChange::Unchanged, Some(4.0))]
#[case::response_to_a_request_in_flight(None, 11, 13, RateChange::Unchanged, Some(4.0))]
#[case::response_to_a_later_request(None, 12, 13, RateChange::Ended, None)]
#[case::lower_value_in_flight(Some(2.0), 11, 13, RateChange::Changed, Some(2.0))]
#[case::higher_value_in_flight(Some(9.0), 11, 13, RateChange::Unchanged, Some(4.0))]
#[case::higher_value_later(Some(9.0), 12, 13, RateChange::Changed, Some(9.0))]
#[case::lower_value_of_an_old_response(Some(2.0), 9, 13, RateChange::Unchanged, Some(4.0))]
#[case::zero(Some(0.0), 12, 13, RateChange::Changed, Some(MIN_RATE))]
fn the_newest_or_stricter_statement_counts(
    #[case] per_second: Option<f64>,
    #[case] asked_at: u64,
    #[case] heard_at: u64,
    #[case] expected_change: RateChange,
    #[case] expected_rate: Option<f64>,
) {
    let mut rate = limited();
    let now = secs(heard_at);
    let change = rate.record(statement(per_second, asked_at, heard_at), now);
    assert_eq!(change, expected_change);
    assert_eq!(rate.per_second(now + RAMP_TIME), expected_rate);
}

/// A notice is repeated. The repetition of the start must not undo the end.
#[test]
fn a_repeated_notice_of_the_start_does_not_undo_the_end() {
    let mut rate = limited();
    assert_eq!(
        rate.record(statement(None, 13, 14), secs(14)),
        RateChange::Ended
    );
    let change = rate.record(statement(Some(4.0), 10, 12), secs(15));
    assert_eq!(change, RateChange::Unchanged);
    assert_eq!(rate.named_for(secs(15)), None);
}

/// Callers that were kept away do not all return in the moment in which a limit ends.
#[test]
fn the_rate_rises_in_steps_after_the_end() {
    let mut rate = limited();
    rate.record(statement(None, 13, 14), secs(14));
    let after = |elapsed_ms| rate.per_second(secs(14) + Duration::from_millis(elapsed_ms));
    assert_eq!(after(0), Some(4.0));
    assert_eq!(after(400), Some(8.0));
    assert_eq!(after(1600), Some(64.0));
    assert_eq!(after(2000), None);
}

/// A host that was suspended sends ages, so that its clock does not matter.
#[test]
fn ages_restore_the_times_on_another_host() {
    let sent = statement(Some(4.0), 10, 12).to_ages(secs(20));
    let received = sent.from_ages(secs(120));
    assert_eq!(received, statement(Some(4.0), 110, 112));
}

#[test]
fn a_hold_ends_with_the_limit() {
    let mut rate = limited();
    rate.hold(secs(2), 3.0, secs(12));
    assert_eq!(rate.hold_time(secs(13)), secs(1));
    rate.record(statement(None, 12, 13), secs(13));
    assert_eq!(rate.hold_time(secs(13)), Duration::ZERO);
}
