//! The buffer of a streamed response between the relay and the caller's connection.

use std::future::poll_fn;
use std::sync::Mutex;
use std::task::Poll;

use bytes::{Bytes, BytesMut};
use mimosagap_types::prelude::*;
use tokio::time::{Instant, sleep_until};

use super::KEEPALIVE_INTERVAL;
use crate::requests::lock;

/// Buffered bytes at which the relay waits for the caller to read.
pub const HIGH_WATER_BYTES: usize = 16 << 10;

/// Filled by the relay, emptied by the connection. Both run in the same task.
#[derive(Debug)]
pub struct OutputBuffer {
    state: Mutex<BufferState>,
}

#[derive(Debug)]
struct BufferState {
    bytes: BytesMut,
    last_write_at: Instant,
    is_head_sent: bool,
    refusal: Option<Refusal>,
}

impl Default for OutputBuffer {
    fn default() -> Self {
        Self::new()
    }
}

impl OutputBuffer {
    /// Creates an empty buffer for a response whose head is not sent yet.
    #[must_use]
    pub fn new() -> Self {
        let state = BufferState {
            bytes: BytesMut::new(),
            last_write_at: Instant::now(),
            is_head_sent: false,
            refusal: None,
        };
        Self {
            state: Mutex::new(state),
        }
    }

    /// Appends an encoded event.
    pub fn push(&self, event: &[u8]) {
        let mut state = lock(&self.state);
        state.bytes.extend_from_slice(event);
        state.last_write_at = Instant::now();
    }

    /// Ends the response with a refusal: as the whole response while nothing has been sent or
    /// buffered, else as an event made by `encode_event`.
    pub fn refuse(&self, refusal: Refusal, encode_event: impl FnOnce(&Refusal) -> Vec<u8>) {
        let is_started = {
            let state = lock(&self.state);
            state.is_head_sent || !state.bytes.is_empty()
        };
        if is_started {
            self.push(&encode_event(&refusal));
        } else {
            lock(&self.state).refusal = Some(refusal);
        }
    }

    /// Takes the refusal that is to be the whole response; `None` if there is none.
    #[must_use]
    pub fn take_refusal(&self) -> Option<Refusal> {
        lock(&self.state).refusal.take()
    }

    /// Marks the response's head as sent.
    pub fn mark_head_sent(&self) {
        lock(&self.state).is_head_sent = true;
    }

    /// Removes and returns all buffered bytes.
    #[must_use]
    pub fn take_bytes(&self) -> Bytes {
        lock(&self.state).bytes.split().freeze()
    }

    /// Whether no bytes are buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        lock(&self.state).bytes.is_empty()
    }

    /// Waits until fewer than [`HIGH_WATER_BYTES`] are buffered. The connection polls the relay
    /// again after each `take_bytes`, so no waker is needed.
    pub async fn wait_for_space(&self) {
        poll_fn(|_| {
            if lock(&self.state).bytes.len() < HIGH_WATER_BYTES {
                Poll::Ready(())
            } else {
                Poll::Pending
            }
        })
        .await;
    }

    /// Writes a keepalive comment whenever nothing was written for [`KEEPALIVE_INTERVAL`], once the
    /// head is sent. Never ends.
    pub async fn send_keepalives(&self) {
        loop {
            let (deadline, is_head_sent) = {
                let state = lock(&self.state);
                (state.last_write_at + KEEPALIVE_INTERVAL, state.is_head_sent)
            };
            if deadline <= Instant::now() {
                if is_head_sent {
                    self.push(b": keepalive\n\n");
                } else {
                    lock(&self.state).last_write_at = Instant::now();
                }
            } else {
                sleep_until(deadline).await;
            }
        }
    }
}
