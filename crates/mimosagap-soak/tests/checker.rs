//! The ledger notices each promise that is broken.

use std::time::{Duration, Instant};

use mimosagap_soak::checker::{
    APPLY, CallKind, DRAIN, GatewayLife, OVERLAP, ROLLBACK, RunLedger, STOP,
};
use rstest::rstest;

fn ledger(kind: CallKind) -> RunLedger {
    let ledger = RunLedger::default();
    ledger.sent("a", kind, "key");
    ledger
}

#[test]
fn one_run_and_its_answer_are_fine() {
    let ledger = ledger(CallKind::Once);
    ledger.ran("a", "i-1", Some("team"), false);
    ledger.answered("a", 200);
    assert!(ledger.violations().is_empty());
    assert_eq!(ledger.counts(), (1, 1));
}

/// A kill excuses missing log lines of the gateway that was killed only.
#[test]
fn a_failure_names_the_gateway_that_answered() {
    let ledger = ledger(CallKind::Once);
    ledger.sent_to("a", 2);
    ledger.answered("a", 502);
    let gateways: Vec<_> = ledger.failures().iter().map(|one| one.gateway).collect();
    assert_eq!(gateways, [Some(2)]);
}

#[rstest]
#[case::once(CallKind::Once, 1)]
#[case::stream(CallKind::Stream, 1)]
#[case::repeatable(CallKind::Repeatable, 0)]
fn a_second_run_is_noticed(#[case] kind: CallKind, #[case] violations: usize) {
    let ledger = ledger(kind);
    ledger.ran("a", "i-1", Some("team"), false);
    ledger.ran("a", "i-2", Some("team"), false);
    assert_eq!(ledger.violations().len(), violations);
}

#[rstest]
#[case::refused_after_the_run(true)]
#[case::run_after_the_refusal(false)]
fn an_untrue_refusal_is_noticed(#[case] ran_first: bool) {
    let ledger = ledger(CallKind::Once);
    if ran_first {
        ledger.ran("a", "i-1", Some("team"), false);
    }
    ledger.answered("a", 503);
    if !ran_first {
        ledger.ran("a", "i-1", Some("team"), false);
    }
    assert_eq!(ledger.violations().len(), 1);
}

#[rstest]
#[case::hosts_in_touch(Duration::ZERO, 1)]
#[case::store_away_until_now(DRAIN, 0)]
fn a_target_that_left_long_ago_gets_nothing_from_hosts_in_touch(
    #[case] disturbed: Duration,
    #[case] violations: usize,
) {
    let ledger = RunLedger::default();
    ledger.leaves("i-1");
    if !disturbed.is_zero() {
        ledger.disturbed(Instant::now() + disturbed);
    }
    std::thread::sleep(DRAIN + Duration::from_millis(100));
    ledger.sent("a", CallKind::Once, "key");
    ledger.ran("a", "i-1", Some("team"), false);
    assert_eq!(ledger.violations().len(), violations);
}

#[test]
fn a_request_that_nobody_sent_a_key_and_a_missing_team_are_noticed() {
    let ledger = ledger(CallKind::Once);
    ledger.ran("b", "i-1", Some("team"), false);
    ledger.ran("a", "i-1", None, true);
    assert_eq!(ledger.violations().len(), 3);
}

#[rstest]
#[case::at_once(Duration::from_millis(100), 0)]
#[case::too_long(STOP + Duration::from_millis(100), 1)]
fn work_for_a_caller_that_left_is_noticed(#[case] later: Duration, #[case] violations: usize) {
    let ledger = ledger(CallKind::Stream);
    ledger.left("a");
    std::thread::sleep(later);
    ledger.works_on("a", "i-1");
    ledger.works_on("a", "i-1");
    assert_eq!(ledger.violations().len(), violations);
}

#[rstest]
#[case::within_the_bound(Duration::from_millis(100), 0)]
#[case::too_long(OVERLAP + Duration::from_millis(100), 1)]
fn two_targets_that_work_on_one_run_are_noticed(
    #[case] later: Duration,
    #[case] violations: usize,
) {
    let ledger = ledger(CallKind::Stream);
    ledger.ran("a", "i-1", Some("team"), false);
    ledger.went_on("a", "i-2");
    std::thread::sleep(later);
    ledger.works_on("a", "i-2");
    ledger.works_on("a", "i-1");
    assert_eq!(ledger.violations().len(), violations);
}

#[rstest]
#[case::within_the_bound(60, 0)]
#[case::beyond_it(61, 1)]
fn repeats_are_held_against_their_bound(#[case] repeats: u32, #[case] violations: usize) {
    let ledger = ledger(CallKind::Repeatable);
    for _ in 0..=repeats {
        ledger.arrived("a", "i-1");
    }
    ledger.check_repeats();
    assert_eq!(ledger.violations().len(), violations);
}

#[rstest]
#[case::another_process((0, 1), 0)]
#[case::the_same_process((0, 0), 1)]
fn a_configuration_that_goes_back_is_noticed(#[case] life: GatewayLife, #[case] violations: usize) {
    let ledger = RunLedger::default();
    ledger.wrote_version();
    ledger.probed((0, 0), 1, true, Instant::now());
    std::thread::sleep(ROLLBACK + Duration::from_millis(50));
    ledger.probed(life, 1, false, Instant::now());
    assert_eq!(ledger.violations().len(), violations);
}

#[rstest]
#[case::just_written(Duration::ZERO, 0)]
#[case::long_in_force(APPLY + Duration::from_millis(50), 1)]
fn a_configuration_that_is_late_is_noticed(#[case] later: Duration, #[case] violations: usize) {
    let ledger = RunLedger::default();
    ledger.wrote_version();
    std::thread::sleep(later);
    ledger.probed((0, 0), 1, false, Instant::now());
    assert_eq!(ledger.violations().len(), violations);
}
