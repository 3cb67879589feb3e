//! Guards against new work for targets that are leaving or gone.

mod common;

use std::time::Duration;

use common::*;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

#[derive(Debug, Clone, Copy)]
enum LeavingSource {
    List,
    Report,
    Notice,
    NoticeWithoutIncarnation,
    Rejection,
    Rule,
}

fn report_leaving(harness: &mut ReducerHarness, source: LeavingSource) -> Vec<Effect> {
    let address = engine(1);
    match source {
        LeavingSource::List => harness.step(Event::TargetsListed(vec![listed(address, true)])),
        LeavingSource::Report => {
            let leaving = LoadReport {
                leaving: true,
                ..load_report(1)
            };
            harness.report(1, leaving)
        }
        LeavingSource::Notice | LeavingSource::NoticeWithoutIncarnation => {
            let incarnation = matches!(source, LeavingSource::Notice).then_some(Incarnation(1));
            harness.step(leaving_notice(address, incarnation))
        }
        LeavingSource::Rejection => {
            let (ticket, _) = harness.submit(generation(1, true));
            let end = rejected(true);
            harness.end(ticket, 1, end)
        }
        LeavingSource::Rule => {
            let text = format!("drain target {address} # crew lead: repair");
            harness.step(Event::RulesReceived(rules(2, &text)))
        }
    }
}

fn gets_new_work(harness: &mut ReducerHarness) -> bool {
    let (ticket, effects) = harness.submit(generation(9, true));
    let found = dispatched(&effects).is_some();
    harness.step(Event::CallerLeft { ticket });
    found
}

/// Fails if a target that any source reports as leaving gets new work, if its running work ends, if
/// late news makes it usable again, or if the daemon that noticed it does not tell its peers.
#[rstest]
#[case(LeavingSource::List, true)]
#[case(LeavingSource::Report, true)]
#[case(LeavingSource::Notice, false)]
#[case(LeavingSource::NoticeWithoutIncarnation, false)]
#[case(LeavingSource::Rejection, true)]
#[case(LeavingSource::Rule, false)]
fn a_leaving_target_gets_no_new_work(#[case] source: LeavingSource, #[case] is_broadcast: bool) {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let (running, effects) = harness.submit(generation(2, false));
    assert!(dispatched(&effects).is_some());
    let effects = report_leaving(&mut harness, source);
    let broadcast =
        |effect: &Effect| matches!(effect, Effect::Broadcast(Notice::TargetLeaving { .. }));
    assert_eq!(effects.iter().any(broadcast), is_broadcast, "{effects:?}");
    let logged =
        |effect: &&Effect| matches!(effect, Effect::Log(StateChange::TargetLeaving { .. }));
    assert_eq!(effects.iter().filter(logged).count(), 1, "{effects:?}");
    assert!(!gets_new_work(&mut harness));
    // The list lags, and reports of the same incarnation arrive late.
    harness.list(1, 0);
    harness.report(1, load_report(1));
    harness.advance(Duration::from_secs(2));
    harness.report(1, load_report(1));
    assert!(!gets_new_work(&mut harness));
    assert!(
        harness
            .end(running, 1, AttemptEnd::Completed { tokens: 1 })
            .is_empty()
    );
}

/// Fails if a restarted target stays unusable, or if a late report restores the previous
/// incarnation.
#[test]
fn a_new_incarnation_gets_work_again() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    report_leaving(&mut harness, LeavingSource::Report);
    harness.report(1, load_report(2));
    harness.advance(Duration::from_secs(3));
    harness.report(1, load_report(2));
    assert!(gets_new_work(&mut harness));
    harness.step(unreachable(engine(1), true));
    harness.advance(Duration::from_secs(1));
    harness.report(1, load_report(3));
    harness.report(1, load_report(2));
    assert_eq!(
        harness.reducer.target_views(harness.now)[0].incarnation,
        Some(Incarnation(3))
    );
}

/// Fails if a late report of an incarnation that was never seen before gives a leaving engine new
/// work, or if later reports of the current incarnation are then ignored.
#[test]
fn a_late_report_of_an_unseen_incarnation_has_no_lasting_effect() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let leaving = LoadReport {
        leaving: true,
        ..load_report(2)
    };
    harness.report(1, leaving.clone());
    harness.report(1, load_report(7));
    assert!(
        !gets_new_work(&mut harness),
        "incarnation 2 may be the later one"
    );
    harness.advance(Duration::from_secs(3));
    harness.report(1, leaving);
    assert!(!gets_new_work(&mut harness));
    let view = harness.reducer.target_views(harness.now).remove(0);
    assert_eq!(view.incarnation, Some(Incarnation(2)));
    assert_eq!(view.state, TargetState::Leaving);
}

