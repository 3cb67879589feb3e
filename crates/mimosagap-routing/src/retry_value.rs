//! How often a second attempt of a call helps, by route and by what the first one ended with.
//!
//! Load pattern: targets answer some reads with an error that another target repeats. Of 338 such
//! reads the second attempt served 93, while other calls whose retry would have succeeded found the
//! retry budget empty. When credit is short, the retries that help least leave a reserve to those
//! that help more; with credit to spare all are sent.

use std::collections::HashMap;
use std::time::Duration;

use mimosagap_types::prelude::*;

/// Weight of a new outcome in the average: about the last ten count.
const OUTCOME_WEIGHT: f64 = 0.1;

/// Time without outcomes in which an estimate moves halfway back to that of an unknown retry, so
/// that retries which were skipped are tried again. With 30 s, a
/// simulated fleet of 300 hosts gained nothing.
const ESTIMATE_HALF_LIFE: Duration = Duration::from_mins(2);

/// Time for which the demand of other retries counts: the usual window of the retry budget.
const DEMAND_TTL: Duration = Duration::from_secs(10);

/// Largest fraction of the credit that a host can hold which is reserved for better retries.
const RESERVED_FRACTION: f64 = 0.5;

/// A retry is skipped if its value is below this fraction of that of one which the budget denied
/// lately. In a large fleet a host can hold the credit for one retry only, and reserve nothing.
const MIN_VALUE_RATIO: f64 = 0.5;

/// Estimates from which on those without recent demand are forgotten. Configurations add routes
/// all day.
const MAX_ESTIMATES: usize = 256;

/// What the attempt before a retry ended with.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum RetryCause {
    /// A response with a server error.
    ErrorResponse,
    /// No response: the target was unreachable, rejected the request or broke the connection off.
    NoResponse,
}

impl RetryCause {
    /// Stable name for logs.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ErrorResponse => "error_response",
            Self::NoResponse => "no_response",
        }
    }
}

/// What to do about a retry that is wanted.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum RetryVerdict {
    /// It is sent if the budget allows it.
    Send,
    /// Its credit is left to retries that help more.
    Skip {
        /// How often it helps, relative to the best retry wanted lately.
        relative_value: f64,
    },
}

#[derive(Debug, Clone, Copy)]
struct RetryEstimate {
    success_rate: f64,
    learned_at: Duration,
    wanted_at: Duration,
    /// When the budget last denied such a retry.
    denied_at: Option<Duration>,
}

impl RetryEstimate {
    /// Probability that a retry helps; 1 while nothing is known.
    fn value(&self, now: Duration) -> f64 {
        let idle_secs = now.saturating_sub(self.learned_at).as_secs_f64();
        let confidence = 0.5_f64.powf(idle_secs / ESTIMATE_HALF_LIFE.as_secs_f64());
        1.0 - (1.0 - self.success_rate) * confidence
    }
}

/// Estimates for the routes that share one retry budget.
#[derive(Debug, Clone, Default)]
pub struct RetryValues {
    estimates: HashMap<(ClassName, RetryCause), RetryEstimate>,
}

impl RetryValues {
    /// Records whether a retry brought a response without a server error.
    pub fn record(
        &mut self,
        route: &ClassName,
        cause: RetryCause,
        has_helped: bool,
        now: Duration,
    ) {
        let estimate = self.estimate_mut(route, cause, now);
        let sample = if has_helped { 1.0 } else { 0.0 };
        let value = estimate.value(now);
        estimate.success_rate = value + OUTCOME_WEIGHT * (sample - value);
        estimate.learned_at = now;
    }

    /// Judges a retry that is wanted, with the credit that the host has and can hold. Without the
    /// credit for any retry, the budget denies it.
    pub fn judge(
        &mut self,
        route: &ClassName,
        cause: RetryCause,
        credit: f64,
        capacity: f64,
        now: Duration,
    ) -> RetryVerdict {
        let estimate = self.estimate_mut(route, cause, now);
        estimate.wanted_at = now;
        if credit < 1.0 {
            estimate.denied_at = Some(now);
            return RetryVerdict::Send;
        }
        let value = estimate.value(now);
        let (mut best_value, mut best_denied) = (value, 0.0_f64);
        for other in self.estimates.values() {
            let is_recent = |at| now.saturating_sub(at) < DEMAND_TTL;
            if is_recent(other.wanted_at) {
                best_value = best_value.max(other.value(now));
            }
            if other.denied_at.is_some_and(is_recent) {
                best_denied = best_denied.max(other.value(now));
            }
        }
        let relative_value = if best_value > 0.0 {
            value / best_value
        } else {
            1.0
        };
        let max_reserve = (capacity * RESERVED_FRACTION).min(capacity - 1.0).max(0.0);
        let has_reserve = credit >= 1.0 + max_reserve * (1.0 - relative_value);
        if has_reserve && value >= MIN_VALUE_RATIO * best_denied {
            RetryVerdict::Send
        } else {
            RetryVerdict::Skip { relative_value }
        }
    }

    fn estimate_mut(
        &mut self,
        route: &ClassName,
        cause: RetryCause,
        now: Duration,
    ) -> &mut RetryEstimate {
        if self.estimates.len() >= MAX_ESTIMATES {
            self.estimates
                .retain(|_, other| now.saturating_sub(other.wanted_at) < DEMAND_TTL);
        }
        let estimate = self.estimates.entry((route.clone(), cause));
        estimate.or_insert(RetryEstimate {
            success_rate: 1.0,
            learned_at: now,
            wanted_at: now,
            denied_at: None,
        })
    }
}
