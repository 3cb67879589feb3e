//! Tests of store calls, the classification of their errors, leases and watches.

mod support;

use std::time::Duration;

use mimosagap_store::{
    CallError, CallKind, Change, Compare, GrantOptions, KeepAliveOutcome, NotApplied, Operation,
    PutOptions, RangeOptions, StoreClient, StoreOptions, TxnOptions, UnknownFate, WatchError,
    WatchOptions,
};
use support::MemoryStore;

/// Fails if a refused connection counts as a call that may have been applied. An order that did not
/// run would then be reported as `unknown` instead of `not run`.
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

/// Fails if a call that the store rejects with 429 counts as one that may have been applied.
#[test]
fn rate_limited_call_is_not_applied() {
    let store = MemoryStore::start();
    store.reject_calls(1);
    let client = store.client();
    let error = client
        .put(PutOptions::new("mg/x", b"1".to_vec()))
        .unwrap_err();
    assert_eq!(error, CallError::NotApplied(NotApplied::TooManyCalls));
    let outcome = client.range(RangeOptions::new("mg/x")).unwrap();
    assert!(outcome.entries.is_empty());
}

/// Fails if a call whose response is lost counts as not applied. An order could then run twice.
#[test]
fn lost_response_has_unknown_fate() {
    let store = MemoryStore::start();
    let client = store.client();
    store.drop_responses(1);
    let error = client
        .put(PutOptions::new("mg/x", b"1".to_vec()))
        .unwrap_err();
    assert!(matches!(error, CallError::Unknown(_)), "{error}");
    let outcome = client.range(RangeOptions::new("mg/x")).unwrap();
    assert_eq!(outcome.entries[0].value, b"1");
}

/// Fails if calls keep using a connection that no longer responds while new connections work.
#[test]
fn unresponsive_connection_is_replaced() {
    let store = MemoryStore::start();
    let client = store.client();
    client.range(RangeOptions::new("mg/x")).unwrap();
    store.hang_calls(1);
    let error = client.range(RangeOptions::new("mg/x")).unwrap_err();
    assert_eq!(error, CallError::Unknown(UnknownFate::TimedOut));
    client.range(RangeOptions::new("mg/x")).unwrap();
}

/// Fails if a compare-and-swap overwrites a record that was changed after it was read.
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

/// Fails if renewing an expired lease is reported as a success. Its holder would rely on records
/// that are already deleted.
#[test]
fn expired_lease_is_reported() {
    let store = MemoryStore::start();
    let client = store.client();
    let lease = client
        .grant(GrantOptions::new(Duration::from_secs(10)))
        .unwrap()
        .lease;
    let renewal = client.keep_alive(lease).unwrap();
    assert_eq!(
        renewal,
        KeepAliveOutcome::Renewed {
            ttl: Duration::from_secs(10)
        }
    );
    store.expire_all_leases();
    assert_eq!(client.keep_alive(lease).unwrap(), KeepAliveOutcome::Expired);
}

/// Fails if a watch misses changes between the initial read and its own start.
#[test]
fn watch_continues_from_the_initial_read() {
    let client = MemoryStore::start().client();
    client
        .put(PutOptions::new("mg/c/a", b"1".to_vec()))
        .unwrap();
    let initial_read = client.range(RangeOptions::with_prefix("mg/c/")).unwrap();
    client
        .put(PutOptions::new("mg/c/a", b"2".to_vec()))
        .unwrap();
    let mut watch = client
        .watch(&WatchOptions::new("mg/c/", initial_read.revision + 1))
        .unwrap();
    let changes = watch.next_batch().unwrap().changes;
    let [Change::Put(record)] = changes.as_slice() else {
        panic!("expected one write, got {changes:?}");
    };
    assert_eq!(record.value, b"2");
}

/// Fails if a watch whose connection broke or receives nothing goes on without an error. The daemon
/// would miss new rules without noticing.
#[test]
fn broken_and_silent_watches_end() {
    let store = MemoryStore::start();
    let client = store.client();
    let options = WatchOptions::new("mg/c/", 1).with_read_timeout(Duration::from_millis(500));
    let mut watch = client.watch(&options).unwrap();
    watch.next_batch().unwrap();
    store.close_watches();
    let broken_error = std::iter::repeat_with(|| watch.next_batch()).find_map(Result::err);
    assert_eq!(broken_error, Some(WatchError::Broken));
    let mut watch = client.watch(&options).unwrap();
    watch.next_batch().unwrap();
    store.set_watches_silent(true);
    let silent_error = std::iter::repeat_with(|| watch.next_batch()).find_map(Result::err);
    assert_eq!(silent_error, Some(WatchError::Silent));
}
