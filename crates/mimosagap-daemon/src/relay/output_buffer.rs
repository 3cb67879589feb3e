//! The bytes of a stream between the relay and the caller's connection.

use std::future::poll_fn;
use std::sync::Mutex;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use mimosagap_types::prelude::*;
use tokio::time::{Instant, sleep_until};

use super::KEEPALIVE;
use crate::requests::lock;

/// Bytes after which the relay waits for the caller to read.
pub const HIGH_WATER: usize = 16 << 10;

/// Filled by the relay, emptied by the connection. Both run in the same task.
#[derive(Debug)]
pub struct Outbox {
    state: Mutex<OutboxState>,
}

#[derive(Debug)]
struct OutboxState {
    bytes: BytesMut,
    last_push: Instant,
    started: bool,
    refusal: Option<Refusal>,
}

impl Default for Outbox {
    fn default() -> Self {
        Self::new()
    }
}

impl Outbox {
    /// An empty outbox of an answer that has not started.
    #[must_use]
    pub fn new() -> Self {
        let state = OutboxState {
            bytes: BytesMut::new(),
            last_push: Instant::now(),
            started: false,
            refusal: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Appends an event.
    pub fn push(&self, event: &[u8]) {
        let mut state = lock(&self.state);
        state.bytes.extend_from_slice(event);
        state.last_push = Instant::now();
    }

    /// Ends the answer with a refusal: as its status if it has not started, else as an event.
    pub fn refuse(&self, refusal: Refusal, event: impl FnOnce(&Refusal) -> Vec<u8>) {
        let started = {
            let state = lock(&self.state);
            state.started || !state.bytes.is_empty()
        };
        if started {
            self.push(&event(&refusal));
        } else {
            lock(&self.state).refusal = Some(refusal);
        }
    }

    /// The refusal of an answer that has not started.
    #[must_use]
    pub fn take_refusal(&self) -> Option<Refusal> {
        lock(&self.state).refusal.take()
    }

    /// Marks the answer's head as sent.
    pub fn start(&self) {
        lock(&self.state).started = true;
    }

    /// Takes all bytes out.
    #[must_use]
    pub fn take(&self) -> Bytes {
        lock(&self.state).bytes.split().freeze()
    }

    /// Whether nothing waits for the caller.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        lock(&self.state).bytes.is_empty()
    }

    /// Waits until the caller has read enough. The connection polls the relay again after each
    /// `take`, so that no waker is needed.
    pub async fn space(&self) {
        poll_fn(|_| {
            if lock(&self.state).bytes.len() < HIGH_WATER {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    /// Sends a keepalive for every second without an event. Never ends.
    pub async fn keep_alive(&self) {
        loop {
            let (due, started) = {
                let state = lock(&self.state);
                (state.last_push + KEEPALIVE, state.started)
            };
            if due <= Instant::now() {
                if started {
                    self.push(b": keepalive\n\n");
                } else {
                    lock(&self.state).last_push = Instant::now();
                }
            } else {
                sleep_until(due).await;
            }
        }
    }
}
