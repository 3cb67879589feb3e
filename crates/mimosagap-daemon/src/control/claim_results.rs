//! Records the final states of claims: the result of an order, or the mark that it was not run.

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

use super::RecordedResponse;
use super::backoff::RetryBackoff;
use super::claims;
use super::context::ControlContext;

const WRITE_TIMEOUT: Duration = Duration::from_secs(2);
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(5);
/// Keeps a transaction below 1 MB: bodies of 16 KiB grow by a third in base64.
const MAX_BATCH: usize = 32;
/// Final states kept while the store is unreachable; 16 MB with the longest bodies.
const MAX_PENDING: usize = 1_024;

/// A final state that waits to be written.
pub(super) type PendingResult = FinishRequest;

pub(super) fn start(context: &Arc<ControlContext>, receiver: mpsc::Receiver<PendingResult>) {
    tokio::spawn(run(Arc::clone(context), receiver));
}

/// Queues the result of an order. The body is left out if it exceeds the size limit of a record.
pub(super) fn record_result(context: &ControlContext, key: OrderKey, response: RecordedResponse) {
    let body = response.body.filter(|body| body.len() <= MAX_RESULT_BYTES);
    let result = OrderResult {
        status: response.status,
        content_type: response.content_type,
        body: body.map(ResultBody),
    };
    queue_final_state(context, key, ClaimState::Ran(result));
}

/// Queues the mark that no byte of an order was sent to a target.
pub(super) fn record_not_run(context: &ControlContext, key: OrderKey) {
    queue_final_state(context, key, ClaimState::NotRun);
}

/// Marks a claim of uncertain outcome as not run: the daemon does not send the order, and the mark
/// also overrides a write that the store applies late.
pub(super) fn withdraw_claim(context: &ControlContext, request: ClaimRequest) {
    let ClaimRequest { key, mut record } = request;
    record.state = ClaimState::NotRun;
    queue_request(
        context,
        FinishRequest {
            key,
            record,
            mod_revision: 0,
        },
    );
}

fn queue_final_state(context: &ControlContext, key: OrderKey, state: ClaimState) {
    match context.claims.take_finish_request(key, state) {
        Some(request) => queue_request(context, request),
        None => context.counters.results_dropped.add(1),
    }
}

fn queue_request(context: &ControlContext, request: FinishRequest) {
    if context.results.try_send(request).is_err() {
        context.counters.results_dropped.add(1);
    }
}

async fn run(context: Arc<ControlContext>, mut receiver: mpsc::Receiver<PendingResult>) {
    let mut pending = VecDeque::new();
    let mut backoff = RetryBackoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
    loop {
        if pending.is_empty() {
            tokio::select! {
                result = receiver.recv() => pending.extend(result),
                () = context.stopping() => break,
            }
        }
        receive_queued(&context, &mut receiver, &mut pending);
        if context.store.is_available() && write_batch(&context, &mut pending).await {
            backoff.reset();
        } else if !context.sleep(backoff.next_delay()).await {
            break;
        }
    }
    receive_queued(&context, &mut receiver, &mut pending);
    while !pending.is_empty() && write_batch(&context, &mut pending).await {}
    context.results_flushed.send_replace(true);
}

fn receive_queued(
    context: &ControlContext,
    receiver: &mut mpsc::Receiver<PendingResult>,
    pending: &mut VecDeque<PendingResult>,
) {
    while let Ok(result) = receiver.try_recv() {
        pending.push_back(result);
    }
    let excess = pending.len().saturating_sub(MAX_PENDING);
    pending.drain(..excess);
    context.counters.results_dropped.add(excess);
}

/// Writes the oldest final states, and puts those that failed back at the end of the queue. Returns
/// whether all of them were written or superseded.
async fn write_batch(context: &Arc<ControlContext>, pending: &mut VecDeque<PendingResult>) -> bool {
    let Ok(lease) = claims::current_lease(context).await else {
        return false;
    };
    let batch_size = pending.len().min(MAX_BATCH);
    let requests: Vec<FinishRequest> = pending.drain(..batch_size).collect();
    let options = FinishOptions {
        requests: requests.clone(),
        lease,
        retry_timeout: WRITE_TIMEOUT,
    };
    let outcomes = context
        .store
        .call(move |client| client.finish_claims(options))
        .await;
    let mut all_written = true;
    for (request, outcome) in requests.into_iter().zip(outcomes) {
        match outcome {
            Ok(FinishOutcome::Recorded) => context.counters.results_recorded.add(1),
            Ok(FinishOutcome::Superseded) => context.counters.results_dropped.add(1),
            Err(error) => {
                if let WriteError::NotApplied(NotApplied::Rejected { .. }) = error {
                    context.claims.invalidate_lease();
                }
                pending.push_back(request);
                all_written = false;
            }
        }
    }
    all_written
}
