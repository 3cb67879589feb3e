//! Response body of a stream, fed by its relay.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use crate::response::IncompleteStream;

/// Events that are queued for a caller that reads slowly; bounds the memory of a stream.
const MAX_QUEUED_EVENTS: usize = 16;

/// Creates a body and the sender that feeds it.
pub fn stream_body() -> (mpsc::Sender<StreamPart>, StreamBody) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
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

/// Response body of a stream. It fails with [`IncompleteStream`] if the sender is dropped before it
/// sent [`StreamPart::End`].
pub struct StreamBody {
    part_receiver: mpsc::Receiver<StreamPart>,
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
        let part = std::task::ready!(self.part_receiver.poll_recv(context));
        self.is_done = !matches!(part, Some(StreamPart::Event(_)));
        Poll::Ready(match part {
            Some(StreamPart::Event(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(StreamPart::End) => None,
            None => Some(Err(IncompleteStream)),
        })
    }
}
