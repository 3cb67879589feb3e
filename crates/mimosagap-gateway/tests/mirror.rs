//! Replication of the store's keys between hosts, in full and as deltas.

use mimosagap_gateway::delta::ValueDelta;
use mimosagap_gateway::mirror::StoreMirror;
use mimosagap_platform::store::StoreChange;
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use rstest::rstest;

const KEY: &str = "config";

/// A configuration with `routes` routes, of which the one at `changed` has the version as its
/// timeout.
fn config(version: u64, routes: usize, changed: usize) -> Vec<u8> {
    let routes: Vec<String> = (0..routes)
        .map(|number| {
            let timeout = if number == changed { version } else { 1500 };
            format!("{{\"name\":\"r{number}\",\"path\":\"/p{number}/\",\"timeout\":{timeout}}}")
        })
        .collect();
    format!(
        "{{\"version\":{version},\"routes\":[{}]}}",
        routes.join(",")
    )
    .into_bytes()
}

/// A revision of the first era.
fn at(number: u64) -> StoreRevision {
    StoreRevision::new(StoreEra::default(), number)
}

fn change(key: &str, revision: u64, value: Option<Vec<u8>>) -> StoreChange {
    StoreChange {
        key: key.to_owned(),
        revision,
        value,
    }
}

/// Applies everything that the reader has and the host lacks. Returns the encoded size in bytes.
fn catch_up(reader: &StoreMirror, host: &mut StoreMirror) -> usize {
    let (is_snapshot, changes) = reader.changes_since(host.revision());
    let bytes = bincode::serde::encode_to_vec(&changes, bincode::config::standard()).unwrap();
    let store_changes: Option<Vec<StoreChange>> = changes
        .into_iter()
        .map(|change| host.resolve(change))
        .collect();
    let store_changes = store_changes.expect("the host has the version that it asked from");
    if is_snapshot {
        host.reset(&store_changes, reader.revision());
    } else {
        host.apply(&store_changes, reader.revision().number);
    }
    bytes.len()
}

fn is_equal(reader: &StoreMirror, host: &StoreMirror) -> bool {
    let all_items = |mirror: &StoreMirror| mirror.changes_since(StoreRevision::default());
    all_items(reader) == all_items(host)
}

#[rstest]
#[case::one_field(&config(1, 100, 0), &config(2, 100, 50))]
#[case::more_routes(&config(1, 100, 0), &config(2, 1600, 0))]
#[case::fewer_routes(&config(1, 100, 0), &config(2, 10, 0))]
#[case::from_nothing(b"", &config(2, 10, 0))]
#[case::to_nothing(&config(1, 10, 0), b"")]
#[case::no_objects(b"one text", b"another text")]
#[case::equal_segments(b"{a}{b}{a}{a}", b"{a}{a}{b}{b}{c}{a}")]
fn a_delta_rebuilds_the_newer_value(#[case] older: &[u8], #[case] newer: &[u8]) {
    let delta = ValueDelta::new(older, newer);
    assert_eq!(delta.apply(older).as_deref(), Some(newer));
}

#[test]
fn a_delta_from_another_value_is_detected() {
    let older = config(1, 100, 0);
    let delta = ValueDelta::new(&older, &config(2, 100, 50));
    assert_eq!(delta.apply(&older[..older.len() / 2]), None);
}

/// A configuration of 1,500 routes changes one field several times a second. Sent in full, each
/// version takes 70 KB or more for every host.
#[test]
fn a_small_change_of_a_long_value_is_sent_as_a_short_delta() {
    let (mut reader, mut host) = (StoreMirror::default(), StoreMirror::default());
    reader.apply(&[change(KEY, 1, Some(config(1, 1500, 0)))], 1);
    catch_up(&reader, &mut host);
    for version in 2..12 {
        reader.apply(
            &[change(KEY, version, Some(config(version, 1500, 700)))],
            version,
        );
        let bytes = catch_up(&reader, &mut host);
        assert!(bytes < 1000, "{bytes} bytes");
    }
    assert!(is_equal(&reader, &host));
}

