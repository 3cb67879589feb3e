//! Requests suspected or found to be the cause of killing engines.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mimosagap_types::prelude::*;

use crate::event::SuspectState;

/// Entries are forgotten after this time.
pub const QUARANTINE_TTL: Duration = Duration::from_hours(1);

/// Time between a suspicion and the first trial. Copies of the request that were sent at the same
/// moment end in it: if one of them takes a second target down, the request is blocked without a
/// trial, which would take down a third.
pub const TRIAL_DELAY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct QuarantineEntry {
    state: SuspectState,
    since: Instant,
}

/// What this daemon knows of suspects.
#[derive(Debug, Clone, Default)]
pub struct QuarantineTable {
    entries: BTreeMap<RequestDigest, QuarantineEntry>,
}

impl QuarantineTable {
    /// The state of a request; `None` if nothing speaks against it.
    #[must_use]
    pub fn state(&self, digest: &RequestDigest, now: Instant) -> Option<SuspectState> {
        let entry = self.entries.get(digest)?;
        (now.saturating_duration_since(entry.since) < QUARANTINE_TTL).then_some(entry.state)
    }

    /// Time until a request is forgotten.
    #[must_use]
    pub fn time_left(&self, digest: &RequestDigest, now: Instant) -> Duration {
        self.entries.get(digest).map_or(Duration::ZERO, |entry| {
            QUARANTINE_TTL.saturating_sub(now.saturating_duration_since(entry.since))
        })
    }

    /// When a trial of a suspect may begin.
    #[must_use]
    pub fn earliest_trial(&self, digest: &RequestDigest, now: Instant) -> Instant {
        self.entries
            .get(digest)
            .map_or(now, |entry| entry.since + TRIAL_DELAY)
    }

    /// Takes over a state from the store's records, which are in order. Returns whether it is
    /// news.
    pub fn apply_record(
        &mut self,
        digest: RequestDigest,
        state: SuspectState,
        now: Instant,
    ) -> bool {
        if state == SuspectState::Cleared {
            return self.entries.remove(&digest).is_some();
        }
        if self.state(&digest, now) == Some(state) {
            return false;
        }
        self.entries
            .insert(digest, QuarantineEntry { state, since: now });
        true
    }

    /// Takes over a state from a peer or from this daemon's own observation. These may come late
    /// or repeatedly, so they never lift a block, and a suspicion does not end a trial.
    pub fn apply_notice(
        &mut self,
        digest: RequestDigest,
        state: SuspectState,
        now: Instant,
    ) -> bool {
        let known = self.state(&digest, now);
        let is_outdated = match known {
            Some(SuspectState::Blocked) => true,
            Some(SuspectState::OnTrial) => state == SuspectState::Suspect,
            _ => false,
        };
        !is_outdated && self.apply_record(digest, state, now)
    }

    /// Forgets old entries.
    pub fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.since) < QUARANTINE_TTL);
    }

    /// All requests known, with their states.
    pub fn iter(&self) -> impl Iterator<Item = (RequestDigest, SuspectState)> + '_ {
        self.entries
            .iter()
            .map(|(digest, entry)| (*digest, entry.state))
    }
}
