//! Keys, leases and change history of the store, all in memory.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::ops::Bound;
use std::time::{Duration, Instant};

use hyper::StatusCode;
use serde::Serialize;

use super::wire::{
    Compare, CompareResult, CompareTarget, DeleteRequest, DeleteResponse, ErrorBody, KeyValue,
    LeaseResponse, PutRequest, PutResponse, RangeRequest, RangeResponse, RequestOp, ResponseHeader,
    ResponseOp, TxnRequest, TxnResponse, WatchCreate, WatchEvent,
};

const MAX_VALUE_BYTES: usize = 1_000_000;
/// Maximum number of changes kept for watches that start at a past revision; older ones are
/// compacted.
const MAX_HISTORY_CHANGES: usize = 20_000;

#[derive(Debug)]
pub(super) enum StoreError {
    LeaseNotFound,
    LeaseExists,
    ValueTooLarge,
    EmptyKey,
    DuplicateKey,
    EmptyOperation,
    OldRevision,
}

impl StoreError {
    pub(super) fn status(&self) -> StatusCode {
        match self {
            Self::LeaseNotFound => StatusCode::NOT_FOUND,
            _ => StatusCode::BAD_REQUEST,
        }
    }

    pub(super) fn body(&self) -> ErrorBody {
        let (code, message) = match self {
            Self::LeaseNotFound => (5, "etcdserver: requested lease not found"),
            Self::LeaseExists => (9, "etcdserver: lease already exists"),
            Self::ValueTooLarge => (3, "etcdserver: request is too large"),
            Self::EmptyKey => (3, "etcdserver: key is not provided"),
            Self::DuplicateKey => (3, "etcdserver: duplicate key given in txn request"),
            Self::EmptyOperation => (3, "the operation is none of range, put and delete range"),
            Self::OldRevision => (12, "reads at a past revision are not supported here"),
        };
        ErrorBody::new(code, message)
    }
}

/// The current value of a key, with its revisions as in etcd.
#[derive(Debug, Clone)]
struct KeyRecord {
    value: Vec<u8>,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
    lease: u64,
}

impl KeyRecord {
    fn to_key_value(&self, key: &[u8]) -> KeyValue {
        KeyValue {
            key: key.to_vec(),
            create_revision: self.create_revision,
            mod_revision: self.mod_revision,
            version: self.version,
            value: self.value.clone(),
            lease: self.lease,
        }
    }
}

/// A live lease and the keys attached to it.
#[derive(Debug)]
struct LeaseState {
    /// Time to live in seconds.
    ttl: u64,
    deadline: Instant,
    keys: BTreeSet<Vec<u8>>,
}

impl LeaseState {
    fn renew(&mut self, now: Instant) {
        self.deadline = now + Duration::from_secs(self.ttl);
    }
}

/// An entry of the change history.
#[derive(Debug)]
struct KeyChange {
    revision: u64,
    key: Vec<u8>,
    /// `None` if the key was deleted.
    after: Option<KeyRecord>,
    /// `None` if the key was absent.
    before: Option<KeyRecord>,
}

#[derive(Debug)]
pub(super) struct KeySpace {
    revision: u64,
    records: BTreeMap<Vec<u8>, KeyRecord>,
    leases: BTreeMap<u64, LeaseState>,
    last_lease_id: u64,
    history: VecDeque<KeyChange>,
    /// The greatest revision of which a change has been dropped from the history; 0 if none has.
    compacted: u64,
}

/// Body of the response to `GET /control/dump`. Keys and values are text, where invalid UTF-8 is
/// replaced.
#[derive(Serialize)]
pub(super) struct StoreDump {
    revision: u64,
    keys: BTreeMap<String, DumpedRecord>,
    leases: BTreeMap<u64, DumpedLease>,
}

#[derive(Serialize)]
struct DumpedRecord {
    value: String,
    create_revision: u64,
    mod_revision: u64,
    version: u64,
    lease: u64,
}

#[derive(Serialize)]
struct DumpedLease {
    ttl: u64,
    remaining_ms: u128,
    keys: Vec<String>,
}

