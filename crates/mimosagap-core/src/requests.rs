//! The requests of this daemon and where each of them stands.

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
    /// Names a request in the arena.
    pub struct RequestKey;
}

/// Whether an attempt's engine died and the suspicion is recorded.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SuspicionState {
    /// The engine is not known to have died.
    Absent,
    /// The engine died; the record is being written.
    Pending,
    /// The engine died; the record is written.
    Recorded,
}

/// The attempt in progress.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Where it runs.
    pub target: TargetKey,
    /// The life of the target which got it.
    pub incarnation: Option<Incarnation>,
    /// Whether the target accepted it.
    pub is_accepted: bool,
    /// Whether it is the trial of a suspect.
    pub is_trial: bool,
    /// Input tokens that the engine did not hold before.
    pub uncached_tokens: u32,
    /// Output tokens so far.
    pub output_tokens: u32,
    /// When `tokens` was last reported.
    pub progressed_at: Instant,
    /// What the stream adds to the forecast of its engine.
    pub memory_change: MemoryChange,
    /// Whether its engine died.
    pub suspicion: SuspicionState,
}

/// Where a request stands.
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
        /// Since when.
        since: Instant,
    },
    /// A suspect which waits for a trial.
    AwaitingTrial {
        /// Since when.
        since: Instant,
        /// When the store may be asked again.
        not_before: Instant,
    },
    /// A suspect whose trial is being taken in the store.
    AcquiringTrial {
        /// Since when it waits for its trial.
        since: Instant,
        /// The engine which would run it.
        target: TargetKey,
    },
    /// At a target.
    Running(Attempt),
    /// Its engine died; the caller is told when the suspicion is recorded.
    AwaitingSuspicionRecord {
        /// Tokens that the caller already has.
        delivered: u32,
        /// Whether the engine died in the request's trial.
        blocked: bool,
    },
}

/// One request.
#[derive(Debug)]
pub struct Request {
    /// Its name outside the reducer.
    pub ticket: RequestTicket,
    /// What the caller sent.
    pub submission: Submission,
    /// Its priority, from the rules in force when it came.
    pub priority: Priority,
    /// The targets which could serve it.
    pub group: GroupIndex,
    /// The histogram of its kind.
    pub histogram: HistogramIndex,
    /// Attempts so far.
    pub attempts: u32,
    /// Whether an attempt may have run.
    pub may_have_run: bool,
    /// Whether the claim showed that no earlier send of this order has run.
    pub never_ran_before: bool,
    /// Whether the caller left while the request had to go on.
    pub caller_left: bool,
    /// Targets at which it failed.
    pub failed_targets: Vec<TargetKey>,
    /// When the last target that rejected it wants to be asked again.
    pub retry_after: Option<Duration>,
    /// Where it stands.
    pub phase: RequestPhase,
}

impl Request {
    /// The attempt in progress.
    #[must_use]
    pub fn attempt(&self) -> Option<&Attempt> {
        match &self.phase {
            RequestPhase::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// The attempt in progress, to be changed.
    pub fn attempt_mut(&mut self) -> Option<&mut Attempt> {
        match &mut self.phase {
            RequestPhase::Running(attempt) => Some(attempt),
            _ => None,
        }
    }

    /// Whether it asks for a generation.
    #[must_use]
    pub fn is_generation(&self) -> bool {
        matches!(self.submission.work, WorkKind::Generation { .. })
    }

    /// The name of its claim, if it is an order.
    #[must_use]
    pub fn order_key(&self) -> Option<&OrderKey> {
        match &self.submission.work {
            WorkKind::Order { key, .. } => Some(key),
            _ => None,
        }
    }

    /// Input length and bound on the output; 0 for calls.
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

    /// What a refusal now says about the work.
    #[must_use]
    pub fn outcome(&self) -> RunOutcome {
        if self.may_have_run || (self.submission.may_be_resend() && !self.never_ran_before) {
            RunOutcome::Unknown
        } else {
            RunOutcome::NotRun
        }
    }
}

/// All requests which have no final answer yet.
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

    /// The key of a ticket.
    #[must_use]
    pub fn key_of(&self, ticket: RequestTicket) -> Option<RequestKey> {
        self.tickets.get(&ticket).copied()
    }

    /// The key of a ticket whose current attempt has this number. Events for earlier attempts
    /// come late and find nothing.
    #[must_use]
    pub fn key_of_attempt(&self, ticket: RequestTicket, attempt: u32) -> Option<RequestKey> {
        let key = self.key_of(ticket)?;
        let request = &self.arena[key];
        (request.attempts == attempt && request.attempt().is_some()).then_some(key)
    }

    /// A request.
    #[must_use]
    pub fn get(&self, key: RequestKey) -> Option<&Request> {
        self.arena.get(key)
    }

    /// A request, to be changed.
    pub fn get_mut(&mut self, key: RequestKey) -> Option<&mut Request> {
        self.arena.get_mut(key)
    }

    /// Requests without a final answer.
    #[must_use]
    pub fn len(&self) -> usize {
        self.arena.len()
    }

    /// Whether every request has its final answer.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.arena.is_empty()
    }
}
