//! Targets that turn requests away and want none for a while.

mod support;

use std::time::Duration;

use mimosagap_routing::moves::{MoveStep, RunCopy, RunState, next_step};
use mimosagap_routing::placement::place_call;
use mimosagap_routing::restraint::TargetRestraint;
use mimosagap_routing::targets::{TargetKey, Targets};
use support::{NOW, QUOTE, engines, service};

const WISH: Duration = Duration::from_secs(2);

fn asked(targets: &mut Targets, key: TargetKey) {
    assert!(targets.restraint(key).unwrap().asked(WISH, NOW));
}

fn place(targets: &Targets, now: Duration) -> Option<TargetKey> {
    place_call(targets, &service(), &[], now)
}

/// Load pattern: a full target refuses at once, so it always has the fewest requests in flight and
/// got every retry.
#[test]
fn a_target_that_wants_nothing_gets_nothing_until_its_time_is_over() {
    let (mut targets, keys) = engines(&["a", "b"]);
    asked(&mut targets, keys[0]);
    assert_eq!(place(&targets, NOW), Some(keys[1]));
    asked(&mut targets, keys[1]);
    assert_eq!(place(&targets, NOW + WISH.mul_f64(0.99)), None);
    assert!(place(&targets, NOW + WISH).is_some());
}

#[test]
fn a_shorter_wish_does_not_end_a_longer_one() {
    let mut restraint = TargetRestraint::default();
    assert!(restraint.asked(WISH, NOW));
    assert!(!restraint.asked(WISH / 4, NOW));
    assert!(restraint.is_asked(NOW + WISH / 2));
}

/// Callers were told to come back after a fixed time, although every target had said when.
#[test]
fn callers_hear_when_the_first_target_takes_requests_again() {
    let (mut targets, keys) = engines(&["a", "b"]);
    asked(&mut targets, keys[0]);
    assert_eq!(targets.opens_in(&service(), NOW), None);
    let wish = WISH * 2;
    assert!(targets.restraint(keys[1]).unwrap().asked(wish, NOW));
    assert_eq!(targets.opens_in(&service(), NOW), Some(WISH));
    targets.leaves(keys[0], NOW);
    assert_eq!(targets.opens_in(&service(), NOW), Some(wish));
}

/// A host that was not asked itself prefers others, but does not refuse what only this target can
/// serve.
#[test]
fn a_wish_told_by_another_host_is_a_preference() {
    let (mut targets, keys) = engines(&["a", "b"]);
    let first = place(&targets, NOW).unwrap();
    let other = keys.iter().copied().find(|key| *key != first).unwrap();
    targets.restraint(first).unwrap().heard(WISH, NOW);
    assert_eq!(place(&targets, NOW), Some(other));
    targets.leaves(other, NOW);
    assert_eq!(place(&targets, NOW), Some(first));
}

/// A run whose engine ended is lost unless it goes on from its copy; the platform's bound allows a
/// few such requests.
#[test]
fn only_few_requests_go_to_a_target_that_wants_none() {
    let mut restraint = TargetRestraint::default();
    assert!(restraint.try_send(false, NOW));
    restraint.asked(WISH, NOW);
    assert!(!restraint.try_send(false, NOW));
    let sent = (0..5).filter(|_| restraint.try_send(true, NOW)).count();
    assert_eq!(sent, 2);
    assert!(restraint.try_send(false, NOW + WISH));
}

#[test]
fn no_run_is_handed_over_to_a_target_that_wants_nothing() {
    let (mut targets, keys) = engines(&["a", "a"]);
    targets.leaves(keys[0], NOW);
    asked(&mut targets, keys[1]);
    let run = RunState {
        source: keys[0],
        made: 100,
        expected: QUOTE.output,
        token_time: Duration::from_millis(11),
        copy: Some(RunCopy {
            target: keys[1],
            made_at: NOW,
        }),
        is_copying: false,
        is_handed_over: false,
    };
    let step = next_step(&targets, &service(), &run, NOW);
    assert_eq!(step, MoveStep::Await(keys[1]));
}
