//! Guards against a request that crashes one engine after another, and against harmless requests
//! that stay in quarantine.

mod common;

use std::time::Duration;

use common::*;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

fn recorded_tickets(effects: &[Effect]) -> Vec<RequestTicket> {
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

fn acquires_trial(effects: &[Effect]) -> bool {
    let is_trial = |effect: &Effect| matches!(effect, Effect::AcquireTrial { .. });
    effects.iter().any(is_trial)
}

fn suspect_recorded(seed: u8) -> Event {
    Event::SuspectsChanged(vec![(digest(seed), SuspectState::Suspect)])
}

/// How the daemon learns that engine 1 died.
#[derive(Debug, Clone, Copy)]
enum DeathSignal {
    Refused,
    NewIncarnation,
    Relay,
}

/// Fails if a request in flight on a dead engine is not recorded, or if its caller gets a
/// response before the record is written.
#[rstest]
#[case(DeathSignal::Refused)]
#[case(DeathSignal::NewIncarnation)]
#[case(DeathSignal::Relay)]
fn callers_get_a_response_after_the_record(#[case] signal: DeathSignal) {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let (first, _) = harness.submit(generation(1, false));
    let (second, _) = harness.submit(generation(2, false));
    harness.accept(first, 1);
    harness.accept(second, 1);
    let effects = match signal {
        DeathSignal::Refused => harness.step(unreachable(engine(1), true)),
        DeathSignal::NewIncarnation => harness.report(1, load_report(100)),
        DeathSignal::Relay => harness.end(first, 1, lost(3, true)),
    };
    assert_eq!(recorded_tickets(&effects), [first, second]);
    assert!(refused(&effects).is_none());
    assert!(refused(&harness.end(first, 1, lost(3, true))).is_none());
    let effects = harness.step(Event::SuspicionRecorded { ticket: first });
    let refusal = refused(&effects).expect("the record is written");
    assert_eq!(refusal.cause, RefusalCause::GenerationLost);
    // The record of the second request is written before its relay notices the loss.
    assert!(
        harness
            .step(Event::SuspicionRecorded { ticket: second })
            .is_empty()
    );
    assert!(refused(&harness.end(second, 1, lost(3, true))).is_some());
}

/// Fails if a single broken connection counts as the death of the engine.
#[test]
fn a_broken_connection_does_not_count_as_a_death() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let (ticket, _) = harness.submit(generation(1, false));
    harness.accept(ticket, 1);
    assert!(recorded_tickets(&harness.end(ticket, 1, lost(1, false))).is_empty());
    let address = engine(1);
    let event = unreachable(address, false);
    assert!(harness.step(event).is_empty());
}

/// Waits until a trial may begin. Before that, a copy of the request sent at the same moment may
/// still be running, and its engine's death must block the request without a trial.
fn await_trial(harness: &mut ReducerHarness) -> Vec<Effect> {
    let effects = harness.advance(Duration::from_millis(900));
    assert!(!acquires_trial(&effects) && dispatched(&effects).is_none());
    harness.advance(Duration::from_millis(100))
}

fn start_trial(harness: &mut ReducerHarness) -> (RequestTicket, std::net::SocketAddr) {
    harness.step(suspect_recorded(1));
    let (ticket, effects) = harness.submit(generation(1, true));
    assert!(!acquires_trial(&effects) && dispatched(&effects).is_none());
    let effects = await_trial(harness);
    assert!(acquires_trial(&effects) && dispatched(&effects).is_none());
    let effects = harness.answer_trial(ticket, TrialAnswer::Acquired);
    let (_, target) = dispatched(&effects).expect("the trial runs");
    (ticket, target)
}

fn kill_engine(harness: &mut ReducerHarness, address: std::net::SocketAddr) -> Vec<Effect> {
    harness.step(unreachable(address, true))
}

/// Fails if a request that crashed an engine in its trial runs again within the hour, or if an
/// unblock rule does not permit it.
#[test]
fn a_death_in_the_trial_blocks_the_request() {
    let mut harness = ReducerHarness::with_targets("", 3, 0);
    let (ticket, target) = start_trial(&mut harness);
    harness.accept(ticket, 1);
    let effects = kill_engine(&mut harness, target);
    assert_eq!(recorded_tickets(&effects), [ticket]);
    assert_eq!(trial_end(&effects), Some(SuspectState::Blocked));
    let effects = harness.step(Event::SuspicionRecorded { ticket });
    let refusal = refused(&effects).expect("the final answer");
    assert_eq!(refusal.cause, RefusalCause::Quarantined);
    assert_eq!(refusal.outcome, RunOutcome::Unknown);

    // Notices from before the block must not lift it.
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
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let state = SuspectState::Blocked;
    harness.step(Event::SuspectsChanged(vec![(digest(1), state)]));
    harness.advance(Duration::from_hours(1));
    harness.report(1, load_report(1));
    let (_, effects) = harness.submit(generation(1, true));
    assert!(dispatched(&effects).is_some(), "{effects:?}");
}

