//! Bytes that complete nothing.

use std::time::Duration;

use mimosagap_gateway::head_limit::DripDetector;
use tokio::time::Instant;

fn is_given_up(pauses: &[u64]) -> bool {
    let mut now = Instant::now();
    let mut drip = DripDetector::default();
    let mut is_over = drip.observe(now);
    for pause in pauses {
        now += Duration::from_millis(*pause);
        is_over |= drip.observe(now);
    }
    is_over
}

/// A sick target sent one byte of a head every tenth of a second; the caller waited for its whole
/// patience and the target was not told apart.
#[test]
fn bytes_that_keep_coming_and_complete_nothing_are_given_up() {
    assert!(is_given_up(&[100; 25]));
    assert!(!is_given_up(&[100; 15]));
}

/// A link that was cut in the middle of an event brings the rest when it is whole again.
#[test]
fn silence_is_no_reason_to_give_up() {
    assert!(!is_given_up(&[5000, 10, 10]));
}
