//! Engines that accept generations and answer nothing, as several hosts see them.

#[path = "support/hang_simulation.rs"]
mod hang_simulation;
mod support;

use std::time::Duration;

use hang_simulation::{Replay, run};
use mimosagap_routing::target_suspicion::{
    EventWait, HangEvidence, LifeSign, ReportEffect, Standing, TargetSuspicion, WaitVerdict,
};
use rstest::rstest;
use support::NOW;

/// An engine that takes no new work while all engines have prompts waiting.
const HANG: Replay = Replay {
    hosts: 106,
    has_part: true,
    silent_engines: 1,
    silence: Duration::from_mins(1),
    streams_go_on: true,
    burst: 3,
    load: 4.0,
    cut_host: None,
    seed: 1,
};

fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Guards against each host finding out alone that an engine hangs: all generations sent there are
/// lost.
#[rstest]
#[case::few_hosts(6)]
#[case::many_hosts(106)]
#[case::most_hosts(300)]
fn few_generations_are_lost_at_an_engine_that_hangs(#[case] hosts: usize) {
    let lost = |has_part| -> Vec<usize> {
        let replays = (0..4).map(|seed| Replay {
            hosts,
            has_part,
            seed,
            ..HANG
        });
        replays.map(|replay| run(replay).lost).collect()
    };
    let (with, without) = (lost(true), lost(false));
    println!("{hosts} hosts: lost {with:?} with the part, {without:?} without");
    assert!(with.iter().all(|lost| *lost <= 3), "{with:?}");
    assert!(
        2 * with.iter().sum::<usize>() <= without.iter().sum(),
        "{with:?} {without:?}"
    );
}

/// Guards against losing a sound engine that falls silent for a second, and against a suspicion that
/// outlasts a longer silence.
#[rstest]
#[case::usual(ms(1000), false)]
#[case::longer(ms(2000), true)]
fn a_stall_has_no_lasting_effect(#[case] silence: Duration, #[case] is_noticed: bool) {
    let outcome = run(Replay {
        silence,
        streams_go_on: false,
        ..HANG
    });
    println!("{outcome:?}");
    assert_eq!(outcome.suspicions > 0, is_noticed, "{outcome:?}");
    assert_eq!((outcome.lost, outcome.open_suspicions), (0, 0));
}

/// Guards against sending the load of half of a service to the other half.
#[test]
fn suspicion_of_half_a_service_is_ignored() {
    let half = Replay {
        silent_engines: 23,
        streams_go_on: false,
        load: 1.5,
        ..HANG
    };
    let (with, without) = (
        run(half),
        run(Replay {
            has_part: false,
            ..half
        }),
    );
    println!("{with:?} {without:?}");
    assert!(with.suspicions > 0);
    assert!(
        with.most_placed * 5 <= without.most_placed * 6,
        "{with:?} {without:?}"
    );
}

/// Guards against a host that reports all engines because its own link is cut.
#[test]
fn a_host_whose_link_is_cut_reports_nothing() {
    let cut = Replay {
        hosts: 6,
        silent_engines: 0,
        cut_host: Some(5),
        ..HANG
    };
    let outcome = run(cut);
    assert_eq!(outcome.suspicions, 0, "{outcome:?}");
}

/// Guards against refusing work or flooding the network because engines are busy.
#[test]
fn busy_engines_stay_in_use() {
    let busy = Replay {
        silent_engines: 0,
        ..HANG
    };
    let (with, without) = (
        run(busy),
        run(Replay {
            has_part: false,
            ..busy
        }),
    );
    println!("{with:?} {without:?}");
    assert!(
        with.unplaced <= without.unplaced + 5,
        "{with:?} {without:?}"
    );
    assert_eq!(with.open_suspicions, 0, "{with:?}");
}

#[test]
fn a_suspicion_ends_by_itself() {
    let mut suspicion = TargetSuspicion::default();
    let effect = suspicion.record_report(HangEvidence::Silent, NOW, false, NOW);
    assert_eq!(effect, ReportEffect::Suspected);
    let standings = [4, 6, 21].map(|secs| suspicion.standing(NOW + Duration::from_secs(secs)));
    assert_eq!(
        standings,
        [Standing::Suspected, Standing::OnTrial, Standing::Trusted]
    );
}

/// Guards against repeated datagrams that arrive after the engine answered.
#[test]
fn a_report_from_before_an_answer_is_ignored() {
    let mut suspicion = TargetSuspicion::default();
    suspicion.record_report(HangEvidence::Unanswered, NOW, false, NOW);
    assert!(
        suspicion
            .record_sign(LifeSign::Event, NOW + ms(100))
            .is_none()
    );
    assert!(
        suspicion
            .record_sign(LifeSign::Answer, NOW + ms(200))
            .is_some()
    );
    let late = suspicion.record_report(HangEvidence::Unanswered, NOW, false, NOW + ms(500));
    assert_eq!(late, ReportEffect::Contradicted);
    assert_eq!(suspicion.standing(NOW + ms(500)), Standing::Trusted);
}

/// Guards against suspecting an engine whose first events of other requests still come.
#[test]
fn a_busy_engine_is_not_suspected() {
    let mut suspicion = TargetSuspicion::default();
    suspicion.record_peer_sign(LifeSign::Answer, NOW + ms(1900), NOW + ms(1950));
    let wait = EventWait::First {
        sent_at: NOW,
        expected: ms(400),
    };
    let verdict = wait.judge(&suspicion, NOW + ms(2000), NOW + ms(2000));
    assert!(matches!(verdict, WaitVerdict::WaitUntil(_)), "{verdict:?}");
    let later = NOW + ms(2600);
    let verdict = wait.judge(&suspicion, later, later);
    assert_eq!(verdict, WaitVerdict::Suspect(HangEvidence::Unanswered));
    assert_eq!(wait.judge(&suspicion, NOW, later), WaitVerdict::CheckLink);
}
