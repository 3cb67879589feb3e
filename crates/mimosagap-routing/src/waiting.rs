//! Which waiting request goes first, how long one may wait, and when it is turned away at once.
//!
//! Load pattern: a burst fills the memory of all engines. Requests wait here and not in an engine,
//! so that the next free place goes to the most urgent one, wherever the place is. A request that
//! can no longer start in time for its latency target lets those go first that can, and takes a
//! place when more is free than one request needs. Turned away instead, all such requests came back
//! late, took places from others that were then late as well, and a fifth of them were turned away
//! twice and never served.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Part of the latency target that a request may wait for a place; the rest is for reading its
/// prompt.
const WAIT_PART: f64 = 0.6;

/// A request may wait at least this long: one poll of the load that other hosts report.
const MIN_WAIT: Duration = Duration::from_millis(250);

/// A request that is late waits for this many times its latency target in all. Callers leave after
/// four times the target without an answer.
const LATE_TARGETS: f64 = 3.0;

/// The same as a part of the time that the request has: the rest is for its answer.
const LATE_PART: f64 = 0.5;

/// Places that become free while a request may wait, for each running request of this host.
const TURNOVER: f64 = 0.6;

/// How long a request may wait in all, here for a place and at its engine behind the prompts of
/// others. The length of its own prompt does not count, so that long ones are not turned away first.
#[must_use]
pub fn patience(target_latency: Duration) -> Duration {
    target_latency.mul_f64(WAIT_PART).max(MIN_WAIT)
}

/// A request that waits for a place.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Waiting {
    /// Names the request.
    pub ticket: u64,
    /// Rank, 0 first.
    pub rank: usize,
    /// When it arrived.
    pub arrived: Duration,
    /// Until when it can still be in time.
    pub in_time_until: Duration,
    /// When it is turned away if it still waits.
    pub until: Duration,
}

/// How a waiting request compares with those that arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub enum WaitingStage {
    /// It can be in time.
    InTime,
    /// It is late and lets others go first.
    Late,
}

impl Waiting {
    /// A request which arrived now and has `left` until its deadline.
    #[must_use]
    pub fn new(
        ticket: u64,
        rank: usize,
        arrived: Duration,
        target_latency: Duration,
        left: Duration,
    ) -> Self {
        let longest = target_latency.mul_f64(LATE_TARGETS);
        let longest = longest.min(left.mul_f64(LATE_PART));
        let patience = patience(target_latency);
        Self {
            ticket,
            rank,
            arrived,
            in_time_until: arrived + patience,
            until: arrived + longest.max(patience),
        }
    }

    /// Where it stands.
    #[must_use]
    pub fn stage(&self, now: Duration) -> WaitingStage {
        if now < self.in_time_until {
            WaitingStage::InTime
        } else {
            WaitingStage::Late
        }
    }

    /// When its stage changes next, or it is turned away.
    #[must_use]
    pub fn next_change(&self, now: Duration) -> Duration {
        match self.stage(now) {
            WaitingStage::InTime => self.in_time_until,
            WaitingStage::Late => self.until,
        }
    }

    fn order(&self, now: Duration) -> (WaitingStage, usize, Duration, u64) {
        (self.stage(now), self.rank, self.arrived, self.ticket)
    }
}

/// The requests of one service that wait.
#[derive(Debug, Clone, Default)]
pub struct WaitingList {
    entries: Vec<Waiting>,
}

impl WaitingList {
    /// Whether a request of this rank can expect a place in time, with `running` requests of this
    /// host at the service.
    #[must_use]
    pub fn has_prospect(&self, rank: usize, running: u32) -> bool {
        let ahead = self
            .entries
            .iter()
            .filter(|entry| entry.rank <= rank)
            .count();
        let bound = 1.0 + TURNOVER * f64::from(running);
        u32::try_from(ahead).is_ok_and(|ahead| f64::from(ahead) < bound)
    }

    /// Adds a request.
    pub fn push(&mut self, waiting: Waiting) {
        self.entries.push(waiting);
    }

    /// Takes a request out, when it was placed, left or was turned away.
    pub fn remove(&mut self, ticket: u64) {
        self.entries.retain(|entry| entry.ticket != ticket);
    }

    /// The request that goes first.
    #[must_use]
    pub fn first(&self, now: Duration) -> Option<&Waiting> {
        self.entries.iter().min_by_key(|entry| entry.order(now))
    }

    /// Whether requests of this rank or a more urgent one wait that can be in time.
    #[must_use]
    pub fn is_behind(&self, rank: usize, now: Duration) -> bool {
        self.entries
            .iter()
            .any(|entry| entry.rank <= rank && entry.stage(now) == WaitingStage::InTime)
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
