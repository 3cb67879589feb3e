//! Errors of messages and exchanges.

use std::fmt;

/// Reason why a received message is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageError {
    /// The frame or message violates the protocol.
    Malformed,
    /// The message is larger than its kind may be.
    Oversized,
    /// The signature is invalid: the message was altered, or signed with a key of another fleet.
    BadSignature,
    /// The receiver, the sender or the direction is not the expected one.
    Misaddressed,
    /// The time of the message differs from the local wall clock by more than 30 s.
    BadTimestamp,
    /// The nonce was seen before, or belongs to another request.
    Replayed,
}

impl MessageError {
    /// All reasons, in the order of their counters.
    pub const ALL: [Self; 6] = [
        Self::Malformed,
        Self::Oversized,
        Self::BadSignature,
        Self::Misaddressed,
        Self::BadTimestamp,
        Self::Replayed,
    ];

    /// Name of the reason in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Oversized => "oversized",
            Self::BadSignature => "forged",
            Self::Misaddressed => "foreign",
            Self::BadTimestamp => "stale",
            Self::Replayed => "replayed",
        }
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => {
                "the message is malformed; check that all daemons run the same version"
            }
            Self::Oversized => "the message is too large",
            Self::BadSignature => "the signature is invalid; check fleet_keys of both daemons",
            Self::Misaddressed => "the message is addressed to another daemon",
            Self::BadTimestamp => {
                "the time of the message is off by more than 30 s; check the clocks of both hosts"
            }
            Self::Replayed => "the message was received before",
        })
    }
}

impl std::error::Error for MessageError {}

/// Reason why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// The peer refused the connection.
    Refused,
    /// The connection could not be established for another reason.
    Unreachable,
    /// The exchange exceeded its timeout; its connection is closed.
    TimedOut,
    /// The connection broke, or the peer closed it because it refused the message.
    Broken,
    /// The reply was refused.
    BadReply(MessageError),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("the peer refused the connection; check that it runs"),
            Self::Unreachable => f.write_str("the peer cannot be reached; check the network"),
            Self::TimedOut => f.write_str("the peer did not reply in time"),
            Self::Broken => f.write_str(
                "the connection to the peer broke; check fleet_keys and clocks of both hosts if \
                 this persists",
            ),
            Self::BadReply(error) => write!(f, "the peer's reply was refused: {error}"),
        }
    }
}

impl std::error::Error for ExchangeError {}
