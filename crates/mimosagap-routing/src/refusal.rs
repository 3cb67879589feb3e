//! Why a request gets an answer of the gateway's own.

use std::time::Duration;

/// The reason for an own answer. Each reason has one status and says whether the request may have
/// run, so that a refusal cannot claim more than is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration is known yet.
    NoConfig,
    /// The proof of the configuration is too old to accept a key or to deny a route.
    StaleConfig,
    /// No route matches.
    NoRoute,
    /// The key is unknown or missing.
    UnknownKey,
    /// The request line, headers or framing are wrong.
    Malformed,
    /// The body is longer than the configured limit.
    BodyTooLong,
    /// No target of the service is usable.
    NoTarget,
    /// The targets are full for longer than the request can wait.
    Overload,
    /// Every target that was asked turned the request away unrun.
    TargetsRejected,
    /// The deadline passed before the request was sent to a target.
    DeadlineBeforeSend,
    /// The deadline passed while a target may have been at work.
    DeadlineAfterSend,
    /// A target broke off; the request may have run.
    TargetAborted,
    /// The request is suspected of crashing the targets that run it.
    Quarantined,
    /// The host shuts down and cannot finish a request of this length.
    ShuttingDown,
}

impl RefusalReason {
    /// All reasons.
    pub const ALL: [Self; 14] = [
        Self::NoConfig,
        Self::StaleConfig,
        Self::NoRoute,
        Self::UnknownKey,
        Self::Malformed,
        Self::BodyTooLong,
        Self::NoTarget,
        Self::Overload,
        Self::TargetsRejected,
        Self::DeadlineBeforeSend,
        Self::DeadlineAfterSend,
        Self::TargetAborted,
        Self::Quarantined,
        Self::ShuttingDown,
    ];

    /// The reason with a name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.name() == name)
    }

    /// The HTTP status.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::NoConfig
            | Self::StaleConfig
            | Self::NoTarget
            | Self::Overload
            | Self::TargetsRejected
            | Self::DeadlineBeforeSend
            | Self::ShuttingDown => 503,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::Malformed => 400,
            Self::BodyTooLong => 413,
            Self::DeadlineAfterSend => 504,
            Self::TargetAborted | Self::Quarantined => 502,
        }
    }

    /// A fixed name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::NoConfig => "no_config",
            Self::StaleConfig => "stale_config",
            Self::NoRoute => "no_route",
            Self::UnknownKey => "unknown_key",
            Self::Malformed => "malformed",
            Self::BodyTooLong => "body_too_long",
            Self::NoTarget => "no_target",
            Self::Overload => "overload",
            Self::TargetsRejected => "turned_away",
            Self::DeadlineBeforeSend => "late_unsent",
            Self::DeadlineAfterSend => "late_sent",
            Self::TargetAborted => "target_broke",
            Self::Quarantined => "quarantined",
            Self::ShuttingDown => "leaving",
        }
    }

    /// When the caller should come back, before the spread over callers. `opens_in` is the time
    /// until the first target takes requests again, if all of them asked to be left alone.
    #[must_use]
    pub fn retry_after(self, opens_in: Option<Duration>) -> Option<Duration> {
        let opens_in = opens_in.unwrap_or(Duration::ZERO);
        match self {
            // Another host is asked, so there is nothing to wait for.
            Self::ShuttingDown | Self::StaleConfig => Some(Duration::from_millis(50)),
            Self::NoConfig => Some(Duration::from_millis(300)),
            Self::NoTarget | Self::TargetsRejected => {
                Some(opens_in.max(Duration::from_millis(400)))
            }
            Self::Overload => Some(opens_in.max(Duration::from_millis(1500))),
            _ => None,
        }
    }
}
