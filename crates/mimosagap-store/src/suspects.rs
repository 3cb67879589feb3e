//! Records of suspects: requests that were in flight on a target that died. To keep a request that
//! crashes targets from taking down the fleet, a suspect runs only in a trial, on an engine that is
//! reserved for it; if that engine dies as well, the request is blocked. Compare-and-swap keeps
//! daemons from running two trials of one suspect, or two suspects on one engine.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::error::CallError;
use crate::keys;
use crate::kv::{DeleteOptions, KeyValue, PutOptions, RangeOptions};
use crate::lease::LeaseId;
use crate::nonce::Nonce;
use crate::txn::{Compare, Operation, TxnOptions};
use crate::write::{Resolution, Write, WriteError, compare};

/// Time that a suspicion or a block lasts: the TTL of the leases of suspect records.
pub const SUSPECT_TTL: Duration = Duration::from_hours(1);
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Stage of a suspect, as stored in its record.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectStage {
    /// The request waits for a trial.
    Suspect,
    /// A trial is running.
    Trial {
        /// Daemon that runs the trial.
        daemon: DaemonId,
        /// Engine that the trial runs on.
        engine: SocketAddr,
        /// Identifies the trial.
        nonce: Nonce,
    },
    /// A second target died with the request in flight.
    Blocked,
}

/// Record of a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRecord {
    /// Number of targets that died with the request in flight: 1, or 2 once blocked.
    pub count: u32,
    /// Stage of the suspect.
    pub stage: SuspectStage,
    /// First death, or the second one if it blocked the request without a trial; `None` if it is
    /// not known.
    #[serde(default)]
    pub death: Option<TargetDeath>,
}

/// Death of a target: its process ended while requests were in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetDeath {
    /// Address of the target.
    pub target: SocketAddr,
    /// Incarnation that ended; `None` if it is not known.
    pub incarnation: Option<Incarnation>,
}

impl TargetDeath {
    /// Whether two reports may be about the same death. A report without an incarnation matches any
    /// incarnation of the target.
    #[must_use]
    pub fn may_match(&self, other: &Self) -> bool {
        let incarnations = self.incarnation.zip(other.incarnation);
        self.target == other.target && incarnations.is_none_or(|(own, reported)| own == reported)
    }
}

/// Options of [`StoreClient::record_suspects`].
#[derive(Debug, Clone)]
pub struct SuspectOptions {
    /// Digests of the requests that were in flight.
    pub digests: Vec<RequestDigest>,
    /// Death of the target they were in flight on; `None` if it is not known.
    pub death: Option<TargetDeath>,
    /// Lease that the records are attached to; they are deleted when it expires.
    pub lease: LeaseId,
    /// Time during which the writes are retried after conflicts and lost responses.
    pub retry_timeout: Duration,
}

/// Result of recording one suspect.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectOutcome {
    /// The record was created.
    Recorded,
    /// A record existed already and stays as it is.
    AlreadyRecorded,
    /// The request was in flight on two targets that died, so it was blocked without a trial.
    Blocked,
}

/// Trial to acquire or to end.
#[derive(Debug, Clone)]
pub struct TrialOptions {
    /// Digest of the request.
    pub digest: RequestDigest,
    /// Engine that the trial runs on.
    pub engine: SocketAddr,
    /// Daemon that runs the trial.
    pub daemon: DaemonId,
    /// Identifies the trial.
    pub nonce: Nonce,
    /// Time during which the write is retried after conflicts and lost responses.
    pub retry_timeout: Duration,
}

/// Leases for the records of a trial.
#[derive(Debug, Clone, Copy)]
pub struct TrialLeases {
    /// Membership lease of the daemon. The engine's reservation is attached to it, so that a crash
    /// of the daemon frees the engine.
    pub member: LeaseId,
    /// Lease for a new suspect record, if the suspicion came from a peer and is not in the store
    /// yet; `None` if the record must exist.
    pub suspect: Option<LeaseId>,
}

/// Result of acquiring a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialOutcome {
    /// The caller may run the suspect on the engine.
    Acquired,
    /// Another daemon runs the suspect, or the engine runs another suspect.
    Busy,
    /// The record does not exist: the request is no longer a suspect.
    Cleared,
    /// The request is blocked.
    Blocked,
}

/// End of a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialEnd {
    /// The engine survived: the record is deleted.
    Cleared,
    /// The engine died: the record is marked as blocked and attached to this lease.
    Blocked(LeaseId),
    /// The trial was not run: the request waits for a trial again.
    NotRun,
}

/// Result of ending a trial.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndTrialOutcome {
    /// The end is recorded and the engine is free.
    Ended,
    /// The caller no longer held the trial; nothing was written.
    Superseded,
}

impl SuspectRecord {
    /// Creates the record of a request that was in flight on one target that died.
    #[must_use]
    pub fn new() -> Self {
        Self {
            count: 1,
            stage: SuspectStage::Suspect,
            death: None,
        }
    }

    /// Sets the death that made the request a suspect; `None` if it is not known.
    #[must_use]
    pub fn with_death(mut self, death: Option<TargetDeath>) -> Self {
        self.death = death;
        self
    }

