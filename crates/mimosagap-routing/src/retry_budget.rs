//! The budget for sending requests to a second target, shared by all hosts.
//!
//! Load pattern: targets fail or turn requests away and every host wants to try elsewhere at once.
//! Each host spends its part of the allowance and its own requests' ratio, so the sum over all
//! hosts stays within the bound however many take part.

use std::collections::VecDeque;
use std::time::Duration;

/// Part of the allowance that is used, because hosts count windows that begin at other moments
/// and may disagree for some seconds on how many hosts share it.
const USED_PART: f64 = 0.8;

/// The operators' bound on repeats.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Repeats for each request.
    pub ratio: f64,
    /// The sliding window.
    pub window: Duration,
    /// Repeats of all hosts together in a window besides the ratio.
    pub slack: f64,
}

/// Repeats of this host for one service.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    repeats: VecDeque<Duration>,
}

impl RetryBudget {
    /// Counts a request that was first sent to a target.
    pub fn record_request(&mut self, now: Duration, bounds: &RetryBounds) {
        self.forget(now, bounds);
        self.requests.push_back(now);
    }

    /// Takes one repeat if the budget allows it.
    pub fn try_spend(&mut self, now: Duration, bounds: &RetryBounds, hosts: usize) -> bool {
        self.forget(now, bounds);
        let allowed = self.allowance(bounds, hosts);
        let is_allowed = count(self.repeats.len()) + 1.0 <= allowed;
        if is_allowed {
            self.repeats.push_back(now);
        }
        is_allowed
    }

    /// Repeats allowed in the current window.
    #[must_use]
    pub fn allowance(&self, bounds: &RetryBounds, hosts: usize) -> f64 {
        let share = bounds.slack / count(hosts.max(1));
        USED_PART * (share + bounds.ratio * count(self.requests.len()))
    }

    fn forget(&mut self, now: Duration, bounds: &RetryBounds) {
        let start = now.saturating_sub(bounds.window);
        while self.requests.front().is_some_and(|at| *at < start) {
            self.requests.pop_front();
        }
        while self.repeats.front().is_some_and(|at| *at < start) {
            self.repeats.pop_front();
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of one window are small")]
fn count(number: usize) -> f64 {
    number as f64
}
