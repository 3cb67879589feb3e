//! A host that starts after the store came back from a copy does not know at which versions streams
//! have begun.

use std::time::Duration;

use mimosagap_routing::store_revision::StoreEra;
use mimosagap_routing::version_history::{RECORD_DELAY, RELIST_TIME, VersionHistory};

const STARTED_AT: Duration = Duration::from_secs(100);
const FIRST: StoreEra = StoreEra(4);
const SECOND: StoreEra = StoreEra(5);

fn history(recorded: Option<StoreEra>, current: StoreEra) -> VersionHistory {
    let mut history = VersionHistory::default();
    history.note_recorded(recorded, current, STARTED_AT);
    history
}

/// A new store, or one whose versions an earlier release stored.
#[test]
fn the_era_of_a_store_without_a_record_is_recorded_at_once() {
    let mut history = history(None, FIRST);
    assert!(history.is_complete());
    assert_eq!(
        history.update(FIRST, false, STARTED_AT),
        Some((FIRST, STARTED_AT))
    );
    history.note_recorded(Some(FIRST), FIRST, STARTED_AT);
    assert_eq!(history.update(FIRST, false, STARTED_AT), None);
    assert!(!history.is_record_missing());
}

/// One host is killed and starts again.
#[test]
fn a_host_that_starts_in_the_recorded_era_knows_all_versions() {
    assert!(history(Some(FIRST), FIRST).is_complete());
}

/// All hosts are killed while the store comes back from a copy without the newest version. Each of
/// them took the version of the copy for the only one.
#[test]
fn hosts_that_start_after_a_drill_take_the_versions_of_the_copy_for_all() {
    let mut history = history(Some(FIRST), SECOND);
    assert!(!history.is_complete());
    let later = STARTED_AT + RECORD_DELAY;
    assert_eq!(history.update(SECOND, false, later), None);
    assert!(!history.is_complete());
    // The copy of a second drill may lack the record as well.
    history.note_recorded(None, StoreEra(6), later);
    assert!(!history.is_complete());
}

/// A host that knew all versions tells the one that started after the drill, once the versions that
/// the store lost are back.
#[test]
fn a_host_that_ran_before_the_drill_records_the_new_era() {
    let mut survivor = history(Some(FIRST), FIRST);
    let restored_at = STARTED_AT + Duration::from_secs(9);
    let due_at = restored_at + RECORD_DELAY;
    assert_eq!(survivor.update(SECOND, false, restored_at), None);
    assert!(survivor.is_record_missing());
    assert_eq!(
        survivor.update(SECOND, false, due_at),
        Some((SECOND, due_at))
    );
    let mut restarted = history(Some(FIRST), SECOND);
    assert!(restarted.note_recorded(Some(SECOND), SECOND, due_at));
    assert!(restarted.is_complete());
}

/// No host knew all versions. Once the engines have registered again, the listed versions are all,
/// and one of them that waits to be admitted may have been lost.
#[test]
fn the_versions_count_as_all_once_the_engines_are_listed_again() {
    let mut history = history(Some(FIRST), SECOND);
    let relisted_at = STARTED_AT + RELIST_TIME;
    let before = relisted_at.saturating_sub(Duration::from_millis(1));
    assert_eq!(history.update(SECOND, false, before), None);
    assert_eq!(history.complete_in(before), Some(Duration::from_millis(1)));
    assert_eq!(history.update(SECOND, true, relisted_at), None);
    assert!(!history.is_complete());
    assert!(history.update(SECOND, false, relisted_at).is_some());
    assert!(history.is_complete());
    assert_eq!(history.complete_in(relisted_at), None);
}
