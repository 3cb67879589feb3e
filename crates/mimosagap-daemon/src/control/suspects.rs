//! Suspicions, trials and blocks, in the store and with the peers.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_core::{Event, Notice, SuspectState, TrialAnswer};
use mimosagap_store::suspects::{
    SUSPECT_TTL, SuspectOptions, SuspectRecord, SuspectStage, TargetDeath, TrialEnd, TrialLeases,
    TrialOptions, TrialOutcome,
};
use mimosagap_store::{CallError, GrantOptions, KeyValue, LeaseId, Nonce, WriteError, keys};
use mimosagap_types::prelude::*;

use super::backoff::jitter;
use super::bounded::BoundedMap;
use super::notices;
use super::shared::{Control, lock};

/// The longest that a caller's answer waits for its suspicion to be recorded.
const RECORD_WAIT: Duration = Duration::from_millis(300);
const PATIENCE: Duration = Duration::from_secs(1);
const RETRY_PERIOD: Duration = Duration::from_secs(1);
const MAX_HEARD: usize = 4_096;
const MAX_WAITING: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct Heard {
    state: SuspectState,
    at: Instant,
}

/// What this daemon knows of suspects beyond the reducer.
pub(super) struct SuspectTable {
    stored: Mutex<BTreeMap<RequestDigest, SuspectState>>,
    /// Suspicions from this daemon or its peers which the store has not shown.
    heard: Mutex<BoundedMap<RequestDigest, Heard>>,
    unrecorded: Mutex<BTreeSet<RequestDigest>>,
    trials: Mutex<HashMap<RequestDigest, TrialOptions>>,
    unended: Mutex<Vec<(TrialOptions, SuspectState)>>,
}

impl Default for SuspectTable {
    fn default() -> Self {
        Self {
            stored: Mutex::default(),
            heard: Mutex::new(BoundedMap::new(MAX_HEARD)),
            unrecorded: Mutex::default(),
            trials: Mutex::default(),
            unended: Mutex::default(),
        }
    }
}

impl SuspectTable {
    /// Takes over the state that a peer or the reducer tells.
    pub(super) fn hear(&self, digest: RequestDigest, state: SuspectState, now: Instant) {
        if state == SuspectState::Cleared {
            lock(&self.heard).remove(&digest);
        } else {
            lock(&self.heard).insert(digest, Heard { state, at: now });
        }
    }

    /// The state of a suspect which is not in the store.
    fn heard_only(&self, digest: &RequestDigest, now: Instant) -> Option<SuspectState> {
        if lock(&self.stored).contains_key(digest) {
            return None;
        }
        let heard = lock(&self.heard).get(digest).copied()?;
        (now < heard.at + SUSPECT_TTL).then_some(heard.state)
    }

    fn keep_unrecorded(&self, digests: &[RequestDigest]) {
        let mut unrecorded = lock(&self.unrecorded);
        unrecorded.extend(digests);
        while unrecorded.len() > MAX_WAITING {
            unrecorded.pop_first();
        }
    }

    fn keep_unended(&self, options: TrialOptions, state: SuspectState) {
        let mut unended = lock(&self.unended);
        if unended.len() < MAX_WAITING {
            unended.push((options, state));
        }
    }
}

/// Reads a record of the store; `None` for other records.
pub(super) fn parse(record: &KeyValue) -> Option<(RequestDigest, SuspectState)> {
    let digest = digest_of(&record.key)?;
    let state = match SuspectRecord::parse(&record.value)?.stage {
        SuspectStage::Suspect => SuspectState::Suspect,
        SuspectStage::Trial { .. } => SuspectState::OnTrial,
        SuspectStage::Blocked => SuspectState::Blocked,
    };
    Some((digest, state))
}

/// Reads the key of a deleted record.
pub(super) fn parse_deleted(key: &str) -> Option<(RequestDigest, SuspectState)> {
    Some((digest_of(key)?, SuspectState::Cleared))
}

fn digest_of(key: &str) -> Option<RequestDigest> {
    key.strip_prefix(keys::SUSPECTS_PREFIX)?.parse().ok()
}

