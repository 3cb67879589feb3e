//! Guards against joined generations, late events that count, and callers left without an answer.

mod common;

use common::*;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

fn started(harness: &mut Harness, whole: bool) -> (RequestTicket, std::net::SocketAddr) {
    let (ticket, effects) = harness.submit(generation(1, whole));
    let (_, target) = dispatched(&effects).expect("an engine has room");
    harness.accept(ticket, 1);
    (ticket, target)
}

/// Fails if a generation of which tokens were delivered starts again, or if one of which none
/// were does not.
#[rstest]
#[case(true, 0, None)]
#[case(false, 0, None)]
#[case(false, 1, Some(RefusalCause::GenerationLost))]
fn only_an_undelivered_generation_starts_again(
    #[case] whole: bool,
    #[case] delivered: u32,
    #[case] cause: Option<RefusalCause>,
) {
    let mut harness = Harness::with_targets("", 2, 0);
    harness.fill_budget(1.0);
    let (ticket, first) = started(&mut harness, whole);
    let effects = harness.end(ticket, 1, lost(delivered, false));
    assert_eq!(refused(&effects).map(|refusal| refusal.cause), cause);
    if cause.is_some() {
        return;
    }
    assert_eq!(effects[0], Effect::CancelAttempt { ticket, attempt: 1 });
    let (attempt, second) = dispatched(&effects).expect("another engine");
    assert_eq!(attempt, 2);
    assert_ne!(first, second, "the engine that lost it is chosen again");
}

/// Fails if a lost generation starts again without budget, or if the refusal is late, says
/// `not_run` or has no time for the next try.
#[test]
fn without_budget_the_caller_is_told_at_once() {
    let mut harness = Harness::with_targets("", 2, 0);
    let (ticket, _) = started(&mut harness, true);
    let effects = harness.end(ticket, 1, lost(0, false));
    let refusal = refused(&effects).expect("a refusal");
    assert_eq!(refusal.cause, RefusalCause::RetryBudgetSpent);
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
    assert!(refusal.retry_after.is_some());
}

/// Fails if an event of an attempt that is no longer current has an effect.
#[test]
fn events_of_an_old_attempt_are_dropped() {
    let mut harness = Harness::with_targets("", 2, 0);
    harness.fill_budget(2.0);
    let (ticket, _) = started(&mut harness, true);
    harness.end(ticket, 1, lost(0, false));
    for end in [AttemptEnd::Completed { tokens: 9 }, lost(0, false)] {
        assert!(harness.end(ticket, 1, end).is_empty());
    }
    assert_eq!(harness.core.request_count(), 1);
    assert!(
        harness
            .end(ticket, 2, AttemptEnd::Completed { tokens: 9 })
            .is_empty()
    );
    assert_eq!(harness.core.request_count(), 0);
}

/// Fails if a target's own wait is not passed on to the caller.
#[test]
fn a_rejection_passes_on_the_targets_wait() {
    let mut harness = Harness::with_targets("", 1, 0);
    let (ticket, _) = harness.submit(generation(1, true));
    let wait = std::time::Duration::from_secs(20);
    let end = AttemptEnd::Rejected {
        retry_after: Some(wait),
        leaving: false,
    };
    let effects = harness.end(ticket, 1, end);
    let refusal = refused(&effects).expect("no budget");
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert_eq!(refusal.retry_after, Some(wait));
}

/// Fails if a cancelled generation goes on at its engine, or is said not to have run although
/// its engine may just have accepted it.
#[rstest]
#[case(true)]
#[case(false)]
fn a_cancelled_generation_ends_at_its_engine(#[case] accepted: bool) {
    let mut harness = Harness::with_targets("", 1, 0);
    let (ticket, effects) = harness.submit(generation(1, false));
    assert!(dispatched(&effects).is_some());
    if accepted {
        harness.accept(ticket, 1);
    }
    let effects = harness.step(Event::CallerLeft { ticket });
    assert_eq!(effects[0], Effect::CancelAttempt { ticket, attempt: 1 });
    let refusal = refused(&effects).expect("the final effect");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
    assert!(harness.end(ticket, 1, AttemptEnd::Cancelled).is_empty());
}

/// Fails if a repeatable call is not tried elsewhere, or more often than the budget allows.
#[rstest]
#[case(lost(0, false))]
#[case(lost(0, true))]
#[case(AttemptEnd::NotSent)]
#[case(AttemptEnd::Failed { delivered: 0 })]
fn a_repeatable_call_tries_another_target(#[case] end: AttemptEnd) {
    let mut harness = Harness::with_targets("", 1, 3);
    harness.fill_budget(1.0);
    let (ticket, effects) = harness.submit(call(1));
    let (_, first) = dispatched(&effects).expect("a target");
    let effects = harness.end(ticket, 1, end.clone());
    let (_, second) = dispatched(&effects).expect("another target");
    assert_ne!(first, second);
    let effects = harness.end(ticket, 2, end);
    let cause = refused(&effects).map(|refusal| refusal.cause);
    assert_eq!(cause, Some(RefusalCause::RetryBudgetSpent));
}

/// Fails if a request for which nothing can ever come waits, or its refusal is not `not_run`.
#[test]
fn a_model_without_engines_is_refused_at_once() {
    let mut harness = Harness::with_targets("", 0, 1);
    let (_, effects) = harness.submit(generation(1, true));
    let refusal = refused(&effects).expect("no engine is listed");
    assert_eq!(refusal.cause, RefusalCause::NoTarget);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Fails if requests that come before the first reports are refused instead of waiting.
#[test]
fn requests_wait_for_the_first_reports() {
    let mut harness = Harness::new("");
    let (_, effects) = harness.submit(generation(1, true));
    assert!(effects.is_empty(), "{effects:?}");
    harness.list(1, 0);
    let effects = harness.report(1, load(1));
    assert!(dispatched(&effects).is_some(), "{effects:?}");
}
