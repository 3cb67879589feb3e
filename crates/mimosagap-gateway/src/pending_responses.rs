//! Requests to other hosts over UDP that wait for a response.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use tokio::sync::oneshot;

/// Matches responses to the requests that wait for them.
pub struct PendingResponses<T> {
    next_id: Cell<u64>,
    senders: RefCell<HashMap<u64, oneshot::Sender<T>>>,
}

impl<T> PendingResponses<T> {
    /// Creates a table whose first request has this id.
    pub fn new(first_id: u64) -> Self {
        Self {
            next_id: Cell::new(first_id),
            senders: RefCell::default(),
        }
    }

    /// Adds a request, which waits until the returned value is dropped.
    pub fn add(&self) -> PendingResponse<'_, T> {
        let id = self.next_id.get();
        self.next_id.set(id.wrapping_add(1));
        let (sender, receiver) = oneshot::channel();
        self.senders.borrow_mut().insert(id, sender);
        PendingResponse {
            id,
            receiver,
            table: self,
        }
    }

    /// Passes a response to the request that waits for it, if it still does.
    pub fn complete(&self, id: u64, response: T) {
        if let Some(sender) = self.senders.borrow_mut().remove(&id) {
            // The receiver is dropped together with its entry.
            let _ = sender.send(response);
        }
    }
}

/// A request that waits for its response. Dropping it, as when its caller leaves, ends the wait.
pub struct PendingResponse<'a, T> {
    /// Identifies the request in its response.
    pub id: u64,
    receiver: oneshot::Receiver<T>,
    table: &'a PendingResponses<T>,
}

impl<T> PendingResponse<'_, T> {
    /// Waits for the response; `None` if it has been received before.
    pub async fn receive(&mut self) -> Option<T> {
        (&mut self.receiver).await.ok()
    }
}

impl<T> Drop for PendingResponse<'_, T> {
    fn drop(&mut self) {
        self.table.senders.borrow_mut().remove(&self.id);
    }
}
