//! Reasons for which the gateway itself responds to a request with an error.

use std::time::Duration;

/// Reason for a refusal. Each reason has one status and states whether the request may have run, so
/// that a refusal claims no more than is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RefusalReason {
    /// No configuration has been read yet.
    NoConfig,
    /// The configuration was confirmed too long ago to accept a key or to reject an unknown route.
    StaleConfig,
    /// No route matches.
    NoRoute,
    /// The key is missing or unknown.
    UnknownKey,
    /// The request line, headers or framing are invalid.
    Malformed,
    /// The body exceeds the configured limit.
    BodyTooLong,
    /// No target of the service is available.
    NoTarget,
    /// The targets are expected to stay full for longer than the request can wait.
    Overload,
    /// The rate limits of the targets leave no room in the time that the request can wait.
    RateLimited,
    /// Every target that was tried rejected the request without running it.
    TargetsRejected,
    /// The deadline passed before the request was sent to a target.
    DeadlineBeforeSend,
    /// The deadline passed after the request was sent to a target, which may have run it.
    DeadlineAfterSend,
    /// A target ended the exchange without a complete response; the request may have run.
    TargetAborted,
    /// The request is blocked because targets crashed under it or under a part of its prompt. It was
    /// not sent.
    Quarantined,
    /// Like [`Self::Quarantined`], but the request was sent before.
    QuarantinedAfterSend,
    /// The request resumes a stream, and the version of the engine that began it cannot be told.
    VersionUnknown,
    /// Like [`Self::VersionUnknown`], but the request was sent before.
    VersionUnknownAfterSend,
    /// The request resumes a stream, and no engine of the version that began it is available.
    VersionGone,
    /// The host is shutting down and cannot finish a request of this length in time.
    ShuttingDown,
    /// The memory of the host has no room for the body, or the body made too little progress while
    /// others needed the room. The request was not sent.
    RequestMemory,
}

impl RefusalReason {
    /// All reasons, in the order of their declaration.
    pub const ALL: [Self; 20] = [
        Self::NoConfig,
        Self::StaleConfig,
        Self::NoRoute,
        Self::UnknownKey,
        Self::Malformed,
        Self::BodyTooLong,
        Self::NoTarget,
        Self::Overload,
        Self::RateLimited,
        Self::TargetsRejected,
        Self::DeadlineBeforeSend,
        Self::DeadlineAfterSend,
        Self::TargetAborted,
        Self::Quarantined,
        Self::QuarantinedAfterSend,
        Self::VersionUnknown,
        Self::VersionUnknownAfterSend,
        Self::VersionGone,
        Self::ShuttingDown,
        Self::RequestMemory,
    ];

    /// Parses the result of [`Self::name`]; `None` if there is no such reason.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.name() == name)
    }

    /// The HTTP status code of the response.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            Self::NoConfig
            | Self::StaleConfig
            | Self::NoTarget
            | Self::Overload
            | Self::RateLimited
            | Self::TargetsRejected
            | Self::DeadlineBeforeSend
            | Self::VersionUnknown
            | Self::VersionGone
            | Self::ShuttingDown
            | Self::RequestMemory => 503,
            Self::NoRoute => 404,
            Self::UnknownKey => 401,
            Self::Malformed => 400,
            Self::BodyTooLong => 413,
            Self::DeadlineAfterSend => 504,
            Self::TargetAborted
            | Self::Quarantined
            | Self::QuarantinedAfterSend
            | Self::VersionUnknownAfterSend => 502,
        }
    }

    /// The name in log lines and metrics, which must not change.
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
            Self::RateLimited => "rate_limited",
            Self::TargetsRejected => "turned_away",
            Self::DeadlineBeforeSend => "late_unsent",
            Self::DeadlineAfterSend => "late_sent",
            Self::TargetAborted => "target_broke",
            Self::Quarantined => "quarantined",
            Self::QuarantinedAfterSend => "quarantined_sent",
            Self::VersionUnknown => "version_unknown",
            Self::VersionUnknownAfterSend => "version_unknown_sent",
            Self::VersionGone => "version_gone",
            Self::ShuttingDown => "leaving",
            Self::RequestMemory => "request_memory",
        }
    }

    /// Whether another host may serve the request, which this one has not sent and never will.
    #[must_use]
    pub fn holds_for_one_host(self) -> bool {
        matches!(
            self,
            Self::NoConfig
                | Self::StaleConfig
                | Self::NoTarget
                | Self::ShuttingDown
                | Self::RequestMemory
        )
    }

    /// The reason if the request was sent before.
    #[must_use]
    pub fn after_send(self) -> Self {
        match self {
            Self::Quarantined => Self::QuarantinedAfterSend,
            Self::VersionUnknown => Self::VersionUnknownAfterSend,
            other => other,
        }
    }

    /// Whether the request is refused because targets crashed under it.
    #[must_use]
    pub fn is_quarantine(self) -> bool {
        matches!(self, Self::Quarantined | Self::QuarantinedAfterSend)
    }

    /// Time after which the caller should retry, before jitter; `None` if the refusal states none.
    /// `backoff_remaining` is the time until the first backoff or hold ends, if all targets have one,
    /// or until this host knows all versions or has room for further bodies.
    #[must_use]
    pub fn retry_after(self, backoff_remaining: Option<Duration>) -> Option<Duration> {
        let backoff_remaining = backoff_remaining.unwrap_or(Duration::ZERO);
        match self {
            // The caller retries at another host, so it need not wait.
            Self::ShuttingDown | Self::StaleConfig => Some(Duration::from_millis(50)),
            Self::NoConfig => Some(Duration::from_millis(300)),
            Self::NoTarget | Self::RateLimited | Self::TargetsRejected => {
                Some(backoff_remaining.max(Duration::from_millis(400)))
            }
            // By then the host that began the stream has recorded it.
            Self::VersionUnknown => Some(backoff_remaining.max(Duration::from_millis(600))),
            // An engine that crashed may start again with the same version.
            Self::VersionGone => Some(backoff_remaining.max(Duration::from_secs(2))),
            Self::RequestMemory => Some(backoff_remaining.max(Duration::from_millis(500))),
            Self::Overload => Some(backoff_remaining.max(Duration::from_millis(1500))),
            _ => None,
        }
    }
}
