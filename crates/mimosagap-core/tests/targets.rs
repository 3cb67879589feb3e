//! Guards against new work for targets that are leaving or gone.

mod common;

use std::time::Duration;

use common::*;
use mimosagap_core::*;
use mimosagap_types::prelude::*;
use rstest::rstest;

#[derive(Debug, Clone, Copy)]
enum Source {
    List,
    Report,
    Notice,
    NoticeWithoutLife,
    Rejection,
    Rule,
}

fn tell_leaving(harness: &mut Harness, source: Source) -> Vec<Effect> {
    let address = engine(1);
    match source {
        Source::List => harness.step(Event::TargetsListed(vec![listed(address, true)])),
        Source::Report => {
            let leaving = LoadReport {
                leaving: true,
                ..load(1)
            };
            harness.report(1, leaving)
        }
        Source::Notice | Source::NoticeWithoutLife => {
            let incarnation = matches!(source, Source::Notice).then_some(Incarnation(1));
            harness.step(leaving_notice(address, incarnation))
        }
        Source::Rejection => {
            let (ticket, _) = harness.submit(generation(1, true));
            let end = rejected(true);
            harness.end(ticket, 1, end)
        }
        Source::Rule => {
            let text = format!("drain target {address} # crew lead: repair");
            harness.step(Event::RulesReceived(rules(2, &text)))
        }
    }
}

fn gets_work(harness: &mut Harness) -> bool {
    let (ticket, effects) = harness.submit(generation(9, true));
    let found = dispatched(&effects).is_some();
    harness.step(Event::CallerLeft { ticket });
    found
}

/// Fails if a target that any source calls leaving gets new work, if running work there ends, if
/// later or lagging news brings it back, or if the peers are not told by the daemon that saw it.
#[rstest]
#[case(Source::List, true)]
#[case(Source::Report, true)]
#[case(Source::Notice, false)]
#[case(Source::NoticeWithoutLife, false)]
#[case(Source::Rejection, true)]
#[case(Source::Rule, false)]
fn a_leaving_target_gets_no_new_work(#[case] source: Source, #[case] spreads: bool) {
    let mut harness = Harness::with_targets("", 1, 0);
    let (running, effects) = harness.submit(generation(2, false));
    assert!(dispatched(&effects).is_some());
    let effects = tell_leaving(&mut harness, source);
    let told = |effect: &Effect| matches!(effect, Effect::Broadcast(Notice::TargetLeaving { .. }));
    assert_eq!(effects.iter().any(told), spreads, "{effects:?}");
    let logged =
        |effect: &&Effect| matches!(effect, Effect::Log(StateChange::TargetLeaving { .. }));
    assert_eq!(effects.iter().filter(logged).count(), 1, "{effects:?}");
    assert!(!gets_work(&mut harness));
    // The list lags, and reports of the same life come late.
    harness.list(1, 0);
    harness.report(1, load(1));
    harness.pass(Duration::from_secs(2));
    harness.report(1, load(1));
    assert!(!gets_work(&mut harness));
    assert!(
        harness
            .end(running, 1, AttemptEnd::Completed { tokens: 1 })
            .is_empty()
    );
}

/// Fails if a restarted target stays out of use, or a late report of the life that left brings
/// it back.
#[test]
fn a_new_life_takes_work_again() {
    let mut harness = Harness::with_targets("", 1, 0);
    tell_leaving(&mut harness, Source::Report);
    harness.report(1, load(2));
    harness.pass(Duration::from_secs(3));
    harness.report(1, load(2));
    assert!(gets_work(&mut harness));
    harness.step(unreachable(engine(1), true));
    harness.pass(Duration::from_secs(1));
    harness.report(1, load(3));
    harness.report(1, load(2));
    assert_eq!(
        harness.core.target_views(harness.now)[0].incarnation,
        Some(Incarnation(3))
    );
}

/// Fails if a late report of a life that was never seen before makes a daemon give work to a
/// leaving engine or ignore it from then on. Found by the interleavings.
#[test]
fn a_late_report_of_an_unseen_life_does_no_lasting_harm() {
    let mut harness = Harness::with_targets("", 1, 0);
    let leaving = LoadReport {
        leaving: true,
        ..load(2)
    };
    harness.report(1, leaving.clone());
    harness.report(1, load(7));
    assert!(!gets_work(&mut harness), "life 2 may be the later one");
    harness.pass(Duration::from_secs(3));
    harness.report(1, leaving);
    assert!(!gets_work(&mut harness));
    let view = harness.core.target_views(harness.now).remove(0);
    assert_eq!(view.incarnation, Some(Incarnation(2)));
    assert_eq!(view.state, TargetState::Leaving);
}

