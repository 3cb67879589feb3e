//! Estimates how many output tokens a generation will make.
//!
//! The length hints of callers are right at the median but often several times too long or too
//! short, and hints that are too long would reserve most of the engines' memory. The estimate
//! combines the hint of a request with the typical length of its route, weighted by the errors of
//! earlier hints.

/// Weight of the prior assumptions, in observations.
const PRIOR_WEIGHT: f64 = 6.0;

/// Assumed variance of the logarithm of a hint's error: a factor of three either way.
const PRIOR_ERROR_VARIANCE: f64 = 1.2;

/// Assumed variance of the logarithm of the lengths of one route.
const PRIOR_LENGTH_VARIANCE: f64 = 0.9;

/// Assumed typical length as a fraction of a request's token limit.
const PRIOR_LENGTH_FRACTION: f64 = 0.25;

/// Minimum variance of the lengths of a route, so that a hint always has some weight.
const MIN_LENGTH_VARIANCE: f64 = 0.2;

/// Maximum estimate as a fraction of a request's token limit.
const MAX_LENGTH_FRACTION: f64 = 0.9;

/// Running sums for the mean and variance of observations.
#[derive(Debug, Clone, Copy, Default)]
struct Moments {
    count: f64,
    sum: f64,
    sum_of_squares: f64,
}

impl Moments {
    fn add(&mut self, value: f64) {
        self.count += 1.0;
        self.sum += value;
        self.sum_of_squares += value * value;
    }

    /// The mean, with `prior` counted as [`PRIOR_WEIGHT`] observations.
    fn mean(&self, prior: f64) -> f64 {
        (self.sum + PRIOR_WEIGHT * prior) / (self.count + PRIOR_WEIGHT)
    }

    /// The variance around `center`, with `prior` counted as [`PRIOR_WEIGHT`] observations.
    fn variance(&self, center: f64, prior: f64) -> f64 {
        let squared_deviations =
            self.sum_of_squares - 2.0 * center * self.sum + self.count * center * center;
        (squared_deviations + PRIOR_WEIGHT * prior) / (self.count + PRIOR_WEIGHT)
    }
}

/// Statistics of the output lengths of one route.
#[derive(Debug, Clone, Copy, Default)]
pub struct LengthEstimator {
    /// Logarithms of the hints, whose median is that of the lengths.
    hints: Moments,
    /// Logarithms of the ratios of length to hint.
    errors: Moments,
}

impl LengthEstimator {
    /// Records the hint of an arriving request, in tokens.
    pub fn record_hint(&mut self, hint: u32) {
        self.hints.add(ln_tokens(hint));
    }

    /// Records the hint and the length of a generation that has ended, in tokens.
    pub fn record_completion(&mut self, hint: u32, generated_tokens: u32) {
        self.errors
            .add(ln_tokens(generated_tokens) - ln_tokens(hint));
    }

    /// The expected length of a request. A `max_tokens` of 0 means no limit.
    #[must_use]
    pub fn expected_tokens(&self, hint: Option<u32>, max_tokens: u32) -> u32 {
        let limit = if max_tokens == 0 {
            u32::MAX
        } else {
            max_tokens
        };
        let prior_mean = (f64::from(limit.min(8192)) * PRIOR_LENGTH_FRACTION)
            .max(1.0)
            .ln();
        let center = self.hints.mean(prior_mean);
        let error_variance = self.errors.variance(0.0, PRIOR_ERROR_VARIANCE);
        let hint_variance = self
            .hints
            .variance(center, PRIOR_LENGTH_VARIANCE + PRIOR_ERROR_VARIANCE);
        let length_variance = (hint_variance - error_variance).max(MIN_LENGTH_VARIANCE);
        let (mean, variance) = match hint {
            Some(hint) => {
                let variance_sum = length_variance + error_variance;
                let mean =
                    (center * error_variance + ln_tokens(hint) * length_variance) / variance_sum;
                (mean, length_variance * error_variance / variance_sum)
            }
            None => (center, length_variance),
        };
        let expected_tokens = (mean + variance / 2.0).exp();
        whole_tokens(expected_tokens.min(f64::from(limit) * MAX_LENGTH_FRACTION))
    }
}

fn ln_tokens(tokens: u32) -> f64 {
    f64::from(tokens.max(1)).ln()
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the value is positive and at most the token limit"
)]
fn whole_tokens(tokens: f64) -> u32 {
    tokens.max(1.0) as u32
}