/// Takes over all records of the store. Suspects that are gone since the last read are cleared.
pub(super) fn stored_all(control: &Control, entries: &[KeyValue]) {
    let found: BTreeMap<_, _> = entries.iter().filter_map(parse).collect();
    let gone: Vec<RequestDigest> = {
        let stored = lock(&control.suspects.stored);
        let gone = stored.keys().filter(|digest| !found.contains_key(*digest));
        gone.copied().collect()
    };
    let cleared = gone
        .into_iter()
        .map(|digest| (digest, SuspectState::Cleared));
    let changes: Vec<_> = found.into_iter().chain(cleared).collect();
    if !changes.is_empty() {
        stored(control, changes);
    }
}

/// Takes over changes of the store's records and reports them.
pub(super) fn stored(control: &Control, changes: Vec<(RequestDigest, SuspectState)>) {
    for (digest, state) in &changes {
        lock(&control.suspects.heard).remove(digest);
        let mut stored = lock(&control.suspects.stored);
        if *state == SuspectState::Cleared {
            stored.remove(digest);
        } else {
            stored.insert(*digest, *state);
        }
    }
    control.send(Event::SuspectsChanged(changes));
}

/// Records suspicions in the store and tells the peers, then reports every ticket.
pub(super) fn record(
    control: &Arc<Control>,
    suspects: Vec<(RequestTicket, RequestDigest)>,
    death: TargetDeath,
) {
    let digests: BTreeSet<RequestDigest> = suspects.iter().map(|(_, digest)| *digest).collect();
    let digests: Vec<RequestDigest> = digests.into_iter().collect();
    let now = control.now();
    for digest in &digests {
        control.suspects.hear(*digest, SuspectState::Suspect, now);
    }
    let control = Arc::clone(control);
    tokio::spawn(async move {
        // Both parts run on when the wait is over.
        let store = tokio::spawn(write_suspects(
            Arc::clone(&control),
            digests.clone(),
            Some(death),
        ));
        let peers = tokio::spawn(tell_peers(Arc::clone(&control), digests));
        let both = async { tokio::join!(store, peers) };
        let _ = tokio::time::timeout(RECORD_WAIT, both).await;
        for (ticket, _) in suspects {
            control.send(Event::SuspicionRecorded { ticket });
        }
    });
}

async fn tell_peers(control: Arc<Control>, digests: Vec<RequestDigest>) {
    let notices = digests.into_iter().map(|digest| Notice::Suspect {
        digest,
        state: SuspectState::Suspect,
    });
    let deliveries: Vec<_> = notices
        .map(|notice| notices::begin_spread(&control, notice))
        .collect();
    for delivery in deliveries {
        delivery.join_all().await;
    }
}

async fn write_suspects(
    control: Arc<Control>,
    digests: Vec<RequestDigest>,
    death: Option<TargetDeath>,
) {
    if !control.store.is_available() {
        control.suspects.keep_unrecorded(&digests);
        return;
    }
    let Ok(lease) = grant(&control).await else {
        control.suspects.keep_unrecorded(&digests);
        return;
    };
    let options = SuspectOptions {
        digests: digests.clone(),
        death,
        lease,
        retry_timeout: PATIENCE,
    };
    let outcomes = control
        .store
        .call(move |client| client.record_suspects(&options))
        .await;
    let failed = digests.iter().zip(&outcomes);
    let failed: Vec<RequestDigest> = failed
        .filter(|(_, outcome)| outcome.is_err())
        .map(|(digest, _)| *digest)
        .collect();
    control.suspects.keep_unrecorded(&failed);
}

async fn grant(control: &Arc<Control>) -> Result<LeaseId, CallError> {
    let options = GrantOptions::new(SUSPECT_TTL);
    let granted = control
        .store
        .call(move |client| client.grant(options))
        .await?;
    Ok(granted.lease)
}

