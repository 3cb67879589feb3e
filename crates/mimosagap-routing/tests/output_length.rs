//! Estimates that are right at the median and often several times too long or too short.

use mimosagap_routing::output_length::LengthEstimator;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the values are small and positive"
)]
fn whole(value: f64) -> u32 {
    value as u32
}

/// Lengths and estimates of one route: both vary by a factor of about three.
fn requests() -> Vec<(u32, u32)> {
    let mut random = SmallRng::seed_from_u64(3);
    let mut noise = || (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
    (0..400)
        .map(|_| {
            let length = (500.0_f64.ln() + 0.9 * noise()).exp().clamp(1.0, 2200.0);
            let hint = (length.ln() + 1.15 * noise()).exp().max(1.0);
            (whole(hint), whole(length))
        })
        .collect()
}

#[test]
fn the_memory_of_many_requests_is_estimated_within_a_quarter() {
    let requests = requests();
    let mut estimator = LengthEstimator::default();
    for (hint, length) in &requests[..100] {
        estimator.record_hint(*hint);
        estimator.record_completion(*hint, *length);
    }
    let rest = &requests[100..];
    let made: u32 = rest.iter().map(|(_, length)| *length).sum();
    let expected: u32 = rest
        .iter()
        .map(|(hint, _)| estimator.expected_tokens(Some(*hint), 2224))
        .sum();
    let hinted: u32 = rest.iter().map(|(hint, _)| (*hint).min(2224)).sum();
    let error = |sum: u32| (f64::from(sum) / f64::from(made) - 1.0).abs();
    assert!(error(expected) < 0.25, "expected {expected}, made {made}");
    assert!(error(expected) < error(hinted));
}

#[test]
fn a_longer_hint_is_expected_to_be_longer_but_less_so() {
    let estimator = LengthEstimator::default();
    let short = estimator.expected_tokens(Some(50), 2000);
    let long = estimator.expected_tokens(Some(1000), 2000);
    assert!(short < long && long < 20 * short);
}

#[test]
fn the_expectation_stays_within_the_bound() {
    let estimator = LengthEstimator::default();
    assert!(estimator.expected_tokens(Some(1_000_000), 36) <= 36);
    assert!(estimator.expected_tokens(None, 36) <= 36);
    assert!(estimator.expected_tokens(None, 0) > 0);
}