/// A host that missed a few versions gets a delta, and one that missed many gets all items.
#[rstest]
#[case::some(5)]
#[case::many(400)]
fn a_lagging_host_gets_the_newest_value(#[case] missed_versions: u64) {
    let (mut reader, mut host) = (StoreMirror::default(), StoreMirror::default());
    reader.apply(&[change(KEY, 1, Some(config(1, 200, 0)))], 1);
    catch_up(&reader, &mut host);
    for version in 2..2 + missed_versions {
        reader.apply(
            &[change(KEY, version, Some(config(version, 200, 7)))],
            version,
        );
    }
    catch_up(&reader, &mut host);
    assert!(is_equal(&reader, &host));
}

#[test]
fn a_key_that_was_deleted_and_written_again_is_sent_once() {
    let (mut reader, mut host) = (StoreMirror::default(), StoreMirror::default());
    reader.apply(
        &[change("a", 1, Some(vec![1])), change("b", 2, Some(vec![2]))],
        2,
    );
    catch_up(&reader, &mut host);
    reader.apply(&[change("a", 3, None), change("b", 4, None)], 4);
    reader.apply(&[change("a", 5, Some(vec![5]))], 5);
    let (_, changes) = reader.changes_since(at(2));
    assert_eq!(changes.len(), 2);
    catch_up(&reader, &mut host);
    assert!(is_equal(&reader, &host));
}

/// The store came back from an older copy, and the reader read it again. A host that has a revision of
/// before gets everything, whether its number is lower or higher than those of the reader.
#[rstest]
#[case::lower(1)]
#[case::equal(3)]
#[case::higher(9)]
fn a_host_of_an_earlier_era_gets_all_items(#[case] known: u64) {
    let (mut reader, mut host) = (StoreMirror::default(), StoreMirror::default());
    host.apply(
        &[
            change("a", known, Some(vec![1])),
            change("b", known, Some(vec![1])),
        ],
        known,
    );
    let restored = StoreRevision::new(StoreEra(2), 3);
    reader.reset(&[change("a", 3, Some(vec![2]))], restored);
    let (is_snapshot, changes) = reader.changes_since(host.revision());
    assert!(is_snapshot);
    assert_eq!(changes.len(), 1);
    catch_up(&reader, &mut host);
    assert!(is_equal(&reader, &host));
    assert_eq!(host.revision(), restored);
    // From then on only changes are sent.
    reader.apply(&[change("c", 4, Some(vec![3]))], 4);
    let (is_snapshot, changes) = reader.changes_since(host.revision());
    assert!(!is_snapshot);
    assert_eq!(changes.len(), 1);
}

/// The copy holds an older configuration than the one in force. The reader serves the newer one, and
/// changes after it are not lost.
#[test]
fn a_kept_value_is_served_in_place_of_the_older_one_of_the_store() {
    let (mut reader, mut host) = (StoreMirror::default(), StoreMirror::default());
    let newer = config(12, 100, 0);
    reader.reset(
        &[change(KEY, 3, Some(config(5, 100, 0)))],
        StoreRevision::new(StoreEra(2), 3),
    );
    reader.keep_value(KEY, newer.clone());
    assert_eq!(reader.value(KEY), Some(&newer[..]));
    catch_up(&reader, &mut host);
    assert_eq!(host.value(KEY), Some(&newer[..]));
    for number in 4..8 {
        reader.apply(&[change("a", number, Some(vec![1]))], number);
        reader.keep_value(KEY, newer.clone());
    }
    catch_up(&reader, &mut host);
    assert!(is_equal(&reader, &host));
    assert_eq!(host.value("a"), Some(&[1][..]));
    // The operators write it again; hosts may have kept different values, so it is sent in full.
    reader.apply(&[change(KEY, 9, Some(newer.clone()))], 9);
    host.keep_value(KEY, config(11, 100, 0));
    catch_up(&reader, &mut host);
    assert_eq!(host.value(KEY), Some(&newer[..]));
}
