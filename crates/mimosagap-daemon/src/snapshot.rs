//! The interface of the reducer to the driver, and snapshots of its state for operators.

use std::sync::Arc;
use std::time::Instant;

use mimosagap_core::admin::{LimitView, QueueView, TargetView};
use mimosagap_core::{DaemonReducer, Effect, Event, SuspectState};
use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;
use tokio::sync::{mpsc, oneshot};

/// A consistent copy of the reducer's state.
#[derive(Debug, Clone, Default)]
pub struct ReducerSnapshot {
    /// All targets, with their state and load.
    pub targets: Vec<TargetView>,
    /// The rate limits of the teams and their usage.
    pub limits: Vec<LimitView>,
    /// Suspected and blocked requests by digest.
    pub quarantine: Vec<(RequestDigest, SuspectState)>,
    /// The non-empty admission queues.
    pub queues: Vec<QueueView>,
    /// Retries that the retry budget currently allows.
    pub retry_budget: f64,
    /// Whether neither the store nor any peer was reached recently.
    pub isolated: bool,
    /// Whether the store was reached recently.
    pub store_reachable: bool,
}

/// A state machine that turns events into effects: [`DaemonReducer`], or a substitute in tests.
pub trait EventReducer: Send {
    /// Applies one event and appends the effects to be executed.
    fn reduce(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>);

    /// Returns the active rules.
    fn rules(&self) -> Arc<RuleSet>;

    /// Returns the tokens recently placed on each engine, for the digests to peers.
    fn placements(&self) -> Vec<(TargetAddress, u64)>;

    /// Returns a copy of the state for operators.
    fn snapshot(&self, now: Instant) -> ReducerSnapshot;
}

impl EventReducer for DaemonReducer {
    fn reduce(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>) {
        DaemonReducer::reduce(self, now, event, effects);
    }

    fn rules(&self) -> Arc<RuleSet> {
        Arc::clone(DaemonReducer::rules(self))
    }

    fn placements(&self) -> Vec<(TargetAddress, u64)> {
        DaemonReducer::placements(self)
    }

    fn snapshot(&self, now: Instant) -> ReducerSnapshot {
        ReducerSnapshot {
            targets: self.target_views(now),
            limits: self.limit_views(now),
            quarantine: self.quarantined(),
            queues: self.queue_views(),
            retry_budget: self.retry_budget(),
            isolated: self.is_isolated(),
            store_reachable: self.is_store_reachable(),
        }
    }
}

/// Requests snapshots from the driver. Cheap to clone.
#[derive(Debug, Clone)]
pub struct SnapshotClient {
    requests: mpsc::Sender<oneshot::Sender<ReducerSnapshot>>,
}

/// Capacity of the queue of snapshot requests.
const MAX_QUEUED_REQUESTS: usize = 16;

impl SnapshotClient {
    /// Creates a client, and the receiver of the requests that the driver answers.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<oneshot::Sender<ReducerSnapshot>>) {
        let (requests, receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        (Self { requests }, receiver)
    }

    /// Fetches a snapshot; `None` during shutdown. Blocks, so it must not be called from async
    /// code.
    #[must_use]
    pub fn fetch(&self) -> Option<ReducerSnapshot> {
        let (response_sender, response) = oneshot::channel();
        self.requests.blocking_send(response_sender).ok()?;
        response.blocking_recv().ok()
    }
}
