//! Suspicions, trials and blocks of requests: their records in the store and the notices to peers.

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
use super::bounded_map::BoundedMap;
use super::context::{ControlContext, lock};
use super::notices;

/// The longest time that a caller's response is held back until its suspicion is recorded.
const RECORD_TIMEOUT: Duration = Duration::from_millis(300);
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PERIOD: Duration = Duration::from_secs(1);
const MAX_GOSSIPED: usize = 4_096;
const MAX_PENDING_WRITES: usize = 1_024;

#[derive(Debug, Clone, Copy)]
struct GossipedState {
    state: SuspectState,
    received_at: Instant,
}

/// Known states of suspects by source, and writes that wait for the store.
pub(super) struct SuspectTable {
    stored: Mutex<BTreeMap<RequestDigest, SuspectState>>,
    /// States from this daemon or its peers that the watch on the store has not shown yet.
    gossiped: Mutex<BoundedMap<RequestDigest, GossipedState>>,
    pending_suspicions: Mutex<BTreeSet<RequestDigest>>,
    held_trials: Mutex<HashMap<RequestDigest, TrialOptions>>,
    pending_trial_ends: Mutex<Vec<(TrialOptions, SuspectState)>>,
}

impl Default for SuspectTable {
    fn default() -> Self {
        Self {
            stored: Mutex::default(),
            gossiped: Mutex::new(BoundedMap::new(MAX_GOSSIPED)),
            pending_suspicions: Mutex::default(),
            held_trials: Mutex::default(),
            pending_trial_ends: Mutex::default(),
        }
    }
}

impl SuspectTable {
    /// Records a state reported by a peer or by the reducer.
    pub(super) fn record_gossip(&self, digest: RequestDigest, state: SuspectState, now: Instant) {
        if state == SuspectState::Cleared {
            lock(&self.gossiped).remove(&digest);
        } else {
            lock(&self.gossiped).insert(
                digest,
                GossipedState {
                    state,
                    received_at: now,
                },
            );
        }
    }

    /// Returns the unexpired state of a suspect that is not in the store; `None` if there is none.
    fn gossiped_state(&self, digest: &RequestDigest, now: Instant) -> Option<SuspectState> {
        if lock(&self.stored).contains_key(digest) {
            return None;
        }
        let gossiped = lock(&self.gossiped).get(digest).copied()?;
        (now < gossiped.received_at + SUSPECT_TTL).then_some(gossiped.state)
    }

    fn queue_suspicions(&self, digests: &[RequestDigest]) {
        let mut pending_suspicions = lock(&self.pending_suspicions);
        pending_suspicions.extend(digests);
        while pending_suspicions.len() > MAX_PENDING_WRITES {
            pending_suspicions.pop_first();
        }
    }

    fn queue_trial_end(&self, options: TrialOptions, state: SuspectState) {
        let mut pending_trial_ends = lock(&self.pending_trial_ends);
        if pending_trial_ends.len() < MAX_PENDING_WRITES {
            pending_trial_ends.push((options, state));
        }
    }
}

/// Parses a suspect record of the store; `None` for other records.
pub(super) fn parse_record(record: &KeyValue) -> Option<(RequestDigest, SuspectState)> {
    let digest = parse_digest(&record.key)?;
    let state = match SuspectRecord::parse(&record.value)?.stage {
        SuspectStage::Suspect => SuspectState::Suspect,
        SuspectStage::Trial { .. } => SuspectState::OnTrial,
        SuspectStage::Blocked => SuspectState::Blocked,
    };
    Some((digest, state))
}

/// Parses the key of a deleted suspect record; `None` for other keys.
pub(super) fn parse_deleted_key(key: &str) -> Option<(RequestDigest, SuspectState)> {
    Some((parse_digest(key)?, SuspectState::Cleared))
}

fn parse_digest(key: &str) -> Option<RequestDigest> {
    key.strip_prefix(keys::SUSPECTS_PREFIX)?.parse().ok()
}

