//! Queue of the generations of a service that wait for capacity at an engine.
//!
//! A burst fills the KV cache of all engines. Requests wait in the gateway and not in an engine, so
//! that capacity which becomes free at any engine goes to the most urgent one. A request that
//! cannot start in time for its latency objective is refused at once with a time to retry, which
//! leaves the queue to requests that can.

use std::cmp::Ordering;
use std::time::Duration;

/// Fraction of the latency objective that a request may wait for capacity; the rest is for its
/// prefill.
const MAX_QUEUE_FRACTION: f64 = 0.6;

/// Minimum of the time that a request may wait: one poll of the loads that other hosts report.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(250);

/// Expected number of requests that can be placed while a request may wait, per running request of
/// this host.
const TURNOVER_PER_RUNNING: f64 = 0.2;

/// The total time that a request may wait, both here for capacity and at its engine for the prefill
/// of other prompts. The prefill of its own prompt does not count, so that long prompts are not
/// refused first.
#[must_use]
pub fn max_queue_time(latency_objective: Duration) -> Duration {
    latency_objective
        .mul_f64(MAX_QUEUE_FRACTION)
        .max(MIN_QUEUE_TIME)
}

/// A request that waits for capacity.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct QueuedRequest {
    /// Number that identifies the request within this process.
    pub ticket: u64,
    /// Priority level; 0 is the most urgent.
    pub priority_level: usize,
    /// When it arrived.
    pub arrived_at: Duration,
    /// When it is refused if it still waits.
    pub expires_at: Duration,
}

impl QueuedRequest {
    /// Creates an entry that expires after [`max_queue_time`].
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

    fn cmp_position(&self, other: &Self) -> Ordering {
        (self.priority_level, self.arrived_at, self.ticket).cmp(&(
            other.priority_level,
            other.arrived_at,
            other.ticket,
        ))
    }
}

/// The waiting requests of one service, ordered by priority level and then by arrival.
#[derive(Debug, Clone, Default)]
pub struct WaitQueue {
    requests: Vec<QueuedRequest>,
}

impl WaitQueue {
    /// Whether a request of this priority level can expect to be placed in time, while this host
    /// has `running` requests at the service.
    #[must_use]
    pub fn can_admit(&self, priority_level: usize, running: u32) -> bool {
        let ahead = self
            .requests
            .iter()
            .filter(|request| request.priority_level <= priority_level)
            .count();
        let max_ahead = 1.0 + TURNOVER_PER_RUNNING * f64::from(running);
        u32::try_from(ahead).is_ok_and(|ahead| f64::from(ahead) < max_ahead)
    }

    /// Inserts a request at its position.
    pub fn push(&mut self, new_request: QueuedRequest) {
        let index = self
            .requests
            .partition_point(|request| request.cmp_position(&new_request).is_lt());
        self.requests.insert(index, new_request);
    }

    /// Removes a request that was placed, cancelled or refused.
    pub fn remove(&mut self, ticket: u64) {
        self.requests.retain(|request| request.ticket != ticket);
    }

    /// Whether a request is the next one to be placed.
    #[must_use]
    pub fn is_front(&self, ticket: u64) -> bool {
        self.requests
            .first()
            .is_some_and(|request| request.ticket == ticket)
    }

    /// Whether a new request of this priority level must wait behind requests that are queued.
    #[must_use]
    pub fn must_queue(&self, priority_level: usize) -> bool {
        self.requests
            .first()
            .is_some_and(|request| request.priority_level <= priority_level)
    }

    /// Number of waiting requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// Whether no request waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
