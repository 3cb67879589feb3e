//! The body of a streamed answer: the relay itself, run by the caller's connection.

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

use super::local_waker::LocalWake;
use super::output_buffer::{HIGH_WATER, Outbox};

type Relay = Pin<Box<dyn Future<Output = ()> + Send>>;

/// Runs a relay and hands out what it puts into its outbox.
///
/// What arrives together leaves in one frame. A stream needs no task besides its connection's.
pub struct RelayBody {
    relay: Option<Relay>,
    outbox: Arc<Outbox>,
    wake: LocalWake,
    was_full: bool,
}

impl RelayBody {
    /// The body of `relay`, which fills `outbox`.
    #[must_use]
    pub fn new(relay: Relay, outbox: Arc<Outbox>) -> Self {
        Self {
            relay: Some(relay),
            outbox,
            wake: LocalWake::default(),
            was_full: false,
        }
    }

    /// Polls the relay if there is something new for it: the connection asks for more after each
    /// frame, and most times there is none.
    fn run(&mut self, context: &mut Context<'_>) {
        let Some(relay) = &mut self.relay else {
            return;
        };
        if !self.was_full && !self.wake.is_woken() && self.wake.belongs_to(context) {
            return;
        }
        let polled = self
            .wake
            .poll(context, |context| relay.as_mut().poll(context));
        if polled.is_ready() {
            self.relay = None;
        }
    }

    /// Runs the relay until it has something for the caller, at most for `hold`.
    ///
    /// # Errors
    /// The refusal, if the relay ended with one in this time.
    pub async fn first(&mut self, hold: Duration) -> Result<(), Refusal> {
        let mut deadline = Box::pin(sleep(hold));
        poll_fn(|context| {
            self.run(context);
            if let Some(refusal) = self.outbox.take_refusal() {
                return Poll::Ready(Err(refusal));
            }
            if !self.outbox.is_empty() || self.relay.is_none() {
                return Poll::Ready(Ok(()));
            }
            deadline.as_mut().poll(context).map(Ok)
        })
        .await?;
        self.outbox.start();
        Ok(())
    }
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        self.run(context);
        let bytes = self.outbox.take();
        // A relay that waits for space is not woken by the outbox.
        self.was_full = bytes.len() >= HIGH_WATER;
        if !bytes.is_empty() {
            Poll::Ready(Some(Ok(Frame::data(bytes))))
        } else if self.relay.is_none() {
            Poll::Ready(None)
        } else {
            Poll::Pending
        }
    }
}
