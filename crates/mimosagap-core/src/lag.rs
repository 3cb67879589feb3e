//! How old the figures in load reports are, for engines that do not say.
//!
//! The memory of this daemon's own streams is part of the memory that an engine reports, so the
//! changes of both go together when the reports are compared with the past at the right distance.

use std::time::Duration;

/// The ages which are told apart, in milliseconds.
const LAGS_MS: [u64; LAGS] = [0, 500, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000];

/// Number of ages which are told apart.
pub const LAGS: usize = 9;

/// A report keeps this part of its weight with each later one, so that about 1,000 reports count.
const DECAY: f64 = 0.999;

/// Standard deviations by which an age must stand out before it is believed.
const CONFIDENCE: f64 = 3.0;

/// The comparison of reported and own changes at each age.
#[derive(Debug, Clone, Default)]
pub struct ReportLag {
    sums: [f64; LAGS],
    squares: [f64; LAGS],
}

impl ReportLag {
    /// The ages which are told apart.
    #[must_use]
    pub fn lags() -> [Duration; LAGS] {
        LAGS_MS.map(Duration::from_millis)
    }

    /// Takes over how the memory of an engine changed between two reports, and how that of this
    /// daemon's streams there changed at each age before.
    pub fn observe(&mut self, reported: f64, own: [f64; LAGS]) {
        for ((sum, square), own) in self.sums.iter_mut().zip(&mut self.squares).zip(own) {
            let product = reported * own;
            *sum = DECAY * *sum + product;
            *square = DECAY * *square + product * product;
        }
    }

    fn score(&self, index: usize) -> f64 {
        self.sums[index] / self.squares[index].sqrt().max(1e-9)
    }

    /// The most likely age of the figures; zero until another one stands out.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        let best = (0..LAGS).max_by(|left, right| self.score(*left).total_cmp(&self.score(*right)));
        let best = best.filter(|best| self.score(*best) >= CONFIDENCE);
        Duration::from_millis(best.map_or(0, |best| LAGS_MS[best]))
    }
}
