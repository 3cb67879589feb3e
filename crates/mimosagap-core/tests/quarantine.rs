//! Guards against a request that kills engine after engine, and against innocent requests that
//! stay in quarantine.

mod common;

use std::time::Duration;

use common::*;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

fn recorded(effects: &[Effect]) -> Vec<RequestTicket> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            Effect::RecordSuspicions { suspects, .. } => Some(suspects),
            _ => None,
        })
        .flatten()
        .map(|(ticket, _)| *ticket)
        .collect()
}

fn trial_end(effects: &[Effect]) -> Option<SuspectState> {
    effects.iter().find_map(|effect| match effect {
        Effect::EndTrial { state, .. } => Some(*state),
        _ => None,
    })
}

fn takes_trial(effects: &[Effect]) -> bool {
    let is_trial = |effect: &Effect| matches!(effect, Effect::AcquireTrial { .. });
    effects.iter().any(is_trial)
}

fn suspect(seed: u8) -> Event {
    Event::SuspectsChanged(vec![(digest(seed), SuspectState::Suspect)])
}

/// How the daemon learns that engine 1 died.
#[derive(Debug, Clone, Copy)]
enum Death {
    Refused,
    NewLife,
    Relay,
}

/// Fails if a death leaves a request in flight unrecorded, or if a caller is told before.
#[rstest]
#[case(Death::Refused)]
#[case(Death::NewLife)]
#[case(Death::Relay)]
fn callers_are_told_after_the_record(#[case] death: Death) {
    let mut harness = Harness::with_targets("", 1, 0);
    let (first, _) = harness.submit(generation(1, false));
    let (second, _) = harness.submit(generation(2, false));
    harness.accept(first, 1);
    harness.accept(second, 1);
    let effects = match death {
        Death::Refused => harness.step(unreachable(engine(1), true)),
        Death::NewLife => harness.report(1, load(100)),
        Death::Relay => harness.end(first, 1, lost(3, true)),
    };
    assert_eq!(recorded(&effects), [first, second]);
    assert!(refused(&effects).is_none());
    assert!(refused(&harness.end(first, 1, lost(3, true))).is_none());
    let effects = harness.step(Event::SuspicionRecorded { ticket: first });
    let refusal = refused(&effects).expect("the record is written");
    assert_eq!(refusal.cause, RefusalCause::GenerationLost);
    // The record of the other one comes before its relay notices.
    assert!(
        harness
            .step(Event::SuspicionRecorded { ticket: second })
            .is_empty()
    );
    assert!(refused(&harness.end(second, 1, lost(3, true))).is_some());
}

/// Fails if one broken connection counts as the death of the engine.
#[test]
fn a_broken_connection_is_no_death() {
    let mut harness = Harness::with_targets("", 1, 0);
    let (ticket, _) = harness.submit(generation(1, false));
    harness.accept(ticket, 1);
    assert!(recorded(&harness.end(ticket, 1, lost(1, false))).is_empty());
    let address = engine(1);
    let event = unreachable(address, false);
    assert!(harness.step(event).is_empty());
}

/// Waits until a trial may begin. Before that, a copy of the request that was sent at the same moment
/// may still be running, and its death has to block the request without a trial.
fn await_trial(harness: &mut Harness) -> Vec<Effect> {
    let effects = harness.pass(Duration::from_millis(900));
    assert!(!takes_trial(&effects) && dispatched(&effects).is_none());
    harness.pass(Duration::from_millis(100))
}

fn on_trial(harness: &mut Harness) -> (RequestTicket, std::net::SocketAddr) {
    harness.step(suspect(1));
    let (ticket, effects) = harness.submit(generation(1, true));
    assert!(!takes_trial(&effects) && dispatched(&effects).is_none());
    let effects = await_trial(harness);
    assert!(takes_trial(&effects) && dispatched(&effects).is_none());
    let effects = harness.answer_trial(ticket, TrialAnswer::Acquired);
    let (_, target) = dispatched(&effects).expect("the trial runs");
    (ticket, target)
}

fn die(harness: &mut Harness, address: std::net::SocketAddr) -> Vec<Effect> {
    harness.step(unreachable(address, true))
}

/// Fails if a request that killed an engine in its trial runs a third time within the hour, or
/// if an unblock rule does not let it.
#[test]
fn a_second_death_blocks() {
    let mut harness = Harness::with_targets("", 3, 0);
    let (ticket, target) = on_trial(&mut harness);
    harness.accept(ticket, 1);
    let effects = die(&mut harness, target);
    assert_eq!(recorded(&effects), [ticket]);
    assert_eq!(trial_end(&effects), Some(SuspectState::Blocked));
    let effects = harness.step(Event::SuspicionRecorded { ticket });
    let refusal = refused(&effects).expect("the final answer");
    assert_eq!(refusal.cause, RefusalCause::Quarantined);
    assert_eq!(refusal.outcome, RunOutcome::Unknown);

    // News from before the block does not lift it.
    for state in [SuspectState::Cleared, SuspectState::Suspect] {
        let digest = digest(1);
        harness.step(Event::NoticeReceived(Notice::Suspect { digest, state }));
    }
    let (_, effects) = harness.submit(generation(1, true));
    let refusal = refused(&effects).expect("the request is blocked");
    assert_eq!(refusal.cause, RefusalCause::Quarantined);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert_eq!(refusal.retry_after, Some(Duration::from_hours(1)));

    let text = format!("unblock {} # manager: reviewed", digest(1));
    harness.step(Event::RulesReceived(rules(2, &text)));
    let (_, effects) = harness.submit(generation(1, true));
    assert!(dispatched(&effects).is_some());
}

