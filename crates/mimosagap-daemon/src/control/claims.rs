//! Claims orders in the store. Claims that arrive while a transaction is in progress are batched
//! into the next one.

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

use super::bounded_map::BoundedMap;
use super::context::{ControlContext, lock};
use super::{RecordedResponse, claim_results};

/// Limit for resolving a lost response or a conflict; the caller waits meanwhile.
const RESOLVE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Records live for at least 24 h; the lease lasts an hour longer because it serves the claims of
/// one hour.
const LEASE_TTL: Duration = Duration::from_hours(25);
const LEASE_REUSE_PERIOD: Duration = Duration::from_hours(1);
/// Delays before a claim that was found in progress is tried again. A result is recorded just after
/// its caller receives it, so a repeat sent at once finds the claim still without a result.
const IN_PROGRESS_RETRY_DELAYS: [Duration; 2] =
    [Duration::from_millis(50), Duration::from_millis(200)];
const MAX_HELD_CLAIMS: usize = 10_000;
const MAX_RECORDED_RESPONSES: usize = 1_000;

/// A claim that waits for its transaction.
#[derive(Debug)]
pub(super) struct PendingClaim {
    ticket: RequestTicket,
    key: OrderKey,
    digest: RequestDigest,
    /// How often the claim was found in progress so far.
    in_progress_count: usize,
}

impl PendingClaim {
    fn unavailable_answer(&self) -> ClaimAnswer {
        if self.in_progress_count == 0 {
            ClaimAnswer::Unavailable
        } else {
            ClaimAnswer::InProgress
        }
    }
}

#[derive(Debug)]
struct HeldClaim {
    record: ClaimRecord,
    mod_revision: u64,
}

#[derive(Debug, Clone, Copy)]
struct CachedLease {
    id: LeaseId,
    granted_at: Instant,
}

/// The claims that this daemon holds, and recorded responses of orders that already ran.
pub(super) struct ClaimTable {
    pending: mpsc::Sender<PendingClaim>,
    held: Mutex<BoundedMap<OrderKey, HeldClaim>>,
    recorded_responses: Mutex<BoundedMap<RequestTicket, RecordedResponse>>,
    lease: Mutex<Option<CachedLease>>,
}

impl ClaimTable {
    pub(super) fn new(pending: mpsc::Sender<PendingClaim>) -> Self {
        Self {
            pending,
            held: Mutex::new(BoundedMap::new(MAX_HELD_CLAIMS)),
            recorded_responses: Mutex::new(BoundedMap::new(MAX_RECORDED_RESPONSES)),
            lease: Mutex::new(None),
        }
    }

    pub(super) fn take_recorded_response(&self, ticket: RequestTicket) -> Option<RecordedResponse> {
        lock(&self.recorded_responses).remove(&ticket)
    }

    /// Removes a claim of this daemon and builds the request that records its final state. `None`
    /// if this daemon does not hold the claim.
    pub(super) fn take_finish_request(
        &self,
        key: OrderKey,
        state: ClaimState,
    ) -> Option<FinishRequest> {
        let mut claim = lock(&self.held).remove(&key)?;
        claim.record.state = state;
        Some(FinishRequest {
            key,
            record: claim.record,
            mod_revision: claim.mod_revision,
        })
    }

    /// Drops the cached lease, so that the next claim or result requests a new one.
    pub(super) fn invalidate_lease(&self) {
        *lock(&self.lease) = None;
    }
}

pub(super) fn start(context: &Arc<ControlContext>, pending_claims: mpsc::Receiver<PendingClaim>) {
    tokio::spawn(run(Arc::clone(context), pending_claims));
}

/// Queues a claim; reports it as unavailable at once if the queue is full.
pub(super) fn queue_claim(
    context: &ControlContext,
    ticket: RequestTicket,
    key: OrderKey,
    digest: RequestDigest,
) {
    context.counters.claims.add(1);
    let claim = PendingClaim {
        ticket,
        key,
        digest,
        in_progress_count: 0,
    };
    if context.claims.pending.try_send(claim).is_err() {
        context.counters.claims_refused.add(1);
        report_answer(context, ticket, ClaimAnswer::Unavailable);
    }
}

fn report_answer(context: &ControlContext, ticket: RequestTicket, answer: ClaimAnswer) {
    context.send(Event::ClaimAnswered { ticket, answer });
}

