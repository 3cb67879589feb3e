//! The reducer as the driver uses it, and its state as operators see it.

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
    /// The targets.
    pub targets: Vec<TargetView>,
    /// The teams' limits and their use.
    pub limits: Vec<LimitView>,
    /// Suspects and blocked requests.
    pub quarantine: Vec<(RequestDigest, SuspectState)>,
    /// The admission queues that are not empty.
    pub queues: Vec<QueueView>,
    /// Further attempts saved in the retry budget.
    pub retry_budget: f64,
    /// Whether neither store nor peers were reached lately.
    pub isolated: bool,
    /// Whether the store was reached lately.
    pub store_reachable: bool,
}

/// What takes events and decides; [`DaemonReducer`] outside tests.
pub trait EventReducer: Send {
    /// Takes one event and appends what is to be done.
    fn reduce(&mut self, now: Instant, event: Event, effects: &mut Vec<Effect>);

    /// The rules in force.
    fn rules(&self) -> Arc<RuleSet>;

    /// Tokens placed lately on each engine, for the peers' digests.
    fn placements(&self) -> Vec<(TargetAddress, u64)>;

    /// The state for operators.
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

/// Asks the driver for snapshots. Cheap to clone.
#[derive(Debug, Clone)]
pub struct SnapshotSource {
    questions: mpsc::Sender<oneshot::Sender<ReducerSnapshot>>,
}

/// Questions which may wait for the driver.
const MAX_QUESTIONS: usize = 16;

impl SnapshotSource {
    /// A source and the questions which the driver answers.
    #[must_use]
    pub fn new() -> (Self, mpsc::Receiver<oneshot::Sender<ReducerSnapshot>>) {
        let (questions, receiver) = mpsc::channel(MAX_QUESTIONS);
        (Self { questions }, receiver)
    }

    /// A snapshot; `None` during shutdown. Blocks, so it must not be called from async code.
    #[must_use]
    pub fn take(&self) -> Option<ReducerSnapshot> {
        let (question, answer) = oneshot::channel();
        self.questions.blocking_send(question).ok()?;
        answer.blocking_recv().ok()
    }
}
