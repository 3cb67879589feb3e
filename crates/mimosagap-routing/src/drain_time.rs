//! How long engines go on after their notice, as their entries showed.
//!
//! Load pattern: a sixth of the engines is taken away every three seconds, two seconds after the
//! notice. What they could still do in that time is a tenth of what the fleet can do when it is
//! full: an answer of a few tokens begins and ends within a second.

use std::collections::VecDeque;
use std::time::Duration;

/// Ends that are remembered.
const REMEMBERED: usize = 16;

/// Ends that must have been seen before anything is expected.
const LEAST: usize = 3;

/// Part of the shortest time seen that is relied on.
const RELIED_PART: f64 = 0.75;

/// Times from the notice to the end of the last engines of one service.
#[derive(Debug, Clone, Default)]
pub struct DrainTimes {
    times: VecDeque<Duration>,
}

impl DrainTimes {
    /// An engine ended this long after its notice.
    pub fn record(&mut self, time: Duration) {
        self.times.push_back(time);
        if self.times.len() > REMEMBERED {
            self.times.pop_front();
        }
    }

    /// The time for which an engine can be relied on after its notice; none before some have ended.
    #[must_use]
    pub fn conservative_estimate(&self) -> Duration {
        let shortest = self.times.iter().min();
        shortest
            .filter(|_| self.times.len() >= LEAST)
            .map_or(Duration::ZERO, |time| time.mul_f64(RELIED_PART))
    }
}
