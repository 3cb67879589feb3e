//! The retry budget, which bounds further attempts over all requests of a daemon.

/// Attempts which can be saved at most.
pub const MAX_SAVED_RETRIES: f64 = 10.0;

/// Units of one attempt. Whole units avoid the rounding of repeated fractions.
const UNITS_PER_RETRY: u32 = 10_000;

/// Saved further attempts.
///
/// Each request deposits a fraction of an attempt when it is first sent to a target, and each
/// further attempt costs one, so targets see at most `1 + fraction` attempts per request.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    units: u32,
}

impl RetryBudget {
    /// An empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the share of one request.
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the fraction is clamped to 0..=1"
    )]
    pub fn deposit(&mut self, fraction: f64) {
        let units = (fraction.clamp(0.0, 1.0) * f64::from(UNITS_PER_RETRY)).floor() as u32;
        let max_units = (MAX_SAVED_RETRIES * f64::from(UNITS_PER_RETRY)) as u32;
        self.units = (self.units + units).min(max_units);
    }

    /// Takes one attempt, if one is saved.
    pub fn try_spend(&mut self) -> bool {
        match self.units.checked_sub(UNITS_PER_RETRY) {
            Some(remaining) => {
                self.units = remaining;
                true
            }
            None => false,
        }
    }

    /// Attempts saved.
    #[must_use]
    pub fn available(&self) -> f64 {
        f64::from(self.units) / f64::from(UNITS_PER_RETRY)
    }
}
