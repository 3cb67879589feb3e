//! The open requests of this daemon, and the channels through which the driver commands their tasks.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use mimosagap_core::{AttemptEnd, Event};
use mimosagap_types::prelude::*;
use tokio::sync::mpsc;

use crate::control::RecordedResponse;
use crate::driver::EventSender;

/// A command from the driver to the task of a request.
#[derive(Debug)]
pub enum RequestCommand {
    /// Start an attempt, and abandon an earlier one.
    Dispatch {
        /// The number of the attempt, from 1.
        attempt: u32,
        /// The target to send the request to.
        target: TargetAddress,
        /// The `priority` field of the request to an engine.
        priority: i32,
    },
    /// Stop the attempt and cancel it at its target.
    Cancel {
        /// The number of the attempt to stop, from 1.
        attempt: u32,
    },
    /// Send the caller this refusal as the final response.
    Refuse(Refusal),
    /// Send the caller the recorded response of its order; `None` if the record is not available.
    RespondFromRecord(Option<RecordedResponse>),
}

/// All open requests of a daemon.
#[derive(Debug)]
pub struct RequestTable {
    events: EventSender,
    last_ticket: AtomicU64,
    command_senders: Mutex<HashMap<RequestTicket, mpsc::UnboundedSender<RequestCommand>>>,
    order_responses: Mutex<HashMap<RequestTicket, RecordedResponse>>,
}

/// Locks a mutex and ignores poisoning: the data of this crate's mutexes stays consistent if a holder
/// panics.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl RequestTable {
    /// Creates an empty table. Attempts whose request is closed before they start are reported to
    /// `events`.
    #[must_use]
    pub fn new(events: EventSender) -> Self {
        Self {
            events,
            last_ticket: AtomicU64::new(0),
            command_senders: Mutex::default(),
            order_responses: Mutex::default(),
        }
    }

    /// Opens a request under a new ticket.
    #[must_use]
    pub fn open(self: &Arc<Self>) -> OpenRequest {
        let ticket = RequestTicket(self.last_ticket.fetch_add(1, Ordering::Relaxed) + 1);
        let (command_sender, commands) = mpsc::unbounded_channel();
        lock(&self.command_senders).insert(ticket, command_sender);
        OpenRequest {
            ticket,
            commands,
            table: Arc::clone(self),
        }
    }

    /// Sends a command to the task of a request; `false` if the request is closed.
    pub fn send_command(&self, ticket: RequestTicket, command: RequestCommand) -> bool {
        lock(&self.command_senders)
            .get(&ticket)
            .is_some_and(|sender| sender.send(command).is_ok())
    }

    /// Returns the number of open requests.
    #[must_use]
    pub fn open_count(&self) -> usize {
        lock(&self.command_senders).len()
    }

    /// Stores an order's response until the reducer requests its recording.
    pub fn store_response(&self, ticket: RequestTicket, response: RecordedResponse) {
        lock(&self.order_responses).insert(ticket, response);
    }

    /// Removes and returns an order's response; `None` if none is stored.
    #[must_use]
    pub fn take_response(&self, ticket: RequestTicket) -> Option<RecordedResponse> {
        lock(&self.order_responses).remove(&ticket)
    }
}

/// An open request; dropping it closes it.
#[derive(Debug)]
pub struct OpenRequest {
    /// Identifies the request in events and effects of the reducer.
    pub ticket: RequestTicket,
    /// Commands from the driver.
    pub commands: mpsc::UnboundedReceiver<RequestCommand>,
    table: Arc<RequestTable>,
}

impl OpenRequest {
    /// Waits for the next command.
    pub async fn next_command(&mut self) -> RequestCommand {
        match self.commands.recv().await {
            Some(command) => command,
            // Not reached: the table holds the sender while the request is open.
            None => std::future::pending().await,
        }
    }
}

impl Drop for OpenRequest {
    /// Reports queued attempts as not sent. The reducer waits for the end of each attempt, so without
    /// this report a drain would never finish.
    fn drop(&mut self) {
        lock(&self.table.command_senders).remove(&self.ticket);
        while let Ok(command) = self.commands.try_recv() {
            if let RequestCommand::Dispatch { attempt, .. } = command {
                self.table.events.send(Event::AttemptEnded {
                    ticket: self.ticket,
                    attempt,
                    end: AttemptEnd::NotSent,
                });
            }
        }
    }
}