    /// Whether `death` is a second one and the request waits for a trial. During a trial only the
    /// trial's end counts, since the engine may have died before the request reached it.
    fn is_second_death(&self, death: Option<TargetDeath>) -> bool {
        let deaths = self.death.zip(death);
        self.stage == SuspectStage::Suspect
            && deaths.is_some_and(|(first, second)| !first.may_match(&second))
    }

    /// Decodes the value of a record; `None` if it is malformed.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    fn to_value(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a suspect has only types that JSON can hold")
    }
}

impl Default for SuspectRecord {
    fn default() -> Self {
        Self::new()
    }
}

impl StoreClient {
    /// Creates suspect records. The results are in the order of the digests. A request that already
    /// waits for a trial because of another death is blocked.
    #[must_use]
    pub fn record_suspects(
        &self,
        options: &SuspectOptions,
    ) -> Vec<Result<SuspectOutcome, WriteError>> {
        let writes = options.digests.iter().map(|digest| Write {
            key: keys::suspect(digest),
            expected_revision: 0,
            value: SuspectRecord::new().with_death(options.death).to_value(),
        });
        let mut results = self.write_batch(
            writes.collect(),
            Some(options.lease),
            options.retry_timeout,
            |_| SuspectOutcome::Recorded,
            |_, stored| match stored {
                Some(_) => Resolution::Done(SuspectOutcome::AlreadyRecorded),
                None => Resolution::Replace(0),
            },
        );
        for (digest, result) in options.digests.iter().zip(&mut results) {
            if matches!(result, Ok(SuspectOutcome::AlreadyRecorded)) {
                *result = self.block_after_second_death(digest, options);
            }
        }
        results
    }

    /// Blocks a request whose record exists, if `options.death` is a second death.
    fn block_after_second_death(
        &self,
        digest: &RequestDigest,
        options: &SuspectOptions,
    ) -> Result<SuspectOutcome, WriteError> {
        let key = keys::suspect(digest);
        retry_until(options.retry_timeout, || {
            let read_outcome = self.range(RangeOptions::new(&key))?;
            let Some(entry) = read_outcome.entries.first() else {
                return Ok(Some(SuspectOutcome::AlreadyRecorded));
            };
            let record = SuspectRecord::parse(&entry.value);
            if !record.is_some_and(|record| record.is_second_death(options.death)) {
                return Ok(Some(SuspectOutcome::AlreadyRecorded));
            }
            let blocked = SuspectRecord {
                count: 2,
                stage: SuspectStage::Blocked,
                death: options.death,
            };
            let put = PutOptions::new(&key, blocked.to_value()).with_lease(Some(options.lease));
            let transaction = TxnOptions::new(vec![compare(&key, entry.mod_revision)])
                .with_success(vec![Operation::Put(put)]);
            let outcome = self.txn(transaction)?;
            Ok(outcome.succeeded.then_some(SuspectOutcome::Blocked))
        })
    }

    /// Acquires the trial of a suspect by compare-and-swap, and reserves the engine for it.
    ///
    /// A trial held by a daemon whose membership record is gone may be taken over.
    ///
    /// # Errors
    /// See [`WriteError`]; after `Uncertain` the caller may hold the trial and should end it as
    /// [`TrialEnd::NotRun`].
    pub fn acquire_trial(
        &self,
        options: &TrialOptions,
        leases: TrialLeases,
    ) -> Result<TrialOutcome, WriteError> {
        retry_until(options.retry_timeout, || {
            let records = self.read_trial(options)?;
            let outcome = match plan_trial(options, leases, &records) {
                TrialPlan::Done(outcome) => return Ok(Some(outcome)),
                TrialPlan::Commit(transaction) => self.txn(*transaction)?,
            };
            if outcome.succeeded {
                return Ok(Some(TrialOutcome::Acquired));
            }
            let holder_is_alive = !outcome.entries().is_empty();
            Ok(holder_is_alive.then_some(TrialOutcome::Busy))
        })
    }

    /// Ends a trial that the caller holds and frees the engine.
    ///
    /// # Errors
    /// See [`WriteError`]; the call may be repeated.
    pub fn end_trial(
        &self,
        options: &TrialOptions,
        end: TrialEnd,
    ) -> Result<EndTrialOutcome, WriteError> {
        retry_until(options.retry_timeout, || {
            let records = self.read_trial(options)?;
            let Some(entry) = records.suspect.filter(|entry| is_own(options, entry)) else {
                return Ok(Some(EndTrialOutcome::Superseded));
            };
            let outcome = self.txn(end_transaction(options, end, &entry))?;
            Ok(outcome.succeeded.then_some(EndTrialOutcome::Ended))
        })
    }

    fn read_trial(&self, options: &TrialOptions) -> Result<TrialRecords, CallError> {
        let read_key = |key: &str| Operation::Range(RangeOptions::new(key));
        let (suspect_key, engine_key) = trial_keys(options);
        let transaction = TxnOptions::new(Vec::new())
            .with_success(vec![read_key(&suspect_key), read_key(&engine_key)]);
        let mut records = TrialRecords::default();
        for entry in self.txn(transaction)?.entries() {
            if entry.key == suspect_key {
                records.suspect = Some(entry);
            } else {
                records.engine = Some(entry);
            }
        }
        Ok(records)
    }
}

