//! An inactivity timeout that is cheap to reset.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep_until};

/// Expires when no activity was recorded for `timeout`.
///
/// The timer is re-armed only when it fires. Recording activity costs one store, so a stream costs
/// one timer regardless of how many tokens it carries.
pub struct IdleTimer {
    timeout: Duration,
    last_activity: Instant,
    sleep: Pin<Box<Sleep>>,
}

impl IdleTimer {
    /// Creates a timer that starts now.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let now = Instant::now();
        Self {
            timeout,
            last_activity: now,
            sleep: Box::pin(sleep_until(now + timeout)),
        }
    }

    /// Records activity at `now`.
    pub fn record_activity(&mut self, now: Instant) {
        self.last_activity = now;
    }

    /// Is ready once the timeout has passed since the last activity.
    pub fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let deadline = self.last_activity + self.timeout;
            if deadline <= Instant::now() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(deadline);
        }
    }
}
