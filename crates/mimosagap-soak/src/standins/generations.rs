//! Generations of all engines of a run: which engine executes which, and the copies of their KV
//! caches.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};

/// A complete copy of the KV cache of a generation.
#[derive(Debug, Clone)]
struct KvCopy {
    request_id: String,
    /// The address of the engine that holds the copy.
    engine_address: String,
}

/// The running generations of all engines and the copies that can continue them.
#[derive(Debug, Default)]
pub struct GenerationTable {
    /// Request ids, with the instance id of the engine.
    running: RefCell<HashSet<(String, String)>>,
    /// Generations that were asked to stop.
    stopped: RefCell<HashSet<(String, String)>>,
    /// Copies by their handle.
    copies: RefCell<HashMap<String, KvCopy>>,
    next_copy_number: Cell<u64>,
}

impl GenerationTable {
    /// Records that an engine starts to execute a generation.
    pub fn start(&self, request_id: &str, instance_id: &str) {
        let mut running = self.running.borrow_mut();
        running.insert((request_id.to_owned(), instance_id.to_owned()));
    }

    /// Records that an engine no longer executes a generation.
    pub fn end(&self, request_id: &str, instance_id: &str) {
        let mut running = self.running.borrow_mut();
        let key = (request_id.to_owned(), instance_id.to_owned());
        running.remove(&key);
        self.stopped.borrow_mut().remove(&key);
    }

    /// Whether an engine executes a generation.
    pub fn is_running(&self, request_id: &str, instance_id: &str) -> bool {
        let running = self.running.borrow();
        running.contains(&(request_id.to_owned(), instance_id.to_owned()))
    }

    /// Records that an engine was asked to stop a generation, which it runs.
    pub fn stop(&self, request_id: &str, instance_id: &str) {
        let mut stopped = self.stopped.borrow_mut();
        stopped.insert((request_id.to_owned(), instance_id.to_owned()));
    }

    /// Whether an engine was asked to stop a generation.
    pub fn is_stopped(&self, request_id: &str, instance_id: &str) -> bool {
        let stopped = self.stopped.borrow();
        stopped.contains(&(request_id.to_owned(), instance_id.to_owned()))
    }

    /// Adds a complete copy that the engine at an address holds, and returns its handle.
    pub fn add_copy(&self, request_id: &str, engine_address: &str) -> String {
        let copy_number = self.next_copy_number.get();
        self.next_copy_number.set(copy_number + 1);
        let handle = format!("c{copy_number}");
        let copy = KvCopy {
            request_id: request_id.to_owned(),
            engine_address: engine_address.to_owned(),
        };
        self.copies.borrow_mut().insert(handle.clone(), copy);
        handle
    }

    /// Removes a copy to continue its generation from it. Returns whether it exists and belongs to
    /// this request and engine.
    pub fn take_copy(&self, handle: &str, request_id: &str, engine_address: &str) -> bool {
        let copy = self.copies.borrow_mut().remove(handle);
        copy.is_some_and(|copy| {
            copy.request_id == request_id && copy.engine_address == engine_address
        })
    }

    /// Removes a copy that is not needed.
    pub fn remove_copy(&self, handle: &str) {
        self.copies.borrow_mut().remove(handle);
    }
}
