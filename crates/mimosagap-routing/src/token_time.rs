//! How long the engines of a service take for one output token.
//!
//! Load pattern: engines of several kinds, of which some make tokens twice as fast as others. What a
//! generation still needs decides whether it is moved off an engine that leaves.

use std::time::Duration;

/// Assumed time for one token until enough generations have ended.
const PRIOR: Duration = Duration::from_millis(11);

/// Weight of one generation.
const WEIGHT: f64 = 0.1;

/// A generation with fewer tokens says little.
const LEAST_TOKENS: u32 = 40;

/// The mean time for one token of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenTimeEstimator {
    mean: Duration,
}

impl Default for TokenTimeEstimator {
    fn default() -> Self {
        Self { mean: PRIOR }
    }
}

impl TokenTimeEstimator {
    /// A generation made some tokens in a time.
    pub fn record(&mut self, tokens: u32, took: Duration) {
        if tokens >= LEAST_TOKENS {
            let mean = self.mean.mul_f64(1.0 - WEIGHT);
            self.mean = mean + (took / tokens).mul_f64(WEIGHT);
        }
    }

    /// The time for one token.
    #[must_use]
    pub fn time_per_token(&self) -> Duration {
        self.mean
    }
}
