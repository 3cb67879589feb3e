//! Requests that arrive on kept connections while their host shuts down.

use std::time::Duration;

use mimosagap_routing::shutdown::{ShutdownWindow, longest_generation};
use rstest::rstest;

const STOPPING_SINCE: Duration = Duration::from_secs(100);

const GRACE_PERIOD: Duration = Duration::from_secs(8);

/// A short generation arrived 7.13 s after SIGTERM, 70 ms before the process exited, and was lost.
/// The time left was counted up to the moment in which the platform would have killed the process.
#[rstest]
#[case::seconds_before_the_exit(4000, 400, true)]
#[case::shortly_before_the_exit(7130, 400, false)]
#[case::longer_than_the_rest(4000, 3000, false)]
#[case::after_the_exit(7500, 10, false)]
fn a_request_that_would_outlive_the_process_is_not_accepted(
    #[case] elapsed_ms: u64,
    #[case] expected_ms: u64,
    #[case] is_accepted: bool,
) {
    let window = ShutdownWindow::new(STOPPING_SINCE, GRACE_PERIOD);
    let now = STOPPING_SINCE + Duration::from_millis(elapsed_ms);
    let expected_time = Duration::from_millis(expected_ms);
    assert_eq!(window.can_complete(expected_time, now), is_accepted);
}

#[test]
fn the_process_exits_before_it_is_killed() {
    let window = ShutdownWindow::new(STOPPING_SINCE, GRACE_PERIOD);
    assert!(!window.is_over(STOPPING_SINCE + Duration::from_secs(7)));
    assert!(window.is_over(STOPPING_SINCE + Duration::from_millis(7200)));
}

/// Generations taken more than 3 s after SIGTERM were cut at the exit: their lengths were estimated
/// from hints, and the real ones spread by a factor of three and more. The token limit bounds them.
#[rstest]
#[case::short(48, true)]
#[case::long(2196, false)]
#[case::without_limit(0, false)]
fn a_generation_is_accepted_by_its_longest_time(
    #[case] max_tokens: u32,
    #[case] is_accepted: bool,
) {
    let window = ShutdownWindow::new(STOPPING_SINCE, GRACE_PERIOD);
    let now = STOPPING_SINCE + Duration::from_millis(3200);
    let deadline = Duration::from_secs(39);
    let longest_time = longest_generation(2500, max_tokens, Duration::from_millis(9));
    let can_complete = window.can_complete(longest_time.unwrap_or(deadline), now);
    assert_eq!(can_complete, is_accepted);
}
