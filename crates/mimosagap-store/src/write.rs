//! Conditional writes of several records in one transaction, with lost answers resolved.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::thread;
use std::time::{Duration, Instant};

use crate::client::StoreClient;
use crate::error::{CallError, NotApplied};
use crate::kv::{KeyValue, PutOptions, RangeOptions};
use crate::lease::LeaseId;
use crate::txn::{Compare, Operation, TxnOptions, TxnOutcome};

/// Bounds the rounds in which other writers come first each time.
const MAX_ROUNDS: u32 = 12;
const FIRST_PAUSE: Duration = Duration::from_millis(20);

/// Why a conditional write did not complete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WriteError {
    /// The write had no effect and will have none.
    NotApplied(NotApplied),
    /// Other writers came first in every round; the write had no effect.
    Contended,
    /// The write was sent, no answer arrived, and reading back failed too.
    Uncertain,
}

impl fmt::Display for WriteError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied(cause) => CallError::NotApplied(cause.clone()).fmt(f),
            Self::Contended => f.write_str("other writers came first each time; try again"),
            Self::Uncertain => f.write_str(
                "the store's answer was lost and the record could not be read back; read it again \
                 before writing it anew",
            ),
        }
    }
}

impl std::error::Error for WriteError {}

/// One conditional write.
#[derive(Debug)]
pub(crate) struct Write {
    pub(crate) key: String,
    /// The mod revision that the record must have; 0 if it must not exist.
    pub(crate) expected: u64,
    pub(crate) value: Vec<u8>,
}

/// A write with the position of its result.
type Indexed = (usize, Write);

/// What a record that differs from the expected one means for a write.
pub(crate) enum Resolution<T> {
    /// The write is over.
    Done(T),
    /// The write may replace the record of this mod revision.
    Replace(u64),
}

struct Round {
    deadline: Instant,
    number: u32,
    pause: Duration,
    fate_unknown: bool,
}

impl Round {
    /// Whether there is time for another round; waits in between after a failed call.
    fn next_after(&mut self, failed: bool) -> bool {
        self.number += 1;
        if failed {
            thread::sleep(self.pause);
            self.pause *= 2;
        }
        self.number < MAX_ROUNDS && Instant::now() < self.deadline
    }

    fn error(&self, last: Option<&CallError>) -> WriteError {
        match last {
            _ if self.fate_unknown => WriteError::Uncertain,
            Some(CallError::NotApplied(cause)) => WriteError::NotApplied(cause.clone()),
            Some(CallError::Unknown(_)) => WriteError::Uncertain,
            None => WriteError::Contended,
        }
    }
}

impl StoreClient {
    /// Carries out all writes in one transaction. On a conflict its failure branch reads every
    /// record, `resolve` decides about each, and the writes that remain go out again together.
    ///
    /// The same rounds resolve a lost answer: a repeated write fails its compare if the first one
    /// took effect, and `resolve` recognizes the caller's own record.
    pub(crate) fn write_together<T: Clone>(
        &self,
        writes: Vec<Write>,
        lease: Option<LeaseId>,
        retry_timeout: Duration,
        written: impl Fn(u64) -> T,
        resolve: impl Fn(usize, Option<&KeyValue>) -> Resolution<T>,
    ) -> Vec<Result<T, WriteError>> {
        let mut results: Vec<Option<Result<T, WriteError>>> = vec![None; writes.len()];
        let mut pending: Vec<Indexed> = writes.into_iter().enumerate().collect();
        let mut round = Round {
            deadline: Instant::now() + retry_timeout,
            number: 0,
            pause: FIRST_PAUSE,
            fate_unknown: false,
        };
        while !pending.is_empty() {
            let (batch, rest) = split_duplicates(pending);
            let error = match self.txn(transaction(&batch, lease)) {
                Ok(outcome) if outcome.succeeded => {
                    for (index, _) in &batch {
                        results[*index] = Some(Ok(written(outcome.revision)));
                    }
                    pending = rest;
                    continue;
                }
                Ok(outcome) => {
                    let records = by_key(outcome);
                    pending = Vec::new();
                    for (index, mut write) in batch {
                        match resolve(index, records.get(&write.key)) {
                            Resolution::Done(result) => results[index] = Some(Ok(result)),
                            Resolution::Replace(revision) => {
                                write.expected = revision;
                                pending.push((index, write));
                            }
                        }
                    }
                    pending.extend(rest);
                    None
                }
                Err(error) => {
                    round.fate_unknown |= matches!(error, CallError::Unknown(_));
                    pending = batch.into_iter().chain(rest).collect();
                    Some(error)
                }
            };
            let cannot_succeed = !round.fate_unknown && error.as_ref().is_some_and(cannot_succeed);
            if cannot_succeed || !round.next_after(error.is_some()) {
                for (index, _) in pending.drain(..) {
                    results[index] = Some(Err(round.error(error.as_ref())));
                }
            }
        }
        results
            .into_iter()
            .map(|result| result.unwrap_or(Err(WriteError::Contended)))
            .collect()
    }
}

/// Trying again at once does not help; the caller decides what to do meanwhile.
fn cannot_succeed(error: &CallError) -> bool {
    matches!(
        error,
        CallError::NotApplied(NotApplied::Unreachable | NotApplied::Rejected { .. })
    )
}

/// A transaction may write a key only once.
fn split_duplicates(pending: Vec<Indexed>) -> (Vec<Indexed>, Vec<Indexed>) {
    let mut keys = HashSet::new();
    pending
        .into_iter()
        .partition(|(_, write)| keys.insert(write.key.clone()))
}

fn transaction(batch: &[Indexed], lease: Option<LeaseId>) -> TxnOptions {
    let writes = || batch.iter().map(|(_, write)| write);
    let compares = writes().map(|write| compare(&write.key, write.expected));
    let puts = writes().map(|write| {
        Operation::Put(PutOptions::new(&write.key, write.value.clone()).with_lease(lease))
    });
    let reads = writes().map(|write| Operation::Range(RangeOptions::new(&write.key)));
    TxnOptions::new(compares.collect())
        .with_success(puts.collect())
        .with_failure(reads.collect())
}

pub(crate) fn compare(key: &str, mod_revision: u64) -> Compare {
    let key = key.to_owned();
    match mod_revision {
        0 => Compare::Absent { key },
        _ => Compare::Unchanged { key, mod_revision },
    }
}

fn by_key(outcome: TxnOutcome) -> HashMap<String, KeyValue> {
    outcome
        .entries()
        .into_iter()
        .map(|record| (record.key.clone(), record))
        .collect()
}