/// Fails if a notice about a leaving incarnation that this daemon does not know is ignored: it may
/// be later than the known one.
#[test]
fn a_notice_of_an_unknown_incarnation_stops_new_work_until_a_later_report() {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    let notice = Notice::TargetLeaving {
        address: engine(1),
        incarnation: Some(Incarnation(9)),
    };
    harness.step(Event::NoticeReceived(notice));
    harness.report(1, load_report(1));
    assert!(!gets_new_work(&mut harness));
    harness.advance(Duration::from_secs(3));
    harness.report(1, load_report(1));
    assert!(gets_new_work(&mut harness));
}

/// Fails if an engine that does not report or refuses connections gets work, or if it does not
/// become usable again.
#[rstest]
#[case(true, Duration::ZERO)]
#[case(false, Duration::from_secs(3))]
fn a_silent_engine_gets_no_work(#[case] refused: bool, #[case] wait: Duration) {
    let mut harness = ReducerHarness::with_targets("", 1, 0);
    harness.advance(wait);
    let address = engine(1);
    harness.step(unreachable(address, refused));
    assert!(!gets_new_work(&mut harness));
    harness.report(1, load_report(1));
    assert!(gets_new_work(&mut harness));
}

/// Fails if an empty host list, a fault of its source, makes the fleet unusable, or if a target
/// that left the list gets work.
#[test]
fn an_unlisted_target_gets_no_work_but_an_empty_list_is_ignored() {
    let mut harness = ReducerHarness::with_targets("", 1, 1);
    harness.list(0, 0);
    assert!(gets_new_work(&mut harness));
    harness.list(0, 1);
    assert!(!gets_new_work(&mut harness));
    assert_eq!(harness.reducer.target_views(harness.now).len(), 1);
}

/// Fails if a service that left and returned at the same address stays unusable: services do not
/// report an incarnation.
#[test]
fn a_service_becomes_usable_again_with_the_list() {
    let mut harness = ReducerHarness::with_targets("", 0, 1);
    let call_is_sent =
        |harness: &mut ReducerHarness| dispatched(&harness.submit(call(1)).1).is_some();
    assert!(call_is_sent(&mut harness));
    harness.step(Event::TargetsListed(vec![listed(service(1), true)]));
    assert!(!call_is_sent(&mut harness));
    harness.list(0, 1);
    assert!(call_is_sent(&mut harness));
}

/// Fails if a service that refused one connection, or was listed as leaving after a probe, stays
/// unusable.
#[test]
fn a_service_that_refused_a_connection_is_tried_again() {
    let mut harness = ReducerHarness::with_targets("", 0, 1);
    let call_is_sent =
        |harness: &mut ReducerHarness| dispatched(&harness.submit(call(1)).1).is_some();
    let address = service(1);
    let refused = true;
    harness.step(unreachable(address, refused));
    assert!(!call_is_sent(&mut harness));
    harness.advance(Duration::from_secs(2));
    assert!(call_is_sent(&mut harness));
    harness.step(unreachable(address, refused));
    let report = LoadReport {
        kv_capacity_tokens: 0,
        ..load_report(0)
    };
    harness.step(Event::TargetReported { address, report });
    assert!(call_is_sent(&mut harness));
    harness.step(Event::TargetsListed(vec![listed(address, true)]));
    assert!(!call_is_sent(&mut harness));
    harness.list(0, 1);
    assert!(call_is_sent(&mut harness));
}

/// Fails if the refusal does not name the rule that drains the only target, or comes late.
#[rstest]
#[case(engine(1), generation(1, true))]
#[case(service(1), order(1))]
#[case(service(1), call(1))]
fn a_refusal_names_the_draining_rule(
    #[case] address: std::net::SocketAddr,
    #[case] submission: Submission,
) {
    let text = format!("drain target {address} # crew lead: repair");
    let mut harness = ReducerHarness::with_targets(&text, 1, 1);
    let (_, effects) = harness.submit(submission);
    let refusal = refused(&effects).expect("the only target is drained");
    assert_eq!(refusal.cause, RefusalCause::NoTarget);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    let rule = refusal.rule.as_ref().expect("the rule");
    assert_eq!(rule.asked_by, "crew lead: repair");
}