fn lossy_text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// Bounds of the keys of a request, as in etcd: the single `key` if `range_end` is empty, all keys
/// from `key` on if it is one zero byte, else the keys from `key` up to but not including
/// `range_end`.
fn key_bounds(key: &[u8], range_end: &[u8]) -> (Bound<Vec<u8>>, Bound<Vec<u8>>) {
    let start = Bound::Included(key.to_vec());
    let end = match range_end {
        [] => Bound::Included(key.to_vec()),
        [0] => Bound::Unbounded,
        // Becomes an empty range, because `BTreeMap::range` panics if the end is before the start.
        end if end <= key => Bound::Excluded(key.to_vec()),
        end => Bound::Excluded(end.to_vec()),
    };
    (start, end)
}

fn in_watch_range(key: &[u8], create: &WatchCreate) -> bool {
    match create.range_end.as_slice() {
        [] => key == create.key,
        [0] => key >= create.key.as_slice(),
        end => key >= create.key.as_slice() && key < end,
    }
}

impl KeySpace {
    pub(super) fn new() -> Self {
        Self {
            revision: 1,
            records: BTreeMap::new(),
            leases: BTreeMap::new(),
            last_lease_id: 0,
            history: VecDeque::new(),
            compacted: 0,
        }
    }

    pub(super) fn revision(&self) -> u64 {
        self.revision
    }

    pub(super) fn header(&self) -> ResponseHeader {
        ResponseHeader::new(self.revision)
    }

    pub(super) fn range(&self, request: &RangeRequest) -> Result<RangeResponse, StoreError> {
        if request.revision != 0 && request.revision != self.revision {
            return Err(StoreError::OldRevision);
        }
        let mut matches: Vec<KeyValue> = self
            .records
            .range(key_bounds(&request.key, &request.range_end))
            .map(|(key, record)| record.to_key_value(key))
            .collect();
        let count = matches.len();
        let limit = usize::try_from(request.limit).unwrap_or(usize::MAX);
        if request.count_only {
            matches.clear();
        } else if limit > 0 {
            matches.truncate(limit);
        }
        if request.keys_only {
            for key_value in &mut matches {
                key_value.value.clear();
            }
        }
        Ok(RangeResponse {
            header: self.header(),
            more: !request.count_only && matches.len() < count,
            kvs: matches,
            count: count as u64,
        })
    }

    pub(super) fn put(&mut self, request: PutRequest) -> Result<PutResponse, StoreError> {
        self.check_put(&request)?;
        let revision = self.revision + 1;
        let response = self.apply_put(request, revision);
        self.revision = revision;
        Ok(PutResponse {
            header: self.header(),
            ..response
        })
    }

    pub(super) fn delete_range(&mut self, request: &DeleteRequest) -> DeleteResponse {
        let revision = self.revision + 1;
        let response = self.apply_delete(request, revision);
        if response.deleted > 0 {
            self.revision = revision;
        }
        DeleteResponse {
            header: self.header(),
            ..response
        }
    }

