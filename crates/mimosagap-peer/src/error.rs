//! Why messages are refused and exchanges fail.

use std::fmt;

/// Why a message is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MessageError {
    /// Not a frame or a message of this protocol.
    Malformed,
    /// Larger than its kind may be.
    Oversized,
    /// The signature does not fit: altered, or signed with a key of another fleet.
    Forged,
    /// Meant for another daemon, or answered by another one.
    Foreign,
    /// Sent too long ago, or in the future.
    Stale,
    /// Heard before.
    Replayed,
}

impl MessageError {
    /// All faults.
    pub const ALL: [Self; 6] = [
        Self::Malformed,
        Self::Oversized,
        Self::Forged,
        Self::Foreign,
        Self::Stale,
        Self::Replayed,
    ];

    /// The name in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Oversized => "oversized",
            Self::Forged => "forged",
            Self::Foreign => "foreign",
            Self::Stale => "stale",
            Self::Replayed => "replayed",
        }
    }
}

impl fmt::Display for MessageError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Malformed => "the message is malformed; check that all daemons run one version",
            Self::Oversized => "the message is too large",
            Self::Forged => "the signature does not fit; check fleet_keys of both daemons",
            Self::Foreign => "the message is meant for another daemon",
            Self::Stale => "the message is more than 30 s old; check the clocks of both hosts",
            Self::Replayed => "the message was received before",
        })
    }
}

impl std::error::Error for MessageError {}

/// Why an exchange failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ExchangeError {
    /// Nobody listens at the address.
    Refused,
    /// The connection could not be made.
    Unreachable,
    /// The exchange took too long; its connection is given up.
    TimedOut,
    /// The connection broke, or the peer closed it because it refused the message.
    Broken,
    /// The reply is not acceptable.
    BadReply(MessageError),
}

impl fmt::Display for ExchangeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Refused => f.write_str("the peer refuses connections; check that it runs"),
            Self::Unreachable => f.write_str("the peer cannot be reached; check the network"),
            Self::TimedOut => f.write_str("the peer did not answer in time"),
            Self::Broken => f.write_str(
                "the connection to the peer broke; check fleet_keys and clocks of both hosts if \
                 this persists",
            ),
            Self::BadReply(fault) => write!(f, "the peer's reply was refused: {fault}"),
        }
    }
}

impl std::error::Error for ExchangeError {}
