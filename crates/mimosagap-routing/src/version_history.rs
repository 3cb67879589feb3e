//! Whether the versions in the store are all at which running streams can have begun.
//!
//! The store may come back from a copy that lacks the newest versions. Hosts that ran before store
//! them again, but a host that starts afterwards takes the versions of the copy for all, and a
//! stream of a missing one goes on at another. So hosts that know all versions record the era for
//! which the store lists them. A host that starts and finds another era recorded than the store's
//! does not know all versions: it takes no version for the only one and records every stream. That
//! ends when another host has recorded the era, or when the engines that live have had the time to
//! register again, each with its version.
//!
//! What remains unknown is a version of which all engines came after the copy and were gone before
//! the store returned.

use std::time::Duration;

use crate::store_revision::StoreEra;

/// Time from the return of the store until its era is recorded. By then each host has stored again
/// the versions that only it knew.
pub const RECORD_DELAY: Duration = Duration::from_secs(3);

/// Time from the first read of a store that may have lost versions until the versions that it holds,
/// and those of the listed engines, count as all. Engines that live register again within two
/// seconds of the return.
pub const RELIST_TIME: Duration = Duration::from_secs(5);

/// What a host knows of the versions at which streams can have begun.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum VersionKnowledge {
    /// The host has not read the store yet.
    #[default]
    Unread,
    /// The store may have lost versions before this host started, which first read it then.
    Partial(Duration),
    /// This host knows all versions.
    Complete,
}

/// Follows for which era the store lists all versions.
#[derive(Debug, Clone, Default)]
pub struct VersionHistory {
    knowledge: VersionKnowledge,
    recorded: Option<StoreEra>,
    /// The era of the store, and when this host learned of it.
    current: (StoreEra, Duration),
}

impl VersionHistory {
    /// Notes which era the store has recorded and which one it is in. Without a record the store is
    /// new, or its versions are those of an earlier release, which records no era.
    /// Returns whether that changed what this host knows.
    pub fn note_recorded(
        &mut self,
        recorded: Option<StoreEra>,
        current: StoreEra,
        now: Duration,
    ) -> bool {
        self.recorded = recorded;
        self.note_era(current, now);
        let previous = self.knowledge;
        self.knowledge = match (self.knowledge, recorded) {
            (VersionKnowledge::Complete, _) | (VersionKnowledge::Unread, None) => {
                VersionKnowledge::Complete
            }
            (_, Some(era)) if era == current => VersionKnowledge::Complete,
            (VersionKnowledge::Unread, Some(_)) => VersionKnowledge::Partial(now),
            (VersionKnowledge::Partial(read_at), _) => VersionKnowledge::Partial(read_at),
        };
        self.knowledge != previous
    }

    fn note_era(&mut self, era: StoreEra, now: Duration) {
        if self.current.0 != era {
            self.current = (era, now);
        }
    }

    /// The era for which the store lists all versions, as it says; `None` if it says nothing.
    #[must_use]
    pub fn recorded(&self) -> Option<StoreEra> {
        self.recorded
    }

    /// Whether this host knows all versions at which running streams can have begun.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.knowledge == VersionKnowledge::Complete
    }

    /// Whether the era of the store is still to be recorded, by this host or another one.
    #[must_use]
    pub fn is_record_missing(&self) -> bool {
        self.recorded != Some(self.current.0)
    }

    /// How long it takes until this host knows all versions; `None` if it does.
    #[must_use]
    pub fn complete_in(&self, now: Duration) -> Option<Duration> {
        match self.knowledge {
            VersionKnowledge::Complete => None,
            VersionKnowledge::Partial(read_at) => Some((read_at + RELIST_TIME).saturating_sub(now)),
            VersionKnowledge::Unread => Some(RELIST_TIME),
        }
    }

    /// The era that is to be recorded, and since when it is due. A listed version that waits to be
    /// admitted may be one that the store lost.
    pub fn update(
        &mut self,
        current: StoreEra,
        has_pending_versions: bool,
        now: Duration,
    ) -> Option<(StoreEra, Duration)> {
        self.note_era(current, now);
        if let VersionKnowledge::Partial(read_at) = self.knowledge
            && now >= read_at + RELIST_TIME
            && !has_pending_versions
        {
            self.knowledge = VersionKnowledge::Complete;
        }
        let (era, learned_at) = self.current;
        // Without a record there are no versions in the store to wait for.
        let due_at = match self.recorded {
            Some(_) => learned_at + RECORD_DELAY,
            None => learned_at,
        };
        (self.is_complete() && self.is_record_missing() && now >= due_at).then_some((era, due_at))
    }
}
