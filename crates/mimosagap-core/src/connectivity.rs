//! When the store and the peers were last reached.

use std::time::{Duration, Instant};

/// A daemon which has reached neither store nor peers for this long refuses new work, because it
/// cannot know which rules are in force.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// A store which was not reached for this long is taken as down. Lease renewals reach a healthy
/// store every 3 s, so the delay is longer than that.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(4);

/// A change that [`Contact::refresh`] noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectivityChange {
    /// The store became reachable or unreachable.
    Store(bool),
    /// The daemon became isolated or regained contact.
    Isolated(bool),
}

/// The times of the last contacts.
#[derive(Debug, Clone, Default)]
pub struct ConnectivityMonitor {
    started_at: Option<Instant>,
    store_reached_at: Option<Instant>,
    peer_reached_at: Option<Instant>,
    store_reachable: bool,
    isolated: bool,
}

impl ConnectivityMonitor {
    /// Records that the store answered.
    pub fn store_reached(&mut self, now: Instant) {
        self.store_reached_at = Some(now);
    }

    /// Records that a peer answered.
    pub fn peer_reached(&mut self, now: Instant) {
        self.peer_reached_at = Some(now);
    }

    /// Whether the store answered lately.
    #[must_use]
    pub fn is_store_reachable(&self, now: Instant) -> bool {
        self.store_reached_at
            .is_some_and(|at| now.saturating_duration_since(at) < STORE_TIMEOUT)
    }

    /// Whether neither the store nor a peer answered lately.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let last_contact = self
            .started_at
            .max(self.store_reached_at)
            .max(self.peer_reached_at);
        last_contact.is_some_and(|at| now.saturating_duration_since(at) >= ISOLATION_TIMEOUT)
    }

    /// The state at the last refresh.
    #[must_use]
    pub fn was_isolated(&self) -> bool {
        self.isolated
    }

    /// The store's state at the last refresh.
    #[must_use]
    pub fn was_store_reachable(&self) -> bool {
        self.store_reachable
    }

    /// Brings the state up to date and returns what changed.
    pub fn refresh(&mut self, now: Instant) -> impl Iterator<Item = ConnectivityChange> + use<> {
        self.started_at.get_or_insert(now);
        let store_reachable = self.is_store_reachable(now);
        let isolated = self.is_isolated(now);
        let store_change = (store_reachable != self.store_reachable)
            .then_some(ConnectivityChange::Store(store_reachable));
        let isolation_change =
            (isolated != self.isolated).then_some(ConnectivityChange::Isolated(isolated));
        self.store_reachable = store_reachable;
        self.isolated = isolated;
        store_change.into_iter().chain(isolation_change)
    }
}