async fn run(context: Arc<ControlContext>, mut pending_claims: mpsc::Receiver<PendingClaim>) {
    while let Some(first_claim) = pending_claims.recv().await {
        let mut batch = vec![first_claim];
        while batch.len() < MAX_BATCH {
            match pending_claims.try_recv() {
                Ok(claim) => batch.push(claim),
                Err(_) => break,
            }
        }
        if !context.store.is_available() {
            context.counters.claims_refused.add(batch.len());
            report_unavailable(&context, &batch);
            continue;
        }
        context.counters.claim_batches.add(1);
        claim_batch(&context, batch).await;
    }
}

/// Reports claims for which nothing was written. A claim that was found in progress before is still
/// in progress.
fn report_unavailable(context: &ControlContext, batch: &[PendingClaim]) {
    for claim in batch {
        report_answer(context, claim.ticket, claim.unavailable_answer());
    }
}

async fn claim_batch(context: &Arc<ControlContext>, batch: Vec<PendingClaim>) {
    let Ok(lease) = current_lease(context).await else {
        report_unavailable(context, &batch);
        return;
    };
    let claimed_at_ms = unix_millis(context.options.clock.wall_time());
    let requests: Vec<ClaimRequest> = batch
        .iter()
        .map(|claim| ClaimRequest {
            key: claim.key.clone(),
            record: ClaimRecord {
                nonce: Nonce::random(),
                digest: claim.digest,
                claimed_at_ms,
                state: ClaimState::Claimed,
            },
        })
        .collect();
    let options = ClaimOptions {
        requests: requests.clone(),
        lease,
        retry_timeout: RESOLVE_TIMEOUT,
    };
    let outcomes = context
        .store
        .call(move |client| client.claim_orders(options))
        .await;
    for ((claim, request), outcome) in batch.into_iter().zip(requests).zip(outcomes) {
        handle_outcome(context, claim, request, outcome);
    }
}

fn handle_outcome(
    context: &Arc<ControlContext>,
    claim: PendingClaim,
    request: ClaimRequest,
    outcome: Result<ClaimOutcome, WriteError>,
) {
    let claims = &context.claims;
    let answer = match outcome {
        Ok(ClaimOutcome::Acquired { mod_revision }) => {
            let held_claim = HeldClaim {
                record: request.record,
                mod_revision,
            };
            lock(&claims.held).insert(request.key, held_claim);
            ClaimAnswer::Acquired
        }
        Ok(ClaimOutcome::AlreadyRan(result)) => {
            lock(&claims.recorded_responses).insert(claim.ticket, recorded_response(result));
            ClaimAnswer::AlreadyRan
        }
        Ok(ClaimOutcome::InProgress) => return retry_in_progress(context, claim),
        Ok(ClaimOutcome::BodyMismatch) => ClaimAnswer::BodyMismatch,
        Err(WriteError::NotApplied(cause)) => {
            if matches!(cause, NotApplied::Rejected { .. }) {
                claims.invalidate_lease();
            }
            claim.unavailable_answer()
        }
        Err(WriteError::Contended) => claim.unavailable_answer(),
        Err(WriteError::Uncertain) => {
            claim_results::withdraw_claim(context, request);
            ClaimAnswer::Uncertain
        }
    };
    report_answer(context, claim.ticket, answer);
}

/// Queues a claim that was found in progress again after a delay, in case its result is just being
/// recorded.
fn retry_in_progress(context: &Arc<ControlContext>, mut claim: PendingClaim) {
    let Some(delay) = IN_PROGRESS_RETRY_DELAYS.get(claim.in_progress_count) else {
        return report_answer(context, claim.ticket, ClaimAnswer::InProgress);
    };
    claim.in_progress_count += 1;
    let context = Arc::clone(context);
    tokio::spawn(async move {
        tokio::time::sleep(*delay).await;
        let ticket = claim.ticket;
        if context.claims.pending.try_send(claim).is_err() {
            report_answer(&context, ticket, ClaimAnswer::InProgress);
        }
    });
}

fn recorded_response(result: OrderResult) -> RecordedResponse {
    RecordedResponse {
        status: result.status,
        content_type: result.content_type,
        body: result.body.map(|body| body.0),
    }
}

/// Returns the lease for new claim records, and grants a new one every hour.
pub(super) async fn current_lease(context: &Arc<ControlContext>) -> Result<LeaseId, CallError> {
    let now = context.now();
    let cached_lease = *lock(&context.claims.lease);
    if let Some(lease) = cached_lease.filter(|lease| now < lease.granted_at + LEASE_REUSE_PERIOD) {
        return Ok(lease.id);
    }
    let granted = context
        .store
        .call(|client| client.grant(GrantOptions::new(LEASE_TTL)))
        .await?;
    *lock(&context.claims.lease) = Some(CachedLease {
        id: granted.lease,
        granted_at: now,
    });
    Ok(granted.lease)
}
