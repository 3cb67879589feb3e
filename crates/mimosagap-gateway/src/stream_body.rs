//! The body of a stream as its caller gets it.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use tokio::sync::mpsc;

use crate::response::BrokenStream;

/// Events between the relay and a caller that reads slowly; bounds the memory of a stream.
const QUEUED_EVENTS: usize = 16;

/// A body and what fills it.
pub fn relay_body() -> (mpsc::Sender<Part>, RelayBody) {
    let (sender, receiver) = mpsc::channel(QUEUED_EVENTS);
    let body = RelayBody {
        parts: receiver,
        is_done: false,
    };
    (sender, body)
}

/// A part of a stream on its way to the caller.
pub enum Part {
    /// An event.
    Event(Bytes),
    /// The stream is complete.
    End,
}

/// The body of a stream. It breaks unless the relay says that the stream is complete.
pub struct RelayBody {
    parts: mpsc::Receiver<Part>,
    is_done: bool,
}

impl Body for RelayBody {
    type Data = Bytes;
    type Error = BrokenStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BrokenStream>>> {
        if self.is_done {
            return Poll::Ready(None);
        }
        let part = std::task::ready!(self.parts.poll_recv(context));
        self.is_done = !matches!(part, Some(Part::Event(_)));
        Poll::Ready(match part {
            Some(Part::Event(bytes)) => Some(Ok(Frame::data(bytes))),
            Some(Part::End) => None,
            None => Some(Err(BrokenStream)),
        })
    }
}
