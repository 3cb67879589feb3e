//! The final states of claims: results, and marks that an order was not run.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_store::claims::{
    ClaimRequest, ClaimState, FinishOptions, FinishOutcome, FinishRequest, MAX_RESULT_BYTES,
    OrderResult, ResultBody,
};
use mimosagap_store::{NotApplied, WriteError};
use mimosagap_types::prelude::*;
use tokio::sync::mpsc;

use super::RecordedAnswer;
use super::backoff::Backoff;
use super::claims;
use super::shared::Control;

const PATIENCE: Duration = Duration::from_secs(2);
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LAST_RETRY: Duration = Duration::from_secs(5);
/// Bodies of 16 KiB grow by a third in base64, so a transaction stays below 1 MB.
const MAX_BATCH: usize = 32;
/// Results that wait for the store: 16 MB with the longest bodies.
const MAX_PENDING: usize = 1_024;

/// A claim to finish.
pub(super) type FinishJob = FinishRequest;

pub(super) fn start(control: &Arc<Control>, jobs: mpsc::Receiver<FinishJob>) {
    tokio::spawn(run(Arc::clone(control), jobs));
}

/// Queues the answer of an order.
pub(super) fn record_result(control: &Control, key: OrderKey, answer: RecordedAnswer) {
    let body = answer.body.filter(|body| body.len() <= MAX_RESULT_BYTES);
    let result = OrderResult {
        status: answer.status,
        content_type: answer.content_type,
        body: body.map(ResultBody),
    };
    finish(control, key, ClaimState::Ran(result));
}

/// Queues the mark that no byte of an order was sent.
pub(super) fn record_not_run(control: &Control, key: OrderKey) {
    finish(control, key, ClaimState::NotRun);
}

/// Marks a claim of unknown fate as not run: the daemon will not send the order, and the mark
/// also excludes a write that the store carries out late.
pub(super) fn withdraw(control: &Control, request: ClaimRequest) {
    let ClaimRequest { key, mut record } = request;
    record.state = ClaimState::NotRun;
    queue(
        control,
        FinishRequest {
            key,
            record,
            mod_revision: 0,
        },
    );
}

fn finish(control: &Control, key: OrderKey, state: ClaimState) {
    match control.claims.take_finish(key, state) {
        Some(request) => queue(control, request),
        None => control.counters.results_dropped.add(1),
    }
}

fn queue(control: &Control, request: FinishRequest) {
    if control.results.try_send(request).is_err() {
        control.counters.results_dropped.add(1);
    }
}

async fn run(control: Arc<Control>, mut jobs: mpsc::Receiver<FinishJob>) {
    let mut pending = VecDeque::new();
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY);
    loop {
        if pending.is_empty() {
            tokio::select! {
                job = jobs.recv() => pending.extend(job),
                () = control.stopping() => break,
            }
        }
        drain(&control, &mut jobs, &mut pending);
        if control.store.is_available() && write_batch(&control, &mut pending).await {
            backoff.reset();
        } else if !control.sleep(backoff.next_wait()).await {
            break;
        }
    }
    drain(&control, &mut jobs, &mut pending);
    while !pending.is_empty() && write_batch(&control, &mut pending).await {}
    control.results_gone.send_replace(true);
}

fn drain(
    control: &Control,
    jobs: &mut mpsc::Receiver<FinishJob>,
    pending: &mut VecDeque<FinishJob>,
) {
    while let Ok(job) = jobs.try_recv() {
        pending.push_back(job);
    }
    let excess = pending.len().saturating_sub(MAX_PENDING);
    pending.drain(..excess);
    control.counters.results_dropped.add(excess);
}

/// Writes the oldest states. Returns whether all of them were settled.
async fn write_batch(control: &Arc<Control>, pending: &mut VecDeque<FinishJob>) -> bool {
    let Ok(lease) = claims::lease(control).await else {
        return false;
    };
    let count = pending.len().min(MAX_BATCH);
    let requests: Vec<FinishRequest> = pending.drain(..count).collect();
    let options = FinishOptions {
        requests: requests.clone(),
        lease,
        retry_timeout: PATIENCE,
    };
    let outcomes = control
        .store
        .call(move |client| client.finish_claims(options))
        .await;
    let mut is_settled = true;
    for (request, outcome) in requests.into_iter().zip(outcomes) {
        match outcome {
            Ok(FinishOutcome::Recorded) => control.counters.results_recorded.add(1),
            Ok(FinishOutcome::Superseded) => control.counters.results_dropped.add(1),
            Err(error) => {
                if let WriteError::NotApplied(NotApplied::Rejected { .. }) = error {
                    control.claims.drop_lease();
                }
                pending.push_back(request);
                is_settled = false;
            }
        }
    }
    is_settled
}
