//! Backoff periods that targets request when they reject work.
//!
//! A full target rejects a request and states for how long it wants none. Each request sent before
//! that time fails once more and uses up the retry budget. The host that received the rejection
//! sends nothing until then. Other hosts only prefer other targets, because the period may not
//! apply to them and a service whose targets are all briefly full would otherwise refuse
//! everything.

use std::time::Duration;

/// Maximum number of requests that a host may send to a target during its backoff, as the platform
/// allows. They are reserved for generations that would otherwise be lost.
const MAX_LAST_RESORT_SENDS: u32 = 2;

/// The backoff periods of one target.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetBackoff {
    until: Duration,
    last_resort_sends: u32,
    /// End of the longest period that the target requested from another host.
    peers_until: Duration,
}

impl TargetBackoff {
    /// Records that the target rejected a request of this host and wants none for `retry_after`.
    /// Returns whether this extends the backoff.
    pub fn record_request(&mut self, retry_after: Duration, now: Duration) -> bool {
        if !self.is_active(now) {
            self.last_resort_sends = 0;
        }
        let is_extended = now + retry_after > self.until;
        self.until = self.until.max(now + retry_after);
        is_extended
    }

    /// Records that the target requested a backoff from another host.
    pub fn record_peer_request(&mut self, retry_after: Duration, now: Duration) {
        self.peers_until = self.peers_until.max(now + retry_after);
    }

    /// Whether the backoff applies to this host.
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Whether a backoff applies to another host.
    #[must_use]
    pub fn is_active_for_peers(&self, now: Duration) -> bool {
        now < self.peers_until
    }

    /// Remaining backoff of this host; zero if there is none.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Returns whether a request may be sent. During a backoff only a last resort may, and each one
    /// that does is counted.
    pub fn try_send(&mut self, is_last_resort: bool, now: Duration) -> bool {
        if !self.is_active(now) {
            return true;
        }
        let may_send = is_last_resort && self.last_resort_sends < MAX_LAST_RESORT_SENDS;
        self.last_resort_sends += u32::from(may_send);
        may_send
    }
}
