//! Suspects: requests that were in flight on a target that died, and their trials.

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

/// How long a suspicion and a quarantine last.
pub const SUSPECT_TTL: Duration = Duration::from_hours(1);
const PAUSE: Duration = Duration::from_millis(20);

/// What a record says of a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum SuspectStage {
    /// Waits for a trial.
    Suspect,
    /// Runs a trial.
    Trial {
        /// The daemon that runs it.
        daemon: DaemonId,
        /// The engine on which it runs.
        engine: SocketAddr,
        /// The mark of this trial.
        nonce: Nonce,
    },
    /// Killed a second target in its trial.
    Blocked,
}

/// The record of a suspect.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct SuspectRecord {
    /// How many targets died with the request in flight: 1, or 2 once blocked.
    pub count: u32,
    /// Where it stands.
    pub stage: SuspectStage,
    /// The first death, if it is known.
    #[serde(default)]
    pub death: Option<TargetDeath>,
}

/// The death of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct TargetDeath {
    /// The target.
    pub target: SocketAddr,
    /// The life that ended, if it is known.
    pub incarnation: Option<Incarnation>,
}

impl TargetDeath {
    /// Whether two observations can be of one death. Daemons may know the life or not.
    #[must_use]
    pub fn may_equal(&self, other: &Self) -> bool {
        let lives = self.incarnation.zip(other.incarnation);
        self.target == other.target && lives.is_none_or(|(own, found)| own == found)
    }
}

/// Suspicions to record together.
#[derive(Debug, Clone)]
pub struct SuspectOptions {
    /// The requests.
    pub digests: Vec<RequestDigest>,
    /// The death in which they were involved, if it is known.
    pub death: Option<TargetDeath>,
    /// The lease after which they are forgotten.
    pub lease: LeaseId,
    /// How long lost answers and conflicts may be resolved.
    pub retry_timeout: Duration,
}

/// What became of a suspicion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspectOutcome {
    /// The record is written.
    Recorded,
    /// There was a record before.
    AlreadyRecorded,
    /// The request was in flight on two targets that died, so it is blocked without a trial.
    Blocked,
}

/// A trial to take or to end.
#[derive(Debug, Clone)]
pub struct TrialOptions {
    /// The request.
    pub digest: RequestDigest,
    /// The engine which would run it.
    pub engine: SocketAddr,
    /// The daemon which would run it.
    pub daemon: DaemonId,
    /// The mark of this trial.
    pub nonce: Nonce,
    /// How long lost answers and conflicts may be resolved.
    pub retry_timeout: Duration,
}

/// The leases of a trial.
#[derive(Debug, Clone, Copy)]
pub struct TrialLeases {
    /// The daemon's membership lease: its end frees the engine for another trial.
    pub member: LeaseId,
    /// The lease of a suspect record which has to be created, because the suspicion was heard
    /// from peers and is not in the store yet.
    pub suspect: Option<LeaseId>,
}

/// What the store says to a take.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialOutcome {
    /// The caller may run the suspect on the engine.
    Acquired,
    /// Another daemon runs the suspect, or the engine runs another suspect.
    Busy,
    /// There is no record: the request is not suspected any more.
    Cleared,
    /// The request is blocked.
    Blocked,
}

/// How a trial ends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TrialEnd {
    /// Well: the record is deleted.
    Cleared,
    /// The engine died: the record lives on under this lease.
    Blocked(LeaseId),
    /// The trial was not run: the request is a mere suspect again.
    NotRun,
}

/// What became of an end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EndOutcome {
    /// The record says so.
    Ended,
    /// The trial was not the caller's any more.
    Superseded,
}

impl SuspectRecord {
    /// A request that was in flight on one target which died.
    #[must_use]
    pub fn new() -> Self {
        Self {
            count: 1,
            stage: SuspectStage::Suspect,
            death: None,
        }
    }

    /// Names the death.
    #[must_use]
    pub fn with_death(mut self, death: Option<TargetDeath>) -> Self {
        self.death = death;
        self
    }

    /// Whether `death` is a second one of a request which waits for a trial. A trial's own end
    /// decides about it, since its engine may have died before it ran.
    fn is_second_death(&self, death: Option<TargetDeath>) -> bool {
        let deaths = self.death.zip(death);
        self.stage == SuspectStage::Suspect
            && deaths.is_some_and(|(first, second)| !first.may_equal(&second))
    }

