//! Targets reject requests and request a backoff.

mod support;

use std::time::Duration;

use mimosagap_routing::migration::{GenerationState, KvCopy, MigrationStep, next_step};
use mimosagap_routing::placement::place_call;
use mimosagap_routing::residency::{PermittedTarget, UNRESTRICTED};
use mimosagap_routing::target_backoff::TargetBackoff;
use mimosagap_routing::targets::{TargetKey, TargetTable};
use support::{LONG_GENERATION, NOW, engines, service};

const RETRY_AFTER: Duration = Duration::from_secs(2);

fn start_backoff(targets: &mut TargetTable, key: TargetKey) {
    assert!(
        targets
            .backoff_mut(key)
            .unwrap()
            .record_request(RETRY_AFTER, NOW)
    );
}

fn place(targets: &TargetTable, now: Duration) -> Option<TargetKey> {
    place_call(targets, &service(), &[], &UNRESTRICTED, now).map(PermittedTarget::key)
}

/// A full target rejects requests at once, so it always has the fewest requests in flight and would
/// get every retry.
#[test]
fn a_target_gets_no_request_until_its_backoff_ends() {
    let (mut targets, keys) = engines(&["a", "b"]);
    start_backoff(&mut targets, keys[0]);
    assert_eq!(place(&targets, NOW), Some(keys[1]));
    start_backoff(&mut targets, keys[1]);
    assert_eq!(place(&targets, NOW + RETRY_AFTER.mul_f64(0.99)), None);
    assert!(place(&targets, NOW + RETRY_AFTER).is_some());
}

#[test]
fn a_shorter_backoff_does_not_end_a_longer_one() {
    let mut backoff = TargetBackoff::default();
    assert!(backoff.record_request(RETRY_AFTER, NOW));
    assert!(!backoff.record_request(RETRY_AFTER / 4, NOW));
    assert!(backoff.is_active(NOW + RETRY_AFTER / 2));
}

/// If all targets have a backoff, callers retry when the first one ends and not after a fixed time.
#[test]
fn the_service_is_available_when_the_first_backoff_ends() {
    let (mut targets, keys) = engines(&["a", "b"]);
    start_backoff(&mut targets, keys[0]);
    assert_eq!(targets.time_until_available(&service(), NOW), None);
    let long_retry_after = RETRY_AFTER * 2;
    assert!(
        targets
            .backoff_mut(keys[1])
            .unwrap()
            .record_request(long_retry_after, NOW)
    );
    assert_eq!(
        targets.time_until_available(&service(), NOW),
        Some(RETRY_AFTER)
    );
    targets.mark_draining(keys[0], NOW);
    assert_eq!(
        targets.time_until_available(&service(), NOW),
        Some(long_retry_after)
    );
}

/// A target that requested a backoff only from another host is avoided, but still used if it is the
/// only one.
#[test]
fn the_backoff_of_another_host_only_lowers_the_preference() {
    let (mut targets, keys) = engines(&["a", "b"]);
    let first = place(&targets, NOW).unwrap();
    let other = keys.iter().copied().find(|key| *key != first).unwrap();
    targets
        .backoff_mut(first)
        .unwrap()
        .record_peer_request(RETRY_AFTER, NOW);
    assert_eq!(place(&targets, NOW), Some(other));
    targets.mark_draining(other, NOW);
    assert_eq!(place(&targets, NOW), Some(first));
}

/// A generation whose engine ended is lost unless it continues from its copy. The platform allows
/// two such requests during a backoff.
#[test]
fn two_last_resort_requests_are_sent_during_a_backoff() {
    let mut backoff = TargetBackoff::default();
    assert!(backoff.try_send(false, NOW));
    backoff.record_request(RETRY_AFTER, NOW);
    assert!(!backoff.try_send(false, NOW));
    let sent_count = (0..5).filter(|_| backoff.try_send(true, NOW)).count();
    assert_eq!(sent_count, 2);
    assert!(backoff.try_send(false, NOW + RETRY_AFTER));
}

#[test]
fn no_generation_is_handed_over_during_a_backoff() {
    let (mut targets, keys) = engines(&["a", "a"]);
    targets.mark_draining(keys[0], NOW);
    start_backoff(&mut targets, keys[1]);
    let generation = GenerationState {
        source: keys[0],
        generated_tokens: 100,
        expected_tokens: LONG_GENERATION.expected_tokens,
        time_per_token: Duration::from_millis(11),
        kv_copy: Some(KvCopy {
            target: keys[1],
            completed_at: NOW,
        }),
        is_copying: false,
        is_handed_over: false,
    };
    let step = next_step(&targets, &service(), &generation, NOW);
    assert_eq!(step, MigrationStep::Await(keys[1]));
}
