//! Random waits.

use std::time::Duration;

/// Growing waits between attempts, with jitter so that daemons do not try in step.
#[derive(Debug)]
pub(super) struct Backoff {
    first: Duration,
    most: Duration,
    next: Duration,
}

impl Backoff {
    pub(super) fn new(first: Duration, most: Duration) -> Self {
        Self {
            first,
            most,
            next: first,
        }
    }

    /// The next wait, half to one and a half times the nominal one.
    pub(super) fn next_wait(&mut self) -> Duration {
        let wait = self.next;
        self.next = (2 * wait).min(self.most);
        jitter(wait)
    }

    pub(super) fn reset(&mut self) {
        self.next = self.first;
    }
}

/// Half to one and a half times `wait`.
pub(super) fn jitter(wait: Duration) -> Duration {
    wait / 2 + wait.mul_f64(f64::from(random_u32()) / f64::from(u32::MAX))
}

/// Chooses `count` of `items` at random, in place.
pub(super) fn choose<T>(items: &mut Vec<T>, count: usize) {
    let count = count.min(items.len());
    for index in 0..count {
        let rest = items.len() - index;
        let other = index + random_u32() as usize % rest;
        items.swap(index, other);
    }
    items.truncate(count);
}

fn random_u32() -> u32 {
    getrandom::u32().unwrap_or_default()
}