/// Fails if news of a leaving life that this daemon does not know is ignored: it may be later
/// than the known one. Found by the interleavings.
#[test]
fn a_notice_of_an_unknown_life_stops_new_work_until_a_later_report() {
    let mut harness = Harness::with_targets("", 1, 0);
    let notice = Notice::TargetLeaving {
        address: engine(1),
        incarnation: Some(Incarnation(9)),
    };
    harness.step(Event::NoticeReceived(notice));
    harness.report(1, load(1));
    assert!(!gets_work(&mut harness));
    harness.pass(Duration::from_secs(3));
    harness.report(1, load(1));
    assert!(gets_work(&mut harness));
}

/// Fails if an engine without recent reports or with refused connections gets work, or if it
/// does not come back.
#[rstest]
#[case(true, Duration::ZERO)]
#[case(false, Duration::from_secs(3))]
fn a_silent_engine_gets_no_work(#[case] refused: bool, #[case] wait: Duration) {
    let mut harness = Harness::with_targets("", 1, 0);
    harness.pass(wait);
    let address = engine(1);
    harness.step(unreachable(address, refused));
    assert!(!gets_work(&mut harness));
    harness.report(1, load(1));
    assert!(gets_work(&mut harness));
}

/// Fails if a fault of the list, an answer without targets, takes the fleet out of use, or if a
/// target that left the list gets work.
#[test]
fn an_unlisted_target_gets_no_work_but_an_empty_list_is_ignored() {
    let mut harness = Harness::with_targets("", 1, 1);
    harness.list(0, 0);
    assert!(gets_work(&mut harness));
    harness.list(0, 1);
    assert!(!gets_work(&mut harness));
    assert_eq!(harness.core.target_views(harness.now).len(), 1);
}

/// Fails if a service that left and came back at the same address stays out of use: services do
/// not report their lives.
#[test]
fn a_service_comes_back_with_the_list() {
    let mut harness = Harness::with_targets("", 0, 1);
    let call_found = |harness: &mut Harness| dispatched(&harness.submit(call(1)).1).is_some();
    assert!(call_found(&mut harness));
    harness.step(Event::TargetsListed(vec![listed(service(1), true)]));
    assert!(!call_found(&mut harness));
    harness.list(0, 1);
    assert!(call_found(&mut harness));
}

/// Fails if a service that refused one connection, or that was listed as leaving after it was
/// probed, stays out of use for good.
#[test]
fn a_service_that_refused_a_connection_is_tried_again() {
    let mut harness = Harness::with_targets("", 0, 1);
    let call_found = |harness: &mut Harness| dispatched(&harness.submit(call(1)).1).is_some();
    let address = service(1);
    let refused = true;
    harness.step(unreachable(address, refused));
    assert!(!call_found(&mut harness));
    harness.pass(Duration::from_secs(2));
    assert!(call_found(&mut harness));
    harness.step(unreachable(address, refused));
    let report = LoadReport {
        memory_tokens: 0,
        ..load(0)
    };
    harness.step(Event::TargetReported { address, report });
    assert!(call_found(&mut harness));
    harness.step(Event::TargetsListed(vec![listed(address, true)]));
    assert!(!call_found(&mut harness));
    harness.list(0, 1);
    assert!(call_found(&mut harness));
}

/// Fails if a refusal does not name the rule that drains the only target, or is late.
#[rstest]
#[case(engine(1), generation(1, true))]
#[case(service(1), order(1))]
#[case(service(1), call(1))]
fn a_refusal_names_the_draining_rule(
    #[case] address: std::net::SocketAddr,
    #[case] submission: Submission,
) {
    let text = format!("drain target {address} # crew lead: repair");
    let mut harness = Harness::with_targets(&text, 1, 1);
    let (_, effects) = harness.submit(submission);
    let refusal = refused(&effects).expect("the only target is drained");
    assert_eq!(refusal.cause, RefusalCause::NoTarget);
    assert_eq!(refusal.outcome, RunOutcome::NotRun);
    let rule = refusal.rule.as_ref().expect("the rule");
    assert_eq!(rule.asked_by, "crew lead: repair");
}