    pub(super) fn txn(&mut self, request: TxnRequest) -> Result<TxnResponse, StoreError> {
        let succeeded = request
            .compare
            .iter()
            .all(|compare| self.compare_holds(compare));
        let operations = if succeeded {
            request.success
        } else {
            request.failure
        };
        self.check_operations(&operations)?;
        let revision = self.revision + 1;
        let mut wrote = false;
        let mut responses = Vec::new();
        for operation in operations {
            responses.push(self.apply(operation, revision, &mut wrote)?);
        }
        if wrote {
            self.revision = revision;
        }
        Ok(TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        })
    }

    /// Checks all operations before any is applied, so that a transaction fails as a whole.
    fn check_operations(&self, operations: &[RequestOp]) -> Result<(), StoreError> {
        let mut keys = BTreeSet::new();
        for operation in operations {
            match operation {
                RequestOp { put: Some(put), .. } => {
                    self.check_put(put)?;
                    if !keys.insert(&put.key) {
                        return Err(StoreError::DuplicateKey);
                    }
                }
                RequestOp {
                    range: None,
                    delete_range: None,
                    ..
                } => return Err(StoreError::EmptyOperation),
                _ => {}
            }
        }
        Ok(())
    }

    fn check_put(&self, put: &PutRequest) -> Result<(), StoreError> {
        if put.key.is_empty() {
            return Err(StoreError::EmptyKey);
        }
        if put.value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::ValueTooLarge);
        }
        if put.lease != 0 && !self.leases.contains_key(&put.lease) {
            return Err(StoreError::LeaseNotFound);
        }
        Ok(())
    }

    fn apply(
        &mut self,
        operation: RequestOp,
        revision: u64,
        wrote: &mut bool,
    ) -> Result<ResponseOp, StoreError> {
        if let Some(put) = operation.put {
            *wrote = true;
            return Ok(ResponseOp::Put(self.apply_put(put, revision)));
        }
        if let Some(delete) = operation.delete_range {
            let response = self.apply_delete(&delete, revision);
            *wrote |= response.deleted > 0;
            return Ok(ResponseOp::Delete(response));
        }
        let range = operation.range.unwrap_or_default();
        self.range(&range).map(ResponseOp::Range)
    }

    fn apply_put(&mut self, put: PutRequest, revision: u64) -> PutResponse {
        let before = self.records.get(&put.key).cloned();
        self.detach_from_lease(&put.key, before.as_ref());
        if let Some(lease) = self.leases.get_mut(&put.lease) {
            lease.keys.insert(put.key.clone());
        }
        let record = KeyRecord {
            value: put.value,
            create_revision: before
                .as_ref()
                .map_or(revision, |record| record.create_revision),
            mod_revision: revision,
            version: before.as_ref().map_or(1, |record| record.version + 1),
            lease: put.lease,
        };
        self.records.insert(put.key.clone(), record.clone());
        let previous = before.as_ref().filter(|_| put.prev_kv);
        let prev_kv = previous.map(|record| record.to_key_value(&put.key));
        self.record_change(revision, put.key, Some(record), before);
        PutResponse {
            header: ResponseHeader::new(revision),
            prev_kv,
        }
    }

    fn apply_delete(&mut self, request: &DeleteRequest, revision: u64) -> DeleteResponse {
        let keys: Vec<Vec<u8>> = self
            .records
            .range(key_bounds(&request.key, &request.range_end))
            .map(|(key, _)| key.clone())
            .collect();
        let mut prev_kvs = Vec::new();
        let deleted = keys.len() as u64;
        for key in keys {
            let before = self.records.remove(&key);
            self.detach_from_lease(&key, before.as_ref());
            if request.prev_kv {
                prev_kvs.extend(before.as_ref().map(|record| record.to_key_value(&key)));
            }
            self.record_change(revision, key, None, before);
        }
        DeleteResponse {
            header: ResponseHeader::new(revision),
            deleted,
            prev_kvs,
        }
    }

    fn detach_from_lease(&mut self, key: &[u8], record: Option<&KeyRecord>) {
        let lease = record.and_then(|record| self.leases.get_mut(&record.lease));
        if let Some(lease) = lease {
            lease.keys.remove(key);
        }
    }

    fn record_change(
        &mut self,
        revision: u64,
        key: Vec<u8>,
        after: Option<KeyRecord>,
        before: Option<KeyRecord>,
    ) {
        self.history.push_back(KeyChange {
            revision,
            key,
            after,
            before,
        });
        while self.history.len() > MAX_HISTORY_CHANGES
            && let Some(change) = self.history.pop_front()
        {
            self.compacted = change.revision;
        }
    }

    fn compare_holds(&self, compare: &Compare) -> bool {
        let record = self.records.get(&compare.key);
        let number = |field: fn(&KeyRecord) -> u64| record.map_or(0, field);
        let ordering = match compare.target {
            CompareTarget::Version => number(|record| record.version).cmp(&compare.version),
            CompareTarget::Create => {
                number(|record| record.create_revision).cmp(&compare.create_revision)
            }
            CompareTarget::Mod => number(|record| record.mod_revision).cmp(&compare.mod_revision),
            CompareTarget::Lease => number(|record| record.lease).cmp(&compare.lease),
            // As in etcd, a comparison with the value of an absent key fails for every operator.
            CompareTarget::Value => match record {
                Some(record) => record.value.cmp(&compare.value),
                None => return false,
            },
        };
        match compare.result {
            CompareResult::Equal => ordering.is_eq(),
            CompareResult::Greater => ordering.is_gt(),
            CompareResult::Less => ordering.is_lt(),
            CompareResult::NotEqual => ordering.is_ne(),
        }
    }

    pub(super) fn grant(
        &mut self,
        now: Instant,
        id: u64,
        ttl: u64,
    ) -> Result<LeaseResponse, StoreError> {
        if self.leases.contains_key(&id) {
            return Err(StoreError::LeaseExists);
        }
        let id = match id {
            0 => self.unused_lease_id(),
            id => id,
        };
        let mut lease = LeaseState {
            ttl: ttl.max(1),
            deadline: now,
            keys: BTreeSet::new(),
        };
        lease.renew(now);
        let response = LeaseResponse {
            header: self.header(),
            id,
            ttl: lease.ttl,
        };
        self.leases.insert(id, lease);
        Ok(response)
    }

    fn unused_lease_id(&mut self) -> u64 {
        loop {
            self.last_lease_id += 1;
            if !self.leases.contains_key(&self.last_lease_id) {
                return self.last_lease_id;
            }
        }
    }

    /// Renews a lease. Returns a TTL of 0 and no error if it has expired or is unknown.
    pub(super) fn keep_alive(&mut self, now: Instant, id: u64) -> LeaseResponse {
        let ttl = self.leases.get_mut(&id).map_or(0, |lease| {
            lease.renew(now);
            lease.ttl
        });
        LeaseResponse {
            header: self.header(),
            id,
            ttl,
        }
    }

    pub(super) fn revoke(&mut self, id: u64) -> Result<LeaseResponse, StoreError> {
        let lease = self.leases.remove(&id).ok_or(StoreError::LeaseNotFound)?;
        self.delete_keys(lease.keys);
        Ok(LeaseResponse {
            header: self.header(),
            id: 0,
            ttl: 0,
        })
    }

    pub(super) fn expire(&mut self, now: Instant) {
        let expired = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now);
        let expired: Vec<u64> = expired.map(|(id, _)| *id).collect();
        for id in expired {
            if let Some(lease) = self.leases.remove(&id) {
                self.delete_keys(lease.keys);
            }
        }
    }

    fn delete_keys(&mut self, keys: BTreeSet<Vec<u8>>) {
        if keys.is_empty() {
            return;
        }
        self.revision += 1;
        for key in keys {
            let before = self.records.remove(&key);
            self.record_change(self.revision, key, None, before);
        }
    }

    /// Returns the watched changes from revision `next` on, and the last revision that they cover.
    ///
    /// # Errors
    /// Returns the compacted revision if the history no longer reaches back to `next`.
    pub(super) fn watch_events_from(
        &self,
        next: u64,
        create: &WatchCreate,
    ) -> Result<(Vec<WatchEvent>, u64), u64> {
        if next <= self.compacted {
            return Err(self.compacted);
        }
        let first = self
            .history
            .partition_point(|change| change.revision < next);
        let events = self
            .history
            .range(first..)
            .filter(|change| in_watch_range(&change.key, create))
            .map(|change| change.to_event(create.prev_kv))
            .collect();
        // A watch may start at a future revision.
        Ok((events, self.revision.max(next - 1)))
    }

    pub(super) fn dump(&self, now: Instant) -> StoreDump {
        let keys = self.records.iter().map(|(key, record)| {
            let dumped = DumpedRecord {
                value: lossy_text(&record.value),
                create_revision: record.create_revision,
                mod_revision: record.mod_revision,
                version: record.version,
                lease: record.lease,
            };
            (lossy_text(key), dumped)
        });
        let leases = self.leases.iter().map(|(id, lease)| {
            let dumped = DumpedLease {
                ttl: lease.ttl,
                remaining_ms: lease.deadline.saturating_duration_since(now).as_millis(),
                keys: lease.keys.iter().map(|key| lossy_text(key)).collect(),
            };
            (*id, dumped)
        });
        StoreDump {
            revision: self.revision,
            keys: keys.collect(),
            leases: leases.collect(),
        }
    }
}

impl KeyChange {
    fn to_event(&self, with_previous: bool) -> WatchEvent {
        let (kind, kv) = match &self.after {
            Some(record) => (None, record.to_key_value(&self.key)),
            None => (
                Some("DELETE"),
                KeyValue {
                    key: self.key.clone(),
                    create_revision: 0,
                    mod_revision: self.revision,
                    version: 0,
                    value: Vec::new(),
                    lease: 0,
                },
            ),
        };
        let before = self.before.as_ref().filter(|_| with_previous);
        WatchEvent {
            kind,
            kv,
            prev_kv: before.map(|record| record.to_key_value(&self.key)),
        }
    }
}
