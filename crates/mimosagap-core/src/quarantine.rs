//! Quarantine of requests that may crash engines. A request in flight on an engine that died
//! becomes a suspect and runs next in a trial, alone among suspects on its engine; if that engine
//! dies as well, the request is blocked.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use mimosagap_types::prelude::*;

use crate::event::SuspectState;

/// Time after which an entry is dropped.
pub const QUARANTINE_TTL: Duration = Duration::from_hours(1);

/// Delay from a suspicion to the first trial. It lets copies of the request that were sent at the
/// same moment end: if one of them crashes a second target, the request is blocked without a trial
/// that would crash a third.
pub const TRIAL_DELAY: Duration = Duration::from_secs(1);

#[derive(Debug, Clone, Copy)]
struct QuarantineEntry {
    state: SuspectState,
    since: Instant,
}

/// Quarantine entries that this daemon knows of, by request digest.
#[derive(Debug, Clone, Default)]
pub struct QuarantineTable {
    entries: BTreeMap<RequestDigest, QuarantineEntry>,
}

impl QuarantineTable {
    /// State of a request; `None` if it is not in quarantine.
    #[must_use]
    pub fn state(&self, digest: &RequestDigest, now: Instant) -> Option<SuspectState> {
        let entry = self.entries.get(digest)?;
        (now.saturating_duration_since(entry.since) < QUARANTINE_TTL).then_some(entry.state)
    }

    /// Time until the entry of a request is dropped; zero without an entry.
    #[must_use]
    pub fn time_left(&self, digest: &RequestDigest, now: Instant) -> Duration {
        self.entries.get(digest).map_or(Duration::ZERO, |entry| {
            QUARANTINE_TTL.saturating_sub(now.saturating_duration_since(entry.since))
        })
    }

    /// Earliest time for a trial of a suspect.
    #[must_use]
    pub fn earliest_trial(&self, digest: &RequestDigest, now: Instant) -> Instant {
        self.entries
            .get(digest)
            .map_or(now, |entry| entry.since + TRIAL_DELAY)
    }

    /// Applies a state from the store's records, which arrive in order. Returns whether it is a
    /// change.
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

    /// Applies a state from a peer or from this daemon's own observation. Such a state may be late
    /// or repeated, so it never lifts a block, and a suspicion does not end a trial. Returns
    /// whether it is a change.
    pub fn apply_notice(
        &mut self,
        digest: RequestDigest,
        state: SuspectState,
        now: Instant,
    ) -> bool {
        let current_state = self.state(&digest, now);
        let is_outdated = match current_state {
            Some(SuspectState::Blocked) => true,
            Some(SuspectState::OnTrial) => state == SuspectState::Suspect,
            _ => false,
        };
        !is_outdated && self.apply_record(digest, state, now)
    }

    /// Drops entries older than [`QUARANTINE_TTL`].
    pub fn expire(&mut self, now: Instant) {
        self.entries
            .retain(|_, entry| now.saturating_duration_since(entry.since) < QUARANTINE_TTL);
    }

    /// All entries, in the order of their digests.
    pub fn iter(&self) -> impl Iterator<Item = (RequestDigest, SuspectState)> + '_ {
        self.entries
            .iter()
            .map(|(digest, entry)| (*digest, entry.state))
    }
}
