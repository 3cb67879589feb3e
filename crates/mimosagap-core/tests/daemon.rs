//! Guards against rules that revert, work under unknown rules, interrupted shutdowns and a retry
//! budget that grows.

mod common;

use std::time::{Duration, Instant};

use common::*;
use mimosagap_core::output_lengths::{HALF_LIFE, LengthEstimator};
use mimosagap_core::retry_budget::RetryBudget;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

fn cause_of(harness: &mut Harness, submission: Submission) -> Option<RefusalCause> {
    refused(&harness.submit(submission).1).map(|refusal| refusal.cause)
}

/// Fails if work starts before any rules are known, even when rules with revision 0 come.
#[test]
fn nothing_runs_before_rules_are_found() {
    let mut harness = Harness::with_targets("", 0, 1);
    harness.core = DaemonReducer::new(options("a"));
    harness.step(Event::StoreReached);
    harness.list(0, 1);
    let (_, effects) = harness.submit(call(1));
    let refusal = refused(&effects).expect("no rules yet");
    assert_eq!(refusal.cause, RefusalCause::Isolated);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
    harness.step(Event::RulesReceived(rules(0, "")));
    assert_eq!(cause_of(&mut harness, call(1)), None);
}

/// Fails if an older or equal revision replaces the one in force.
#[rstest]
#[case(4, false)]
#[case(5, false)]
#[case(6, true)]
fn rules_only_go_forward(#[case] revision: u64, #[case] adopted: bool) {
    let mut harness = Harness::with_targets("", 0, 1);
    harness.step(Event::RulesReceived(rules(
        5,
        "refuse team floors # insurer: unpaid",
    )));
    harness.step(Event::RulesReceived(rules(revision, "")));
    let cause = cause_of(&mut harness, call(1));
    assert_eq!(cause.is_none(), adopted);
    assert_eq!(
        harness.core.rules_revision(),
        Some(RulesRevision(revision.max(5)))
    );
}

/// Fails if the refusal of a team does not name its rule, or suggests another try.
#[test]
fn a_refused_team_sees_the_rule() {
    let mut harness = Harness::with_targets("refuse team floors # insurer: unpaid", 0, 1);
    let (_, effects) = harness.submit(call(1));
    let refusal = refused(&effects).expect("the team is refused");
    assert_eq!(refusal.cause, RefusalCause::RefusedByRule);
    assert_eq!(refusal.retry_after, None);
    let rule = refusal.rule.as_ref().expect("the rule");
    assert_eq!(
        rule.to_string(),
        "rules revision 1, line 1 (insurer: unpaid)"
    );
}

/// Fails if a daemon without contact takes work, if running streams end, or if one contact does
/// not suffice.
#[test]
fn an_isolated_daemon_takes_no_new_work() {
    let mut harness = Harness::with_targets("", 1, 1);
    let (running, _) = harness.submit(generation(1, false));
    harness.accept(running, 1);
    harness.report(
        1,
        LoadReport {
            running: 5,
            memory_usage: 0.99,
            ..load(1)
        },
    );
    harness.submit(generation(2, true));
    harness.now += Duration::from_secs(3);
    let effects = harness.step(Event::Tick);
    assert!(effects.contains(&Effect::Log(StateChange::Isolated { isolated: true })));
    let refusal = refused(&effects).expect("waiting requests are told");
    assert_eq!(refusal.cause, RefusalCause::Isolated);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert_eq!(harness.core.request_count(), 1);
    assert_eq!(
        cause_of(&mut harness, call(1)),
        Some(RefusalCause::Isolated)
    );
    harness.hear_peer();
    assert_eq!(cause_of(&mut harness, call(1)), None);
}

/// Fails if a shutdown refuses callers that hold a valid address answer, ends requests, or goes
/// on accepting.
#[test]
fn a_shutdown_interrupts_nothing() {
    let mut harness = Harness::with_targets("address lifetime 5 s # manager: test", 0, 1);
    let (running, _) = harness.submit(call(1));
    let effects = harness.step(Event::DrainRequested);
    let after = Duration::from_secs(6);
    assert!(effects.contains(&Effect::StopAccepting { after }));
    assert!(harness.step(Event::DrainRequested).is_empty());
    harness.pass(Duration::from_millis(5_900));
    assert_eq!(cause_of(&mut harness, call(1)), None);
    harness.pass(Duration::from_millis(100));
    assert_eq!(cause_of(&mut harness, call(1)), Some(RefusalCause::Leaving));
    assert_eq!(harness.core.request_count(), 2);
    harness.end(running, 1, AttemptEnd::Completed { tokens: 0 });
    assert_eq!(harness.core.request_count(), 1);
}

