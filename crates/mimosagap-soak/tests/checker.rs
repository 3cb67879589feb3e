//! The checker reports each violated guarantee, and nothing else.

use std::time::{Duration, Instant};

use mimosagap_soak::checker::{
    CANCEL_LIMIT, CONFIG_APPLY_LIMIT, DRAIN_LIMIT, GatewayIncarnation, InvariantChecker,
    MIGRATION_OVERLAP_LIMIT, ROLLBACK_SLACK, RequestKind,
};
use rstest::rstest;

fn checker_with_request(kind: RequestKind) -> InvariantChecker {
    let checker = InvariantChecker::default();
    checker.record_sent("a", kind, "key");
    checker
}

#[test]
fn one_execution_and_its_response_are_accepted() {
    let checker = checker_with_request(RequestKind::AtMostOnce);
    checker.record_execution("a", "i-1", Some("team"), false);
    checker.record_response("a", 200);
    assert!(checker.violations().is_empty());
    assert_eq!(checker.request_counts(), (1, 1));
}

/// A kill explains missing log lines only of the gateway that was killed, so a failed request must
/// name its gateway.
#[test]
fn a_failed_request_names_its_gateway() {
    let checker = checker_with_request(RequestKind::AtMostOnce);
    checker.record_gateway("a", 2);
    checker.record_response("a", 502);
    let gateways: Vec<_> = checker
        .failed_requests()
        .iter()
        .map(|failed| failed.gateway)
        .collect();
    assert_eq!(gateways, [Some(2)]);
}

#[rstest]
#[case::at_most_once(RequestKind::AtMostOnce, 1)]
#[case::stream(RequestKind::Stream, 1)]
#[case::idempotent(RequestKind::Idempotent, 0)]
#[case::resumable_stream(RequestKind::ResumableStream, 0)]
fn a_second_execution_is_reported(#[case] kind: RequestKind, #[case] violations: usize) {
    let checker = checker_with_request(kind);
    checker.record_execution("a", "i-1", Some("team"), false);
    checker.record_execution("a", "i-2", Some("team"), false);
    assert_eq!(checker.violations().len(), violations);
}

#[rstest]
#[case::refused_after_the_execution(true)]
#[case::executed_after_the_refusal(false)]
fn a_refusal_of_an_executed_request_is_reported(#[case] executed_first: bool) {
    let checker = checker_with_request(RequestKind::AtMostOnce);
    if executed_first {
        checker.record_execution("a", "i-1", Some("team"), false);
    }
    checker.record_response("a", 503);
    if !executed_first {
        checker.record_execution("a", "i-1", Some("team"), false);
    }
    assert_eq!(checker.violations().len(), 1);
}

#[rstest]
#[case::hosts_connected(Duration::ZERO, 1)]
#[case::store_disrupted_until_now(DRAIN_LIMIT, 0)]
fn a_request_to_a_target_that_drains_for_long_is_reported_if_hosts_were_connected(
    #[case] disruption: Duration,
    #[case] violations: usize,
) {
    let checker = InvariantChecker::default();
    checker.record_drain("i-1");
    if !disruption.is_zero() {
        checker.record_disruption(Instant::now() + disruption);
    }
    std::thread::sleep(DRAIN_LIMIT + Duration::from_millis(100));
    checker.record_sent("a", RequestKind::AtMostOnce, "key");
    checker.record_execution("a", "i-1", Some("team"), false);
    assert_eq!(checker.violations().len(), violations);
}

#[test]
fn an_unknown_request_a_forwarded_api_key_and_a_missing_team_are_reported() {
    let checker = checker_with_request(RequestKind::AtMostOnce);
    checker.record_execution("b", "i-1", Some("team"), false);
    checker.record_execution("a", "i-1", None, true);
    assert_eq!(checker.violations().len(), 3);
}

#[rstest]
#[case::at_once(Duration::from_millis(100), 0)]
#[case::too_long(CANCEL_LIMIT + Duration::from_millis(100), 1)]
fn work_for_a_disconnected_client_is_reported_once(
    #[case] delay: Duration,
    #[case] violations: usize,
) {
    let checker = checker_with_request(RequestKind::Stream);
    checker.record_disconnect("a");
    std::thread::sleep(delay);
    checker.record_stream_event("a", "i-1");
    checker.record_stream_event("a", "i-1");
    assert_eq!(checker.violations().len(), violations);
}

#[rstest]
#[case::within_the_bound(Duration::from_millis(100), 0)]
#[case::too_long(MIGRATION_OVERLAP_LIMIT + Duration::from_millis(100), 1)]
fn two_targets_that_execute_one_stream_are_reported(
    #[case] delay: Duration,
    #[case] violations: usize,
) {
    let checker = checker_with_request(RequestKind::Stream);
    checker.record_execution("a", "i-1", Some("team"), false);
    checker.record_migration("a", "i-2");
    std::thread::sleep(delay);
    checker.record_stream_event("a", "i-2");
    checker.record_stream_event("a", "i-1");
    assert_eq!(checker.violations().len(), violations);
}

#[rstest]
#[case::within_the_budget(60, 0)]
#[case::beyond_it(61, 1)]
fn retries_beyond_the_budget_are_reported(#[case] retries: u32, #[case] violations: usize) {
    let checker = checker_with_request(RequestKind::Idempotent);
    for _ in 0..=retries {
        checker.record_arrival("a", "i-1");
    }
    checker.check_retry_budget();
    assert_eq!(checker.violations().len(), violations);
}

#[rstest]
#[case::another_process((0, 1), 0)]
#[case::the_same_process((0, 0), 1)]
fn a_configuration_that_is_rolled_back_is_reported(
    #[case] incarnation: GatewayIncarnation,
    #[case] violations: usize,
) {
    let checker = InvariantChecker::default();
    checker.record_config_write();
    checker.record_probe((0, 0), 1, true, Instant::now());
    std::thread::sleep(ROLLBACK_SLACK + Duration::from_millis(50));
    checker.record_probe(incarnation, 1, false, Instant::now());
    assert_eq!(checker.violations().len(), violations);
}

#[rstest]
#[case::just_written(Duration::ZERO, 0)]
#[case::long_in_force(CONFIG_APPLY_LIMIT + Duration::from_millis(50), 1)]
fn a_configuration_that_is_late_is_reported(#[case] delay: Duration, #[case] violations: usize) {
    let checker = InvariantChecker::default();
    checker.record_config_write();
    std::thread::sleep(delay);
    checker.record_probe((0, 0), 1, false, Instant::now());
    assert_eq!(checker.violations().len(), violations);
}