/// Applies all records of the store. Suspects that disappeared since the last read are cleared.
pub(super) fn apply_all_records(context: &ControlContext, entries: &[KeyValue]) {
    let records: BTreeMap<_, _> = entries.iter().filter_map(parse_record).collect();
    let deleted: Vec<RequestDigest> = {
        let stored = lock(&context.suspects.stored);
        let deleted = stored
            .keys()
            .filter(|digest| !records.contains_key(*digest));
        deleted.copied().collect()
    };
    let cleared = deleted
        .into_iter()
        .map(|digest| (digest, SuspectState::Cleared));
    let changes: Vec<_> = records.into_iter().chain(cleared).collect();
    if !changes.is_empty() {
        apply_records(context, changes);
    }
}

/// Applies changes of the store's records, and reports them to the reducer.
pub(super) fn apply_records(context: &ControlContext, changes: Vec<(RequestDigest, SuspectState)>) {
    for (digest, state) in &changes {
        lock(&context.suspects.gossiped).remove(digest);
        let mut stored = lock(&context.suspects.stored);
        if *state == SuspectState::Cleared {
            stored.remove(digest);
        } else {
            stored.insert(*digest, *state);
        }
    }
    context.send(Event::SuspectsChanged(changes));
}

/// Records suspicions in the store and notifies the peers, then reports each ticket. Reports after
/// `RECORD_TIMEOUT` at the latest.
pub(super) fn record_suspicions(
    context: &Arc<ControlContext>,
    suspects: Vec<(RequestTicket, RequestDigest)>,
    death: TargetDeath,
) {
    let digests: BTreeSet<RequestDigest> = suspects.iter().map(|(_, digest)| *digest).collect();
    let digests: Vec<RequestDigest> = digests.into_iter().collect();
    let now = context.now();
    for digest in &digests {
        context
            .suspects
            .record_gossip(*digest, SuspectState::Suspect, now);
    }
    let context = Arc::clone(context);
    tokio::spawn(async move {
        // Separate tasks, so that both continue after the timeout.
        let store_task = tokio::spawn(write_suspects(
            Arc::clone(&context),
            digests.clone(),
            Some(death),
        ));
        let peer_task = tokio::spawn(notify_peers(Arc::clone(&context), digests));
        let both_done = async { tokio::join!(store_task, peer_task) };
        let _ = tokio::time::timeout(RECORD_TIMEOUT, both_done).await;
        for (ticket, _) in suspects {
            context.send(Event::SuspicionRecorded { ticket });
        }
    });
}

async fn notify_peers(context: Arc<ControlContext>, digests: Vec<RequestDigest>) {
    let notices = digests.into_iter().map(|digest| Notice::Suspect {
        digest,
        state: SuspectState::Suspect,
    });
    let deliveries: Vec<_> = notices
        .map(|notice| notices::start_broadcast(&context, notice))
        .collect();
    for delivery in deliveries {
        delivery.join_all().await;
    }
}

async fn write_suspects(
    context: Arc<ControlContext>,
    digests: Vec<RequestDigest>,
    death: Option<TargetDeath>,
) {
    if !context.store.is_available() {
        context.suspects.queue_suspicions(&digests);
        return;
    }
    let Ok(lease) = grant_lease(&context).await else {
        context.suspects.queue_suspicions(&digests);
        return;
    };
    let options = SuspectOptions {
        digests: digests.clone(),
        death,
        lease,
        retry_timeout: WRITE_TIMEOUT,
    };
    let outcomes = context
        .store
        .call(move |client| client.record_suspects(&options))
        .await;
    let results = digests.iter().zip(&outcomes);
    let failed: Vec<RequestDigest> = results
        .filter(|(_, outcome)| outcome.is_err())
        .map(|(digest, _)| *digest)
        .collect();
    context.suspects.queue_suspicions(&failed);
}

async fn grant_lease(context: &Arc<ControlContext>) -> Result<LeaseId, CallError> {
    let options = GrantOptions::new(SUSPECT_TTL);
    let granted = context
        .store
        .call(move |client| client.grant(options))
        .await?;
    Ok(granted.lease)
}

/// Acquires the trial of a suspect on an engine, and reports the answer to the reducer. Only the
/// daemon that holds the trial may run the suspect.
pub(super) fn request_trial(
    context: &Arc<ControlContext>,
    ticket: RequestTicket,
    digest: RequestDigest,
    engine: TargetAddress,
) {
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let answer = acquire_trial(&context, digest, engine).await;
        context.send(Event::TrialAnswered { ticket, answer });
    });
}

