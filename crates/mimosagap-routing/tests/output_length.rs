//! Length hints that are right at the median and often several times too long or too short.

use mimosagap_routing::output_length::LengthEstimator;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values are small and positive"
)]
fn whole_tokens(value: f64) -> u32 {
    value as u32
}

/// Hints and lengths of the requests of one route; both vary by a factor of about three.
fn requests() -> Vec<(u32, u32)> {
    let mut random = SmallRng::seed_from_u64(3);
    let mut noise = || (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    (0..400)
        .map(|_| {
            let length = (500.0_f64.ln() + 0.9 * noise()).exp().clamp(1.0, 2200.0);
            let hint = (length.ln() + 1.15 * noise()).exp().max(1.0);
            (whole_tokens(hint), whole_tokens(length))
        })
        .collect()
}

#[test]
fn the_total_length_of_many_requests_is_estimated_within_a_quarter() {
    let requests = requests();
    let mut estimator = LengthEstimator::default();
    for (hint, length) in &requests[..100] {
        estimator.record_hint(*hint);
        estimator.record_completion(*hint, *length);
    }
    let remaining_requests = &requests[100..];
    let generated_sum: u32 = remaining_requests.iter().map(|(_, length)| *length).sum();
    let expected_sum: u32 = remaining_requests
        .iter()
        .map(|(hint, _)| estimator.expected_tokens(Some(*hint), 2224))
        .sum();
    let hint_sum: u32 = remaining_requests
        .iter()
        .map(|(hint, _)| (*hint).min(2224))
        .sum();
    let error = |sum: u32| (f64::from(sum) / f64::from(generated_sum) - 1.0).abs();
    assert!(
        error(expected_sum) < 0.25,
        "expected {expected_sum}, generated {generated_sum}"
    );
    assert!(error(expected_sum) < error(hint_sum));
}

#[test]
fn the_estimate_grows_less_than_the_hint() {
    let estimator = LengthEstimator::default();
    let short_estimate = estimator.expected_tokens(Some(50), 2000);
    let long_estimate = estimator.expected_tokens(Some(1000), 2000);
    assert!(short_estimate < long_estimate && long_estimate < 20 * short_estimate);
}

#[test]
fn the_estimate_stays_within_the_token_limit() {
    let estimator = LengthEstimator::default();
    assert!(estimator.expected_tokens(Some(1_000_000), 36) <= 36);
    assert!(estimator.expected_tokens(None, 36) <= 36);
    assert!(estimator.expected_tokens(None, 0) > 0);
}
