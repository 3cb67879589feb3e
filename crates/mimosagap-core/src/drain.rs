//! Shutdown of the daemon without interrupting requests.

use std::time::{Duration, Instant};

/// Time for which requests are still accepted after the last cached address list has expired.
pub const ACCEPT_MARGIN: Duration = Duration::from_secs(1);

/// Progress of the shutdown.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum DrainState {
    /// No shutdown was requested.
    #[default]
    Serving,
    /// New requests are accepted until a fixed time, for callers that still use a cached address
    /// list.
    Draining {
        /// End of acceptance.
        until: Instant,
    },
}

impl DrainState {
    /// Starts the shutdown and returns how long requests are accepted; `None` if it was already
    /// started.
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
