//! Which waiting request goes first, how long one may wait, and when it is turned away at once.
//!
//! Load pattern: a burst fills the memory of all engines. Requests wait here and not in an engine,
//! so that the next free place goes to the most urgent one, wherever the place is. A request that
//! cannot start in time for its latency target makes room for one that can, and is told when to
//! come back instead of being held.

use std::cmp::Ordering;
use std::time::Duration;

/// Part of the latency target that a request may wait for a place; the rest is for reading its
/// prompt.
const WAIT_PART: f64 = 0.6;

/// A request may wait at least this long: one poll of the load that other hosts report.
const MIN_WAIT: Duration = Duration::from_millis(250);

/// Places that become free while a request may wait, for each running request of this host.
const TURNOVER: f64 = 0.2;

/// How long a request may wait in all, here for a place and at its engine behind the prompts of
/// others. The length of its own prompt does not count, so that long ones are not turned away first.
#[must_use]
pub fn max_queue_time(target_latency: Duration) -> Duration {
    target_latency.mul_f64(WAIT_PART).max(MIN_WAIT)
}

/// A request that waits for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Names the request.
    pub ticket: u64,
    /// Rank, 0 first.
    pub priority_level: usize,
    /// When it arrived.
    pub arrived_at: Duration,
    /// When it is turned away if it still waits.
    pub expires_at: Duration,
}

impl QueuedRequest {
    /// A request which arrived now.
    #[must_use]
    pub fn new(
        ticket: u64,
        priority_level: usize,
        arrived_at: Duration,
        latency_objective: Duration,
    ) -> Self {
        Self {
            ticket,
            priority_level,
            arrived_at,
            expires_at: arrived_at + max_queue_time(latency_objective),
        }
    }

    fn order(&self, other: &Self) -> Ordering {
        (self.priority_level, self.arrived_at, self.ticket).cmp(&(
            other.priority_level,
            other.arrived_at,
            other.ticket,
        ))
    }
}

/// The requests of one service that wait.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    entries: Vec<QueuedRequest>,
}

impl WaitQueue {
    /// Whether a request of this rank can expect a place in time, with `running` requests of this
    /// host at the service.
    #[must_use]
    pub fn can_admit(&self, rank: usize, running: u32) -> bool {
        let ahead = self
            .entries
            .iter()
            .filter(|entry| entry.priority_level <= rank)
            .count();
        let bound = 1.0 + TURNOVER * f64::from(running);
        u32::try_from(ahead).is_ok_and(|ahead| f64::from(ahead) < bound)
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: QueuedRequest) {
        let at = self
            .entries
            .partition_point(|entry| entry.order(&waiting).is_lt());
        self.entries.insert(at, waiting);
    }

    /// Takes a request out, when it was placed, left or was turned away.
    pub fn remove(&mut self, ticket: u64) {
        self.entries.retain(|entry| entry.ticket != ticket);
    }

    /// Whether nothing that goes first waits.
    #[must_use]
    pub fn is_front(&self, ticket: u64) -> bool {
        self.entries
            .first()
            .is_some_and(|entry| entry.ticket == ticket)
    }

    /// Whether requests of this rank or a more urgent one wait.
    #[must_use]
    pub fn must_queue(&self, rank: usize) -> bool {
        self.entries
            .first()
            .is_some_and(|entry| entry.priority_level <= rank)
    }

    /// How many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether none waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
