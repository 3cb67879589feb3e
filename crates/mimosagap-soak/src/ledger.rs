//! What targets ran and what callers were told, and the promises that both must keep.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

/// What a caller sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallKind {
    /// May run any number of times.
    Repeatable,
    /// May run at most once.
    Once,
    /// A stream that may run at most once.
    Stream,
}

/// One request as the ledger knows it.
#[derive(Debug, Clone)]
struct Entry {
    kind: CallKind,
    key: String,
    sent_at: Instant,
    runs: u32,
    status: Option<u16>,
}

/// All requests of a run.
#[derive(Debug, Default)]
pub struct RunLedger {
    entries: RefCell<HashMap<String, Entry>>,
    revoked: RefCell<HashMap<String, Instant>>,
    leaving: RefCell<HashMap<String, Instant>>,
    disturbed_until: Cell<Option<Instant>>,
    violations: RefCell<Vec<String>>,
}

/// A revoked key must not run a request that was sent later than this.
pub const REVOCATION: Duration = Duration::from_secs(5);

/// A target that leaves must get nothing later than this, from hosts in touch with the store.
pub const DRAIN: Duration = Duration::from_secs(3);

/// Hosts are in touch again this long after a disruption of the store or of their process.
pub const CONTACT: Duration = Duration::from_secs(4);

impl RunLedger {
    /// A caller sends a request.
    pub fn sent(&self, id: &str, kind: CallKind, key: &str) {
        let entry = Entry {
            kind,
            key: key.to_owned(),
            sent_at: Instant::now(),
            runs: 0,
            status: None,
        };
        self.entries.borrow_mut().insert(id.to_owned(), entry);
    }

    /// A target runs a request.
    pub fn ran(&self, id: &str, target: &str, team: Option<&str>, has_key: bool) {
        if has_key {
            self.violation(format!("target {target} got the key of request {id}"));
        }
        if team.is_none() {
            self.violation(format!("request {id} ran without a team"));
        }
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(id) else {
            drop(entries);
            self.violation(format!(
                "target {target} ran request {id}, which nobody sent"
            ));
            return;
        };
        entry.runs += 1;
        let (kind, runs, status, sent_at) = (entry.kind, entry.runs, entry.status, entry.sent_at);
        let key = entry.key.clone();
        drop(entries);
        if runs > 1 && kind != CallKind::Repeatable {
            self.violation(format!("{kind:?} request {id} ran {runs} times"));
        }
        if kind != CallKind::Repeatable && matches!(status, Some(408 | 421 | 429 | 503)) {
            self.violation(format!("request {id} ran after it was refused"));
        }
        let revoked_at = self.revoked.borrow().get(&key).copied();
        if revoked_at.is_some_and(|at| sent_at > at + REVOCATION) {
            self.violation(format!("request {id} ran with a revoked key"));
        }
        let left_at = self.leaving.borrow().get(target).copied();
        let in_touch_from = self.disturbed_until.get().map(|until| until + CONTACT);
        let is_in_touch = in_touch_from.is_none_or(|from| sent_at > from);
        if is_in_touch && left_at.is_some_and(|at| sent_at > at + DRAIN) {
            self.violation(format!(
                "request {id} reached {target}, which left long ago"
            ));
        }
    }

    /// A caller got an answer.
    pub fn answered(&self, id: &str, status: u16) {
        let mut entries = self.entries.borrow_mut();
        let Some(entry) = entries.get_mut(id) else {
            return;
        };
        entry.status = Some(status);
        let (kind, runs) = (entry.kind, entry.runs);
        drop(entries);
        if kind != CallKind::Repeatable && runs > 0 && matches!(status, 408 | 421 | 429 | 503) {
            self.violation(format!(
                "{kind:?} request {id} was refused with {status} and had run"
            ));
        }
    }

    /// The operators revoked a key.
    pub fn revoked(&self, key: &str) {
        self.revoked
            .borrow_mut()
            .insert(key.to_owned(), Instant::now());
    }

    /// Whether a key was revoked.
    pub fn is_revoked(&self, key: &str) -> bool {
        self.revoked.borrow().contains_key(key)
    }

    /// A target told the store that it leaves.
    pub fn leaves(&self, target: &str) {
        self.leaving
            .borrow_mut()
            .insert(target.to_owned(), Instant::now());
    }

    /// The store, or a host's process, is disrupted until this time.
    pub fn disturbed(&self, until: Instant) {
        let known = self.disturbed_until.get();
        self.disturbed_until.set(known.max(Some(until)));
    }

    /// Notes a broken promise.
    pub fn violation(&self, text: String) {
        self.violations.borrow_mut().push(text);
    }

    /// The broken promises.
    pub fn violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    /// How many requests were sent, and how many got a success.
    pub fn counts(&self) -> (usize, usize) {
        let entries = self.entries.borrow();
        let served = entries.values().filter(|entry| entry.status == Some(200));
        (entries.len(), served.count())
    }
}
