//! Messages and retry delays of refusals.

use std::time::Duration;

use mimosagap_types::prelude::*;
use rand::Rng;

/// Retry delay for causes that pass quickly, such as congestion or a lost target.
pub const SHORT_RETRY_DELAY: Duration = Duration::from_millis(500);

/// Retry delay for causes that last until the fleet changes, such as a store outage.
pub const LONG_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Randomizes a delay to 0.5 to 1.5 times its length, so that callers refused together do not retry
/// together.
pub fn randomize_delay(delay: Duration, rng: &mut impl Rng) -> Duration {
    delay.mul_f64(rng.random_range(0.5..1.5))
}

/// The message for a cause: what happened and what the caller can do.
#[must_use]
pub fn refusal_message(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::LimitReached => "the team's limit is used up; send the request again later",
        RefusalCause::RefusedByRule => "a rule refuses this team; ask the operators",
        RefusalCause::Overloaded => "the queue is full or the wait too long; try again later",
        RefusalCause::NoTarget => "no target takes the request at present; try again later",
        RefusalCause::RetryBudgetSpent => "the attempt failed and no retry is left; try again",
        RefusalCause::Quarantined => {
            "the request was running when an engine died and is quarantined; ask for an unblock rule"
        }
        RefusalCause::StoreUnavailable => "the store cannot be reached; try again later",
        RefusalCause::Isolated => "the rules in force are not known; use another address",
        RefusalCause::Leaving => "the daemon is shutting down; use another address",
        RefusalCause::OrderInProgress => {
            "the order was placed before and has no result yet; send it again with the same key"
        }
        RefusalCause::KeyReused => "the idempotency key belongs to another order; use a new key",
        RefusalCause::TargetSilent => {
            "the target did not answer in time; send it again with the same key"
        }
        RefusalCause::GenerationLost => "the engine lost the generation; send the request again",
        RefusalCause::TargetFailed => "the target failed; check the request or try again",
        RefusalCause::Cancelled => "the caller cancelled the request",
        _ => "the request was refused",
    }
}

/// Randomized retry delay for a cause; `None` if a retry cannot help.
pub fn retry_delay(cause: RefusalCause, rng: &mut impl Rng) -> Option<Duration> {
    let delay = match cause {
        RefusalCause::LimitReached
        | RefusalCause::RetryBudgetSpent
        | RefusalCause::OrderInProgress
        | RefusalCause::TargetSilent
        | RefusalCause::GenerationLost
        | RefusalCause::TargetFailed
        | RefusalCause::Leaving => SHORT_RETRY_DELAY,
        RefusalCause::Overloaded
        | RefusalCause::NoTarget
        | RefusalCause::StoreUnavailable
        | RefusalCause::Isolated => LONG_RETRY_DELAY,
        _ => return None,
    };
    Some(randomize_delay(delay, rng))
}
