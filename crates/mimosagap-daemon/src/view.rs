//! The active rules and other facts that request tasks read. Only the driver updates them.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};

use mimosagap_core::{Event, ListedTarget};
use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;

use crate::requests::lock;

/// The active rules, the targets' incarnations and whether the daemon drains.
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
    /// Returns the active rules; empty ones with revision 0 before any are loaded.
    #[must_use]
    pub fn rules(&self) -> Arc<RuleSet> {
        Arc::clone(&self.rules.read().unwrap_or_else(PoisonError::into_inner))
    }

    /// Whether a drain was requested.
    #[must_use]
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }

    /// Returns the incarnation of a target process from its last load report; `None` before the
    /// first.
    #[must_use]
    pub fn incarnation(&self, address: &TargetAddress) -> Option<Incarnation> {
        lock(&self.incarnations).get(address).copied()
    }

    /// Updates the facts that an event changes.
    pub fn apply_event(&self, event: &Event) {
        match event {
            Event::DrainRequested => self.draining.store(true, Ordering::Relaxed),
            Event::TargetReported { address, report } => {
                lock(&self.incarnations).insert(*address, report.incarnation);
            }
            Event::TargetsListed(listed_targets) => self.remove_unlisted(listed_targets),
            _ => {}
        }
    }

    /// Activates a revision of the rules; ignored unless it is newer than the active one.
    pub fn activate_rules(&self, set: &Arc<RuleSet>) {
        let mut rules = self.rules.write().unwrap_or_else(PoisonError::into_inner);
        if set.revision > rules.revision {
            *rules = Arc::clone(set);
        }
    }

    fn remove_unlisted(&self, listed_targets: &[ListedTarget]) {
        lock(&self.incarnations).retain(|address, _| {
            listed_targets
                .iter()
                .any(|target| target.address == *address)
        });
    }
}
