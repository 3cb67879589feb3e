//! What the engines of a run know of each other's generations: which run where, and their copies.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};

/// A complete copy.
#[derive(Debug, Clone)]
struct RunCopy {
    id: String,
    /// The address of the engine that has it.
    holder: String,
}

/// Running generations and copies of all engines.
#[derive(Debug, Default)]
pub struct CopyTable {
    running: RefCell<HashSet<(String, String)>>,
    copies: RefCell<HashMap<String, RunCopy>>,
    next: Cell<u64>,
}

impl CopyTable {
    /// A generation runs at an engine.
    pub fn runs(&self, id: &str, instance: &str) {
        let mut running = self.running.borrow_mut();
        running.insert((id.to_owned(), instance.to_owned()));
    }

    /// A generation does not run at an engine any more.
    pub fn ends(&self, id: &str, instance: &str) {
        let mut running = self.running.borrow_mut();
        running.remove(&(id.to_owned(), instance.to_owned()));
    }

    /// Whether a generation runs at an engine.
    pub fn is_running(&self, id: &str, instance: &str) -> bool {
        let running = self.running.borrow();
        running.contains(&(id.to_owned(), instance.to_owned()))
    }

    /// A copy is complete at the engine with an address. Returns its name.
    pub fn copied(&self, id: &str, holder: &str) -> String {
        let number = self.next.get();
        self.next.set(number + 1);
        let name = format!("c{number}");
        let copy = RunCopy {
            id: id.to_owned(),
            holder: holder.to_owned(),
        };
        self.copies.borrow_mut().insert(name.clone(), copy);
        name
    }

    /// Uses a copy, which can be done once, at the engine that has it and for its run only.
    pub fn take(&self, name: &str, id: &str, holder: &str) -> bool {
        let copy = self.copies.borrow_mut().remove(name);
        copy.is_some_and(|copy| copy.id == id && copy.holder == holder)
    }

    /// Frees a copy.
    pub fn free(&self, name: &str) {
        self.copies.borrow_mut().remove(name);
    }
}
