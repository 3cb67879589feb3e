//! Refusals as callers see them.

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
    /// The caller did not prove its team.
    Unauthenticated,
    /// The team may not do this, for example resume another team's generation.
    Forbidden,
    /// The request is malformed or too large.
    BadRequest,
    /// No model, service or generation of this name exists.
    NotFound,
    /// The idempotency key was used before with another body.
    KeyReused,
    /// The team's limit is used up.
    LimitReached,
    /// A rule refuses the team.
    RefusedByRule,
    /// The admission queue is full, or the request waited in it too long.
    Overloaded,
    /// No target can take the request.
    NoTarget,
    /// The retry budget is used up.
    RetryBudgetSpent,
    /// The request killed two targets and is quarantined.
    Quarantined,
    /// The store is out of reach, so an order cannot be claimed.
    StoreUnavailable,
    /// The daemon cannot know which rules are in force.
    Isolated,
    /// The daemon is shutting down.
    Leaving,
    /// Another daemon holds the claim of this order.
    OrderInProgress,
    /// The target did not answer an order in time.
    TargetSilent,
    /// The engine lost the generation after tokens were delivered.
    GenerationLost,
    /// The target answered with an error.
    TargetFailed,
    /// The caller cancelled the request.
    Cancelled,
}

impl RefusalCause {
    /// The machine-readable code.
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

    /// The HTTP status which goes with the cause.
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

/// The rule line behind a decision.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RuleReference {
    /// The revision of the rules file.
    pub revision: RulesRevision,
    /// The line number, starting at 1.
    pub line: u32,
    /// Who asked for the line, as written in its comment.
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

/// A final answer that is not the result of the work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub cause: RefusalCause,
    /// What happened to the work.
    pub outcome: RunOutcome,
    /// One sentence for people, naming the remedy.
    pub message: String,
    /// When a new try is worthwhile; `None` if it never is.
    pub retry_after: Option<Duration>,
    /// The rule behind the decision, if one is.
    pub rule: Option<RuleReference>,
}

impl Refusal {
    /// A refusal of work that was not carried out.
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

    /// Sets what happened to the work.
    #[must_use]
    pub fn with_outcome(mut self, outcome: RunOutcome) -> Self {
        self.outcome = outcome;
        self
    }

    /// Sets when a new try is worthwhile.
    #[must_use]
    pub fn with_retry_after(mut self, delay: Duration) -> Self {
        self.retry_after = Some(delay);
        self
    }

    /// Names the rule behind the decision.
    #[must_use]
    pub fn with_rule(mut self, rule: Option<RuleReference>) -> Self {
        self.rule = rule;
        self
    }
}
