//! Keys, leases and history of the store.

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
/// Changes kept for watches that start in the past; older ones are compacted.
const HISTORY_LENGTH: usize = 20_000;

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

#[derive(Debug, Clone)]
struct Record {
    value: Vec<u8>,
    created: u64,
    modified: u64,
    version: u64,
    lease: u64,
}

impl Record {
    fn to_key_value(&self, key: &[u8]) -> KeyValue {
        KeyValue {
            key: key.to_vec(),
            create_revision: self.created,
            mod_revision: self.modified,
            version: self.version,
            value: self.value.clone(),
            lease: self.lease,
        }
    }
}

#[derive(Debug)]
struct Lease {
    ttl: u64,
    deadline: Instant,
    keys: BTreeSet<Vec<u8>>,
}

impl Lease {
    fn renew(&mut self, now: Instant) {
        self.deadline = now + Duration::from_secs(self.ttl);
    }
}

#[derive(Debug)]
struct Change {
    revision: u64,
    key: Vec<u8>,
    /// `None`: the key was deleted.
    after: Option<Record>,
    before: Option<Record>,
}

#[derive(Debug)]
pub(super) struct KeySpace {
    revision: u64,
    records: BTreeMap<Vec<u8>, Record>,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    history: VecDeque<Change>,
    /// The newest revision whose changes are no longer all in the history.
    compacted: u64,
}

/// What `GET /control/dump` returns. Keys and values are shown as text.
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

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// The keys of a request: one key, all from a key on (`range_end` is one zero byte), or a range.
fn bounds(key: &[u8], range_end: &[u8]) -> (Bound<Vec<u8>>, Bound<Vec<u8>>) {
    let start = Bound::Included(key.to_vec());
    let end = match range_end {
        [] => Bound::Included(key.to_vec()),
        [0] => Bound::Unbounded,
        // An empty range; `BTreeMap::range` panics if the end lies before the start.
        end if end <= key => Bound::Excluded(key.to_vec()),
        end => Bound::Excluded(end.to_vec()),
    };
    (start, end)
}

fn in_bounds(key: &[u8], create: &WatchCreate) -> bool {
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
            last_lease: 0,
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
        let mut found: Vec<KeyValue> = self
            .records
            .range(bounds(&request.key, &request.range_end))
            .map(|(key, record)| record.to_key_value(key))
            .collect();
        let count = found.len();
        let limit = usize::try_from(request.limit).unwrap_or(usize::MAX);
        if request.count_only {
            found.clear();
        } else if limit > 0 {
            found.truncate(limit);
        }
        if request.keys_only {
            for item in &mut found {
                item.value.clear();
            }
        }
        Ok(RangeResponse {
            header: self.header(),
            more: !request.count_only && found.len() < count,
            kvs: found,
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
        let succeeded = request.compare.iter().all(|compare| self.holds(compare));
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

    /// Checks everything before anything is applied, so that a transaction fails as a whole.
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
        self.detach(&put.key, before.as_ref());
        if let Some(lease) = self.leases.get_mut(&put.lease) {
            lease.keys.insert(put.key.clone());
        }
        let record = Record {
            value: put.value,
            created: before.as_ref().map_or(revision, |record| record.created),
            modified: revision,
            version: before.as_ref().map_or(1, |record| record.version + 1),
            lease: put.lease,
        };
        self.records.insert(put.key.clone(), record.clone());
        let previous = before.as_ref().filter(|_| put.prev_kv);
        let prev_kv = previous.map(|record| record.to_key_value(&put.key));
        self.remember(revision, put.key, Some(record), before);
        PutResponse {
            header: ResponseHeader::new(revision),
            prev_kv,
        }
    }

    fn apply_delete(&mut self, request: &DeleteRequest, revision: u64) -> DeleteResponse {
        let keys: Vec<Vec<u8>> = self
            .records
            .range(bounds(&request.key, &request.range_end))
            .map(|(key, _)| key.clone())
            .collect();
        let mut prev_kvs = Vec::new();
        let deleted = keys.len() as u64;
        for key in keys {
            let before = self.records.remove(&key);
            self.detach(&key, before.as_ref());
            if request.prev_kv {
                prev_kvs.extend(before.as_ref().map(|record| record.to_key_value(&key)));
            }
            self.remember(revision, key, None, before);
        }
        DeleteResponse {
            header: ResponseHeader::new(revision),
            deleted,
            prev_kvs,
        }
    }

    fn detach(&mut self, key: &[u8], record: Option<&Record>) {
        let lease = record.and_then(|record| self.leases.get_mut(&record.lease));
        if let Some(lease) = lease {
            lease.keys.remove(key);
        }
    }

    fn remember(
        &mut self,
        revision: u64,
        key: Vec<u8>,
        after: Option<Record>,
        before: Option<Record>,
    ) {
        self.history.push_back(Change {
            revision,
            key,
            after,
            before,
        });
        while self.history.len() > HISTORY_LENGTH
            && let Some(change) = self.history.pop_front()
        {
            self.compacted = change.revision;
        }
    }

    fn holds(&self, compare: &Compare) -> bool {
        let record = self.records.get(&compare.key);
        let number = |field: fn(&Record) -> u64| record.map_or(0, field);
        let ordering = match compare.target {
            CompareTarget::Version => number(|record| record.version).cmp(&compare.version),
            CompareTarget::Create => number(|record| record.created).cmp(&compare.create_revision),
            CompareTarget::Mod => number(|record| record.modified).cmp(&compare.mod_revision),
            CompareTarget::Lease => number(|record| record.lease).cmp(&compare.lease),
            // A comparison with the value of an absent key fails, whatever its operator.
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
            0 => self.free_lease_id(),
            id => id,
        };
        let mut lease = Lease {
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

    fn free_lease_id(&mut self) -> u64 {
        loop {
            self.last_lease += 1;
            if !self.leases.contains_key(&self.last_lease) {
                return self.last_lease;
            }
        }
    }

    /// Renews a lease. An expired or unknown one gets a TTL of 0 and no error.
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
        let due = self
            .leases
            .iter()
            .filter(|(_, lease)| lease.deadline <= now);
        let due: Vec<u64> = due.map(|(id, _)| *id).collect();
        for id in due {
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
            self.remember(self.revision, key, None, before);
        }
    }

    /// The changes from revision `next` on, and the last revision that they cover.
    ///
    /// # Errors
    /// The compacted revision, if the history no longer reaches back to `next`.
    pub(super) fn changes_from(
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
            .filter(|change| in_bounds(&change.key, create))
            .map(|change| change.to_event(create.prev_kv))
            .collect();
        // A watch may start in the future.
        Ok((events, self.revision.max(next - 1)))
    }

    pub(super) fn dump(&self, now: Instant) -> StoreDump {
        let keys = self.records.iter().map(|(key, record)| {
            let dumped = DumpedRecord {
                value: text(&record.value),
                create_revision: record.created,
                mod_revision: record.modified,
                version: record.version,
                lease: record.lease,
            };
            (text(key), dumped)
        });
        let leases = self.leases.iter().map(|(id, lease)| {
            let dumped = DumpedLease {
                ttl: lease.ttl,
                remaining_ms: lease.deadline.saturating_duration_since(now).as_millis(),
                keys: lease.keys.iter().map(|key| text(key)).collect(),
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

impl Change {
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