/// Fails if a blocked request is refused for longer than an hour.
#[test]
fn a_quarantine_ends_after_an_hour() {
    let mut harness = Harness::with_targets("", 1, 0);
    let state = SuspectState::Blocked;
    harness.step(Event::SuspectsChanged(vec![(digest(1), state)]));
    harness.pass(Duration::from_hours(1));
    harness.report(1, load(1));
    let (_, effects) = harness.submit(generation(1, true));
    assert!(dispatched(&effects).is_some(), "{effects:?}");
}

/// Fails if a trial gives the wrong result.
#[rstest]
#[case(AttemptEnd::Completed { tokens: 3 }, SuspectState::Cleared)]
#[case(AttemptEnd::Failed { delivered: 0 }, SuspectState::Cleared)]
#[case(lost(0, false), SuspectState::Suspect)]
#[case(AttemptEnd::NotSent, SuspectState::Suspect)]
#[case(AttemptEnd::Cancelled, SuspectState::Suspect)]
fn a_trial_without_a_death_does_not_block(#[case] end: AttemptEnd, #[case] state: SuspectState) {
    let mut harness = Harness::with_targets("", 2, 0);
    let (ticket, _) = on_trial(&mut harness);
    assert_eq!(trial_end(&harness.end(ticket, 1, end)), Some(state));
}

/// Fails if a suspect whose trial never reached the dead engine is blocked. Found by the
/// interleavings: the engine's death became known before the connection failed.
#[test]
fn a_trial_that_was_never_sent_does_not_block() {
    let mut harness = Harness::with_targets("", 2, 0);
    let (ticket, target) = on_trial(&mut harness);
    assert_eq!(trial_end(&die(&mut harness, target)), None);
    let effects = harness.end(ticket, 1, AttemptEnd::NotSent);
    assert_eq!(trial_end(&effects), Some(SuspectState::Suspect));
    assert!(refused(&effects).is_none(), "told before the record");
    assert!(refused(&harness.step(Event::SuspicionRecorded { ticket })).is_some());
}

/// Fails if a whole answer that its engine may have accepted is said not to have run. Found by
/// the interleavings.
#[test]
fn an_unaccepted_answer_on_a_dead_engine_is_unknown() {
    let mut harness = Harness::with_targets("", 2, 0);
    let (ticket, effects) = harness.submit(generation(1, true));
    let (_, target) = dispatched(&effects).expect("an engine");
    assert!(refused(&die(&mut harness, target)).is_none());
    harness.step(Event::SuspicionRecorded { ticket });
    let effects = harness.end(ticket, 1, lost(0, true));
    let refusal = refused(&effects).expect("no budget");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
}

/// Fails if two suspects run on one engine, so that a death would not show the request responsible, or if
/// other requests cannot use that engine.
#[test]
fn an_engine_runs_one_trial_at_a_time() {
    let mut harness = Harness::with_targets("", 1, 0);
    let (ticket, _) = on_trial(&mut harness);
    harness.step(suspect(2));
    let (_, effects) = harness.submit(generation(2, true));
    assert!(effects.is_empty(), "{effects:?}");
    assert!(!takes_trial(&await_trial(&mut harness)));
    let (_, effects) = harness.submit(generation(3, true));
    assert!(dispatched(&effects).is_some());
    harness.end(ticket, 1, AttemptEnd::Completed { tokens: 1 });
    assert!(takes_trial(&harness.pass(Duration::from_millis(50))));
}

/// Fails if a lost undelivered generation is not tried by the daemon itself, as a trial.
#[test]
fn the_daemon_runs_the_trial_of_an_undelivered_generation() {
    let mut harness = Harness::with_targets("", 2, 0);
    harness.fill_budget(1.0);
    let (ticket, effects) = harness.submit(generation(1, true));
    let (_, target) = dispatched(&effects).expect("an engine");
    harness.accept(ticket, 1);
    let effects = die(&mut harness, target);
    assert!(effects.contains(&Effect::CancelAttempt { ticket, attempt: 1 }));
    let effects = harness.step(Event::SuspicionRecorded { ticket });
    assert!(!takes_trial(&effects), "{effects:?}");
    let effects = await_trial(&mut harness);
    assert!(takes_trial(&effects), "{effects:?}");
}

/// Fails if a trial starts without the store, or if its caller is not told to come back.
#[test]
fn no_trial_starts_without_the_store() {
    let mut harness = Harness::with_targets("", 1, 0);
    harness.step(suspect(1));
    harness.now += Duration::from_secs(5);
    harness.hear_peer();
    harness.report(1, load(1));
    let (_, effects) = harness.submit(generation(1, true));
    let refusal = refused(&effects).expect("the store is down");
    assert_eq!(refusal.cause, RefusalCause::StoreUnavailable);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Fails if a caller that leaves while its trial is being taken leaves the record on trial, so
/// that no daemon can run the request any more, or the request without an end.
#[test]
fn a_trial_taken_for_nobody_is_given_back() {
    let mut harness = Harness::with_targets("", 1, 0);
    harness.step(suspect(1));
    let (ticket, _) = harness.submit(generation(1, true));
    assert!(takes_trial(&await_trial(&mut harness)));
    assert!(harness.step(Event::CallerLeft { ticket }).is_empty());
    let effects = harness.answer_trial(ticket, TrialAnswer::Acquired);
    assert_eq!(trial_end(&effects), Some(SuspectState::Suspect));
    let refusal = refused(&effects).expect("the final effect");
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert_eq!(harness.core.request_count(), 0);
}
