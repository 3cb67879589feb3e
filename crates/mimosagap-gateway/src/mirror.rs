//! Copy of the store's keys on this host, with the recent changes for hosts that read from it.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use mimosagap_platform::store::StoreChange;
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use serde::{Deserialize, Serialize};

use crate::delta::ValueDelta;

/// Number of changes kept for hosts that ask for those after a revision.
const MAX_RECENT_CHANGES: usize = 2000;

/// Values of at least this many bytes are sent as deltas.
const MIN_DELTA_VALUE_BYTES: usize = 2 << 10;

/// Total size in bytes of the old versions kept of one value, so that a host that lags a little
/// gets a delta.
const MAX_OLD_VERSION_BYTES: usize = 1 << 20;

/// Copy of the store's keys, their recent changes and old versions of long values.
#[derive(Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Changed keys with the revision of the change, oldest first; the values are in `items`.
    recent_changes: VecDeque<(u64, String)>,
    /// Old versions of long values with their revisions, newest last.
    old_versions: HashMap<String, VecDeque<(u64, Vec<u8>)>>,
    /// Changes up to this revision are not in `recent_changes`.
    floor_revision: u64,
    /// The era of all revisions.
    era: StoreEra,
    revision: u64,
}

/// Number that stands for the revision of a value which this host kept although the store shows an
/// older one. It is the base of no delta, because hosts may have kept different values.
pub const KEPT_VALUE_REVISION: u64 = 0;

/// Change of one key, as sent between hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyChange {
    key: String,
    revision: u64,
    value: ValueChange,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum ValueChange {
    /// The key was deleted.
    Deleted,
    Full(Vec<u8>),
    /// Difference from the version of a revision.
    Delta(u64, ValueDelta),
}

impl StoreMirror {
    /// Applies changes of the same era up to a revision.
    pub fn apply(&mut self, changes: &[StoreChange], revision: u64) {
        for change in changes {
            let replaced = match &change.value {
                Some(value) => {
                    let item = (change.revision, value.clone());
                    self.items.insert(change.key.clone(), item)
                }
                None => self.items.remove(&change.key),
            };
            if let Some(replaced) = replaced
                && replaced.0 != KEPT_VALUE_REVISION
                && replaced.1.len() >= MIN_DELTA_VALUE_BYTES
            {
                self.keep_old_version(&change.key, replaced);
            }
            // A kept value has no revision of its own; it counts as changed now.
            let changed_at = match change.revision {
                KEPT_VALUE_REVISION => revision,
                number => number,
            };
            self.recent_changes
                .push_back((changed_at, change.key.clone()));
        }
        while self.recent_changes.len() > MAX_RECENT_CHANGES {
            if let Some((oldest, _)) = self.recent_changes.pop_front() {
                self.floor_revision = oldest;
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Keeps an old version of a value; drops the oldest ones over the limit in bytes.
    fn keep_old_version(&mut self, key: &str, version: (u64, Vec<u8>)) {
        let versions = self.old_versions.entry(key.to_owned()).or_default();
        versions.push_back(version);
        let mut total_bytes: usize = versions.iter().map(|(_, value)| value.len()).sum();
        while total_bytes > MAX_OLD_VERSION_BYTES
            && let Some((_, oldest)) = versions.pop_front()
        {
            total_bytes -= oldest.len();
        }
    }

    /// Replaces the content by a full listing of the store.
    pub fn reset(&mut self, items: &[StoreChange], revision: StoreRevision) {
        *self = Self {
            floor_revision: revision.number,
            era: revision.era,
            ..Self::default()
        };
        self.apply(items, revision.number);
        self.recent_changes.clear();
    }

    /// Revision up to which all changes are applied.
    #[must_use]
    pub fn revision(&self) -> StoreRevision {
        StoreRevision::new(self.era, self.revision)
    }

    /// Current value of a key; `None` if there is none.
    #[must_use]
    pub fn value(&self, key: &str) -> Option<&[u8]> {
        self.items.get(key).map(|(_, value)| value.as_slice())
    }

    /// Replaces the value of a key by a newer one than the store shows.
    pub fn keep_value(&mut self, key: &str, value: Vec<u8>) {
        let kept = StoreChange {
            key: key.to_owned(),
            revision: KEPT_VALUE_REVISION,
            value: Some(value),
        };
        self.apply(&[kept], self.revision);
        // Hosts that have the kept value lack the versions that deltas would start from.
        self.old_versions.remove(key);
    }

    /// What a host lacks that has everything up to a revision: `true` with all items if the changes
    /// since then are not kept or the revision is one of another era, otherwise `false` with those
    /// changes.
    #[must_use]
    pub fn changes_since(&self, revision: StoreRevision) -> (bool, Vec<KeyChange>) {
        let is_other_era = revision.era != self.era;
        let revision = revision.number;
        if is_other_era || revision < self.floor_revision {
            let all_items = self.items.keys().map(|key| self.key_change(key, None, 0));
            return (true, all_items.collect());
        }
        // Of a key that changed several times, only the newest value is sent.
        let mut seen_keys = HashSet::new();
        let mut changes: Vec<KeyChange> = self
            .recent_changes
            .iter()
            .rev()
            .take_while(|(changed_at, _)| *changed_at > revision)
            .filter(|(_, key)| seen_keys.insert(key))
            .map(|(changed_at, key)| self.key_change(key, Some(revision), *changed_at))
            .collect();
        changes.reverse();
        (false, changes)
    }

    /// Current value of a key, as a delta if the host has an old version that is still kept. A key
    /// without a value was deleted at `deletion_revision`.
    fn key_change(
        &self,
        key: &str,
        known_revision: Option<u64>,
        deletion_revision: u64,
    ) -> KeyChange {
        let Some((revision, value)) = self.items.get(key) else {
            return KeyChange {
                key: key.to_owned(),
                revision: deletion_revision,
                value: ValueChange::Deleted,
            };
        };
        let versions = self.old_versions.get(key).into_iter().flatten();
        let base = known_revision.and_then(|known| {
            versions
                .rev()
                .find(|(base_revision, _)| *base_revision <= known)
        });
        let delta = base
            .map(|(base_revision, base)| (*base_revision, ValueDelta::new(base, value)))
            .filter(|(_, delta)| delta.encoded_size() < value.len());
        KeyChange {
            key: key.to_owned(),
            revision: *revision,
            value: match delta {
                Some((base_revision, delta)) => ValueChange::Delta(base_revision, delta),
                None => ValueChange::Full(value.clone()),
            },
        }
    }

    /// Restores the change as the store reported it; `None` if it is a delta from a version that
    /// this host does not have.
    #[must_use]
    pub fn resolve(&self, change: KeyChange) -> Option<StoreChange> {
        let value = match change.value {
            ValueChange::Deleted => None,
            ValueChange::Full(value) => Some(value),
            ValueChange::Delta(base_revision, delta) => {
                let base = self
                    .items
                    .get(&change.key)
                    .filter(|(own_revision, _)| *own_revision == base_revision);
                Some(delta.apply(&base?.1)?)
            }
        };
        Some(StoreChange {
            key: change.key,
            revision: change.revision,
            value,
        })
    }
}
