//! Targets that turn requests away and want none for a while.

mod support;

use std::time::Duration;

use mimosagap_routing::migration::{GenerationState, KvCopy, MigrationStep, next_step};
use mimosagap_routing::placement::place_call;
use mimosagap_routing::target_backoff::TargetBackoff;
use mimosagap_routing::targets::{TargetKey, TargetTable};
use support::{NOW, QUOTE, engines, service};

const WISH: Duration = Duration::from_secs(2);

fn asked(targets: &mut TargetTable, key: TargetKey) {
    assert!(targets.backoff_mut(key).unwrap().record_request(WISH, NOW));
}

fn place(targets: &TargetTable, now: Duration) -> Option<TargetKey> {
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
    let mut restraint = TargetBackoff::default();
    assert!(restraint.record_request(WISH, NOW));
    assert!(!restraint.record_request(WISH / 4, NOW));
    assert!(restraint.is_active(NOW + WISH / 2));
}

/// Callers were told to come back after a fixed time, although every target had said when.
#[test]
fn callers_hear_when_the_first_target_takes_requests_again() {
    let (mut targets, keys) = engines(&["a", "b"]);
    asked(&mut targets, keys[0]);
    assert_eq!(targets.time_until_available(&service(), NOW), None);
    let wish = WISH * 2;
    assert!(
        targets
            .backoff_mut(keys[1])
            .unwrap()
            .record_request(wish, NOW)
    );
    assert_eq!(targets.time_until_available(&service(), NOW), Some(WISH));
    targets.mark_draining(keys[0], NOW);
    assert_eq!(targets.time_until_available(&service(), NOW), Some(wish));
}

/// A host that was not asked itself prefers others, but does not refuse what only this target can
/// serve.
#[test]
fn a_wish_told_by_another_host_is_a_preference() {
    let (mut targets, keys) = engines(&["a", "b"]);
    let first = place(&targets, NOW).unwrap();
    let other = keys.iter().copied().find(|key| *key != first).unwrap();
    targets
        .backoff_mut(first)
        .unwrap()
        .record_peer_request(WISH, NOW);
    assert_eq!(place(&targets, NOW), Some(other));
    targets.mark_draining(other, NOW);
    assert_eq!(place(&targets, NOW), Some(first));
}

/// A run whose engine ended is lost unless it goes on from its copy; the platform's bound allows a
/// few such requests.
#[test]
fn only_few_requests_go_to_a_target_that_wants_none() {
    let mut restraint = TargetBackoff::default();
    assert!(restraint.try_send(false, NOW));
    restraint.record_request(WISH, NOW);
    assert!(!restraint.try_send(false, NOW));
    let sent = (0..5).filter(|_| restraint.try_send(true, NOW)).count();
    assert_eq!(sent, 2);
    assert!(restraint.try_send(false, NOW + WISH));
}

#[test]
fn no_run_is_handed_over_to_a_target_that_wants_nothing() {
    let (mut targets, keys) = engines(&["a", "a"]);
    targets.mark_draining(keys[0], NOW);
    asked(&mut targets, keys[1]);
    let run = GenerationState {
        source: keys[0],
        generated_tokens: 100,
        expected_tokens: QUOTE.expected_tokens,
        time_per_token: Duration::from_millis(11),
        kv_copy: Some(KvCopy {
            target: keys[1],
            completed_at: NOW,
        }),
        is_copying: false,
        is_handed_over: false,
    };
    let step = next_step(&targets, &service(), &run, NOW);
    assert_eq!(step, MigrationStep::Await(keys[1]));
}
