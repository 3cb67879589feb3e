//! A map with a bounded number of entries.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Holds at most `capacity` entries; inserting another one evicts the oldest.
#[derive(Debug)]
pub(super) struct BoundedMap<K, V> {
    entries: HashMap<K, (u64, V)>,
    insertion_order: VecDeque<(u64, K)>,
    capacity: usize,
    last_sequence: u64,
}

impl<K: Clone + Eq + Hash, V> BoundedMap<K, V> {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            insertion_order: VecDeque::new(),
            capacity,
            last_sequence: 0,
        }
    }

    /// Inserts an entry and returns the value that it replaces.
    pub(super) fn insert(&mut self, key: K, value: V) -> Option<V> {
        self.last_sequence += 1;
        self.insertion_order
            .push_back((self.last_sequence, key.clone()));
        let replaced = self.entries.insert(key, (self.last_sequence, value));
        self.evict();
        replaced.map(|(_, value)| value)
    }

    pub(super) fn remove(&mut self, key: &K) -> Option<V> {
        self.entries.remove(key).map(|(_, value)| value)
    }

    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// Evicts the oldest entries, and drops order records of entries that were removed or replaced.
    fn evict(&mut self) {
        let entries = &self.entries;
        let is_current = |sequence: u64, key: &K| {
            entries
                .get(key)
                .is_some_and(|(current, _)| *current == sequence)
        };
        if self.insertion_order.len() > 2 * self.capacity {
            self.insertion_order
                .retain(|(sequence, key)| is_current(*sequence, key));
        }
        while self.entries.len() > self.capacity {
            let Some((sequence, key)) = self.insertion_order.pop_front() else {
                return;
            };
            if self
                .entries
                .get(&key)
                .is_some_and(|(current, _)| *current == sequence)
            {
                self.entries.remove(&key);
            }
        }
    }
}
