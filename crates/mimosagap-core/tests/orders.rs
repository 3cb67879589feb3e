//! Guards against doubled orders and untrue `not_run` answers.

mod common;

use common::*;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

fn won(harness: &mut Harness) -> RequestTicket {
    let (ticket, effects) = harness.submit(order(1));
    assert!(matches!(effects[..], [Effect::Claim { .. }]), "{effects:?}");
    let effects = harness.claim(ticket, ClaimAnswer::Acquired);
    assert!(dispatched(&effects).is_some(), "{effects:?}");
    ticket
}

/// Fails if an order reaches a target before its claim is won, or if its result is not recorded.
#[test]
fn an_order_is_claimed_sent_and_recorded() {
    let mut harness = Harness::with_targets("", 0, 2);
    let ticket = won(&mut harness);
    let effects = harness.end(ticket, 1, AttemptEnd::Completed { tokens: 0 });
    assert!(matches!(effects[..], [Effect::RecordResult { .. }]));
    assert_eq!(harness.core.request_count(), 0);
}

/// Fails if a lost claim leads to a dispatch or if the caller is told something untrue.
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
fn a_claim_not_won_ends_truthfully(
    #[case] answer: ClaimAnswer,
    #[case] cause: RefusalCause,
    #[case] outcome: RunOutcome,
    #[case] retries: bool,
) {
    let mut harness = Harness::with_targets("", 0, 2);
    let (ticket, _) = harness.submit(order(1));
    let effects = harness.claim(ticket, answer);
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!((refusal.cause, refusal.outcome), (cause, outcome));
    assert_eq!(refusal.retry_after.is_some(), retries);
    assert!(dispatched(&effects).is_none());
}

/// Fails if the recorded result of an order is not given to a caller that sends it again.
#[test]
fn an_order_that_ran_is_answered_from_its_record() {
    let mut harness = Harness::with_targets("", 0, 1);
    let (ticket, _) = harness.submit(order(1));
    let effects = harness.claim(ticket, ClaimAnswer::AlreadyRan);
    assert_eq!(effects, [Effect::AnswerFromRecord { ticket }]);
    assert!(harness.claim(ticket, ClaimAnswer::Acquired).is_empty());
}

/// Fails if an order that may have run is sent again or is said not to have run, whatever the
/// relay reports after the target accepted it.
#[rstest]
#[case(lost(0, false), false)]
#[case(lost(0, true), false)]
#[case(AttemptEnd::Failed { delivered: 0 }, false)]
#[case(AttemptEnd::Cancelled, false)]
#[case(AttemptEnd::NotSent, true)]
#[case(rejected(false), true)]
fn an_order_that_may_have_run_is_not_sent_again(#[case] end: AttemptEnd, #[case] accepted: bool) {
    let mut harness = Harness::with_targets("", 1, 3);
    harness.fill_budget(3.0);
    let ticket = won(&mut harness);
    if accepted {
        harness.accept(ticket, 1);
    }
    let effects = harness.end(ticket, 1, end);
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
    assert_eq!(effects.len(), 1, "{effects:?}");
}

/// Fails if an order of which no byte was sent does not reach another target, or if the claim
/// does not say at the end that nothing ran.
#[rstest]
#[case(AttemptEnd::NotSent)]
#[case(rejected(true))]
fn an_unsent_order_tries_another_target_within_the_budget(#[case] end: AttemptEnd) {
    let mut harness = Harness::with_targets("", 1, 3);
    harness.fill_budget(1.0);
    let ticket = won(&mut harness);
    let second = dispatched(&harness.end(ticket, 1, end.clone())).expect("a second attempt");
    assert_eq!(second.0, 2);
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

/// Fails if an order whose caller left is cancelled in flight, so that its result is lost, or is
/// sent at all if it was not yet in flight.
#[test]
fn an_order_outlives_its_caller_only_in_flight() {
    let mut harness = Harness::with_targets("", 0, 2);
    let ticket = won(&mut harness);
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

/// Fails if an order waits for a store that is known to be down.
#[test]
fn an_order_is_refused_at_once_while_the_store_is_down() {
    let mut harness = Harness::with_targets("", 0, 2);
    harness.now += std::time::Duration::from_secs(5);
    harness.hear_peer();
    let (_, effects) = harness.submit(order(1));
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.cause, RefusalCause::StoreUnavailable);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Fails if a claim is made for an order that no target can take.
#[test]
fn an_order_without_a_target_is_not_claimed() {
    let mut harness = Harness::with_targets("", 1, 0);
    let (_, effects) = harness.submit(order(1));
    assert_eq!(
        refused(&effects).map(|refusal| refusal.cause),
        Some(RefusalCause::NoTarget)
    );
}

/// Fails if an order that may have been sent before is refused as not run although nobody looked at
/// its claim: it may have run through another daemon.
#[test]
fn a_resend_without_a_readable_claim_is_unknown() {
    let mut harness = Harness::with_targets("", 0, 2);
    let (ticket, _) = harness.submit(resent_order(1));
    let effects = harness.claim(ticket, ClaimAnswer::Unavailable);
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);

    let mut refusing = Harness::with_targets("refuse team floors # manager: test", 0, 2);
    let (_, effects) = refusing.submit(resent_order(1));
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
}

/// Fails if a re-sent order is refused for want of a target before its claim tells whether it ran,
/// or if the claim's answer is then not believed.
#[test]
fn a_resend_without_a_target_is_claimed_first() {
    let rules = format!("drain target {} # crew lead: test", service(1));
    let mut harness = Harness::with_targets(&rules, 0, 1);
    let (ticket, effects) = harness.submit(resent_order(1));
    assert!(matches!(effects[..], [Effect::Claim { .. }]), "{effects:?}");
    let effects = harness.claim(ticket, ClaimAnswer::Acquired);
    assert!(matches!(effects[0], Effect::RecordNotRun { .. }));
    let refusal = refused(&effects).expect("the order is refused");
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
}
