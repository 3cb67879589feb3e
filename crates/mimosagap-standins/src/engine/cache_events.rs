//! Cache events of the engine, published with an adjustable delay and loss rate.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;
use serde::Serialize;

use crate::engine::cache::CacheChange;

/// Maximum number of events kept for later reads; older ones are dropped.
const MAX_KEPT_EVENTS: usize = 8_192;

#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct CacheEvent {
    pub(crate) sequence: u64,
    #[serde(rename = "type")]
    pub(crate) kind: &'static str,
    pub(crate) block_hashes: Vec<u64>,
    #[serde(skip)]
    visible_at: Instant,
}

/// Queue of published events. A lost event uses up a sequence number, so that readers see the gap.
#[derive(Debug)]
pub(crate) struct CachePublisher {
    lag: Duration,
    loss: f64,
    next_sequence: u64,
    events: VecDeque<CacheEvent>,
}

impl CachePublisher {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            loss: 0.0,
            next_sequence: 1,
            events: VecDeque::new(),
        }
    }

    pub(crate) fn set_loss(&mut self, fraction: f64) {
        self.loss = fraction.clamp(0.0, 1.0);
    }

    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag;
    }

    /// Publishes the changes of one step as at most one `removed` and one `stored` event.
    pub(crate) fn publish(&mut self, changes: &[CacheChange], now: Instant, rng: &mut SmallRng) {
        let mut stored = Vec::new();
        let mut removed = Vec::new();
        for change in changes {
            match change {
                CacheChange::Stored(hash) => stored.push(*hash),
                CacheChange::Removed(hash) => removed.push(*hash),
            }
        }
        self.append("removed", removed, now, rng);
        self.append("stored", stored, now, rng);
    }

    /// The events after sequence number `since` whose delay has passed.
    pub(crate) fn after(&self, since: u64, now: Instant) -> Vec<&CacheEvent> {
        self.events
            .iter()
            .filter(|event| event.sequence > since)
            .take_while(|event| event.visible_at <= now)
            .collect()
    }

    fn append(&mut self, kind: &'static str, hashes: Vec<u64>, now: Instant, rng: &mut SmallRng) {
        if hashes.is_empty() {
            return;
        }
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        if rng.random_bool(self.loss) {
            return;
        }
        if self.events.len() == MAX_KEPT_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(CacheEvent {
            sequence,
            kind,
            block_hashes: hashes,
            visible_at: now + self.lag,
        });
    }
}
