//! Calls, their errors, and watches.

mod support;

use std::time::Duration;

use mimosagap_store::{
    CallError, CallKind, Change, Compare, GrantOptions, KeepAliveOutcome, NotApplied, Operation,
    PutOptions, RangeOptions, StoreClient, StoreOptions, TxnOptions, UnknownFate, WatchError,
    WatchOptions,
};
use support::MemoryStore;

/// Guards against a refused connection being taken for a call that may have taken effect, which
/// would turn a truthful `not run` into `unknown`.
#[test]
fn refused_connection_is_not_applied() {
    let client = StoreClient::new(StoreOptions {
        address: "127.0.0.1:1".parse().unwrap(),
        timeout: Duration::from_millis(300),
    });
    let error = client
        .put(PutOptions::new("mg/x", b"1".to_vec()))
        .unwrap_err();
    assert_eq!(error, CallError::NotApplied(NotApplied::Unreachable));
    assert_eq!(client.counts().of(CallKind::Put).not_applied, 1);
}

/// Guards against a call over the store's rate being taken for lost.
#[test]
fn rate_limited_call_is_not_applied() {
    let store = MemoryStore::start();
    store.reject_calls(1);
    let client = store.client();
    let error = client
        .put(PutOptions::new("mg/x", b"1".to_vec()))
        .unwrap_err();
    assert_eq!(error, CallError::NotApplied(NotApplied::TooManyCalls));
    let found = client.range(RangeOptions::new("mg/x")).unwrap();
    assert!(found.entries.is_empty());
}

/// Guards against a lost answer being taken for a call that had no effect, which would let an
/// order run twice.
#[test]
fn lost_answer_has_unknown_fate() {
    let store = MemoryStore::start();
    let client = store.client();
    store.drop_responses(1);
    let error = client
        .put(PutOptions::new("mg/x", b"1".to_vec()))
        .unwrap_err();
    assert!(matches!(error, CallError::Unknown(_)), "{error}");
    let found = client.range(RangeOptions::new("mg/x")).unwrap();
    assert_eq!(found.entries[0].value, b"1");
}

/// Guards against calls that keep using a connection which went silent while new ones work.
#[test]
fn silent_connection_is_left() {
    let store = MemoryStore::start();
    let client = store.client();
    client.range(RangeOptions::new("mg/x")).unwrap();
    store.hang_calls(1);
    let error = client.range(RangeOptions::new("mg/x")).unwrap_err();
    assert_eq!(error, CallError::Unknown(UnknownFate::TimedOut));
    client.range(RangeOptions::new("mg/x")).unwrap();
}

/// Guards against a compare-and-swap that overwrites a record changed in between.
#[test]
fn failed_compare_writes_nothing() {
    let client = MemoryStore::start().client();
    let first = client.put(PutOptions::new("mg/x", b"1".to_vec())).unwrap();
    client.put(PutOptions::new("mg/x", b"2".to_vec())).unwrap();
    let compare = Compare::Unchanged {
        key: "mg/x".to_owned(),
        mod_revision: first.revision,
    };
    let put = Operation::Put(PutOptions::new("mg/x", b"3".to_vec()));
    let read = Operation::Range(RangeOptions::new("mg/x"));
    let transaction = TxnOptions::new(vec![compare])
        .with_success(vec![put])
        .with_failure(vec![read]);
    let outcome = client.txn(transaction).unwrap();
    assert!(!outcome.succeeded);
    assert_eq!(outcome.entries()[0].value, b"2");
}

/// Guards against a holder that takes a lapsed lease for a renewed one.
#[test]
fn lapsed_lease_is_reported() {
    let store = MemoryStore::start();
    let client = store.client();
    let lease = client
        .grant(GrantOptions::new(Duration::from_secs(10)))
        .unwrap()
        .lease;
    let renewed = client.keep_alive(lease).unwrap();
    assert_eq!(
        renewed,
        KeepAliveOutcome::Renewed {
            ttl: Duration::from_secs(10)
        }
    );
    store.expire_all_leases();
    assert_eq!(client.keep_alive(lease).unwrap(), KeepAliveOutcome::Expired);
}

/// Guards against changes between the initial read and the start of the watch being missed.
#[test]
fn watch_starts_after_the_read() {
    let client = MemoryStore::start().client();
    client
        .put(PutOptions::new("mg/c/a", b"1".to_vec()))
        .unwrap();
    let read = client.range(RangeOptions::with_prefix("mg/c/")).unwrap();
    client
        .put(PutOptions::new("mg/c/a", b"2".to_vec()))
        .unwrap();
    let mut watch = client
        .watch(&WatchOptions::new("mg/c/", read.revision + 1))
        .unwrap();
    let changes = watch.next_batch().unwrap().changes;
    let [Change::Put(record)] = changes.as_slice() else {
        panic!("one write expected, found {changes:?}");
    };
    assert_eq!(record.value, b"2");
}

/// Guards against a watch that broke or went silent and still counts as alive, so that rules
/// no longer arrive.
#[test]
fn silent_and_broken_watches_end() {
    let store = MemoryStore::start();
    let client = store.client();
    let options = WatchOptions::new("mg/c/", 1).with_read_timeout(Duration::from_millis(500));
    let mut watch = client.watch(&options).unwrap();
    watch.next_batch().unwrap();
    store.close_watches();
    let broken = std::iter::repeat_with(|| watch.next_batch()).find_map(Result::err);
    assert_eq!(broken, Some(WatchError::Broken));
    let mut watch = client.watch(&options).unwrap();
    watch.next_batch().unwrap();
    store.set_watches_silent(true);
    let silent = std::iter::repeat_with(|| watch.next_batch()).find_map(Result::err);
    assert_eq!(silent, Some(WatchError::Silent));
}
