//! Order claims. Claims that arrive while a write is under way go out together in the next one.

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_core::{ClaimAnswer, Event};
use mimosagap_peer::envelope::unix_millis;
use mimosagap_store::claims::{
    ClaimOptions, ClaimOutcome, ClaimRecord, ClaimRequest, ClaimState, FinishRequest, MAX_BATCH,
    OrderResult,
};
use mimosagap_store::{CallError, GrantOptions, LeaseId, Nonce, NotApplied, WriteError};
use mimosagap_types::prelude::*;
use tokio::sync::mpsc;

use super::bounded::BoundedMap;
use super::shared::{Control, lock};
use super::{RecordedAnswer, results};

/// How long a lost answer or a conflict may be resolved while callers wait.
const PATIENCE: Duration = Duration::from_millis(1_500);
/// Records live for 24 h; the lease is an hour longer because it serves an hour of claims.
const LEASE_TTL: Duration = Duration::from_hours(25);
const LEASE_PERIOD: Duration = Duration::from_hours(1);
/// A result is recorded just after its caller got it, so a re-send that comes at once finds the
/// claim without a result. It is looked at again after these waits.
const SECOND_LOOKS: [Duration; 2] = [Duration::from_millis(50), Duration::from_millis(200)];
const MAX_OWN: usize = 10_000;
const MAX_RECORDED: usize = 1_000;

/// A claim to make.
#[derive(Debug)]
pub(super) struct ClaimJob {
    ticket: RequestTicket,
    key: OrderKey,
    digest: RequestDigest,
    /// How often the claim was found in progress.
    looks: usize,
}

impl ClaimJob {
    fn unavailable(&self) -> ClaimAnswer {
        if self.looks == 0 {
            ClaimAnswer::Unavailable
        } else {
            ClaimAnswer::InProgress
        }
    }
}

#[derive(Debug)]
struct OwnClaim {
    record: ClaimRecord,
    mod_revision: u64,
}

#[derive(Debug, Clone, Copy)]
struct ClaimsLease {
    id: LeaseId,
    granted: Instant,
}

/// The claims of this daemon.
pub(super) struct ClaimTable {
    jobs: mpsc::Sender<ClaimJob>,
    own: Mutex<BoundedMap<OrderKey, OwnClaim>>,
    recorded: Mutex<BoundedMap<RequestTicket, RecordedAnswer>>,
    lease: Mutex<Option<ClaimsLease>>,
}

impl ClaimTable {
    pub(super) fn new(jobs: mpsc::Sender<ClaimJob>) -> Self {
        Self {
            jobs,
            own: Mutex::new(BoundedMap::new(MAX_OWN)),
            recorded: Mutex::new(BoundedMap::new(MAX_RECORDED)),
            lease: Mutex::new(None),
        }
    }

    pub(super) fn take_recorded(&self, ticket: RequestTicket) -> Option<RecordedAnswer> {
        lock(&self.recorded).remove(&ticket)
    }

    /// Ends a claim of this daemon with its final state.
    pub(super) fn take_finish(&self, key: OrderKey, state: ClaimState) -> Option<FinishRequest> {
        let mut own = lock(&self.own).remove(&key)?;
        own.record.state = state;
        Some(FinishRequest {
            key,
            record: own.record,
            mod_revision: own.mod_revision,
        })
    }

    /// Has the next claim or result ask for a new lease.
    pub(super) fn drop_lease(&self) {
        *lock(&self.lease) = None;
    }
}

pub(super) fn start(control: &Arc<Control>, jobs: mpsc::Receiver<ClaimJob>) {
    tokio::spawn(run(Arc::clone(control), jobs));
}

/// Queues a claim.
pub(super) fn claim(
    control: &Control,
    ticket: RequestTicket,
    key: OrderKey,
    digest: RequestDigest,
) {
    control.counters.claims.add(1);
    let job = ClaimJob {
        ticket,
        key,
        digest,
        looks: 0,
    };
    if control.claims.jobs.try_send(job).is_err() {
        control.counters.claims_refused.add(1);
        answer(control, ticket, ClaimAnswer::Unavailable);
    }
}

fn answer(control: &Control, ticket: RequestTicket, answer: ClaimAnswer) {
    control.send(Event::ClaimAnswered { ticket, answer });
}

