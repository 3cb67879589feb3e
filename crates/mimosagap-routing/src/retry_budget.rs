//! The budget for sending requests to a second target, shared by all hosts.
//!
//! When targets fail or reject requests, all hosts want to retry at the same time. Each host may
//! spend an equal part of the fleet's allowance and a fraction of its own requests, so that the sum
//! over all hosts stays within the bound for any number of hosts.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the allowance that is used. The windows of hosts begin at different times, and hosts
/// may disagree for some seconds on how many share the allowance.
const USED_FRACTION: f64 = 0.8;

/// The operators' bound on retries.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBounds {
    /// Retries per request.
    pub ratio: f64,
    /// Length of the sliding window.
    pub window: Duration,
    /// Retries of all hosts together in a window, in addition to the ratio.
    pub slack: f64,
}

/// Requests and retries of this host for one service.
#[derive(Debug, Clone, Default)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    retries: VecDeque<Duration>,
}

impl RetryBudget {
    /// Records the first send of a request.
    pub fn record_request(&mut self, now: Duration, bounds: &RetryBounds) {
        self.drop_expired(now, bounds);
        self.requests.push_back(now);
    }

    /// Spends one retry if the budget allows it. Returns whether it does.
    pub fn try_spend(&mut self, now: Duration, bounds: &RetryBounds, host_count: usize) -> bool {
        self.drop_expired(now, bounds);
        let allowance = self.allowance(bounds, host_count);
        let is_allowed = to_f64(self.retries.len()) + 1.0 <= allowance;
        if is_allowed {
            self.retries.push_back(now);
        }
        is_allowed
    }

    /// Returns a retry that was spent on a request which was not sent after all.
    pub fn refund(&mut self) {
        self.retries.pop_back();
    }

    /// Retries in the current window.
    #[must_use]
    pub fn spent(&self) -> usize {
        self.retries.len()
    }

    /// Requests per second in the current window.
    #[must_use]
    pub fn request_rate(&self, bounds: &RetryBounds) -> f64 {
        to_f64(self.requests.len()) / bounds.window.as_secs_f64().max(1.0)
    }

    /// Number of retries allowed in the current window.
    #[must_use]
    pub fn allowance(&self, bounds: &RetryBounds, host_count: usize) -> f64 {
        let slack_share = bounds.slack / to_f64(host_count.max(1));
        USED_FRACTION * (slack_share + bounds.ratio * to_f64(self.requests.len()))
    }

    fn drop_expired(&mut self, now: Duration, bounds: &RetryBounds) {
        let window_start = now.saturating_sub(bounds.window);
        while self.requests.front().is_some_and(|at| *at < window_start) {
            self.requests.pop_front();
        }
        while self.retries.front().is_some_and(|at| *at < window_start) {
            self.retries.pop_front();
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts of one window are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
