//! The configuration in force on this host and the time of its last confirmation.
//!
//! A host that is cut off from the store does not learn that a key was revoked. It therefore stops
//! running requests with keys once the last confirmation of its configuration is older than the
//! bound on revocations allows.

use std::sync::Arc;
use std::time::Duration;

use crate::config::FleetConfig;
use crate::store_revision::StoreRevision;

/// How far the response to a watch may lag behind the store. During a compaction of the store a
/// watch may stay silent for this long while other calls are served, so its response confirms only
/// the state of this much earlier.
pub const MAX_WATCH_LAG: Duration = Duration::from_millis(1100);

/// Part of the bound on revocations that is reserved for sending a request to its target.
const REVOCATION_MARGIN: Duration = Duration::from_millis(400);

/// Fraction of the bound on configuration changes for which a host without contact to the store
/// still rejects unknown routes and keys. After that, an unknown one may be new.
const REJECTION_AGE_FRACTION: f64 = 0.85;

/// Bounds on the use of an outdated configuration, set by the operators.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StalenessBounds {
    /// Time after the revocation of a key from which no request with it may run.
    pub revocation_delay: Duration,
    /// Time within which a configuration change must be in force.
    pub propagation_delay: Duration,
    /// Whether the bound on revocations also holds for a host without contact to the store.
    pub strict_revocation: bool,
}

/// The newest configuration known to this host, with its confirmation times.
#[derive(Debug, Clone)]
pub struct ConfigState {
    bounds: StalenessBounds,
    current: Option<(StoreRevision, Arc<FleetConfig>)>,
    last_contact_at: Option<Duration>,
    confirmed_at: Option<Duration>,
}

impl ConfigState {
    /// Creates a state without a configuration.
    #[must_use]
    pub fn new(bounds: StalenessBounds) -> Self {
        Self {
            bounds,
            current: None,
            last_contact_at: None,
            confirmed_at: None,
        }
    }

    /// Applies the configuration of a store revision if its version is newer than the current one,
    /// or equal and written later. Returns whether it was applied.
    ///
    /// The operators' versions only increase, also when the store comes back from an older copy, in
    /// which an older configuration stands at a later time and numbers are given out again.
    pub fn apply(&mut self, revision: StoreRevision, config: FleetConfig) -> bool {
        let is_newer = self
            .current
            .as_ref()
            .is_none_or(|(current_revision, current_config)| {
                (config.version, revision) > (current_config.version, *current_revision)
            });
        if is_newer {
            self.current = Some((revision, Arc::new(config)));
        }
        is_newer
    }

    /// Records that a read of the store, sent at `as_of`, returned the current configuration.
    pub fn confirm_by_read(&mut self, as_of: Duration) {
        self.last_contact_at = self.last_contact_at.max(Some(as_of));
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Records that a watch of the store, sent at `as_of`, reported no newer configuration.
    pub fn confirm_by_watch(&mut self, as_of: Duration) {
        self.last_contact_at = self.last_contact_at.max(Some(as_of));
        let confirmed_at = as_of.saturating_sub(MAX_WATCH_LAG);
        self.confirmed_at = self.confirmed_at.max(Some(confirmed_at));
    }

    /// The configuration in force; `None` before the first one was read.
    #[must_use]
    pub fn config(&self) -> Option<&Arc<FleetConfig>> {
        self.current.as_ref().map(|(_, config)| config)
    }

    /// The store revision of the configuration; before all others without one.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        let current = self.current.as_ref();
        current.map_or_else(StoreRevision::default, |(revision, _)| *revision)
    }

    /// Time since the configuration was last confirmed; `None` if it never was.
    #[must_use]
    pub fn confirmation_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Time since the last call of the store that succeeded; `None` if none did.
    #[must_use]
    pub fn contact_age(&self, now: Duration) -> Option<Duration> {
        self.last_contact_at.map(|at| now.saturating_sub(at))
    }

    /// Whether a request with a valid key may run.
    #[must_use]
    pub fn may_accept_keys(&self, now: Duration) -> bool {
        let max_age = self
            .bounds
            .revocation_delay
            .saturating_sub(REVOCATION_MARGIN);
        !self.bounds.strict_revocation
            || self.confirmation_age(now).is_some_and(|age| age < max_age)
    }

    /// Whether an unknown route or key may be rejected. Otherwise a configuration that this host
    /// has not received yet may contain it.
    #[must_use]
    pub fn may_reject_unknown(&self, now: Duration) -> bool {
        let max_age = self
            .bounds
            .propagation_delay
            .mul_f64(REJECTION_AGE_FRACTION);
        self.contact_age(now).is_some_and(|age| age < max_age)
    }
}