async fn acquire_trial(
    context: &Arc<ControlContext>,
    digest: RequestDigest,
    engine: TargetAddress,
) -> TrialAnswer {
    let now = context.now();
    let member_lease = context.lease().filter(|lease| now < lease.valid_until);
    let Some(member_lease) = member_lease.filter(|_| context.store.is_available()) else {
        return TrialAnswer::Unavailable;
    };
    let suspect = match context.suspects.gossiped_state(&digest, now) {
        None => None,
        Some(SuspectState::Blocked) => return TrialAnswer::Blocked,
        Some(_) => match grant_lease(context).await {
            Ok(lease) => Some(lease),
            Err(_) => return TrialAnswer::Unavailable,
        },
    };
    let options = TrialOptions {
        digest,
        engine,
        daemon: context.options.daemon_id.clone(),
        nonce: Nonce::random(),
        retry_timeout: WRITE_TIMEOUT,
    };
    let leases = TrialLeases {
        member: member_lease.id,
        suspect,
    };
    let acquire_options = options.clone();
    let outcome = context
        .store
        .call(move |client| client.acquire_trial(&acquire_options, leases))
        .await;
    match outcome {
        Ok(TrialOutcome::Acquired) => {
            lock(&context.suspects.held_trials).insert(digest, options);
            TrialAnswer::Acquired
        }
        Ok(TrialOutcome::Busy) | Err(WriteError::Contended) => TrialAnswer::Busy,
        Ok(TrialOutcome::Cleared) => TrialAnswer::Cleared,
        Ok(TrialOutcome::Blocked) => TrialAnswer::Blocked,
        Err(WriteError::NotApplied(_)) => TrialAnswer::Unavailable,
        Err(WriteError::Uncertain) => {
            context
                .suspects
                .queue_trial_end(options, SuspectState::Suspect);
            TrialAnswer::Unavailable
        }
    }
}

/// Records how a trial ended; the state `Suspect` means without a result. If the store cannot be
/// written, the write is queued and the peers are notified.
pub(super) fn end_trial(context: &Arc<ControlContext>, digest: RequestDigest, state: SuspectState) {
    let options = lock(&context.suspects.held_trials).remove(&digest);
    let Some(options) = options else {
        return;
    };
    let context = Arc::clone(context);
    tokio::spawn(async move {
        if context.store.is_available() && write_trial_end(&context, &options, state).await {
            return;
        }
        context.suspects.record_gossip(digest, state, context.now());
        context.suspects.queue_trial_end(options, state);
        notices::broadcast(&context, Notice::Suspect { digest, state });
    });
}

/// Writes the end of a trial. Returns whether the store has applied it.
async fn write_trial_end(
    context: &Arc<ControlContext>,
    options: &TrialOptions,
    state: SuspectState,
) -> bool {
    let end = match state {
        SuspectState::Cleared => TrialEnd::Cleared,
        SuspectState::Suspect | SuspectState::OnTrial => TrialEnd::NotRun,
        SuspectState::Blocked => match grant_lease(context).await {
            Ok(lease) => TrialEnd::Blocked(lease),
            Err(_) => return false,
        },
    };
    let options = options.clone();
    let result = context
        .store
        .call(move |client| client.end_trial(&options, end))
        .await;
    result.is_ok()
}

/// Starts the task that writes queued suspicions and trial ends once the store is available again.
pub(super) fn start(context: &Arc<ControlContext>) {
    let context = Arc::clone(context);
    tokio::spawn(async move {
        while context.sleep(jitter(RETRY_PERIOD)).await {
            if context.store.is_available() {
                retry_pending_writes(&context).await;
            }
        }
    });
}

async fn retry_pending_writes(context: &Arc<ControlContext>) {
    let pending_suspicions = std::mem::take(&mut *lock(&context.suspects.pending_suspicions));
    if !pending_suspicions.is_empty() {
        let digests = pending_suspicions.into_iter().collect();
        write_suspects(Arc::clone(context), digests, None).await;
    }
    let pending_trial_ends = std::mem::take(&mut *lock(&context.suspects.pending_trial_ends));
    for (options, state) in pending_trial_ends {
        if !write_trial_end(context, &options, state).await {
            context.suspects.queue_trial_end(options, state);
        }
    }
}
