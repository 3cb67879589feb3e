//! A host that loses its links to targets, one after the other or all at once.

use std::time::Duration;

use mimosagap_routing::target_reach::{ReachChange, TargetReach};
use mimosagap_routing::targets::TargetKey;
use rstest::rstest;
use slotmap::SlotMap;

fn target_keys(count: usize) -> Vec<TargetKey> {
    let mut map: SlotMap<TargetKey, ()> = SlotMap::with_key();
    (0..count).map(|_| map.insert(())).collect()
}

/// A host that went on to try one target after the other refused what others could serve. It must
/// know after three targets, or after all if there are fewer.
#[rstest]
#[case(1, 1)]
#[case(2, 2)]
#[case(3, 3)]
#[case(60, 3)]
fn a_host_that_reaches_no_target_goes_on_to_try(#[case] targets: usize, #[case] required: usize) {
    let mut reach = TargetReach::default();
    for (number, key) in target_keys(targets).into_iter().enumerate() {
        let now = Duration::from_millis(100);
        let change = reach.record_failure(key, targets, now);
        assert_eq!(change.is_some(), number + 1 == required);
    }
    assert!(reach.is_isolated());
}

/// Targets that fail while others respond, or one that fails again and again, say nothing about the
/// links of the host.
#[test]
fn single_failures_cut_a_host_off() {
    let mut reach = TargetReach::default();
    let keys = target_keys(8);
    for key in &keys {
        reach.record_failure(*key, 8, Duration::from_secs(1));
        reach.record_contact(Duration::from_secs(1));
    }
    for _ in 0..8 {
        reach.record_failure(keys[0], 8, Duration::from_secs(1));
    }
    assert!(!reach.is_isolated());
    // Failures that are long past do not add up.
    reach.record_failure(keys[1], 8, Duration::from_secs(2));
    reach.record_failure(keys[2], 8, Duration::from_secs(20));
    assert!(!reach.is_isolated());
}

/// One response ends the belief, so that a host does not go on to use others when its links are back.
#[test]
fn a_response_leaves_a_host_cut_off() {
    let mut reach = TargetReach::default();
    for key in target_keys(3) {
        reach.record_failure(key, 3, Duration::from_secs(1));
    }
    let change = reach.record_contact(Duration::from_secs(9));
    assert_eq!(change, Some(ReachChange::Regained(Duration::from_secs(8))));
    assert!(!reach.is_isolated());
}
