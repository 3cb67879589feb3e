//! The body of a streamed response, which runs the relay within the caller's connection.

use std::convert::Infallible;
use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame};
use mimosagap_types::prelude::*;
use tokio::time::sleep;

use super::local_waker::LocalWaker;
use super::output_buffer::{HIGH_WATER_BYTES, OutputBuffer};

type RelayFuture = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Runs a relay future and emits the bytes that it writes to its output buffer.
///
/// Bytes that are available together form one frame. A stream needs no task besides that of its
/// connection.
pub struct StreamBody {
    relay: Option<RelayFuture>,
    output: Arc<OutputBuffer>,
    waker: LocalWaker,
    was_at_high_water: bool,
}

impl StreamBody {
    /// Creates the body of `relay`, which writes to `output`.
    #[must_use]
    pub fn new(relay: RelayFuture, output: Arc<OutputBuffer>) -> Self {
        Self {
            relay: Some(relay),
            output,
            waker: LocalWaker::default(),
            was_at_high_water: false,
        }
    }

    /// Polls the relay if it can make progress. The connection requests another frame after each
    /// one, and usually none is available.
    fn poll_relay(&mut self, context: &mut Context<'_>) {
        let Some(relay) = &mut self.relay else {
            return;
        };
        if !self.was_at_high_water && !self.waker.is_woken() && self.waker.wakes_task_of(context) {
            return;
        }
        let polled = self
            .waker
            .poll(context, |context| relay.as_mut().poll(context));
        if polled.is_ready() {
            self.relay = None;
        }
    }

    /// Runs the relay until it has output for the caller, at most for `max_wait`.
    ///
    /// # Errors
    /// The refusal, if the relay ends with one within this time.
    pub async fn wait_for_output(&mut self, max_wait: Duration) -> Result<(), Refusal> {
        let mut deadline = Box::pin(sleep(max_wait));
        poll_fn(|context| {
            self.poll_relay(context);
            if let Some(refusal) = self.output.take_refusal() {
                return Poll::Ready(Err(refusal));
            }
            if !self.output.is_empty() || self.relay.is_none() {
                return Poll::Ready(Ok(()));
            }
            deadline.as_mut().poll(context).map(Ok)
        })
        .await?;
        self.output.mark_head_sent();
        Ok(())
    }
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.poll_relay(context);
        let bytes = self.output.take_bytes();
        // The buffer does not wake a relay that waits for space.
        self.was_at_high_water = bytes.len() >= HIGH_WATER_BYTES;
        if !bytes.is_empty() {
            Poll::Ready(Some(Ok(Frame::data(bytes))))
        } else if self.relay.is_none() {
            Poll::Ready(None)
        } else {
            Poll::Pending
        }
    }
}
