//! Credit requests between daemons: a daemon that does not hold a team's lender slot requests
//! credit from the daemon that does.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_core::Event;
use mimosagap_peer::{IncomingRequest, Reply, Request};
use mimosagap_types::prelude::*;

use super::context::{ControlContext, lock};

const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a peer's request is kept for the reducer's answer. The peer stops waiting earlier, so a
/// later answer has no receiver.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Peers' credit requests that wait for the reducer's answer.
#[derive(Default)]
pub(super) struct CreditRequests {
    next_id: AtomicU64,
    pending: Mutex<HashMap<u64, (Instant, IncomingRequest)>>,
}

/// Requests credit from the holder of a team's slot.
pub(super) fn request_credit(
    context: &Arc<ControlContext>,
    holder: DaemonId,
    team: TeamName,
    wanted: u32,
) {
    context.counters.credit_asked.add(1);
    let address = context.fleet().peer_address(&holder);
    let permit = Arc::clone(&context.credit_permits).try_acquire_owned();
    let (Some(address), Ok(permit)) = (address, permit) else {
        return report_failure(context, team);
    };
    let context = Arc::clone(context);
    // The credit's lifetime counts from before the request is sent, so that it ends here no later
    // than at the lender.
    let requested_at = context.now();
    tokio::spawn(async move {
        let request = Request::RequestCredit {
            team: team.clone(),
            wanted,
        };
        let result = context.exchange(address, request, REQUEST_TIMEOUT).await;
        drop(permit);
        match result {
            Ok(outcome) if outcome.peer == holder => match outcome.reply {
                Reply::Credit { granted } => context.send(Event::CreditGranted {
                    team,
                    granted,
                    requested_at,
                }),
                _ => report_failure(&context, team),
            },
            _ => report_failure(&context, team),
        }
    });
}

fn report_failure(context: &ControlContext, team: TeamName) {
    context.counters.credit_failed.add(1);
    context.send(Event::CreditFailed { team });
}

/// Passes a peer's credit request to the reducer.
pub(super) fn handle(
    context: &ControlContext,
    incoming: IncomingRequest,
    team: TeamName,
    wanted: u32,
) {
    let credit_requests = &context.credit_requests;
    let request_id = credit_requests.next_id.fetch_add(1, Ordering::Relaxed);
    let now = context.now();
    let mut pending = lock(&credit_requests.pending);
    pending.retain(|_, (received_at, _)| now < *received_at + ANSWER_TIMEOUT);
    pending.insert(request_id, (now, incoming));
    drop(pending);
    context.send(Event::CreditRequested {
        request_id,
        team,
        wanted,
    });
}

/// Sends the reducer's answer to the peer. Does nothing if the request is unknown or expired.
pub(super) fn send_answer(context: &ControlContext, request_id: u64, granted: u32) {
    let request = lock(&context.credit_requests.pending).remove(&request_id);
    if let Some((_, incoming)) = request {
        incoming.answer(Reply::Credit { granted });
    }
}