/// Fails if callers are sent to leaving daemons, or not to the nearest ones first.
#[test]
fn addresses_leave_out_leaving_daemons() {
    let mut harness = Harness::new("");
    let member = |id: &str, zone: &str, region: &str| Member {
        id: DaemonId::new(id),
        caller_address: engine(1),
        peer_address: engine(1),
        admin_address: engine(1),
        zone: ZoneName::new(zone),
        region: RegionName::new(region),
        leaving: false,
    };
    let members = vec![
        member("far", "lisboa-a1", "lisboa-a"),
        member("near", "norte-a2", "norte-a"),
        member("gone", "norte-a1", "norte-a"),
        member("a", "norte-a1", "norte-a"),
    ];
    harness.step(Event::MembersChanged(members.clone()));
    let daemon = DaemonId::new("gone");
    harness.step(Event::NoticeReceived(Notice::DaemonLeaving { daemon }));
    // The records lag behind the notice.
    harness.step(Event::MembersChanged(members));
    let ids = |harness: &Harness| -> Vec<String> {
        let addresses = harness.core.addresses(&ZoneName::new("norte-a1"));
        addresses
            .iter()
            .map(|member| member.id.to_string())
            .collect()
    };
    assert_eq!(ids(&harness), ["a", "near", "far"]);
    harness.step(Event::DrainRequested);
    assert_eq!(ids(&harness), ["near", "far"]);
}

/// Fails if the budget allows more than one further attempt for ten requests, or saves more than
/// ten attempts.
#[test]
fn the_retry_budget_is_a_tenth() {
    let mut budget = RetryBudget::new();
    assert!(!budget.try_spend());
    for _ in 0..9 {
        budget.deposit(0.1);
        assert!(!budget.try_spend());
    }
    budget.deposit(0.1);
    assert!(budget.try_spend());
    assert!(!budget.try_spend());
    for _ in 0..1_000 {
        budget.deposit(0.1);
    }
    let spent = (0..100).filter(|_| budget.try_spend()).count();
    assert_eq!(spent, 10);
}

/// Fails if the estimate does not follow the observed lengths, the tokens so far, the caller's
/// bound or the time.
#[test]
fn lengths_follow_observations() {
    let mut lengths = LengthEstimator::new();
    let mut now = Instant::now();
    let team = TeamName::new("floors");
    let short = lengths.histogram_of(&team, &ClassName::new("short"));
    let long = lengths.histogram_of(&team, &ClassName::new("long"));
    for _ in 0..200 {
        lengths.observe(short, 30, now);
        lengths.observe(long, 3_000, now);
    }
    let short_rest = lengths.expected_remaining(short, 0, None);
    let long_rest = lengths.expected_remaining(long, 0, None);
    assert!((15.0..150.0).contains(&short_rest), "{short_rest}");
    assert!((2_000.0..4_200.0).contains(&long_rest), "{long_rest}");
    assert!(lengths.expected_remaining(long, 2_500, None) < long_rest);
    assert!(
        lengths.expected_remaining(short, 500, None) > 200.0,
        "an outlier goes on"
    );
    assert!(lengths.expected_remaining(long, 0, Some(50)) <= 50.0);
    assert!(lengths.end_probability(short, 10, 60.0, None) > 0.9);
    assert!(lengths.end_probability(long, 10, 60.0, None) < 0.1);
    assert!(lengths.end_probability(long, 10, 60.0, Some(70)) > 0.999);
    now += 10 * HALF_LIFE;
    for _ in 0..20 {
        lengths.observe(short, 3_000, now);
    }
    assert!(
        lengths.expected_remaining(short, 0, None) > 1_000.0,
        "old lengths still count"
    );
}
