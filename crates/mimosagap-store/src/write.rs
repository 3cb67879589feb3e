//! Conditional writes of several records in one transaction. A write whose response is lost is
//! repeated; if it was applied, the repetition fails its compare and reads back the record.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::StoreClient;
use crate::error::{CallError, NotApplied};
use crate::kv::{KeyValue, PutOptions, RangeOptions};
use crate::lease::LeaseId;
use crate::txn::{Compare, Operation, TxnOptions, TxnOutcome};

/// Bounds the attempts when other writers keep winning the compare.
const MAX_ATTEMPTS: u32 = 12;
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Failure of a conditional write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteError {
    /// The write was not applied and will not be.
    NotApplied(NotApplied),
    /// Other writers changed the record before each attempt; the write was not applied.
    Contended,
    /// The write may or may not be applied: the response was lost, and reading back failed.
    Uncertain,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied(cause) => CallError::NotApplied(cause.clone()).fmt(f),
            Self::Contended => {
                f.write_str("other writers changed the record before each attempt; try again")
            }
            Self::Uncertain => f.write_str(
                "the store's response was lost and the record could not be read back; read it \
                 again before repeating the write",
            ),
        }
    }
}

impl std::error::Error for WriteError {}

/// Conditional write of one record.
#[derive(Debug)]
pub(crate) struct Write {
    pub(crate) key: String,
    /// Mod revision that the record must have; 0 if it must not exist.
    pub(crate) expected_revision: u64,
    pub(crate) value: Vec<u8>,
}

/// Write with the index of its result.
type IndexedWrite = (usize, Write);

/// Decision about a write whose compare failed.
pub(crate) enum Resolution<T> {
    /// The write is complete with this result.
    Done(T),
    /// The write may replace the record with this mod revision.
    Replace(u64),
}

struct RetryState {
    deadline: Instant,
    attempts: u32,
    retry_delay: Duration,
    /// Whether an earlier attempt may have been applied.
    maybe_applied: bool,
}

impl RetryState {
    /// Whether another attempt is allowed. Sleeps before it if the call failed.
    fn prepare_retry(&mut self, call_failed: bool) -> bool {
        self.attempts += 1;
        if call_failed {
            thread::sleep(self.retry_delay);
            self.retry_delay *= 2;
        }
        self.attempts < MAX_ATTEMPTS && Instant::now() < self.deadline
    }

    fn final_error(&self, last_error: Option<&CallError>) -> WriteError {
        match last_error {
            _ if self.maybe_applied => WriteError::Uncertain,
            Some(CallError::NotApplied(cause)) => WriteError::NotApplied(cause.clone()),
            Some(CallError::Unknown(_)) => WriteError::Uncertain,
            None => WriteError::Contended,
        }
    }
}

impl StoreClient {
    /// Carries out all writes in one transaction. If a compare fails, the transaction reads every
    /// record instead, `resolve` decides about each write, and the remaining ones are sent again
    /// together.
    ///
    /// The same loop resolves lost responses: if the first attempt was applied, the repetition
    /// fails its compare, and `resolve` recognizes the caller's own record.
    pub(crate) fn write_batch<T: Clone>(
        &self,
        writes: Vec<Write>,
        lease: Option<LeaseId>,
        retry_timeout: Duration,
        on_written: impl Fn(u64) -> T,
        resolve: impl Fn(usize, Option<&KeyValue>) -> Resolution<T>,
    ) -> Vec<Result<T, WriteError>> {
        let mut results: Vec<Option<Result<T, WriteError>>> = vec![None; writes.len()];
        let mut pending: Vec<IndexedWrite> = writes.into_iter().enumerate().collect();
        let mut retry = RetryState {
            deadline: Instant::now() + retry_timeout,
            attempts: 0,
            retry_delay: INITIAL_RETRY_DELAY,
            maybe_applied: false,
        };
        while !pending.is_empty() {
            let (batch, duplicates) = split_duplicates(pending);
            let error = match self.txn(transaction(&batch, lease)) {
                Ok(outcome) if outcome.succeeded => {
                    for (index, _) in &batch {
                        results[*index] = Some(Ok(on_written(outcome.revision)));
                    }
                    pending = duplicates;
                    continue;
                }
                Ok(outcome) => {
                    let records = records_by_key(outcome);
                    pending = Vec::new();
                    for (index, mut write) in batch {
                        match resolve(index, records.get(&write.key)) {
                            Resolution::Done(result) => results[index] = Some(Ok(result)),
                            Resolution::Replace(revision) => {
                                write.expected_revision = revision;
                                pending.push((index, write));
                            }
                        }
                    }
                    pending.extend(duplicates);
                    None
                }
                Err(error) => {
                    retry.maybe_applied |= matches!(error, CallError::Unknown(_));
                    pending = batch.into_iter().chain(duplicates).collect();
                    Some(error)
                }
            };
            let is_permanent = !retry.maybe_applied && error.as_ref().is_some_and(is_permanent);
            if is_permanent || !retry.prepare_retry(error.is_some()) {
                for (index, _) in pending.drain(..) {
                    results[index] = Some(Err(retry.final_error(error.as_ref())));
                }
            }
        }
        results
            .into_iter()
            .map(|result| result.unwrap_or(Err(WriteError::Contended)))
            .collect()
    }
}

/// Whether an immediate retry is pointless, so that the caller gets the error at once.
fn is_permanent(error: &CallError) -> bool {
    matches!(
        error,
        CallError::NotApplied(NotApplied::Unreachable | NotApplied::Rejected { .. })
    )
}

/// Splits off repeated writes of a key: a transaction may write each key only once.
fn split_duplicates(pending: Vec<IndexedWrite>) -> (Vec<IndexedWrite>, Vec<IndexedWrite>) {
    let mut keys = HashSet::new();
    pending
        .into_iter()
        .partition(|(_, write)| keys.insert(write.key.clone()))
}

fn transaction(batch: &[IndexedWrite], lease: Option<LeaseId>) -> TxnOptions {
    let writes = || batch.iter().map(|(_, write)| write);
    let compares = writes().map(|write| compare(&write.key, write.expected_revision));
    let puts = writes().map(|write| {
        Operation::Put(PutOptions::new(&write.key, write.value.clone()).with_lease(lease))
    });
    let reads = writes().map(|write| Operation::Range(RangeOptions::new(&write.key)));
    TxnOptions::new(compares.collect())
        .with_success(puts.collect())
        .with_failure(reads.collect())
}

/// Compare that holds if the record has this mod revision, or does not exist if it is 0.
pub(crate) fn compare(key: &str, mod_revision: u64) -> Compare {
    let key = key.to_owned();
    match mod_revision {
        0 => Compare::Absent { key },
        _ => Compare::Unchanged { key, mod_revision },
    }
}

fn records_by_key(outcome: TxnOutcome) -> HashMap<String, KeyValue> {
    outcome
        .entries()
        .into_iter()
        .map(|record| (record.key.clone(), record))
        .collect()
}
