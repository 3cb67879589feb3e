//! The retry budget, which bounds the retries of all requests of a daemon together. Without it,
//! retries multiply the load while targets fail.

/// Limit on the retries that the budget can accumulate.
pub const MAX_SAVED_RETRIES: f64 = 10.0;

/// Budget units for one retry. Integer units avoid accumulated rounding errors.
const UNITS_PER_RETRY: u32 = 10_000;

/// Accumulated retries.
///
/// Each request deposits a fraction of a retry when it is first sent to a target, and each retry
/// costs one, so targets receive at most `1 + fraction` attempts per request.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    units: u32,
}

impl RetryBudget {
    /// Creates an empty budget.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Deposits the share of one request; `fraction` is clamped to 0..=1.
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

    /// Takes one retry. Returns false if the budget is spent.
    pub fn try_spend(&mut self) -> bool {
        match self.units.checked_sub(UNITS_PER_RETRY) {
            Some(remaining) => {
                self.units = remaining;
                true
            }
            None => false,
        }
    }

    /// Number of retries that the budget holds; at least 1 is needed for a retry.
    #[must_use]
    pub fn available(&self) -> f64 {
        f64::from(self.units) / f64::from(UNITS_PER_RETRY)
    }
}
