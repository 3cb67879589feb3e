//! Guards against rules that revert, work without known rules, interrupted shutdowns, and a retry
//! budget that exceeds its fraction.

mod common;

use std::time::{Duration, Instant};

use common::*;
use mimosagap_core::output_lengths::{HALF_LIFE, LengthEstimator};
use mimosagap_core::retry_budget::RetryBudget;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

fn cause_of(harness: &mut ReducerHarness, submission: Submission) -> Option<RefusalCause> {
    refused(&harness.submit(submission).1).map(|refusal| refusal.cause)
}

/// Fails if a daemon accepts work before it has received rules. An initial revision of 0 must count
/// as received.
#[test]
fn no_work_runs_before_rules_are_received() {
    let mut harness = ReducerHarness::with_targets("", 0, 1);
    harness.reducer = DaemonReducer::new(options("a"));
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

/// Fails if a revision that is not newer replaces the active one.
#[rstest]
#[case(4, false)]
#[case(5, false)]
#[case(6, true)]
fn an_older_revision_does_not_replace_the_rules(#[case] revision: u64, #[case] is_adopted: bool) {
    let mut harness = ReducerHarness::with_targets("", 0, 1);
    harness.step(Event::RulesReceived(rules(
        5,
        "refuse team floors # insurer: unpaid",
    )));
    harness.step(Event::RulesReceived(rules(revision, "")));
    let cause = cause_of(&mut harness, call(1));
    assert_eq!(cause.is_none(), is_adopted);
    assert_eq!(
        harness.reducer.rules_revision(),
        Some(RulesRevision(revision.max(5)))
    );
}

/// Fails if the refusal of a team by a rule does not name the rule, or suggests a retry.
#[test]
fn the_refusal_of_a_team_names_the_rule() {
    let mut harness = ReducerHarness::with_targets("refuse team floors # insurer: unpaid", 0, 1);
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

/// Fails if an isolated daemon accepts work or ends running streams, or if contact to a peer alone
/// does not end the isolation.
#[test]
fn an_isolated_daemon_takes_no_new_work() {
    let mut harness = ReducerHarness::with_targets("", 1, 1);
    let (running, _) = harness.submit(generation(1, false));
    harness.accept(running, 1);
    harness.report(
        1,
        LoadReport {
            running: 5,
            memory_usage: 0.99,
            ..load_report(1)
        },
    );
    harness.submit(generation(2, true));
    harness.now += Duration::from_secs(3);
    let effects = harness.step(Event::Tick);
    assert!(effects.contains(&Effect::Log(StateChange::Isolated { isolated: true })));
    let refusal = refused(&effects).expect("waiting requests are refused");
    assert_eq!(refusal.cause, RefusalCause::Isolated);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert_eq!(harness.reducer.request_count(), 1);
    assert_eq!(
        cause_of(&mut harness, call(1)),
        Some(RefusalCause::Isolated)
    );
    harness.reach_peer();
    assert_eq!(cause_of(&mut harness, call(1)), None);
}

/// Fails if a shutdown refuses callers that use a cached address list, ends requests in progress,
/// or accepts requests after the lists have expired.
#[test]
fn a_shutdown_interrupts_nothing() {
    let mut harness = ReducerHarness::with_targets("address lifetime 5 s # manager: test", 0, 1);
    let (running, _) = harness.submit(call(1));
    let effects = harness.step(Event::DrainRequested);
    let after = Duration::from_secs(6);
    assert!(effects.contains(&Effect::StopAccepting { after }));
    assert!(harness.step(Event::DrainRequested).is_empty());
    harness.advance(Duration::from_millis(5_900));
    assert_eq!(cause_of(&mut harness, call(1)), None);
    harness.advance(Duration::from_millis(100));
    assert_eq!(cause_of(&mut harness, call(1)), Some(RefusalCause::Leaving));
    assert_eq!(harness.reducer.request_count(), 2);
    harness.end(running, 1, AttemptEnd::Completed { tokens: 0 });
    assert_eq!(harness.reducer.request_count(), 1);
}

/// Fails if callers are sent to daemons that are shutting down, or not to the nearest ones first.
#[test]
fn addresses_leave_out_leaving_daemons() {
    let mut harness = ReducerHarness::new("");
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
    // The membership records lag behind the notice.
    harness.step(Event::MembersChanged(members));
    let ids = |harness: &ReducerHarness| -> Vec<String> {
        let addresses = harness.reducer.addresses(&ZoneName::new("norte-a1"));
        addresses
            .iter()
            .map(|member| member.id.to_string())
            .collect()
    };
    assert_eq!(ids(&harness), ["a", "near", "far"]);
    harness.step(Event::DrainRequested);
    assert_eq!(ids(&harness), ["near", "far"]);
}

/// Fails if a fraction of 0.1 allows more than one retry for ten requests, or if more than ten
/// retries accumulate.
#[test]
fn the_retry_budget_allows_one_retry_in_ten_requests() {
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

/// Fails if the estimated length ignores the observed lengths, the tokens produced so far, the
/// caller's limit, or the age of observations.
#[test]
fn estimated_lengths_follow_observations() {
    let mut estimator = LengthEstimator::new();
    let mut now = Instant::now();
    let team = TeamName::new("floors");
    let short = estimator.histogram_of(&team, &ClassName::new("short"));
    let long = estimator.histogram_of(&team, &ClassName::new("long"));
    for _ in 0..200 {
        estimator.observe(short, 30, now);
        estimator.observe(long, 3_000, now);
    }
    let short_remaining = estimator.expected_remaining(short, 0, None);
    let long_remaining = estimator.expected_remaining(long, 0, None);
    assert!(
        (15.0..150.0).contains(&short_remaining),
        "{short_remaining}"
    );
    assert!(
        (2_000.0..4_200.0).contains(&long_remaining),
        "{long_remaining}"
    );
    assert!(estimator.expected_remaining(long, 2_500, None) < long_remaining);
    assert!(
        estimator.expected_remaining(short, 500, None) > 200.0,
        "an outlier is expected to continue"
    );
    assert!(estimator.expected_remaining(long, 0, Some(50)) <= 50.0);
    assert!(estimator.end_probability(short, 10, 60.0, None) > 0.9);
    assert!(estimator.end_probability(long, 10, 60.0, None) < 0.1);
    assert!(estimator.end_probability(long, 10, 60.0, Some(70)) > 0.999);
    now += 10 * HALF_LIFE;
    for _ in 0..20 {
        estimator.observe(short, 3_000, now);
    }
    assert!(
        estimator.expected_remaining(short, 0, None) > 1_000.0,
        "observations older than ten half-lives still count"
    );
}