/// Takes the trial of a suspect.
pub(super) fn take_trial(
    control: &Arc<Control>,
    ticket: RequestTicket,
    digest: RequestDigest,
    engine: TargetAddress,
) {
    let control = Arc::clone(control);
    tokio::spawn(async move {
        let answer = try_trial(&control, digest, engine).await;
        control.send(Event::TrialAnswered { ticket, answer });
    });
}

async fn try_trial(
    control: &Arc<Control>,
    digest: RequestDigest,
    engine: TargetAddress,
) -> TrialAnswer {
    let now = control.now();
    let member = control.lease().filter(|lease| now < lease.until);
    let Some(member) = member.filter(|_| control.store.is_available()) else {
        return TrialAnswer::Unavailable;
    };
    let suspect = match control.suspects.heard_only(&digest, now) {
        None => None,
        Some(SuspectState::Blocked) => return TrialAnswer::Blocked,
        Some(_) => match grant(control).await {
            Ok(lease) => Some(lease),
            Err(_) => return TrialAnswer::Unavailable,
        },
    };
    let options = TrialOptions {
        digest,
        engine,
        daemon: control.options.daemon.clone(),
        nonce: Nonce::random(),
        retry_timeout: PATIENCE,
    };
    let leases = TrialLeases {
        member: member.id,
        suspect,
    };
    let taken = options.clone();
    let outcome = control
        .store
        .call(move |client| client.acquire_trial(&taken, leases))
        .await;
    match outcome {
        Ok(TrialOutcome::Acquired) => {
            lock(&control.suspects.trials).insert(digest, options);
            TrialAnswer::Acquired
        }
        Ok(TrialOutcome::Busy) | Err(WriteError::Contended) => TrialAnswer::Busy,
        Ok(TrialOutcome::Cleared) => TrialAnswer::Cleared,
        Ok(TrialOutcome::Blocked) => TrialAnswer::Blocked,
        Err(WriteError::NotApplied(_)) => TrialAnswer::Unavailable,
        Err(WriteError::Uncertain) => {
            control
                .suspects
                .keep_unended(options, SuspectState::Suspect);
            TrialAnswer::Unavailable
        }
    }
}

/// Records how a trial ended; `Suspect` means without a result.
pub(super) fn end_trial(control: &Arc<Control>, digest: RequestDigest, state: SuspectState) {
    let options = lock(&control.suspects.trials).remove(&digest);
    let Some(options) = options else {
        return;
    };
    let control = Arc::clone(control);
    tokio::spawn(async move {
        if control.store.is_available() && write_end(&control, &options, state).await {
            return;
        }
        control.suspects.hear(digest, state, control.now());
        control.suspects.keep_unended(options, state);
        notices::spread(&control, Notice::Suspect { digest, state });
    });
}

/// Returns whether the store's record is settled.
async fn write_end(control: &Arc<Control>, options: &TrialOptions, state: SuspectState) -> bool {
    let end = match state {
        SuspectState::Cleared => TrialEnd::Cleared,
        SuspectState::Suspect | SuspectState::OnTrial => TrialEnd::NotRun,
        SuspectState::Blocked => match grant(control).await {
            Ok(lease) => TrialEnd::Blocked(lease),
            Err(_) => return false,
        },
    };
    let options = options.clone();
    let result = control
        .store
        .call(move |client| client.end_trial(&options, end))
        .await;
    result.is_ok()
}

/// Writes what could not be written before, once the store answers again.
pub(super) fn start(control: &Arc<Control>) {
    let control = Arc::clone(control);
    tokio::spawn(async move {
        while control.sleep(jitter(RETRY_PERIOD)).await {
            if control.store.is_available() {
                retry(&control).await;
            }
        }
    });
}

async fn retry(control: &Arc<Control>) {
    let unrecorded = std::mem::take(&mut *lock(&control.suspects.unrecorded));
    if !unrecorded.is_empty() {
        let digests = unrecorded.into_iter().collect();
        write_suspects(Arc::clone(control), digests, None).await;
    }
    let unended = std::mem::take(&mut *lock(&control.suspects.unended));
    for (options, state) in unended {
        if !write_end(control, &options, state).await {
            control.suspects.keep_unended(options, state);
        }
    }
}
