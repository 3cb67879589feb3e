//! Estimates the age of the figures in load reports, for engines that do not state it.
//!
//! An engine's reported memory includes that of this daemon's own streams, so changes of the two
//! correlate best when the report is compared with the memory of these streams at the time the
//! figures were taken.

use std::time::Duration;

const CANDIDATE_AGES_MS: [u64; CANDIDATE_COUNT] =
    [0, 500, 1_000, 2_000, 3_000, 4_000, 5_000, 6_000, 7_000];

/// Number of candidate ages.
pub const CANDIDATE_COUNT: usize = 9;

/// Factor on the weight of all earlier reports with each new one, so that about 1,000 reports
/// count.
const DECAY: f64 = 0.999;

/// Standard deviations by which a candidate's correlation must exceed zero to be accepted.
const MIN_SCORE: f64 = 3.0;

/// Correlation of reported and own memory changes at each candidate age.
#[derive(Debug, Clone, Default)]
pub struct LagEstimator {
    weighted_products: [f64; CANDIDATE_COUNT],
    weighted_squares: [f64; CANDIDATE_COUNT],
}

impl LagEstimator {
    /// Ages that the figures of a report may have, from the lowest to the highest.
    #[must_use]
    pub fn candidate_ages() -> [Duration; CANDIDATE_COUNT] {
        CANDIDATE_AGES_MS.map(Duration::from_millis)
    }

    /// Adds one observation: the change of an engine's memory between two reports, and that of this
    /// daemon's streams there over the same interval shifted back by each candidate age, in tokens.
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

    /// The most likely age of the figures; zero until one candidate is significant.
    #[must_use]
    pub fn estimate(&self) -> Duration {
        let best = (0..CANDIDATE_COUNT)
            .max_by(|left, right| self.score(*left).total_cmp(&self.score(*right)));
        let best = best.filter(|best| self.score(*best) >= MIN_SCORE);
        Duration::from_millis(best.map_or(0, |best| CANDIDATE_AGES_MS[best]))
    }
}
