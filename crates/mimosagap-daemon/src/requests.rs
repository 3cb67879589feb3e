//! The requests which this daemon has open, and the way from the driver to their tasks.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mimosagap_core::{AttemptEnd, Event};
use mimosagap_types::prelude::*;
use tokio::sync::mpsc;

use crate::control::RecordedResponse;
use crate::driver::EventSender;

/// What the driver tells the task of a request.
#[derive(Debug)]
pub enum Command {
    /// Start an attempt; an earlier attempt is void.
    Dispatch {
        /// The attempt, counted from 1.
        attempt: u32,
        /// The target.
        target: TargetAddress,
        /// The engine's priority field.
        priority: i32,
    },
    /// Stop the attempt and tell its target.
    Cancel {
        /// The attempt.
        attempt: u32,
    },
    /// Give the caller this final answer.
    Refuse(Refusal),
    /// Give the caller the recorded result of its order, if the record has it.
    AnswerFromRecord(Option<RecordedResponse>),
}

/// All open requests of a daemon.
#[derive(Debug)]
pub struct RequestTable {
    events: EventSender,
    last: AtomicU64,
    open: Mutex<HashMap<RequestTicket, mpsc::UnboundedSender<Command>>>,
    answers: Mutex<HashMap<RequestTicket, RecordedResponse>>,
}

/// Locks a mutex; the data behind each of them stays consistent if a holder panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RequestTable {
    /// A table without requests. `events` hears of attempts that nobody is left to start.
    #[must_use]
    pub fn new(events: EventSender) -> Self {
        Self {
            events,
            last: AtomicU64::new(0),
            open: Mutex::default(),
            answers: Mutex::default(),
        }
    }

    /// Opens a request.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> OpenRequest {
        let ticket = RequestTicket(self.last.fetch_add(1, Ordering::Relaxed) + 1);
        let (sender, commands) = mpsc::unbounded_channel();
        lock(&self.open).insert(ticket, sender);
        OpenRequest {
            ticket,
            commands,
            table: Arc::clone(self),
        }
    }

    /// Passes a command on; `false` if the request is closed.
    pub fn command(&self, ticket: RequestTicket, command: Command) -> bool {
        lock(&self.open)
            .get(&ticket)
            .is_some_and(|sender| sender.send(command).is_ok())
    }

    /// The number of open requests.
    #[must_use]
    pub fn count(&self) -> usize {
        lock(&self.open).len()
    }

    /// Keeps an order's answer until the reducer has it recorded.
    pub fn keep_answer(&self, ticket: RequestTicket, answer: RecordedResponse) {
        lock(&self.answers).insert(ticket, answer);
    }

    /// Takes an order's answer out.
    #[must_use]
    pub fn take_answer(&self, ticket: RequestTicket) -> Option<RecordedResponse> {
        lock(&self.answers).remove(&ticket)
    }
}

/// An open request; dropping it closes it.
#[derive(Debug)]
pub struct OpenRequest {
    /// Its name towards the reducer.
    pub ticket: RequestTicket,
    /// What the driver says.
    pub commands: mpsc::UnboundedReceiver<Command>,
    table: Arc<RequestTable>,
}

impl OpenRequest {
    /// The next command.
    pub async fn command(&mut self) -> Command {
        match self.commands.recv().await {
            Some(command) => command,
            // The table holds the sender for as long as the request is open.
            None => std::future::pending().await,
        }
    }
}

impl Drop for OpenRequest {
    /// Reports attempts which were queued when the caller left: the reducer waits for their ends,
    /// and a drain would wait with it for ever.
    fn drop(&mut self) {
        lock(&self.table.open).remove(&self.ticket);
        while let Ok(command) = self.commands.try_recv() {
            if let Command::Dispatch { attempt, .. } = command {
                self.table.events.send(Event::AttemptEnded {
                    ticket: self.ticket,
                    attempt,
                    end: AttemptEnd::NotSent,
                });
            }
        }
    }
}
