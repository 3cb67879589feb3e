//! Estimates the time per output token of a service's engines.
//!
//! Some kinds of engines generate tokens twice as fast as others. The time that a generation still
//! needs decides whether it is migrated off a draining engine.

use std::time::Duration;

/// Estimate before the first sample.
const INITIAL_TIME_PER_TOKEN: Duration = Duration::from_millis(11);

/// Weight of one sample in the exponential moving average.
const SAMPLE_WEIGHT: f64 = 0.1;

/// Shorter generations are ignored because their time per token varies too much.
const MIN_SAMPLE_TOKENS: u32 = 40;

/// Moving average of the time per output token of one service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TokenTimeEstimator {
    mean: Duration,
}

impl Default for TokenTimeEstimator {
    fn default() -> Self {
        Self {
            mean: INITIAL_TIME_PER_TOKEN,
        }
    }
}

impl TokenTimeEstimator {
    /// Records that a generation made `tokens` tokens in `elapsed`.
    pub fn record(&mut self, tokens: u32, elapsed: Duration) {
        if tokens >= MIN_SAMPLE_TOKENS {
            let weighted_mean = self.mean.mul_f64(1.0 - SAMPLE_WEIGHT);
            self.mean = weighted_mean + (elapsed / tokens).mul_f64(SAMPLE_WEIGHT);
        }
    }

    /// Estimated time per output token; the initial value before the first sample.
    #[must_use]
    pub fn time_per_token(&self) -> Duration {
        self.mean
    }
}
