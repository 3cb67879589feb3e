//! How long a target that asked for it is left alone.
//!
//! Load pattern: targets that are full turn requests away and say for how long they want none. Every
//! send before that time is one more refusal for the caller and one more repeat of the budget. The
//! host that was asked sends nothing; the others only prefer other targets, because they do not know
//! whether the target meant them too, and a service whose every target is full for a moment would
//! otherwise refuse everything.

use std::time::Duration;

/// Sends that may reach a target in the time for which it asked for none: the platform's bound.
/// Only a generation that would be lost otherwise uses them.
const LAST_RESORTS: u32 = 2;

/// What a target asked for.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct TargetBackoff {
    until: Duration,
    last_resorts: u32,
    /// Until when it asked another host for it.
    elsewhere_until: Duration,
}

impl TargetBackoff {
    /// The target turned a request of this host away and wants none for a time. Returns whether
    /// that is later than known.
    pub fn record_request(&mut self, wish: Duration, now: Duration) -> bool {
        if !self.is_active(now) {
            self.last_resorts = 0;
        }
        let is_news = now + wish > self.until;
        self.until = self.until.max(now + wish);
        is_news
    }

    /// Another host was asked.
    pub fn record_peer_request(&mut self, wish: Duration, now: Duration) {
        self.elsewhere_until = self.elsewhere_until.max(now + wish);
    }

    /// Whether this host was asked to send nothing.
    #[must_use]
    pub fn is_active(&self, now: Duration) -> bool {
        now < self.until
    }

    /// Whether another host was asked to send nothing.
    #[must_use]
    pub fn is_active_for_peers(&self, now: Duration) -> bool {
        now < self.elsewhere_until
    }

    /// How long this host has to wait.
    #[must_use]
    pub fn remaining(&self, now: Duration) -> Duration {
        self.until.saturating_sub(now)
    }

    /// Whether a request may be sent. One that is lost otherwise may go, if few did before.
    pub fn try_send(&mut self, is_last_resort: bool, now: Duration) -> bool {
        if !self.is_active(now) {
            return true;
        }
        let may_send = is_last_resort && self.last_resorts < LAST_RESORTS;
        self.last_resorts += u32::from(may_send);
        may_send
    }
}