async fn run(control: Arc<Control>, mut jobs: mpsc::Receiver<ClaimJob>) {
    while let Some(first) = jobs.recv().await {
        let mut batch = vec![first];
        while batch.len() < MAX_BATCH {
            match jobs.try_recv() {
                Ok(job) => batch.push(job),
                Err(_) => break,
            }
        }
        if !control.store.is_available() {
            control.counters.claims_refused.add(batch.len());
            refuse(&control, &batch);
            continue;
        }
        control.counters.claim_batches.add(1);
        claim_batch(&control, batch).await;
    }
}

/// Nothing was written for these claims. A claim that was found in progress before is still that.
fn refuse(control: &Control, batch: &[ClaimJob]) {
    for job in batch {
        answer(control, job.ticket, job.unavailable());
    }
}

async fn claim_batch(control: &Arc<Control>, batch: Vec<ClaimJob>) {
    let Ok(lease) = lease(control).await else {
        refuse(control, &batch);
        return;
    };
    let claimed_at_ms = unix_millis(control.options.clock.wall_time());
    let requests: Vec<ClaimRequest> = batch
        .iter()
        .map(|job| ClaimRequest {
            key: job.key.clone(),
            record: ClaimRecord {
                nonce: Nonce::random(),
                digest: job.digest,
                claimed_at_ms,
                state: ClaimState::Claimed,
            },
        })
        .collect();
    let options = ClaimOptions {
        requests: requests.clone(),
        lease,
        retry_timeout: PATIENCE,
    };
    let outcomes = control
        .store
        .call(move |client| client.claim_orders(options))
        .await;
    for ((job, request), outcome) in batch.into_iter().zip(requests).zip(outcomes) {
        settle(control, job, request, outcome);
    }
}

fn settle(
    control: &Arc<Control>,
    job: ClaimJob,
    request: ClaimRequest,
    outcome: Result<ClaimOutcome, WriteError>,
) {
    let claims = &control.claims;
    let found = match outcome {
        Ok(ClaimOutcome::Acquired { mod_revision }) => {
            let own = OwnClaim {
                record: request.record,
                mod_revision,
            };
            lock(&claims.own).insert(request.key, own);
            ClaimAnswer::Acquired
        }
        Ok(ClaimOutcome::AlreadyRan(result)) => {
            lock(&claims.recorded).insert(job.ticket, recorded(result));
            ClaimAnswer::AlreadyRan
        }
        Ok(ClaimOutcome::InProgress) => return look_again(control, job),
        Ok(ClaimOutcome::BodyMismatch) => ClaimAnswer::BodyMismatch,
        Err(WriteError::NotApplied(cause)) => {
            if matches!(cause, NotApplied::Rejected { .. }) {
                claims.drop_lease();
            }
            job.unavailable()
        }
        Err(WriteError::Contended) => job.unavailable(),
        Err(WriteError::Uncertain) => {
            results::withdraw(control, request);
            ClaimAnswer::Uncertain
        }
    };
    answer(control, job.ticket, found);
}

/// Claims an order in progress again, in case its result is just being recorded.
fn look_again(control: &Arc<Control>, mut job: ClaimJob) {
    let Some(wait) = SECOND_LOOKS.get(job.looks) else {
        return answer(control, job.ticket, ClaimAnswer::InProgress);
    };
    job.looks += 1;
    let control = Arc::clone(control);
    tokio::spawn(async move {
        tokio::time::sleep(*wait).await;
        let ticket = job.ticket;
        if control.claims.jobs.try_send(job).is_err() {
            answer(&control, ticket, ClaimAnswer::InProgress);
        }
    });
}

fn recorded(result: OrderResult) -> RecordedAnswer {
    RecordedAnswer {
        status: result.status,
        content_type: result.content_type,
        body: result.body.map(|body| body.0),
    }
}

/// The lease of this hour's claims.
pub(super) async fn lease(control: &Arc<Control>) -> Result<LeaseId, CallError> {
    let now = control.now();
    let held = *lock(&control.claims.lease);
    if let Some(lease) = held.filter(|lease| now < lease.granted + LEASE_PERIOD) {
        return Ok(lease.id);
    }
    let granted = control
        .store
        .call(|client| client.grant(GrantOptions::new(LEASE_TTL)))
        .await?;
    *lock(&control.claims.lease) = Some(ClaimsLease {
        id: granted.lease,
        granted: now,
    });
    Ok(granted.lease)
}
