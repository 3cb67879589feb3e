//! Refusals: the final errors that callers receive in place of a result.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ids::RulesRevision;
use crate::outcome::RunOutcome;

/// Why a request was refused; the caller sees it as `error.code`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RefusalCause {
    /// The request carries no valid token of a team.
    Unauthenticated,
    /// The team lacks the permission, for example to resume another team's generation.
    Forbidden,
    /// The request is malformed or too large.
    BadRequest,
    /// No model, service or generation of this name exists.
    NotFound,
    /// The idempotency key was used before with another request body.
    KeyReused,
    /// The team's limit is reached.
    LimitReached,
    /// An operators' rule denies requests of the team.
    RefusedByRule,
    /// The admission queue is full, or the request waited in it for too long.
    Overloaded,
    /// No usable target can serve the request.
    NoTarget,
    /// The retry budget is exhausted.
    RetryBudgetSpent,
    /// The request is quarantined because two targets crashed while they executed it.
    Quarantined,
    /// The store cannot be reached, so the order cannot be claimed.
    StoreUnavailable,
    /// The daemon is cut off and cannot know which rules are in force.
    Isolated,
    /// The daemon is shutting down.
    Leaving,
    /// Another daemon holds the claim on the order.
    OrderInProgress,
    /// The target did not respond to an order in time.
    TargetSilent,
    /// The engine lost the generation after the caller received tokens.
    GenerationLost,
    /// The target responded with an error.
    TargetFailed,
    /// The caller cancelled the request.
    Cancelled,
}

impl RefusalCause {
    /// The value of `error.code`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Unauthenticated => "unauthenticated",
            Self::Forbidden => "forbidden",
            Self::BadRequest => "bad_request",
            Self::NotFound => "not_found",
            Self::KeyReused => "key_reused",
            Self::LimitReached => "limit_reached",
            Self::RefusedByRule => "refused_by_rule",
            Self::Overloaded => "overloaded",
            Self::NoTarget => "no_target",
            Self::RetryBudgetSpent => "retry_budget_spent",
            Self::Quarantined => "quarantined",
            Self::StoreUnavailable => "store_unavailable",
            Self::Isolated => "isolated",
            Self::Leaving => "leaving",
            Self::OrderInProgress => "order_in_progress",
            Self::TargetSilent => "target_silent",
            Self::GenerationLost => "generation_lost",
            Self::TargetFailed => "target_failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// The HTTP status of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::BadRequest => 400,
            Self::Unauthenticated => 401,
            Self::Forbidden | Self::RefusedByRule => 403,
            Self::NotFound => 404,
            Self::OrderInProgress | Self::Cancelled => 409,
            Self::KeyReused | Self::Quarantined => 422,
            Self::LimitReached => 429,
            Self::TargetFailed | Self::GenerationLost => 502,
            Self::Overloaded
            | Self::NoTarget
            | Self::RetryBudgetSpent
            | Self::StoreUnavailable
            | Self::Isolated
            | Self::Leaving => 503,
            Self::TargetSilent => 504,
        }
    }
}

/// The line of the rules file that led to a decision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RuleReference {
    /// The revision of the rules file that contains the line.
    pub revision: RulesRevision,
    /// The line number, counted from 1.
    pub line: u32,
    /// Who requested the rule, as written in the comment of the line.
    pub asked_by: String,
}

impl fmt::Display for RuleReference {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            revision,
            line,
            asked_by,
        } = self;
        write!(f, "rules revision {revision}, line {line} ({asked_by})")
    }
}

/// The final error of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why the request was refused.
    pub cause: RefusalCause,
    /// Whether the work was executed.
    pub outcome: RunOutcome,
    /// One sentence for the reader, which names the remedy.
    pub message: String,
    /// The delay after which a retry may succeed; `None` if it never does.
    pub retry_after: Option<Duration>,
    /// The rule that led to the refusal; `None` if no rule did.
    pub rule: Option<RuleReference>,
}

impl Refusal {
    /// Creates a refusal of work that was not executed, without delay for a retry or rule.
    #[must_use]
    pub fn new(cause: RefusalCause, message: impl Into<String>) -> Self {
        Self {
            cause,
            outcome: RunOutcome::NotRun,
            message: message.into(),
            retry_after: None,
            rule: None,
        }
    }

    /// Replaces the outcome, which is [`RunOutcome::NotRun`] at first.
    #[must_use]
    pub fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets the delay after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Sets the rule that led to the refusal.
    #[must_use]
    pub fn with_rule(mut self, rule: Option<RuleReference>) -> Self {
        self.rule = rule;
        self
    }
}
