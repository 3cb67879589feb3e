//! Errors of store calls, by what is known of the call's effect.

use std::fmt;
use std::io;

/// Why a call was certainly not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotApplied {
    /// The connection was refused or could not be made in time.
    Unreachable,
    /// The store refused the call because its rate is used up (HTTP 429).
    TooManyCalls,
    /// The store refused the call itself, with this status and text.
    Rejected {
        /// The HTTP status.
        status: u16,
        /// The start of the store's answer.
        text: String,
    },
}

/// Why the fate of a call is unknown: it was sent, and no valid answer arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnknownFate {
    /// No answer within the time limit.
    TimedOut,
    /// The connection broke after the call was sent.
    Broken,
    /// The store reported a failure of its own with this status.
    Failed {
        /// The HTTP status.
        status: u16,
    },
    /// The answer could not be understood.
    BadAnswer,
}

/// The failure of one call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The call had no effect and will have none.
    NotApplied(NotApplied),
    /// The call may have taken effect, or may still take effect.
    Unknown(UnknownFate),
}

impl CallError {
    /// Whether the failure shows that the store cannot be reached at all.
    #[must_use]
    pub fn is_unreachable(&self) -> bool {
        matches!(
            self,
            Self::NotApplied(NotApplied::Unreachable)
                | Self::Unknown(
                    UnknownFate::TimedOut | UnknownFate::Broken | UnknownFate::Failed { .. }
                )
        )
    }

    pub(crate) fn from_transport(error: &ureq::Error) -> Self {
        match error {
            ureq::Error::Timeout(ureq::Timeout::Connect | ureq::Timeout::Resolve)
            | ureq::Error::ConnectionFailed
            | ureq::Error::HostNotFound => Self::NotApplied(NotApplied::Unreachable),
            ureq::Error::Io(error) if is_refused(error.kind()) => {
                Self::NotApplied(NotApplied::Unreachable)
            }
            ureq::Error::Timeout(_) => Self::Unknown(UnknownFate::TimedOut),
            ureq::Error::Json(_) | ureq::Error::BodyExceedsLimit(_) => {
                Self::Unknown(UnknownFate::BadAnswer)
            }
            _ => Self::Unknown(UnknownFate::Broken),
        }
    }
}

/// Errors which occur only before a connection exists.
fn is_refused(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionRefused
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable
            | io::ErrorKind::AddrNotAvailable
    )
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotApplied(NotApplied::Unreachable) => {
                f.write_str("the store cannot be reached; check store.address and the store")
            }
            Self::NotApplied(NotApplied::TooManyCalls) => {
                f.write_str("the store's rate is used up; try again later")
            }
            Self::NotApplied(NotApplied::Rejected { status, text }) => write!(
                f,
                "the store refused the call with status {status} ({text}); check its version"
            ),
            Self::Unknown(UnknownFate::TimedOut) => f.write_str(
                "the store did not answer in time; read the record back to see whether the call \
                 took effect",
            ),
            Self::Unknown(UnknownFate::Broken) => f.write_str(
                "the connection to the store broke; read the record back to see whether the call \
                 took effect",
            ),
            Self::Unknown(UnknownFate::Failed { status }) => write!(
                f,
                "the store failed with status {status}; read the record back to see whether the \
                 call took effect"
            ),
            Self::Unknown(UnknownFate::BadAnswer) => {
                f.write_str("the store's answer is malformed; check that store.address is a store")
            }
        }
    }
}

impl std::error::Error for CallError {}
