//! Retry delays with jitter, and random choice.

use std::time::Duration;

/// Exponential backoff with jitter, so that daemons do not retry in step.
#[derive(Debug)]
pub(super) struct RetryBackoff {
    initial: Duration,
    max: Duration,
    next_nominal: Duration,
}

impl RetryBackoff {
    pub(super) fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            next_nominal: initial,
        }
    }

    /// Returns the next delay: 0.5 to 1.5 times the nominal one, which doubles up to the maximum.
    pub(super) fn next_delay(&mut self) -> Duration {
        let delay = self.next_nominal;
        self.next_nominal = (2 * delay).min(self.max);
        jitter(delay)
    }

    pub(super) fn reset(&mut self) {
        self.next_nominal = self.initial;
    }
}

/// Returns a random duration of 0.5 to 1.5 times `delay`.
pub(super) fn jitter(delay: Duration) -> Duration {
    delay / 2 + delay.mul_f64(f64::from(random_u32()) / f64::from(u32::MAX))
}

/// Keeps `count` random elements of `items`, in random order.
pub(super) fn choose_random<T>(items: &mut Vec<T>, count: usize) {
    let count = count.min(items.len());
    for index in 0..count {
        let remaining = items.len() - index;
        let other = index + random_u32() as usize % remaining;
        items.swap(index, other);
    }
    items.truncate(count);
}

fn random_u32() -> u32 {
    getrandom::u32().unwrap_or_default()
}
