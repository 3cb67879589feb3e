//! Decides which requests a host still accepts while it shuts down.
//!
//! Callers keep their connections for seconds after a host was asked to stop, and use them until the
//! process exits. The process exits some time before the platform would kill it, and a request that
//! is in flight then is lost, although another host could have served it.

use std::time::Duration;

/// Part of the grace period reserved for the last log lines and the exit, before the process is
/// killed.
const EXIT_MARGIN: Duration = Duration::from_millis(800);

/// A request is accepted only if it is expected to take less than this fraction of the time left.
const USED_TIME_FRACTION: f64 = 0.8;

/// The time from the moment in which a process was asked to stop until it exits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ShutdownWindow {
    exits_at: Duration,
}

impl ShutdownWindow {
    /// Creates the window of a process that was asked to stop at `stopping_since` and is killed
    /// after `grace_period`.
    #[must_use]
    pub fn new(stopping_since: Duration, grace_period: Duration) -> Self {
        Self {
            exits_at: stopping_since + grace_period.saturating_sub(EXIT_MARGIN),
        }
    }

    /// Whether the process exits now, even if requests are in flight.
    #[must_use]
    pub fn is_over(&self, now: Duration) -> bool {
        now >= self.exits_at
    }

    /// Whether a request that is expected to take this long ends before the process exits.
    #[must_use]
    pub fn can_complete(&self, expected_time: Duration, now: Duration) -> bool {
        let time_left = self.exits_at.saturating_sub(now);
        expected_time <= time_left.mul_f64(USED_TIME_FRACTION)
    }
}
