//! Copy of the store's keys on this host, with the recent changes for hosts that read from it.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use mimosagap_platform::store::StoreChange;
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
    revision: u64,
}

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
    /// Applies changes up to a revision.
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
                && replaced.1.len() >= MIN_DELTA_VALUE_BYTES
            {
                self.keep_old_version(&change.key, replaced);
            }
            self.recent_changes
                .push_back((change.revision, change.key.clone()));
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
    pub fn reset(&mut self, items: &[StoreChange], revision: u64) {
        *self = Self {
            floor_revision: revision,
            ..Self::default()
        };
        self.apply(items, revision);
        self.recent_changes.clear();
    }

    /// Revision up to which all changes are applied.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What a host lacks that has everything up to a revision: `true` with all items if the changes
    /// since then are no longer kept, otherwise `false` with those changes.
    #[must_use]
    pub fn changes_since(&self, revision: u64) -> (bool, Vec<KeyChange>) {
        if revision < self.floor_revision {
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
