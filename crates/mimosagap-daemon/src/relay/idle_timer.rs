//! A time limit since the last sign of life.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use tokio::time::{Instant, Sleep, sleep_until};

/// Expires when nothing was noted for `limit`.
///
/// The timer is armed again only when it fires, so that noting a sign of life costs one store and
/// a stream costs one timer, however many tokens it carries.
pub struct IdleTimer {
    limit: Duration,
    last: Instant,
    sleep: Pin<Box<Sleep>>,
}

impl IdleTimer {
    /// A timer that starts now.
    #[must_use]
    pub fn new(limit: Duration) -> Self {
        let now = Instant::now();
        Self {
            limit,
            last: now,
            sleep: Box::pin(sleep_until(now + limit)),
        }
    }

    /// Notes a sign of life.
    pub fn touch(&mut self, now: Instant) {
        self.last = now;
    }

    /// Ready once the limit has passed since the last sign of life.
    pub fn poll_expired(&mut self, context: &mut Context<'_>) -> Poll<()> {
        loop {
            ready!(self.sleep.as_mut().poll(context));
            let due = self.last + self.limit;
            if due <= Instant::now() {
                return Poll::Ready(());
            }
            self.sleep.as_mut().reset(due);
        }
    }
}
