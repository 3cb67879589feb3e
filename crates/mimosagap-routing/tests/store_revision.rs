//! The store comes back from an older copy of its data and gives revisions out again.

use std::time::Duration;

use mimosagap_routing::store_revision::{EraObservation, EraTracker, StoreEra, StoreRevision};
use rstest::rstest;

const fn secs(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

/// A tracker that learned of an era at a time.
fn tracker(era: u64, learned_at: Duration) -> EraTracker {
    let mut tracker = EraTracker::default();
    let first = tracker.observe(Some(StoreEra(era)), learned_at, learned_at);
    assert_eq!(first, EraObservation::Same, "nothing was known before");
    tracker
}

#[test]
fn a_revision_of_a_later_era_comes_after_all_of_the_earlier_one() {
    let before = StoreRevision::new(StoreEra(1), 1000);
    let after = StoreRevision::new(StoreEra(2), 3);
    assert!(after > before);
    assert!(StoreRevision::new(StoreEra(2), 0) < after);
}

#[rstest]
#[case::missing(None, 10, EraObservation::Same)]
#[case::same(Some(4), 10, EraObservation::Same)]
#[case::next(Some(5), 10, EraObservation::Changed { previous: StoreEra(4) })]
#[case::several_returns(Some(9), 10, EraObservation::Changed { previous: StoreEra(4) })]
#[case::next_to_an_old_request(Some(5), 1, EraObservation::Changed { previous: StoreEra(4) })]
#[case::late_answer(Some(3), 4, EraObservation::Outdated)]
#[case::lower_to_a_new_request(Some(3), 5, EraObservation::Changed { previous: StoreEra(4) })]
fn the_era_of_a_response_is_compared_with_the_one_in_force(
    #[case] named: Option<u64>,
    #[case] requested_at: u64,
    #[case] expected: EraObservation,
) {
    let mut tracker = tracker(4, secs(5));
    let observation = tracker.observe(named.map(StoreEra), secs(requested_at), secs(11));
    assert_eq!(observation, expected);
    let is_changed = matches!(expected, EraObservation::Changed { .. });
    let in_force = if is_changed {
        named.map(StoreEra)
    } else {
        None
    };
    assert_eq!(tracker.current(), in_force.unwrap_or(StoreEra(4)));
}

/// Two responses cross: the one of the new era arrives first.
#[test]
fn a_late_answer_of_the_era_before_changes_nothing() {
    let mut tracker = tracker(1, secs(0));
    tracker.observe(Some(StoreEra(2)), secs(8), secs(9));
    let late = tracker.observe(Some(StoreEra(1)), secs(7), secs(10));
    assert_eq!(late, EraObservation::Outdated);
    assert_eq!(tracker.current(), StoreEra(2));
}
