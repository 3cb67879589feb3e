//! The shutdown of a daemon without interrupted requests.

use std::time::{Duration, Instant};

/// Time for which requests are accepted after the last address answer may have expired.
pub const ACCEPT_MARGIN: Duration = Duration::from_secs(1);

/// How far the shutdown is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DrainState {
    /// No shutdown was asked for.
    #[default]
    Serving,
    /// New requests are accepted until this time, from callers that hold an old address answer.
    Draining {
        /// The end of acceptance.
        until: Instant,
    },
}

impl DrainState {
    /// Begins the shutdown. Returns how long requests are accepted, or `None` if it began before.
    pub fn begin(&mut self, now: Instant, address_lifetime: Duration) -> Option<Duration> {
        if *self != Self::Serving {
            return None;
        }
        let after = address_lifetime + ACCEPT_MARGIN;
        *self = Self::Draining { until: now + after };
        Some(after)
    }

    /// Whether new requests are accepted.
    #[must_use]
    pub fn accepts(self, now: Instant) -> bool {
        match self {
            Self::Serving => true,
            Self::Draining { until } => now < until,
        }
    }
}
