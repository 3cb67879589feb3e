//! The rules in force and other facts which every request needs. Only the driver changes them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use mimosagap_core::{Event, ListedTarget};
use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;

use crate::requests::lock;

/// What the daemon knows.
#[derive(Debug)]
pub struct ServingView {
    rules: RwLock<Arc<RuleSet>>,
    incarnations: Mutex<HashMap<TargetAddress, Incarnation>>,
    draining: AtomicBool,
}

impl Default for ServingView {
    fn default() -> Self {
        Self {
            rules: RwLock::new(Arc::new(RuleSet::empty())),
            incarnations: Mutex::default(),
            draining: AtomicBool::new(false),
        }
    }
}

impl ServingView {
    /// The rules in force.
    #[must_use]
    pub fn rules(&self) -> Arc<RuleSet> {
        Arc::clone(&self.rules.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether the daemon drains.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// The life of a target process, from its last report.
    #[must_use]
    pub fn incarnation(&self, address: &TargetAddress) -> Option<Incarnation> {
        lock(&self.incarnations).get(address).copied()
    }

    /// Takes note of an event.
    pub fn note_event(&self, event: &Event) {
        match event {
            Event::DrainRequested => self.draining.store(true, Ordering::Relaxed),
            Event::TargetReported { address, report } => {
                lock(&self.incarnations).insert(*address, report.incarnation);
            }
            Event::TargetsListed(list) => self.forget_unlisted(list),
            _ => {}
        }
    }

    /// Puts a revision in force; an older one than the current changes nothing.
    pub fn adopt(&self, set: &Arc<RuleSet>) {
        let mut rules = self.rules.write().unwrap_or_else(PoisonError::into_inner);
        if set.revision > rules.revision {
            *rules = Arc::clone(set);
        }
    }

    fn forget_unlisted(&self, list: &[ListedTarget]) {
        lock(&self.incarnations)
            .retain(|address, _| list.iter().any(|target| target.address == *address));
    }
}
