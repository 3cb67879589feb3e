//! Questions for credit and their answers.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_core::Event;
use mimosagap_peer::{IncomingRequest, Reply, Request};
use mimosagap_types::prelude::*;

use super::shared::{Control, lock};

const ASK_TIMEOUT: Duration = Duration::from_millis(500);
/// An answer that comes later finds nobody waiting.
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Questions of peers that wait for the reducer.
#[derive(Default)]
pub(super) struct Questions {
    next: AtomicU64,
    waiting: Mutex<HashMap<u64, (Instant, IncomingRequest)>>,
}

/// Asks the holder of a team's slot.
pub(super) fn ask(control: &Arc<Control>, holder: DaemonId, team: TeamName, wanted: u32) {
    control.counters.credit_asked.add(1);
    let address = control.fleet().peer_address(&holder);
    let room = Arc::clone(&control.credit_room).try_acquire_owned();
    let (Some(address), Ok(room)) = (address, room) else {
        return fail(control, team);
    };
    let control = Arc::clone(control);
    // The credit's life counts from before the question is sent.
    let requested_at = control.now();
    tokio::spawn(async move {
        let request = Request::RequestCredit {
            team: team.clone(),
            wanted,
        };
        let result = control.ask(address, request, ASK_TIMEOUT).await;
        drop(room);
        match result {
            Ok(outcome) if outcome.peer == holder => match outcome.reply {
                Reply::Credit { granted } => control.send(Event::CreditGranted {
                    team,
                    granted,
                    requested_at,
                }),
                _ => fail(&control, team),
            },
            _ => fail(&control, team),
        }
    });
}

fn fail(control: &Control, team: TeamName) {
    control.counters.credit_failed.add(1);
    control.send(Event::CreditFailed { team });
}

/// Hands a peer's question to the reducer.
pub(super) fn asked(control: &Control, incoming: IncomingRequest, team: TeamName, wanted: u32) {
    let questions = &control.questions;
    let request_id = questions.next.fetch_add(1, Ordering::Relaxed);
    let now = control.now();
    let mut waiting = lock(&questions.waiting);
    waiting.retain(|_, (asked, _)| now < *asked + ANSWER_TIMEOUT);
    waiting.insert(request_id, (now, incoming));
    drop(waiting);
    control.send(Event::CreditRequested {
        request_id,
        team,
        wanted,
    });
}

/// Answers a peer's question.
pub(super) fn answer(control: &Control, question: u64, granted: u32) {
    let waiting = lock(&control.questions.waiting).remove(&question);
    if let Some((_, incoming)) = waiting {
        incoming.answer(Reply::Credit { granted });
    }
}
