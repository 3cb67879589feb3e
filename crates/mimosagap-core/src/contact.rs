//! When the store and the peers were last reached.

use std::time::{Duration, Instant};

/// A daemon which has reached neither store nor peers for this long refuses new work, because it
/// cannot know which rules are in force.
pub const ISOLATION_DELAY: Duration = Duration::from_secs(3);

/// A store which was not reached for this long is taken as down. Lease renewals reach a healthy
/// store every 3 s, so the delay is longer than that.
pub const STORE_DELAY: Duration = Duration::from_secs(4);

/// A change that [`Contact::refresh`] noticed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ContactChange {
    /// The store became reachable or unreachable.
    Store(bool),
    /// The daemon became isolated or regained contact.
    Isolated(bool),
}

/// The times of the last contacts.
#[derive(Debug, Clone, Default)]
pub struct Contact {
    started: Option<Instant>,
    store: Option<Instant>,
    peer: Option<Instant>,
    store_up: bool,
    isolated: bool,
}

impl Contact {
    /// Records that the store answered.
    pub fn store_reached(&mut self, now: Instant) {
        self.store = Some(now);
    }

    /// Records that a peer answered.
    pub fn peer_reached(&mut self, now: Instant) {
        self.peer = Some(now);
    }

    /// Whether the store answered lately.
    #[must_use]
    pub fn is_store_up(&self, now: Instant) -> bool {
        self.store
            .is_some_and(|last| now.saturating_duration_since(last) < STORE_DELAY)
    }

    /// Whether neither the store nor a peer answered lately.
    #[must_use]
    pub fn is_isolated(&self, now: Instant) -> bool {
        let last = self.started.max(self.store).max(self.peer);
        last.is_some_and(|last| now.saturating_duration_since(last) >= ISOLATION_DELAY)
    }

    /// The state at the last refresh.
    #[must_use]
    pub fn was_isolated(&self) -> bool {
        self.isolated
    }

    /// The store's state at the last refresh.
    #[must_use]
    pub fn was_store_up(&self) -> bool {
        self.store_up
    }

    /// Brings the state up to date and returns what changed.
    pub fn refresh(&mut self, now: Instant) -> impl Iterator<Item = ContactChange> + use<> {
        self.started.get_or_insert(now);
        let store_up = self.is_store_up(now);
        let isolated = self.is_isolated(now);
        let store = (store_up != self.store_up).then_some(ContactChange::Store(store_up));
        let contact = (isolated != self.isolated).then_some(ContactChange::Isolated(isolated));
        self.store_up = store_up;
        self.isolated = isolated;
        store.into_iter().chain(contact)
    }
}
