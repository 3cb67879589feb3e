//! How old the figures in load reports are, for engines that do not say.
//!
//! The memory of this daemon's own streams is part of the memory that an engine reports, so the
//! changes of both go together when the reports are compared with the past at the right distance.

use std::time::Duration;

/// The ages which are told apart, in milliseconds.
const CANDIDATE_AGES_MS: [u64; CANDIDATE_COUNT] =
    [0, 500, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000];

/// Number of ages which are told apart.
pub const CANDIDATE_COUNT: usize = 9;

/// A report keeps this part of its weight with each later one, so that about 1,000 reports count.
const DECAY: f64 = 0.999;

/// Standard deviations by which an age must stand out before it is believed.
const MIN_SCORE: f64 = 3.0;

/// The comparison of reported and own changes at each age.
#[derive(Debug, Clone, Default)]
pub struct LagEstimator {
    weighted_products: [f64; CANDIDATE_COUNT],
    weighted_squares: [f64; CANDIDATE_COUNT],
}

impl LagEstimator {
    /// The ages which are told apart.
    #[must_use]
    pub fn candidate_ages() -> [Duration; CANDIDATE_COUNT] {
        CANDIDATE_AGES_MS.map(Duration::from_millis)
    }

    /// Takes over how the memory of an engine changed between two reports, and how that of this
    /// daemon's streams there changed at each age before.
    pub fn observe(&mut self, reported_change: f64, own_changes: [f64; CANDIDATE_COUNT]) {
        for ((sum, square), own_change) in self
            .weighted_products
            .iter_mut()
            .zip(&mut self.weighted_squares)
            .zip(own_changes)
        {
            let product = reported_change * own_change;
            *sum = DECAY * *sum + product;
            *square = DECAY * *square + product * product;
        }
    }

    fn score(&self, index: usize) -> f64 {
        self.weighted_products[index] / self.weighted_squares[index].sqrt().max(1e-9)
    }

    /// The most likely age of the figures; zero until another one stands out.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        let best = (0..CANDIDATE_COUNT)
            .max_by(|left, right| self.score(*left).total_cmp(&self.score(*right)));
        let best = best.filter(|best| self.score(*best) >= MIN_SCORE);
        Duration::from_millis(best.map_or(0, |best| CANDIDATE_AGES_MS[best]))
    }
}
