//! How many output tokens a generation is expected to make.
//!
//! Load pattern: callers estimate lengths that are right at the median and often several times too
//! long or too short. Taken as they are, the overestimates reserve most of the engines' memory. The
//! estimate of one request is drawn towards what the requests of its route usually need, as far as
//! the errors of earlier estimates say.

/// Weight of the assumptions below, in observations.
const PRIOR_WEIGHT: f64 = 6.0;

/// Assumed variance of the logarithm of an estimate's error: a factor of three either way.
const PRIOR_ERROR: f64 = 1.2;

/// Assumed variance of the logarithm of the lengths of one route.
const PRIOR_SPREAD: f64 = 0.9;

/// Assumed typical length as a part of a request's bound.
const PRIOR_PART: f64 = 0.25;

/// Least variance of the lengths of a route, so that an estimate never counts for nothing.
const LEAST_SPREAD: f64 = 0.2;

/// Part of a request's bound up to which the expectation goes.
const MOST_PART: f64 = 0.9;

/// Mean and variance of observations.
#[derive(Debug, Clone, Copy, Default)]
struct Moments {
    count: f64,
    sum: f64,
    squares: f64,
}

impl Moments {
    fn add(&mut self, value: f64) {
        self.count += 1.0;
        self.sum += value;
        self.squares += value * value;
    }

    /// The mean, with `assumed` counted as some observations.
    fn mean(&self, assumed: f64) -> f64 {
        (self.sum + PRIOR_WEIGHT * assumed) / (self.count + PRIOR_WEIGHT)
    }

    /// The variance around `center`, with `assumed` counted as some observations.
    fn variance(&self, center: f64, assumed: f64) -> f64 {
        let around = self.squares - 2.0 * center * self.sum + self.count * center * center;
        (around + PRIOR_WEIGHT * assumed) / (self.count + PRIOR_WEIGHT)
    }
}

/// What is known of the lengths of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct LengthEstimator {
    /// Logarithms of the callers' estimates, whose median is that of the lengths.
    estimates: Moments,
    /// Logarithms of the factors by which estimates were wrong.
    errors: Moments,
}

impl LengthEstimator {
    /// Counts a request's estimate.
    pub fn record_hint(&mut self, hint: u32) {
        self.estimates.add(logarithm(hint));
    }

    /// Counts a whole generation.
    pub fn record_completion(&mut self, hint: u32, made: u32) {
        self.errors.add(logarithm(made) - logarithm(hint));
    }

    /// The expected length of a request with an estimate and a bound; 0 is no bound.
    #[must_use]
    pub fn expected_tokens(&self, hint: Option<u32>, most: u32) -> u32 {
        let bound = if most == 0 { u32::MAX } else { most };
        let assumed = (f64::from(bound.min(8192)) * PRIOR_PART).max(1.0).ln();
        let center = self.estimates.mean(assumed);
        let error = self.errors.variance(0.0, PRIOR_ERROR);
        let total = self.estimates.variance(center, PRIOR_SPREAD + PRIOR_ERROR);
        let spread = (total - error).max(LEAST_SPREAD);
        let (mean, variance) = match hint {
            Some(hint) => {
                let sum = spread + error;
                let mean = (center * error + logarithm(hint) * spread) / sum;
                (mean, spread * error / sum)
            }
            None => (center, spread),
        };
        let expected = (mean + variance / 2.0).exp();
        whole(expected.min(f64::from(bound) * MOST_PART))
    }
}

fn logarithm(tokens: u32) -> f64 {
    f64::from(tokens.max(1)).ln()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is positive and below the bound"
)]
fn whole(tokens: f64) -> u32 {
    tokens.max(1.0) as u32
}
