//! Many hosts that want to retry at the same time.

use std::time::Duration;

use mimosagap_routing::retry_budget::{RetryBounds, RetryBudget, RetryPurpose};
use rstest::rstest;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 58.0,
};

#[rstest]
#[case::single_host(1)]
#[case::small_fleet(9)]
#[case::medium_fleet(85)]
#[case::large_fleet(320)]
fn all_hosts_together_stay_within_the_bound(#[case] host_count: usize) {
    let requests_per_host: u32 = 20;
    let started_at = Duration::from_mins(1);
    let mut retries = 0_u32;
    for _ in 0..host_count {
        // The hosts have run for long and hold all the credit that they can.
        let mut budget = RetryBudget::new(Duration::ZERO);
        for number in 0..requests_per_host {
            let now = started_at + Duration::from_millis(u64::from(number) * 100);
            budget.record_request(now, &BOUNDS, Some(host_count));
            while budget.try_spend(RetryPurpose::Attempt, now, &BOUNDS, Some(host_count)) {
                retries += 1;
            }
        }
    }
    let request_count =
        f64::from(requests_per_host) * f64::from(u32::try_from(host_count).unwrap());
    assert!(f64::from(retries) <= BOUNDS.slack + BOUNDS.ratio * request_count);
}

#[test]
fn a_single_host_may_retry_its_first_request() {
    let mut budget = RetryBudget::new(Duration::ZERO);
    assert!(!budget.try_spend(RetryPurpose::Attempt, Duration::ZERO, &BOUNDS, Some(1)));
    assert!(budget.try_spend(
        RetryPurpose::Attempt,
        Duration::from_secs(1),
        &BOUNDS,
        Some(1)
    ));
}

#[test]
fn spent_retries_are_allowed_again_after_the_window() {
    let mut budget = RetryBudget::new(Duration::ZERO);
    let spend_all = |budget: &mut RetryBudget, now| {
        std::iter::repeat_with(|| budget.try_spend(RetryPurpose::Attempt, now, &BOUNDS, Some(9)))
            .take_while(|is_allowed| *is_allowed)
            .count()
    };
    // At least half of the host's share of 6.4 at once, and never more than the share in a window.
    let first = spend_all(&mut budget, Duration::from_mins(1));
    assert!((3..=6).contains(&first), "{first} retries");
    assert!(!budget.try_spend(
        RetryPurpose::Attempt,
        Duration::from_secs(61),
        &BOUNDS,
        Some(9)
    ));
    let later = spend_all(&mut budget, Duration::from_secs(70));
    assert!(later >= 1, "no retry is allowed after the window");
    assert!(first + later <= 6, "{first} and {later} retries");
}
