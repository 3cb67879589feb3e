//! Rate limits that targets name for all hosts together, as one host believes them.
//!
//! A target names its limit in responses, so one host hears it first and tells the others. The
//! responses of one target overtake each other, and so do the notices of hosts: which statement is
//! newer follows from the times between which its target made it. A limit never lapses by itself,
//! because a target that gets no request cannot repeat it; [`MIN_RATE`] keeps asking. When it ends,
//! the rate is raised over [`RAMP_TIME`], so that the callers that were kept away do not all return
//! at once.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Lowest rate at which requests are sent to a limited target, per second: one request in ten
/// seconds, without which the end of a limit near 0 would go unnoticed.
pub const MIN_RATE: f64 = 0.1;

/// Highest rate that has any effect, per second; keeps intervals above the clock's resolution.
pub const MAX_RATE: f64 = 1e6;

/// Time after the end of a limit in which the rate is still bounded.
pub const RAMP_TIME: Duration = Duration::from_secs(2);

/// Time in which the rate doubles after the end of a limit.
const RAMP_DOUBLING_TIME: Duration = Duration::from_millis(400);

/// Rate from which the ramp begins at least, per second.
const MIN_RAMP_RATE: f64 = 1.0;

/// What a target said of its rate in one response.
#[derive(Debug, Clone, Copy, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct RateStatement {
    /// Requests per second that it accepts from all hosts together; `None` if it named no limit.
    pub per_second: Option<f64>,
    /// When the request was sent. The target made the statement after that.
    pub asked_at: Duration,
    /// When the response was received. The target made the statement before that.
    pub heard_at: Duration,
}

impl RateStatement {
    /// The same statement with its times replaced by their ages, to be sent to another host.
    #[must_use]
    pub fn to_ages(self, now: Duration) -> Self {
        Self {
            asked_at: now.saturating_sub(self.asked_at),
            heard_at: now.saturating_sub(self.heard_at),
            ..self
        }
    }

    /// The statement of [`Self::to_ages`] with times of this host, which received it now.
    #[must_use]
    pub fn from_ages(self, now: Duration) -> Self {
        self.to_ages(now)
    }
}

/// How a statement changed what this host believes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RateChange {
    /// It says nothing new, or is older than the newest one.
    Unchanged,
    /// The target names a limit for the first time, or again.
    Started,
    /// The limit has another value.
    Changed,
    /// The target names no limit any more.
    Ended,
}

impl RateChange {
    /// Whether hosts without a response of the target have to know. They ask for permits while there
    /// is a limit, and its value travels with their asks.
    #[must_use]
    pub fn concerns_other_hosts(self) -> bool {
        matches!(self, Self::Started | Self::Ended)
    }
}

/// The rate limit of one target, and when this host may ask for its next permit.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct TargetRate {
    newest: Option<RateStatement>,
    /// When the limit was first named; kept when its value changes.
    named_since: Option<Duration>,
    /// When this host learned that the limit ended, and its last value.
    ended: Option<(Duration, f64)>,
    hold_until: Duration,
    overload: f64,
}

impl TargetRate {
    /// Records a statement, of this host or another one.
    pub fn record(&mut self, statement: RateStatement, now: Duration) -> RateChange {
        let Some(newest) = &mut self.newest else {
            let Some(_) = statement.per_second else {
                return RateChange::Unchanged;
            };
            self.newest = Some(statement);
            self.named_since = Some(now);
            self.ended = None;
            return RateChange::Started;
        };
        let old_rate = newest.per_second;
        let is_newer = statement.asked_at >= newest.heard_at;
        // Of two statements whose order is unknown, the stricter one counts.
        let is_stricter = statement.asked_at >= newest.asked_at
            && match (statement.per_second, old_rate) {
                (Some(rate), Some(old_rate)) => rate <= old_rate,
                (Some(_), None) => true,
                (None, _) => false,
            };
        if !is_newer && !is_stricter {
            return RateChange::Unchanged;
        }
        *newest = RateStatement {
            heard_at: statement.heard_at.max(newest.heard_at),
            ..statement
        };
        match (old_rate, statement.per_second) {
            (None, None) => RateChange::Unchanged,
            (Some(old), Some(new)) if old.total_cmp(&new).is_eq() => RateChange::Unchanged,
            (Some(_), Some(_)) => RateChange::Changed,
            (None, Some(_)) => {
                self.named_since = Some(now);
                self.ended = None;
                RateChange::Started
            }
            (Some(old), None) => {
                self.named_since = None;
                self.ended = Some((now, old));
                self.hold_until = Duration::ZERO;
                RateChange::Ended
            }
        }
    }

    /// The newest statement; `None` if the target never named a limit.
    #[must_use]
    pub fn newest(&self) -> Option<RateStatement> {
        self.newest
    }

    /// Requests per second that all hosts together may send; `None` if there is no limit.
    #[must_use]
    pub fn per_second(&self, now: Duration) -> Option<f64> {
        if let Some(named) = self.newest?.per_second {
            return Some(named.clamp(MIN_RATE, MAX_RATE));
        }
        let (ended_at, last_rate) = self.ended?;
        let elapsed = now.saturating_sub(ended_at);
        let doublings = elapsed.as_secs_f64() / RAMP_DOUBLING_TIME.as_secs_f64();
        let rate = last_rate.max(MIN_RAMP_RATE) * doublings.exp2();
        (elapsed < RAMP_TIME).then(|| rate.min(MAX_RATE))
    }

    /// How long ago the target first named the limit that is in force; `None` if it names none.
    #[must_use]
    pub fn named_for(&self, now: Duration) -> Option<Duration> {
        self.named_since.map(|since| now.saturating_sub(since))
    }

    /// Records that a permit was denied and the next one may be asked for after `ask_in`. The
    /// `overload` is the demand of all hosts as a multiple of the rate.
    pub fn hold(&mut self, ask_in: Duration, overload: f64, now: Duration) {
        self.hold_until = now + ask_in;
        self.overload = overload;
    }

    /// Time until this host may ask for a permit; zero if it may ask now or needs none.
    #[must_use]
    pub fn hold_time(&self, now: Duration) -> Duration {
        if self.per_second(now).is_none() {
            return Duration::ZERO;
        }
        self.hold_until.saturating_sub(now)
    }

    /// Demand of all hosts as a multiple of the rate, when a permit was last denied; at least 1.
    #[must_use]
    pub fn overload(&self) -> f64 {
        self.overload.max(1.0)
    }
}
