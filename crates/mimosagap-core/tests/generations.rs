//! Guards against responses spliced from two generations, late events that take effect, and
//! callers without a response.

mod common;

use common::*;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

fn start_generation(
    harness: &mut ReducerHarness,
    is_buffered: bool,
) -> (RequestTicket, std::net::SocketAddr) {
    let (ticket, effects) = harness.submit(generation(1, is_buffered));
    let (_, target) = dispatched(&effects).expect("an engine has room");
    harness.accept(ticket, 1);
    (ticket, target)
}

/// Fails if a generation is retried after tokens were delivered, or is not retried before.
#[rstest]
#[case(true, 0, None)]
#[case(false, 0, None)]
#[case(false, 1, Some(RefusalCause::GenerationLost))]
fn only_an_undelivered_generation_is_retried(
    #[case] is_buffered: bool,
    #[case] delivered_tokens: u32,
    #[case] cause: Option<RefusalCause>,
) {
    let mut harness = ReducerHarness::with_targets("", 2, 0);
    harness.fill_retry_budget(1.0);
    let (ticket, first) = start_generation(&mut harness, is_buffered);
    let effects = harness.end(ticket, 1, lost(delivered_tokens, false));
    assert_eq!(refused(&effects).map(|refusal| refusal.cause), cause);
    if cause.is_some() {
        return;
    }
    assert_eq!(effects[0], Effect::CancelAttempt { ticket, attempt: 1 });
    let (attempt, second) = dispatched(&effects).expect("another engine");
    assert_eq!(attempt, 2);
    assert_ne!(first, second, "the engine that lost it is chosen again");
}

/// Fails if a lost generation is retried without budget, or if the refusal comes later, says
/// `not_run` or has no retry delay.
#[test]
fn a_lost_generation_without_budget_is_refused_at_once() {
    let mut harness = ReducerHarness::with_targets("", 2, 0);
    let (ticket, _) = start_generation(&mut harness, true);
    let effects = harness.end(ticket, 1, lost(0, false));
    let refusal = refused(&effects).expect("a refusal");
    assert_eq!(refusal.cause, RefusalCause::RetryBudgetSpent);
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
    assert!(refusal.retry_after.is_some());
}

/// Fails if an event of a superseded attempt has an effect.
#[test]
fn events_of_a_superseded_attempt_are_dropped() {
    let mut harness = ReducerHarness::with_targets("", 2, 0);
    harness.fill_retry_budget(2.0);
    let (ticket, _) = start_generation(&mut harness, true);
    harness.end(ticket, 1, lost(0, false));
    for end in [AttemptEnd::Completed { tokens: 9 }, lost(0, false)] {
        assert!(harness.end(ticket, 1, end).is_empty());
    }
    assert_eq!(harness.reducer.request_count(), 1);
    assert!(
        harness
            .end(ticket, 2, AttemptEnd::Completed { tokens: 9 })
            .is_empty()
    );
    assert_eq!(harness.reducer.request_count(), 0);
}

/// Fails if a target's retry delay does not reach the caller.
#[test]
fn a_rejection_passes_on_the_targets_retry_delay() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let (ticket, _) = harness.submit(generation(1, true));
    let retry_delay = std::time::Duration::from_secs(20);
    let end = AttemptEnd::Rejected {
        retry_after: Some(retry_delay),
        leaving: false,
    };
    let effects = harness.end(ticket, 1, end);
    let refusal = refused(&effects).expect("no budget");
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert_eq!(refusal.retry_after, Some(retry_delay));
}

/// Fails if a cancelled generation continues on its engine, or is reported as not run although the
/// engine may just have accepted it.
#[rstest]
#[case(true)]
#[case(false)]
fn a_cancelled_generation_ends_on_its_engine(#[case] is_accepted: bool) {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let (ticket, effects) = harness.submit(generation(1, false));
    assert!(dispatched(&effects).is_some());
    if is_accepted {
        harness.accept(ticket, 1);
    }
    let effects = harness.step(Event::CallerLeft { ticket });
    assert_eq!(effects[0], Effect::CancelAttempt { ticket, attempt: 1 });
    let refusal = refused(&effects).expect("the final effect");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
    assert!(harness.end(ticket, 1, AttemptEnd::Cancelled).is_empty());
}

/// Fails if an idempotent call is not retried on another target, or is retried without budget.
#[rstest]
#[case(lost(0, false))]
#[case(lost(0, true))]
#[case(AttemptEnd::NotSent)]
#[case(AttemptEnd::Failed { delivered_tokens: 0 })]
fn an_idempotent_call_is_retried_on_another_target(#[case] end: AttemptEnd) {
    let mut harness = ReducerHarness::with_targets("", 1, 3);
    harness.fill_retry_budget(1.0);
    let (ticket, effects) = harness.submit(call(1));
    let (_, first) = dispatched(&effects).expect("a target");
    let effects = harness.end(ticket, 1, end.clone());
    let (_, second) = dispatched(&effects).expect("another target");
    assert_ne!(first, second);
    let effects = harness.end(ticket, 2, end);
    let cause = refused(&effects).map(|refusal| refusal.cause);
    assert_eq!(cause, Some(RefusalCause::RetryBudgetSpent));
}

/// Fails if a request for a model without engines waits, or its refusal is not `not_run`.
#[test]
fn a_model_without_engines_is_refused_at_once() {
    let mut harness = ReducerHarness::with_targets("", 0, 1);
    let (_, effects) = harness.submit(generation(1, true));
    let refusal = refused(&effects).expect("no engine is listed");
    assert_eq!(refusal.cause, RefusalCause::NoTarget);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Fails if requests are refused, instead of waiting, before the first load reports.
#[test]
fn requests_wait_for_the_first_load_reports() {
    let mut harness = ReducerHarness::new("");
    let (_, effects) = harness.submit(generation(1, true));
    assert!(effects.is_empty(), "{effects:?}");
    harness.list(1, 0);
    let effects = harness.report(1, load_report(1));
    assert!(dispatched(&effects).is_some(), "{effects:?}");
}