/// Repeats `attempt`, a read followed by a compare-and-swap, until it returns a result or the
/// timeout is over. `None` means that the compare failed.
fn retry_until<T>(
    retry_timeout: Duration,
    attempt: impl Fn() -> Result<Option<T>, CallError>,
) -> Result<T, WriteError> {
    let deadline = Instant::now() + retry_timeout;
    let mut maybe_applied = false;
    loop {
        let error = match attempt() {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => WriteError::Contended,
            Err(CallError::Unknown(_)) => {
                maybe_applied = true;
                WriteError::Uncertain
            }
            Err(CallError::NotApplied(_)) if maybe_applied => WriteError::Uncertain,
            Err(CallError::NotApplied(cause)) => return Err(WriteError::NotApplied(cause)),
        };
        if Instant::now() >= deadline {
            return Err(error);
        }
        std::thread::sleep(RETRY_DELAY);
    }
}

#[derive(Default)]
struct TrialRecords {
    suspect: Option<KeyValue>,
    engine: Option<KeyValue>,
}

enum TrialPlan {
    /// The records read already decide the outcome.
    Done(TrialOutcome),
    /// The transaction decides the outcome.
    Commit(Box<TxnOptions>),
}

/// Keys of the suspect record and of the engine's reservation.
fn trial_keys(options: &TrialOptions) -> (String, String) {
    (keys::suspect(&options.digest), keys::trial(options.engine))
}

fn is_own(options: &TrialOptions, entry: &KeyValue) -> bool {
    SuspectRecord::parse(&entry.value).is_some_and(|record| {
        matches!(record.stage, SuspectStage::Trial { nonce, .. } if nonce == options.nonce)
    })
}

fn plan_trial(options: &TrialOptions, leases: TrialLeases, records: &TrialRecords) -> TrialPlan {
    let (key, engine_key) = trial_keys(options);
    let mut compares = vec![Compare::Absent {
        key: engine_key.clone(),
    }];
    let mut failure = Vec::new();
    let lease = match &records.suspect {
        None if leases.suspect.is_none() => return TrialPlan::Done(TrialOutcome::Cleared),
        None => {
            compares.push(Compare::Absent { key: key.clone() });
            leases.suspect
        }
        Some(entry) if is_own(options, entry) => return TrialPlan::Done(TrialOutcome::Acquired),
        Some(entry) => {
            match SuspectRecord::parse(&entry.value).map(|record| record.stage) {
                Some(SuspectStage::Blocked) => return TrialPlan::Done(TrialOutcome::Blocked),
                Some(SuspectStage::Trial { daemon, .. }) => {
                    let key = keys::daemon(&daemon);
                    failure.push(Operation::Range(RangeOptions::new(&key)));
                    compares.push(Compare::Absent { key });
                }
                Some(SuspectStage::Suspect) | None => {}
            }
            compares.push(compare(&key, entry.mod_revision));
            entry.lease
        }
    };
    if records.engine.is_some() {
        return TrialPlan::Done(TrialOutcome::Busy);
    }
    let record = SuspectRecord {
        count: 1,
        stage: SuspectStage::Trial {
            daemon: options.daemon.clone(),
            engine: options.engine,
            nonce: options.nonce.clone(),
        },
        death: stored_death(records.suspect.as_ref()),
    };
    let reservation = PutOptions::new(&engine_key, options.digest.to_string().into_bytes());
    let success = vec![
        Operation::Put(PutOptions::new(&key, record.to_value()).with_lease(lease)),
        Operation::Put(reservation.with_lease(Some(leases.member))),
    ];
    let transaction = TxnOptions::new(compares)
        .with_success(success)
        .with_failure(failure);
    TrialPlan::Commit(Box::new(transaction))
}

fn stored_death(entry: Option<&KeyValue>) -> Option<TargetDeath> {
    SuspectRecord::parse(&entry?.value)?.death
}

fn end_transaction(options: &TrialOptions, end: TrialEnd, entry: &KeyValue) -> TxnOptions {
    let (key, engine_key) = trial_keys(options);
    let put = |record: &SuspectRecord, lease| {
        Operation::Put(PutOptions::new(&key, record.to_value()).with_lease(lease))
    };
    let change = match end {
        TrialEnd::Cleared => Operation::Delete(DeleteOptions::new(&key)),
        TrialEnd::NotRun => {
            let record = SuspectRecord::new().with_death(stored_death(Some(entry)));
            put(&record, entry.lease)
        }
        TrialEnd::Blocked(lease) => {
            let record = SuspectRecord {
                count: 2,
                stage: SuspectStage::Blocked,
                death: stored_death(Some(entry)),
            };
            put(&record, Some(lease))
        }
    };
    let free_engine = Operation::Delete(DeleteOptions::new(&engine_key));
    TxnOptions::new(vec![compare(&key, entry.mod_revision)]).with_success(vec![change, free_engine])
}
