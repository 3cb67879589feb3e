//! Checks that clients are served at gateways that are cut off from all targets.

use std::time::{Duration, Instant};

/// Time from which a gateway that was cut off must have found another way.
pub const CONTACT_TIME: Duration = Duration::from_secs(4);

/// A gateway that is cut off serves first attempts at least this often, as a fraction of the share
/// that the others serve.
const MIN_RELATIVE_SHARE: f64 = 2.0 / 3.0;

/// First attempts that may fail at gateways that are cut off, beside one in
/// [`ATTEMPTS_PER_FAILURE`] of all.
const MAX_FAILURES: usize = 10;
const ATTEMPTS_PER_FAILURE: usize = 50;

/// Attempts of clients, and those that were served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServedCount {
    /// Attempts that were sent.
    pub sent: usize,
    /// Attempts that were served.
    pub served: usize,
}

impl ServedCount {
    /// Counts one attempt.
    pub fn add(&mut self, is_served: bool) {
        self.sent += 1;
        self.served += usize::from(is_served);
    }

    fn share(self) -> f64 {
        let count = |count: usize| u32::try_from(count).map_or(f64::MAX, f64::from);
        count(self.served) / count(self.sent.max(1))
    }
}

/// Attempts while gateways were cut off.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct IsolationOutcome {
    /// At the gateways that were cut off.
    pub isolated: ServedCount,
    /// At the other gateways.
    pub connected: ServedCount,
}

impl IsolationOutcome {
    /// The violation, if clients of the gateways that were cut off were served far worse.
    #[must_use]
    pub fn violation(&self) -> Option<String> {
        let Self {
            isolated,
            connected,
        } = self;
        let allowed = MAX_FAILURES + (isolated.sent + connected.sent) / ATTEMPTS_PER_FAILURE;
        let is_worse = isolated.share() < MIN_RELATIVE_SHARE * connected.share();
        (is_worse && isolated.sent - isolated.served > allowed).then(|| {
            format!(
                "gateways that were cut off from all targets served {} of {} requests, the others \
                 {} of {}",
                isolated.served, isolated.sent, connected.served, connected.sent
            )
        })
    }
}

/// When gateways were cut off from all targets.
#[derive(Debug, Default)]
pub struct IsolationChecker {
    /// How many gateways, from the first on.
    pub gateway_count: usize,
    spans: Vec<(Instant, Instant)>,
}

impl IsolationChecker {
    /// Records that the gateways are cut off for a time.
    pub fn record(&mut self, now: Instant, duration: Duration) {
        self.spans.push((now, now + duration));
    }

    /// Whether a request that was sent at this time counts.
    #[must_use]
    pub fn counts(&self, sent_at: Instant) -> bool {
        self.spans
            .iter()
            .any(|(from, until)| sent_at >= *from + CONTACT_TIME && sent_at < *until)
    }
}
