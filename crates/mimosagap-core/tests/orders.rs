//! Guards against orders that run twice, and against untrue `not_run` outcomes.

mod common;

use common::*;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

fn acquire_claim(harness: &mut ReducerHarness) -> RequestTicket {
    let (ticket, effects) = harness.submit(order(1));
    assert!(matches!(effects[..], [Effect::Claim { .. }]), "{effects:?}");
    let effects = harness.claim(ticket, ClaimAnswer::Acquired);
    assert!(dispatched(&effects).is_some(), "{effects:?}");
    ticket
}

/// Fails if an order is sent before its claim is acquired, or if its result is not recorded.
#[test]
fn an_order_is_claimed_sent_and_recorded() {
    let mut harness = ReducerHarness::with_targets("", 0, 2);
    let ticket = acquire_claim(&mut harness);
    let effects = harness.end(ticket, 1, AttemptEnd::Completed { tokens: 0 });
    assert!(matches!(effects[..], [Effect::RecordResult { .. }]));
    assert_eq!(harness.reducer.request_count(), 0);
}

/// Fails if an order is sent without its claim, or if the caller is told a wrong outcome.
#[rstest]
#[case(
    ClaimAnswer::InProgress,
    RefusalCause::OrderInProgress,
    RunOutcome::Unknown,
    true
)]
#[case(
    ClaimAnswer::BodyMismatch,
    RefusalCause::KeyReused,
    RunOutcome::NotRun,
    false
)]
#[case(
    ClaimAnswer::Unavailable,
    RefusalCause::StoreUnavailable,
    RunOutcome::NotRun,
    true
)]
#[case(
    ClaimAnswer::Uncertain,
    RefusalCause::StoreUnavailable,
    RunOutcome::Unknown,
    true
)]
fn an_order_without_its_claim_gets_a_true_outcome(
    #[case] answer: ClaimAnswer,
    #[case] cause: RefusalCause,
    #[case] outcome: RunOutcome,
    #[case] has_retry_delay: bool,
) {
    let mut harness = ReducerHarness::with_targets("", 0, 2);
    let (ticket, _) = harness.submit(order(1));
    let effects = harness.claim(ticket, answer);
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!((refusal.cause, refusal.outcome), (cause, outcome));
    assert_eq!(refusal.retry_after.is_some(), has_retry_delay);
    assert!(dispatched(&effects).is_none());
}

/// Fails if a caller that sends an order again does not get the recorded result.
#[test]
fn an_order_that_ran_is_answered_from_its_record() {
    let mut harness = ReducerHarness::with_targets("", 0, 1);
    let (ticket, _) = harness.submit(order(1));
    let effects = harness.claim(ticket, ClaimAnswer::AlreadyRan);
    assert_eq!(effects, [Effect::RespondFromRecord { ticket }]);
    assert!(harness.claim(ticket, ClaimAnswer::Acquired).is_empty());
}

/// Fails if an order that may have run is sent again or reported as not run, whatever the relay
/// reports after the target accepted it.
#[rstest]
#[case(lost(0, false), false)]
#[case(lost(0, true), false)]
#[case(AttemptEnd::Failed { delivered_tokens: 0 }, false)]
#[case(AttemptEnd::Cancelled, false)]
#[case(AttemptEnd::NotSent, true)]
#[case(rejected(false), true)]
fn an_order_that_may_have_run_is_not_sent_again(
    #[case] end: AttemptEnd,
    #[case] is_accepted: bool,
) {
    let mut harness = ReducerHarness::with_targets("", 1, 3);
    harness.fill_retry_budget(3.0);
    let ticket = acquire_claim(&mut harness);
    if is_accepted {
        harness.accept(ticket, 1);
    }
    let effects = harness.end(ticket, 1, end);
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
    assert_eq!(effects.len(), 1, "{effects:?}");
}

/// Fails if an order of which no byte was sent is not tried on another target, or if its claim is
/// not finally recorded as not run.
#[rstest]
#[case(AttemptEnd::NotSent)]
#[case(rejected(true))]
fn an_unsent_order_is_retried_within_the_budget(#[case] end: AttemptEnd) {
    let mut harness = ReducerHarness::with_targets("", 1, 3);
    harness.fill_retry_budget(1.0);
    let ticket = acquire_claim(&mut harness);
    let retry = dispatched(&harness.end(ticket, 1, end.clone())).expect("a second attempt");
    assert_eq!(retry.0, 2);
    let effects = harness.end(ticket, 2, end);
    assert!(
        effects
            .iter()
            .any(|effect| matches!(effect, Effect::RecordNotRun { .. }))
    );
    let refusal = refused(&effects).expect("the budget is spent");
    assert_eq!(refusal.cause, RefusalCause::RetryBudgetSpent);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Fails if an order in flight is cancelled when its caller leaves, so that its result is lost, or
/// if it is sent after the caller left.
#[test]
fn an_order_in_flight_continues_without_its_caller() {
    let mut harness = ReducerHarness::with_targets("", 0, 2);
    let ticket = acquire_claim(&mut harness);
    assert!(harness.step(Event::CallerLeft { ticket }).is_empty());
    let effects = harness.end(ticket, 1, AttemptEnd::Completed { tokens: 0 });
    assert!(matches!(effects[..], [Effect::RecordResult { .. }]));

    let (ticket, _) = harness.submit(order(2));
    assert!(harness.step(Event::CallerLeft { ticket }).is_empty());
    let effects = harness.claim(ticket, ClaimAnswer::Acquired);
    assert!(matches!(
        effects[..],
        [Effect::RecordNotRun { .. }, Effect::Refuse { .. }]
    ));
}

/// Fails if an order waits for a store that is known to be unreachable.
#[test]
fn an_order_is_refused_at_once_while_the_store_is_unreachable() {
    let mut harness = ReducerHarness::with_targets("", 0, 2);
    harness.now += std::time::Duration::from_secs(5);
    harness.reach_peer();
    let (_, effects) = harness.submit(order(1));
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.cause, RefusalCause::StoreUnavailable);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Fails if an order is claimed although no target can run it.
#[test]
fn an_order_without_a_target_is_not_claimed() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let (_, effects) = harness.submit(order(1));
    assert_eq!(
        refused(&effects).map(|refusal| refusal.cause),
        Some(RefusalCause::NoTarget)
    );
}

/// Fails if an order that may have been sent before is refused as not run without a look at its
/// claim: it may have run through another daemon.
#[test]
fn a_resent_order_without_a_readable_claim_is_unknown() {
    let mut harness = ReducerHarness::with_targets("", 0, 2);
    let (ticket, _) = harness.submit(resent_order(1));
    let effects = harness.claim(ticket, ClaimAnswer::Unavailable);
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);

    let mut refusing = ReducerHarness::with_targets("refuse team floors # manager: test", 0, 2);
    let (_, effects) = refusing.submit(resent_order(1));
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
}

/// Fails if a re-sent order is refused for lack of a target before its claim is read, or if the
/// claim's answer is then ignored.
#[test]
fn a_resent_order_without_a_target_is_claimed_first() {
    let rules = format!("drain target {} # crew lead: test", service(1));
    let mut harness = ReducerHarness::with_targets(&rules, 0, 1);
    let (ticket, effects) = harness.submit(resent_order(1));
    assert!(matches!(effects[..], [Effect::Claim { .. }]), "{effects:?}");
    let effects = harness.claim(ticket, ClaimAnswer::Acquired);
    assert!(matches!(effects[0], Effect::RecordNotRun { .. }));
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
}
