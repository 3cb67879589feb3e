//! Response body of a stream, fed by its relay.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

use crate::response::IncompleteStream;

/// Events that are queued for a caller that reads slowly.
const MAX_QUEUED_EVENTS: usize = 16;

/// Bytes that are queued for a caller that reads slowly; bounds the memory of a stream. A faulty
/// target may send long events without end, to many callers that do not read.
const MAX_QUEUED_BYTES: u32 = 32 << 10;

/// Creates a body and the sender that feeds it.
pub fn stream_body() -> (PartSender, StreamBody) {
    let (parts, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
    let sender = PartSender {
        parts,
        free_bytes: Arc::new(Semaphore::new(MAX_QUEUED_BYTES as usize)),
    };
    let body = StreamBody {
        part_receiver: receiver,
        is_done: false,
    };
    (sender, body)
}

/// Part of a stream on its way to the caller.
pub enum StreamPart {
    /// Bytes of one event, or of any piece of a relayed body.
    Event(Bytes),
    /// The stream is complete, so the body ends without an error.
    End,
}

/// The caller has left, so nothing can be sent to it.
#[derive(Debug)]
pub struct CallerGone;

/// Sends parts to a [`StreamBody`].
#[derive(Clone)]
pub struct PartSender {
    parts: mpsc::Sender<(StreamPart, Option<OwnedSemaphorePermit>)>,
    free_bytes: Arc<Semaphore>,
}

impl PartSender {
    /// Sends a part, once there is room for it in the queue.
    ///
    /// # Errors
    /// If the caller has left.
    pub async fn send(&self, part: StreamPart) -> Result<(), CallerGone> {
        let permit = match &part {
            StreamPart::Event(bytes) => {
                let length = u32::try_from(bytes.len()).unwrap_or(u32::MAX);
                let free_bytes = Arc::clone(&self.free_bytes);
                let room = free_bytes.acquire_many_owned(length.min(MAX_QUEUED_BYTES));
                tokio::select! {
                    biased;
                    () = self.parts.closed() => return Err(CallerGone),
                    permit = room => permit.ok(),
                }
            }
            StreamPart::End => None,
        };
        let sent = self.parts.send((part, permit)).await;
        sent.map_err(|_| CallerGone)
    }

    /// Waits until the caller has left.
    pub async fn closed(&self) {
        self.parts.closed().await;
    }
}

/// Response body of a stream. It fails with [`IncompleteStream`] if the sender is dropped before it
/// sent [`StreamPart::End`].
pub struct StreamBody {
    part_receiver: mpsc::Receiver<(StreamPart, Option<OwnedSemaphorePermit>)>,
    is_done: bool,
}

impl Body for StreamBody {
    type Data = Bytes;
    type Error = IncompleteStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteStream>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        let queued = std::task::ready!(self.part_receiver.poll_recv(context));
        // The room of the part is free from now on.
        let part = queued.map(|(part, _)| part);
        self.is_done = !matches!(part, Some(StreamPart::Event(_)));
        Poll::Ready(match part {
            Some(StreamPart::Event(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(StreamPart::End) => None,
            None => Some(Err(IncompleteStream)),
        })
    }
}
