//! The store's keys as one host knows them, and what another host lacks of them.

use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};

use mimosagap_platform::store::StoreChange;
use serde::{Deserialize, Serialize};

use crate::delta::ValueDelta;

/// Changes that are kept for hosts which ask for those after a revision.
const KEPT_CHANGES: usize = 2000;

/// Values of at least this many bytes are handed on as differences.
const LONG_VALUE: usize = 2 << 10;

/// Older versions of one value that are kept, so that hosts which lag a little get differences: as
/// many as fit into these bytes.
const KEPT_BYTES: usize = 1 << 20;

/// The store's keys as this host knows them.
#[derive(Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, (u64, Vec<u8>)>,
    /// Keys that changed, with the revision; the values are in `items`.
    recent: VecDeque<(u64, String)>,
    /// Older versions of long values, the newest last.
    older: HashMap<String, VecDeque<(u64, Vec<u8>)>>,
    floor: u64,
    revision: u64,
}

/// A change of one key as one host hands it to another.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct KeyChange {
    key: String,
    revision: u64,
    value: NewValue,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum NewValue {
    /// The key was deleted.
    None,
    /// The whole value.
    Whole(Vec<u8>),
    /// What changed since the version of a revision.
    Since(u64, ValueDelta),
}

impl StoreMirror {
    /// Takes changes up to a revision.
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
                && replaced.1.len() >= LONG_VALUE
            {
                self.keep_version(&change.key, replaced);
            }
            self.recent.push_back((change.revision, change.key.clone()));
        }
        while self.recent.len() > KEPT_CHANGES {
            if let Some((oldest, _)) = self.recent.pop_front() {
                self.floor = oldest;
            }
        }
        self.revision = self.revision.max(revision);
    }

    fn keep_version(&mut self, key: &str, version: (u64, Vec<u8>)) {
        let versions = self.older.entry(key.to_owned()).or_default();
        versions.push_back(version);
        let mut bytes: usize = versions.iter().map(|(_, value)| value.len()).sum();
        while bytes > KEPT_BYTES
            && let Some((_, oldest)) = versions.pop_front()
        {
            bytes -= oldest.len();
        }
    }

    /// Starts anew from everything that the store lists.
    pub fn reset(&mut self, items: &[StoreChange], revision: u64) {
        *self = Self {
            floor: revision,
            ..Self::default()
        };
        self.apply(items, revision);
        self.recent.clear();
    }

    /// The last revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What a host lacks that knows everything up to a revision, and whether these are all items
    /// rather than what changed.
    #[must_use]
    pub fn after(&self, revision: u64) -> (bool, Vec<KeyChange>) {
        if revision < self.floor {
            let all = self.items.keys().map(|key| self.change(key, None, 0));
            return (true, all.collect());
        }
        // Of a key that changed several times only the newest value counts.
        let mut seen = HashSet::new();
        let mut changes: Vec<KeyChange> = self
            .recent
            .iter()
            .rev()
            .take_while(|(at, _)| *at > revision)
            .filter(|(_, key)| seen.insert(key))
            .map(|(at, key)| self.change(key, Some(revision), *at))
            .collect();
        changes.reverse();
        (false, changes)
    }

    /// The newest value of a key for a host that knows everything up to a revision, if any.
    fn change(&self, key: &str, known: Option<u64>, deleted_at: u64) -> KeyChange {
        let Some((revision, value)) = self.items.get(key) else {
            return KeyChange {
                key: key.to_owned(),
                revision: deleted_at,
                value: NewValue::None,
            };
        };
        let versions = self.older.get(key).into_iter().flatten();
        let base = known.and_then(|known| versions.rev().find(|(at, _)| *at <= known));
        let delta = base
            .map(|(at, base)| (*at, ValueDelta::new(base, value)))
            .filter(|(_, delta)| delta.size() < value.len());
        KeyChange {
            key: key.to_owned(),
            revision: *revision,
            value: match delta {
                Some((at, delta)) => NewValue::Since(at, delta),
                None => NewValue::Whole(value.clone()),
            },
        }
    }

    /// The change as the store would tell it; `None` if it was made from a version that this host
    /// does not have.
    #[must_use]
    pub fn resolve(&self, change: KeyChange) -> Option<StoreChange> {
        let value = match change.value {
            NewValue::None => None,
            NewValue::Whole(value) => Some(value),
            NewValue::Since(at, delta) => {
                let base = self.items.get(&change.key).filter(|(own, _)| *own == at);
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