    /// Reads a record's value.
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
    /// Records suspicions. Each result stands at the position of its digest. A request that waits
    /// for a trial because of another death is blocked.
    #[must_use]
    pub fn record_suspects(
        &self,
        options: &SuspectOptions,
    ) -> Vec<Result<SuspectOutcome, WriteError>> {
        let writes = options.digests.iter().map(|digest| Write {
            key: keys::suspect(digest),
            expected: 0,
            value: SuspectRecord::new().with_death(options.death).to_value(),
        });
        let mut results = self.write_together(
            writes.collect(),
            Some(options.lease),
            options.retry_timeout,
            |_| SuspectOutcome::Recorded,
            |_, found| match found {
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

    fn block_after_second_death(
        &self,
        digest: &RequestDigest,
        options: &SuspectOptions,
    ) -> Result<SuspectOutcome, WriteError> {
        let key = keys::suspect(digest);
        retry(options.retry_timeout, || {
            let read = self.range(RangeOptions::new(&key))?;
            let Some(entry) = read.entries.first() else {
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

    /// Takes the trial of a suspect by compare-and-swap, and reserves the engine for it.
    ///
    /// A trial whose daemon has no membership record any more is over, so it may be taken again.
    ///
    /// # Errors
    /// See [`WriteError`]; after `Uncertain` the trial may be the caller's, who should end it as
    /// `NotRun`.
    pub fn acquire_trial(
        &self,
        options: &TrialOptions,
        leases: TrialLeases,
    ) -> Result<TrialOutcome, WriteError> {
        retry(options.retry_timeout, || {
            let records = self.read_trial(options)?;
            let step = match plan_take(options, leases, &records) {
                Plan::Done(outcome) => return Ok(Some(outcome)),
                Plan::Try(transaction) => self.txn(*transaction)?,
            };
            if step.succeeded {
                return Ok(Some(TrialOutcome::Acquired));
            }
            let holder_lives = !step.entries().is_empty();
            Ok(holder_lives.then_some(TrialOutcome::Busy))
        })
    }

    /// Ends a trial of the caller's and frees the engine.
    ///
    /// # Errors
    /// See [`WriteError`]; ending it again is harmless.
    pub fn end_trial(
        &self,
        options: &TrialOptions,
        end: TrialEnd,
    ) -> Result<EndOutcome, WriteError> {
        retry(options.retry_timeout, || {
            let records = self.read_trial(options)?;
            let Some(entry) = records.suspect.filter(|entry| is_own(options, entry)) else {
                return Ok(Some(EndOutcome::Superseded));
            };
            let outcome = self.txn(end_transaction(options, end, &entry))?;
            Ok(outcome.succeeded.then_some(EndOutcome::Ended))
        })
    }

    fn read_trial(&self, options: &TrialOptions) -> Result<TrialRecords, CallError> {
        let read = |key: &str| Operation::Range(RangeOptions::new(key));
        let (suspect, engine) = trial_keys(options);
        let transaction =
            TxnOptions::new(Vec::new()).with_success(vec![read(&suspect), read(&engine)]);
        let mut records = TrialRecords::default();
        for entry in self.txn(transaction)?.entries() {
            if entry.key == suspect {
                records.suspect = Some(entry);
            } else {
                records.engine = Some(entry);
            }
        }
        Ok(records)
    }
}

/// Repeats a read followed by a compare-and-swap until it gives a result.
fn retry<T>(
    retry_timeout: Duration,
    attempt: impl Fn() -> Result<Option<T>, CallError>,
) -> Result<T, WriteError> {
    let deadline = Instant::now() + retry_timeout;
    let mut fate_unknown = false;
    loop {
        let error = match attempt() {
            Ok(Some(outcome)) => return Ok(outcome),
            Ok(None) => WriteError::Contended,
            Err(CallError::Unknown(_)) => {
                fate_unknown = true;
                WriteError::Uncertain
            }
            Err(CallError::NotApplied(_)) if fate_unknown => WriteError::Uncertain,
            Err(CallError::NotApplied(cause)) => return Err(WriteError::NotApplied(cause)),
        };
        if Instant::now() >= deadline {
            return Err(error);
        }
        std::thread::sleep(PAUSE);
    }
}

#[derive(Default)]
struct TrialRecords {
    suspect: Option<KeyValue>,
    engine: Option<KeyValue>,
}

enum Plan {
    Done(TrialOutcome),
    Try(Box<TxnOptions>),
}

fn trial_keys(options: &TrialOptions) -> (String, String) {
    (keys::suspect(&options.digest), keys::trial(options.engine))
}

fn is_own(options: &TrialOptions, entry: &KeyValue) -> bool {
    SuspectRecord::parse(&entry.value).is_some_and(|record| {
        matches!(record.stage, SuspectStage::Trial { nonce, .. } if nonce == options.nonce)
    })
}

fn plan_take(options: &TrialOptions, leases: TrialLeases, records: &TrialRecords) -> Plan {
    let (key, engine_key) = trial_keys(options);
    let mut compares = vec![Compare::Absent {
        key: engine_key.clone(),
    }];
    let mut failure = Vec::new();
    let lease = match &records.suspect {
        None if leases.suspect.is_none() => return Plan::Done(TrialOutcome::Cleared),
        None => {
            compares.push(Compare::Absent { key: key.clone() });
            leases.suspect
        }
        Some(entry) if is_own(options, entry) => return Plan::Done(TrialOutcome::Acquired),
        Some(entry) => {
            match SuspectRecord::parse(&entry.value).map(|record| record.stage) {
                Some(SuspectStage::Blocked) => return Plan::Done(TrialOutcome::Blocked),
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
        return Plan::Done(TrialOutcome::Busy);
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
    Plan::Try(Box::new(transaction))
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
