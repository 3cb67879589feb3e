//! A map that forgets its oldest entries.

use std::collections::{HashMap, VecDeque};
use std::hash::Hash;

/// Holds at most `capacity` entries; a further one displaces the oldest.
#[derive(Debug)]
pub(super) struct BoundedMap<K, V> {
    entries: HashMap<K, (u64, V)>,
    order: VecDeque<(u64, K)>,
    capacity: usize,
    next: u64,
}

impl<K: Clone + Eq + Hash, V> BoundedMap<K, V> {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            entries: HashMap::new(),
            order: VecDeque::new(),
            capacity,
            next: 0,
        }
    }

    /// Inserts an entry and returns the one that it replaces.
    pub(super) fn insert(&mut self, key: K, value: V) -> Option<V> {
        self.next += 1;
        self.order.push_back((self.next, key.clone()));
        let replaced = self.entries.insert(key, (self.next, value));
        self.trim();
        replaced.map(|(_, value)| value)
    }

    pub(super) fn remove(&mut self, key: &K) -> Option<V> {
        self.entries.remove(key).map(|(_, value)| value)
    }

    pub(super) fn get(&self, key: &K) -> Option<&V> {
        self.entries.get(key).map(|(_, value)| value)
    }

    /// Removed and replaced entries leave their places in the order behind.
    fn trim(&mut self) {
        let entries = &self.entries;
        let is_current =
            |number: u64, key: &K| entries.get(key).is_some_and(|(found, _)| *found == number);
        if self.order.len() > 2 * self.capacity {
            self.order.retain(|(number, key)| is_current(*number, key));
        }
        while self.entries.len() > self.capacity {
            let Some((number, key)) = self.order.pop_front() else {
                return;
            };
            if self
                .entries
                .get(&key)
                .is_some_and(|(found, _)| *found == number)
            {
                self.entries.remove(&key);
            }
        }
    }
}
