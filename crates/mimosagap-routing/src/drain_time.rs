//! Estimates how long an engine keeps serving after its termination notice.
//!
//! A sixth of the engines may be terminated every three seconds, two seconds after their notice.
//! Within that time they can still do a tenth of the work of a fully loaded fleet, since a response
//! of a few tokens takes less than a second. The estimate is three quarters of the shortest time
//! that was observed recently, and zero until three engines of the service have ended.

use std::collections::VecDeque;
use std::time::Duration;

/// Number of recent drain times that are kept.
const MAX_SAMPLES: usize = 16;

/// Number of drain times that an estimate needs.
const MIN_SAMPLES: usize = 3;

/// Fraction of the shortest drain time that the estimate uses.
const SAFETY_FACTOR: f64 = 0.75;

/// Recent times from termination notice to end for the engines of one service.
#[derive(Debug, Clone, Default)]
pub struct DrainTimes {
    samples: VecDeque<Duration>,
}

impl DrainTimes {
    /// Records that an engine ended this long after its notice.
    pub fn record(&mut self, drain_time: Duration) {
        self.samples.push_back(drain_time);
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// Time after its notice for which an engine is expected to serve; zero with too few samples.
    #[must_use]
    pub fn conservative_estimate(&self) -> Duration {
        let shortest = self.samples.iter().min();
        shortest
            .filter(|_| self.samples.len() >= MIN_SAMPLES)
            .map_or(Duration::ZERO, |drain_time| {
                drain_time.mul_f64(SAFETY_FACTOR)
            })
    }
}
