//! Which configuration is in force here, and how old the proof of it is.
//!
//! Load pattern: a host is cut off from the store while keys are revoked. The host cannot hear of
//! the revocation, so it stops running requests with keys once its last proof is too old.

use std::sync::Arc;
use std::time::Duration;

use crate::config::FleetConfig;

/// A watch may hear nothing for this long while the store serves everything else, so an answer of
/// a watch proves only what held this much earlier. The platform's description of compaction.
pub const MAX_WATCH_LAG: Duration = Duration::from_millis(1100);

/// Part of the revocation bound that is kept for the way of a request to its target.
const REVOCATION_MARGIN: Duration = Duration::from_millis(400);

/// Part of the bound on configuration changes after which a missing route or key may be new.
const REFUSAL_SHARE: f64 = 0.85;

/// The bounds that the belief is held to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBounds {
    /// A revoked key must not run a request later than this after its revocation.
    pub revocation_delay: Duration,
    /// A change must be in force within this time.
    pub propagation_delay: Duration,
    /// Whether the bound on revocation also holds for a host without contact to the store.
    pub strict_revocation: bool,
}

/// The configuration that this host believes in.
#[derive(Debug, Clone)]
pub struct ConfigState {
    bounds: StalenessBounds,
    current: Option<(u64, Arc<FleetConfig>)>,
    heard_at: Option<Duration>,
    proven_at: Option<Duration>,
}

impl ConfigState {
    /// No configuration yet.
    #[must_use]
    pub fn new(bounds: StalenessBounds) -> Self {
        Self {
            bounds,
            current: None,
            heard_at: None,
            proven_at: None,
        }
    }

    /// Takes a configuration as of a store revision. An older one is left alone; returns whether
    /// it is in force now.
    pub fn apply(&mut self, revision: u64, config: FleetConfig) -> bool {
        let is_newer = self
            .current
            .as_ref()
            .is_none_or(|(known, old)| revision > *known && config.version >= old.version);
        if is_newer {
            self.current = Some((revision, Arc::new(config)));
        }
        is_newer
    }

    /// A read of the store confirmed that the current configuration was the newest at `as_of`.
    pub fn confirm_by_read(&mut self, as_of: Duration) {
        self.heard_at = self.heard_at.max(Some(as_of));
        self.proven_at = self.proven_at.max(Some(as_of));
    }

    /// A watch that was asked at `as_of` brought nothing newer.
    pub fn confirm_by_watch(&mut self, as_of: Duration) {
        self.heard_at = self.heard_at.max(Some(as_of));
        let proven = as_of.saturating_sub(MAX_WATCH_LAG);
        self.proven_at = self.proven_at.max(Some(proven));
    }

    /// The configuration.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.current.as_ref().map(|(_, config)| config)
    }

    /// The store revision of the configuration; 0 before the first.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.current.as_ref().map_or(0, |(revision, _)| *revision)
    }

    /// How old the last proof is.
    #[must_use]
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        self.proven_at.map(|at| now.saturating_sub(at))
    }

    /// How long ago the store was last asked with success.
    #[must_use]
    pub fn contact_age(&self, now: Duration) -> Option<Duration> {
        self.heard_at.map(|at| now.saturating_sub(at))
    }

    /// Whether a request with a key may run.
    #[must_use]
    pub fn may_accept_keys(&self, now: Duration) -> bool {
        let most = self
            .bounds
            .revocation_delay
            .saturating_sub(REVOCATION_MARGIN);
        !self.bounds.strict_revocation || self.confirmation_age(now).is_some_and(|age| age < most)
    }

    /// Whether a missing route or key is reason enough to say so. Otherwise it may have been added
    /// by a version which this host has not heard of.
    #[must_use]
    pub fn may_reject_unknown(&self, now: Duration) -> bool {
        let most = self.bounds.propagation_delay.mul_f64(REFUSAL_SHARE);
        self.contact_age(now).is_some_and(|silence| silence < most)
    }
}
