//! The budget for sending requests to a second target, shared by all hosts.
//!
//! When targets fail or reject requests, all hosts want to retry at the same time, and hosts that
//! are restarted meanwhile have forgotten what they spent. Each host saves credit: a part of its
//! share of the fleet's slack, over time, and a fraction of a retry with each request. A process
//! starts without credit, so restarts add nothing to what a host may spend. In any window a host
//! spends at most what it held at the beginning and what it gained since, which is its share of the
//! operators' bound for any number of hosts and restarts. The slack is divided by the most hosts that
//! were listed lately, because a list that is too short for a while would give each host too much.

use std::collections::VecDeque;
use std::time::Duration;

/// Fraction of the fleet's slack that hosts may hold as unspent credit.
const HELD_FRACTION: f64 = 0.55;

/// Fraction of the fleet's slack that hosts gain within a window. Together with [`HELD_FRACTION`] it
/// stays below 1, because hosts may disagree for some seconds on how many share the slack.
const GAINED_FRACTION: f64 = 0.3;

/// Fraction of the operators' ratio that a request adds.
const RATIO_FRACTION: f64 = 0.9;

/// Time after the start of a process in which it may not have heard of all hosts yet.
const LISTING_TIME: Duration = Duration::from_secs(3);

/// Time for which a host that is no longer listed still counts. Its record may have lapsed because
/// the store rejects it, while callers and targets still reach it.
const UNLISTED_TIME: Duration = Duration::from_mins(1);

/// Retries by which a host may exceed its credit to move streams, which are lost otherwise.
const MOVE_DEBT: f64 = 1.0;

/// A host can hold the credit for one retry, however small its share is.
const MIN_CAPACITY: f64 = 1.0;

/// Credit that one host gives another at a time: that of one retry.
const LOAN: f64 = 1.0;

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

/// Why a request is sent to another target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPurpose {
    /// An attempt failed or was rejected, or a call is hedged.
    Attempt,
    /// A stream goes on from its copy because its target leaves or failed.
    Move,
}

impl RetryPurpose {
    /// Stable name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Attempt => "attempt",
            Self::Move => "move",
        }
    }

    /// The credit that a host needs.
    fn required_credit(self) -> f64 {
        match self {
            Self::Attempt => 1.0,
            Self::Move => 1.0 - MOVE_DEBT,
        }
    }
}

/// How many hosts share the slack, as far as one of them knows.
#[derive(Debug, Clone)]
pub struct FleetSize {
    started_at: Duration,
    /// The most hosts listed in the current and in the previous period of [`UNLISTED_TIME`].
    peaks: [usize; 2],
    period_began_at: Duration,
}

impl FleetSize {
    /// Creates the view of a process that started at `started_at`.
    #[must_use]
    pub fn new(started_at: Duration) -> Self {
        Self {
            started_at,
            peaks: [0; 2],
            period_began_at: started_at,
        }
    }

    /// Records how many hosts are listed now. Returns how many share the slack; `None` while this
    /// host may not have heard of all others.
    pub fn update(&mut self, listed_hosts: usize, now: Duration) -> Option<usize> {
        if now.saturating_sub(self.period_began_at) >= UNLISTED_TIME {
            self.peaks = [0, self.peaks[0]];
            self.period_began_at = now;
        }
        self.peaks[0] = self.peaks[0].max(listed_hosts);
        let is_settled = now.saturating_sub(self.started_at) >= LISTING_TIME;
        let most_hosts = self.peaks[0].max(self.peaks[1]);
        (is_settled && most_hosts > 0).then_some(most_hosts)
    }
}

/// Credit of this host for retries at one service.
#[derive(Debug, Clone)]
pub struct RetryBudget {
    requests: VecDeque<Duration>,
    credit: f64,
    updated_at: Duration,
}

impl RetryBudget {
    /// Creates the budget of a process that started at `started_at`.
    #[must_use]
    pub fn new(started_at: Duration) -> Self {
        Self {
            requests: VecDeque::new(),
            credit: 0.0,
            updated_at: started_at,
        }
    }

    /// Records the first send of a request.
    pub fn record_request(
        &mut self,
        now: Duration,
        bounds: &RetryBounds,
        sharing_hosts: Option<usize>,
    ) {
        self.update(now, bounds, sharing_hosts);
        self.requests.push_back(now);
        self.credit += RATIO_FRACTION * bounds.ratio;
        self.credit = self.credit.min(capacity(bounds, sharing_hosts));
    }

    /// Spends one retry if the credit allows it. Returns whether it does.
    pub fn try_spend(
        &mut self,
        purpose: RetryPurpose,
        now: Duration,
        bounds: &RetryBounds,
        sharing_hosts: Option<usize>,
    ) -> bool {
        self.update(now, bounds, sharing_hosts);
        let is_allowed = self.credit >= purpose.required_credit();
        if is_allowed {
            self.credit -= 1.0;
        }
        is_allowed
    }

    /// Retries that this host may still spend now.
    pub fn current_credit(
        &mut self,
        now: Duration,
        bounds: &RetryBounds,
        sharing_hosts: Option<usize>,
    ) -> f64 {
        self.update(now, bounds, sharing_hosts);
        self.credit
    }

    /// Returns a retry that was spent on a request which was not sent after all.
    pub fn refund(&mut self) {
        self.credit += 1.0;
    }

    /// Gives the credit for one retry to another host if this one holds as much. Returns whether it
    /// does.
    pub fn try_lend(
        &mut self,
        now: Duration,
        bounds: &RetryBounds,
        sharing_hosts: Option<usize>,
    ) -> bool {
        self.update(now, bounds, sharing_hosts);
        let can_lend = self.credit >= LOAN;
        if can_lend {
            self.credit -= LOAN;
        }
        can_lend
    }

    /// Adds the credit for one retry that another host gave. The next update cuts what exceeds the
    /// capacity of this host.
    pub fn add_loan(&mut self) {
        self.credit += LOAN;
    }

    /// Retries that this host may still spend, as of the last change.
    #[must_use]
    pub fn credit(&self) -> f64 {
        self.credit
    }

    /// Requests per second in the current window.
    #[must_use]
    pub fn request_rate(&self, bounds: &RetryBounds) -> f64 {
        to_f64(self.requests.len()) / bounds.window.as_secs_f64().max(1.0)
    }

    /// Adds what was gained since the last change.
    fn update(&mut self, now: Duration, bounds: &RetryBounds, sharing_hosts: Option<usize>) {
        let elapsed = now.saturating_sub(self.updated_at).as_secs_f64();
        self.updated_at = self.updated_at.max(now);
        let windows = elapsed / bounds.window.as_secs_f64().max(1.0);
        self.credit += windows * GAINED_FRACTION * slack_share(bounds, sharing_hosts);
        self.credit = self.credit.min(capacity(bounds, sharing_hosts));
        let window_start = now.saturating_sub(bounds.window);
        while self.requests.front().is_some_and(|at| *at < window_start) {
            self.requests.pop_front();
        }
    }
}

/// The most credit that a host can hold.
#[must_use]
pub fn capacity(bounds: &RetryBounds, sharing_hosts: Option<usize>) -> f64 {
    (HELD_FRACTION * slack_share(bounds, sharing_hosts)).max(MIN_CAPACITY)
}

fn slack_share(bounds: &RetryBounds, sharing_hosts: Option<usize>) -> f64 {
    sharing_hosts.map_or(0.0, |count| bounds.slack / to_f64(count.max(1)))
}

#[expect(clippy::cast_precision_loss, reason = "counts of one window are small")]
fn to_f64(count: usize) -> f64 {
    count as f64
}
