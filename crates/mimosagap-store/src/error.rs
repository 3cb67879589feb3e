//! Errors of store calls. They distinguish calls that were not applied, which are safe to repeat,
//! from calls that may have been applied.

use std::fmt;
use std::io;

/// Reason why a call failed that was certainly not applied.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotApplied {
    /// The connection was refused or could not be established in time.
    Unreachable,
    /// The store rejected the call because its rate limit is exhausted (HTTP 429).
    TooManyCalls,
    /// The store rejected the call as invalid (any other 4xx status).
    Rejected {
        /// HTTP status, 400 to 499 but not 429.
        status: u16,
        /// Beginning of the response body.
        text: String,
    },
}

/// Reason why it is unknown whether a call was applied: it was sent, and no valid response arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UnknownFate {
    /// No response within the timeout.
    TimedOut,
    /// The connection broke after the call was sent.
    Broken,
    /// The store failed to handle the call (any status other than 2xx and 4xx).
    Failed {
        /// HTTP status, neither 2xx nor 4xx.
        status: u16,
    },
    /// The response is malformed or too long.
    BadAnswer,
}

/// Failure of a store call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallError {
    /// The call was not applied and will not be.
    NotApplied(NotApplied),
    /// The call may have been applied, or may still be applied.
    Unknown(UnknownFate),
}

impl CallError {
    /// Whether the failure indicates that the store is unreachable or down, rather than that it
    /// rejected this call.
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
            ureq::Error::Io(error) if is_connect_error(error.kind()) => {
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

/// Whether the error occurs only while connecting.
fn is_connect_error(kind: io::ErrorKind) -> bool {
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
                f.write_str("the store's rate limit is exhausted; try again later")
            }
            Self::NotApplied(NotApplied::Rejected { status, text }) => write!(
                f,
                "the store rejected the call with status {status} ({text}); check its version"
            ),
            Self::Unknown(UnknownFate::TimedOut) => f.write_str(
                "the store did not respond in time; read the record back to see whether the call \
                 was applied",
            ),
            Self::Unknown(UnknownFate::Broken) => f.write_str(
                "the connection to the store broke; read the record back to see whether the call \
                 was applied",
            ),
            Self::Unknown(UnknownFate::Failed { status }) => write!(
                f,
                "the store failed with status {status}; read the record back to see whether the \
                 call was applied"
            ),
            Self::Unknown(UnknownFate::BadAnswer) => f.write_str(
                "the store's response is malformed; check that store.address is the address \
                     of a store",
            ),
        }
    }
}

impl std::error::Error for CallError {}
