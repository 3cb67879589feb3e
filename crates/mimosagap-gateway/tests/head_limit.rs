//! Detection of bytes that keep arriving without completing a head, event or body.

use std::time::Duration;

use mimosagap_gateway::head_limit::SlowSendDetector;
use tokio::time::Instant;

fn exceeds_limit(pauses_ms: &[u64]) -> bool {
    let mut now = Instant::now();
    let mut slow_send_detector = SlowSendDetector::default();
    let mut is_exceeded = slow_send_detector.observe(now);
    for pause_ms in pauses_ms {
        now += Duration::from_millis(*pause_ms);
        is_exceeded |= slow_send_detector.observe(now);
    }
    is_exceeded
}

/// A faulty target sends one byte of a head every 100 ms. Without a limit, the caller waits until
/// its deadline and the target does not count as faulty.
#[test]
fn bytes_that_keep_arriving_exceed_the_limit() {
    assert!(exceeds_limit(&[100; 25]));
    assert!(!exceeds_limit(&[100; 15]));
}

/// After an interruption of the link in the middle of an event, the rest of the event still
/// arrives.
#[test]
fn a_pause_restarts_the_limit() {
    assert!(!exceeds_limit(&[5000, 10, 10]));
}
