//! Tracks when the store and the peers were last reached, and from that whether the daemon is
//! isolated.

use std::time::{Duration, Instant};

/// A daemon that has reached neither the store nor a peer for this long refuses new work, because
/// it cannot know which rules are active.
pub const ISOLATION_TIMEOUT: Duration = Duration::from_secs(3);

/// A store that was not reached for this long counts as unreachable. Must exceed 3 s, the interval
/// at which lease renewals reach a healthy store.
pub const STORE_TIMEOUT: Duration = Duration::from_secs(4);

/// A change found by [`ConnectivityMonitor::refresh`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectivityChange {
    /// The store became reachable (`true`) or unreachable.
    Store(bool),
    /// The daemon became isolated (`true`) or regained contact.
    Isolated(bool),
}

/// Times of the last contact with the store and with any peer.
#[derive(Debug, Clone, Default)]
pub struct ConnectivityMonitor {
    started_at: Option<Instant>,
    store_reached_at: Option<Instant>,
    peer_reached_at: Option<Instant>,
    store_reachable: bool,
    isolated: bool,
}

impl ConnectivityMonitor {
    /// Records an answer of the store.
    pub fn store_reached(&mut self, now: Instant) {
        self.store_reached_at = Some(now);
    }

    /// Records a message from a peer.
    pub fn peer_reached(&mut self, now: Instant) {
        self.peer_reached_at = Some(now);
    }

    /// Whether the store was reached within [`STORE_TIMEOUT`].
    #[must_use]
    pub fn is_store_reachable(&self, now: Instant) -> bool {
        self.store_reached_at
            .is_some_and(|at| now.saturating_duration_since(at) < STORE_TIMEOUT)
    }

    /// Whether neither the store nor a peer was reached within [`ISOLATION_TIMEOUT`].
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let last_contact = self
            .started_at
            .max(self.store_reached_at)
            .max(self.peer_reached_at);
        last_contact.is_some_and(|at| now.saturating_duration_since(at) >= ISOLATION_TIMEOUT)
    }

    /// Whether the daemon was isolated at the last refresh.
    #[must_use]
    pub fn was_isolated(&self) -> bool {
        self.isolated
    }

    /// Whether the store was reachable at the last refresh.
    #[must_use]
    pub fn was_store_reachable(&self) -> bool {
        self.store_reachable
    }

    /// Updates the state and returns what changed since the last refresh.
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