/// Fails if a trial is recorded with the wrong result.
#[rstest]
#[case(AttemptEnd::Completed { tokens: 3 }, SuspectState::Cleared)]
#[case(AttemptEnd::Failed { delivered_tokens: 0 }, SuspectState::Cleared)]
#[case(lost(0, false), SuspectState::Suspect)]
#[case(AttemptEnd::NotSent, SuspectState::Suspect)]
#[case(AttemptEnd::Cancelled, SuspectState::Suspect)]
fn a_trial_without_a_death_does_not_block(#[case] end: AttemptEnd, #[case] state: SuspectState) {
    let mut harness = ReducerHarness::with_targets("", 2, 0);
    let (ticket, _) = start_trial(&mut harness);
    assert_eq!(trial_end(&harness.end(ticket, 1, end)), Some(state));
}

/// Fails if a suspect whose trial never reached the dead engine is blocked. The engine's death may
/// become known before the connection fails.
#[test]
fn a_trial_that_was_never_sent_does_not_block() {
    let mut harness = ReducerHarness::with_targets("", 2, 0);
    let (ticket, target) = start_trial(&mut harness);
    assert_eq!(trial_end(&kill_engine(&mut harness, target)), None);
    let effects = harness.end(ticket, 1, AttemptEnd::NotSent);
    assert_eq!(trial_end(&effects), Some(SuspectState::Suspect));
    assert!(
        refused(&effects).is_none(),
        "answered before the suspicion was recorded"
    );
    assert!(refused(&harness.step(Event::SuspicionRecorded { ticket })).is_some());
}

/// Fails if a buffered response that its engine may have accepted is reported as not run.
#[test]
fn an_unaccepted_generation_on_a_dead_engine_is_unknown() {
    let mut harness = ReducerHarness::with_targets("", 2, 0);
    let (ticket, effects) = harness.submit(generation(1, true));
    let (_, target) = dispatched(&effects).expect("an engine");
    assert!(refused(&kill_engine(&mut harness, target)).is_none());
    harness.step(Event::SuspicionRecorded { ticket });
    let effects = harness.end(ticket, 1, lost(0, true));
    let refusal = refused(&effects).expect("no budget");
    assert_eq!(refusal.outcome, RunOutcome::Unknown);
}

/// Fails if two suspects run on one engine, so that its death would not identify the responsible
/// request, or if other requests cannot use that engine.
#[test]
fn an_engine_runs_one_trial_at_a_time() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let (ticket, _) = start_trial(&mut harness);
    harness.step(suspect_recorded(2));
    let (_, effects) = harness.submit(generation(2, true));
    assert!(effects.is_empty(), "{effects:?}");
    assert!(!acquires_trial(&await_trial(&mut harness)));
    let (_, effects) = harness.submit(generation(3, true));
    assert!(dispatched(&effects).is_some());
    harness.end(ticket, 1, AttemptEnd::Completed { tokens: 1 });
    assert!(acquires_trial(&harness.advance(Duration::from_millis(50))));
}

/// Fails if the daemon does not itself retry, as a trial, a lost generation of which nothing was
/// delivered.
#[test]
fn the_daemon_runs_the_trial_of_an_undelivered_generation() {
    let mut harness = ReducerHarness::with_targets("", 2, 0);
    harness.fill_retry_budget(1.0);
    let (ticket, effects) = harness.submit(generation(1, true));
    let (_, target) = dispatched(&effects).expect("an engine");
    harness.accept(ticket, 1);
    let effects = kill_engine(&mut harness, target);
    assert!(effects.contains(&Effect::CancelAttempt { ticket, attempt: 1 }));
    let effects = harness.step(Event::SuspicionRecorded { ticket });
    assert!(!acquires_trial(&effects), "{effects:?}");
    let effects = await_trial(&mut harness);
    assert!(acquires_trial(&effects), "{effects:?}");
}

/// Fails if a trial starts without the store, or if the refusal names no retry delay.
#[test]
fn no_trial_starts_without_the_store() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    harness.step(suspect_recorded(1));
    harness.now += Duration::from_secs(5);
    harness.reach_peer();
    harness.report(1, load_report(1));
    let (_, effects) = harness.submit(generation(1, true));
    let refusal = refused(&effects).expect("the store is down");
    assert_eq!(refusal.cause, RefusalCause::StoreUnavailable);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert!(refusal.retry_after.is_some());
}

/// Fails if the record stays on trial after a caller left while the trial was being acquired, so
/// that no daemon can run the request again, or if the request never ends.
#[test]
fn a_trial_acquired_after_the_caller_left_is_released() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    harness.step(suspect_recorded(1));
    let (ticket, _) = harness.submit(generation(1, true));
    assert!(acquires_trial(&await_trial(&mut harness)));
    assert!(harness.step(Event::CallerLeft { ticket }).is_empty());
    let effects = harness.answer_trial(ticket, TrialAnswer::Acquired);
    assert_eq!(trial_end(&effects), Some(SuspectState::Suspect));
    let refusal = refused(&effects).expect("the final effect");
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    assert_eq!(harness.reducer.request_count(), 0);
}
