//! KV cache use of this daemon's streams at one engine, now and over the last seconds. It tells how
//! much of the use that an old report shows belongs to these streams.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Age beyond which samples are dropped.
pub const HISTORY_WINDOW: Duration = Duration::from_secs(8);

/// Minimum interval between samples that record growth alone.
const GROWTH_INTERVAL: Duration = Duration::from_millis(200);

/// Bounds the samples for an engine with very many short streams.
const MAX_SAMPLES: usize = 512;

#[derive(Debug, Clone, Copy)]
struct MemorySample {
    taken_at: Instant,
    tokens: u64,
}

/// Tokens held now, with samples of the recent past.
#[derive(Debug, Clone, Default)]
pub struct MemoryHistory {
    tokens: u64,
    samples: VecDeque<MemorySample>,
}

impl MemoryHistory {
    /// Tokens held now.
    #[must_use]
    pub fn tokens(&self) -> u64 {
        self.tokens
    }

    /// Adds the tokens of a new stream.
    pub fn add(&mut self, tokens: u64, now: Instant) {
        self.tokens += tokens;
        self.record(now);
    }

    /// Adds the growth of a running stream.
    pub fn grow(&mut self, tokens: u64, now: Instant) {
        self.tokens += tokens;
        let is_due =
            |last: &MemorySample| now.saturating_duration_since(last.taken_at) >= GROWTH_INTERVAL;
        if self.samples.back().is_none_or(is_due) {
            self.record(now);
        }
    }

    /// Removes the tokens of a stream that ended.
    pub fn remove(&mut self, tokens: u64, now: Instant) {
        self.tokens = self.tokens.saturating_sub(tokens);
        self.record(now);
    }

    fn record(&mut self, now: Instant) {
        let is_old = |sample: &MemorySample| {
            now.saturating_duration_since(sample.taken_at) >= HISTORY_WINDOW
        };
        while self.samples.len() >= MAX_SAMPLES || self.samples.get(1).is_some_and(is_old) {
            self.samples.pop_front();
        }
        self.samples.push_back(MemorySample {
            taken_at: now,
            tokens: self.tokens,
        });
    }

    /// Tokens held at a time within [`HISTORY_WINDOW`]; 0 before the first sample.
    #[must_use]
    pub fn tokens_at(&self, at: Instant) -> u64 {
        let later_index = self.samples.partition_point(|sample| sample.taken_at <= at);
        let sample = later_index
            .checked_sub(1)
            .and_then(|index| self.samples.get(index));
        sample.map_or(0, |sample| sample.tokens)
    }
}
