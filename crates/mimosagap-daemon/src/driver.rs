//! The task which owns the reducer.

use mimosagap_core::Event;
use tokio::sync::mpsc;

/// Sends events to the reducer. Cheap to clone; never blocks.
#[derive(Debug, Clone)]
pub struct EventSender {
    sender: mpsc::UnboundedSender<Event>,
}

impl EventSender {
    /// A sender and the receiver which the driver reads.
    #[must_use]
    pub fn new() -> (Self, mpsc::UnboundedReceiver<Event>) {
        let (sender, receiver) = mpsc::unbounded_channel();
        (Self { sender }, receiver)
    }

    /// Queues an event. During shutdown, when nobody reads any more, it is dropped.
    pub fn send(&self, event: Event) {
        let _ = self.sender.send(event);
    }
}
