//! The table of requests in progress and the phase of each.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use mimosagap_rules::statement::Priority;
use mimosagap_types::prelude::*;
use slotmap::{SlotMap, new_key_type};

use crate::event::{Submission, WorkKind};
use crate::forecast::MemoryChange;
use crate::output_lengths::HistogramIndex;
use crate::targets::{GroupIndex, TargetKey};

new_key_type! {
    /// Key of a request in the table.
    pub struct RequestKey;
}

/// Whether the engine of an attempt died, and whether the suspicion is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspicionState {
    /// The engine is not known to have died.
    Absent,
    /// The engine died; the record is being written.
    Pending,
    /// The engine died; the record is written.
    Recorded,
}

/// An attempt in progress.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Target that it was sent to.
    pub target: TargetKey,
    /// Incarnation of the target that received it; `None` if it is not known.
    pub incarnation: Option<Incarnation>,
    /// Whether the target accepted it.
    pub is_accepted: bool,
    /// Whether it is the trial of a suspect.
    pub is_trial: bool,
    /// Input tokens that were not in the engine's prefix cache.
    pub uncached_tokens: u32,
    /// Output tokens so far.
    pub output_tokens: u32,
    /// When `output_tokens` was last updated.
    pub progressed_at: Instant,
    /// Contribution of the stream to its engine's forecast.
    pub memory_change: MemoryChange,
    /// Whether its engine died.
    pub suspicion: SuspicionState,
}

/// Stage of a request.
#[derive(Debug, Clone)]
pub enum RequestPhase {
    /// Just created, or between two attempts.
    Idle,
    /// Waits for credit from the team's lender.
    AwaitingCredit,
    /// An order whose claim is being written.
    Claiming,
    /// Waits in the admission queue.
    Queued {
        /// Start of the wait.
        since: Instant,
    },
    /// A suspect that waits for a trial.
    AwaitingTrial {
        /// Start of the wait.
        since: Instant,
        /// Earliest time for the next request to the store.
        not_before: Instant,
    },
    /// A suspect whose trial is being acquired in the store.
    AcquiringTrial {
        /// Start of the wait for a trial.
        since: Instant,
        /// Engine that is to run the trial.
        target: TargetKey,
    },
    /// Sent to a target.
    Running(Attempt),
    /// Its engine died; the caller gets a response once the suspicion is recorded.
    AwaitingSuspicionRecord {
        /// Output tokens that the caller already received.
        delivered_tokens: u32,
        /// Whether the engine died during the request's trial.
        blocked: bool,
    },
}

/// One request without a final response.
#[derive(Debug)]
pub struct Request {
    /// Identifies the request outside the reducer.
    pub ticket: RequestTicket,
    /// The request as submitted.
    pub submission: Submission,
    /// Priority, from the rules that were active on arrival.
    pub priority: Priority,
    /// Group of targets that can serve it.
    pub group: GroupIndex,
    /// Histogram of output lengths for its team and class.
    pub histogram: HistogramIndex,
    /// Attempts started so far.
    pub attempts: u32,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Whether the claim showed that no earlier send of this order ran.
    pub never_ran_before: bool,
    /// Whether the caller left while the request had to continue.
    pub caller_left: bool,
    /// Targets at which an attempt failed.
    pub failed_targets: Vec<TargetKey>,
    /// Retry delay that the last rejecting target asked for; `None` if it named none.
    pub retry_after: Option<Duration>,
    /// What the request waits for, or its attempt in progress.
    pub phase: RequestPhase,
}

impl Request {
    /// The attempt in progress, if any.
    #[must_use]
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            RequestPhase::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// The attempt in progress, if any.
    pub fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.phase {
            RequestPhase::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Whether the request asks for a generation.
    #[must_use]
    pub fn is_generation(&self) -> bool {
        matches!(self.submission.work, WorkKind::Generation { .. })
    }

    /// Key of the claim; `None` unless the request is an order.
    #[must_use]
    pub fn order_key(&self) -> Option<&OrderKey> {
        match &self.submission.work {
            WorkKind::Order { key, .. } => Some(key),
            _ => None,
        }
    }

    /// Input tokens and limit on output tokens; `(0, None)` for calls.
    #[must_use]
    pub fn size(&self) -> (u32, Option<u32>) {
        match &self.submission.work {
            WorkKind::Generation {
                prompt_tokens,
                max_tokens,
                ..
            } => (*prompt_tokens, *max_tokens),
            _ => (0, None),
        }
    }

    /// Outcome that a refusal at this point reports to the caller.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        if self.may_have_run || (self.submission.may_have_run_before() && !self.never_ran_before) {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }
}

/// All requests without a final response, by key and by ticket.
#[derive(Debug, Default)]
pub struct RequestTable {
    arena: SlotMap<RequestKey, Request>,
    tickets: HashMap<RequestTicket, RequestKey>,
}

impl RequestTable {
    /// Adds a request.
    pub fn insert(&mut self, request: Request) -> RequestKey {
        let ticket = request.ticket;
        let key = self.arena.insert(request);
        self.tickets.insert(ticket, key);
        key
    }

    /// Removes a request.
    pub fn remove(&mut self, key: RequestKey) -> Option<Request> {
        let request = self.arena.remove(key)?;
        self.tickets.remove(&request.ticket);
        Some(request)
    }

    /// Key of the request with this ticket.
    #[must_use]
    pub fn key_of(&self, ticket: RequestTicket) -> Option<RequestKey> {
        self.tickets.get(&ticket).copied()
    }

    /// Key of the request with this ticket, if this is the number of its current attempt. Late
    /// events of earlier attempts find nothing.
    #[must_use]
    pub fn key_of_attempt(&self, ticket: RequestTicket, attempt: u32) -> Option<RequestKey> {
        let key = self.key_of(ticket)?;
        let request = &self.arena[key];
        (request.attempts == attempt && request.attempt().is_some()).then_some(key)
    }

    /// The request with this key.
    #[must_use]
    pub fn get(&self, key: RequestKey) -> Option<&Request> {
        self.arena.get(key)
    }

    /// The request with this key.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.arena.get_mut(key)
    }

    /// Number of requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether no request is in progress.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}
