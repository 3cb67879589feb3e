//! Many hosts which all want to try elsewhere at once.

use std::time::Duration;

use mimosagap_routing::retry_budget::{RetryBounds, RetryBudget};
use rstest::rstest;

const BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 58.0,
};

#[rstest]
#[case::alone(1)]
#[case::today(9)]
#[case::grown(85)]
#[case::two_years(320)]
fn all_hosts_together_stay_within_the_bound(#[case] hosts: usize) {
    let requests_each: u32 = 20;
    let mut repeats = 0_u32;
    for _ in 0..hosts {
        let mut budget = RetryBudget::default();
        for number in 0..requests_each {
            let now = Duration::from_millis(u64::from(number) * 100);
            budget.record_request(now, &BOUNDS);
            while budget.try_spend(now, &BOUNDS, hosts) {
                repeats += 1;
            }
        }
    }
    let requests = f64::from(requests_each) * f64::from(u32::try_from(hosts).unwrap());
    assert!(f64::from(repeats) <= BOUNDS.slack + BOUNDS.ratio * requests);
}

#[test]
fn a_host_alone_is_not_starved() {
    let mut budget = RetryBudget::default();
    assert!(budget.try_spend(Duration::ZERO, &BOUNDS, 1));
}

#[test]
fn repeats_come_back_when_the_window_has_passed() {
    let mut budget = RetryBudget::default();
    while budget.try_spend(Duration::ZERO, &BOUNDS, 9) {}
    assert!(!budget.try_spend(Duration::from_secs(9), &BOUNDS, 9));
    assert!(budget.try_spend(Duration::from_secs(11), &BOUNDS, 9));
}
