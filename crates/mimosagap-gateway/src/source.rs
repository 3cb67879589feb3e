//! The events that a target sends in answer to one request.

use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use crate::events::{EventSplitter, StreamEvent};
use crate::exchange::Exchange;
use crate::link::HttpLink;

/// The events of one send.
pub struct EventSource {
    /// The head of the answer.
    pub head: Parts,
    body: Incoming,
    /// The connection.
    pub link: HttpLink,
    splitter: EventSplitter,
}

/// What comes next of a stream.
pub enum SourceItem {
    /// A whole event.
    Event(StreamEvent),
    /// The stream is complete.
    End,
    /// The stream broke off.
    Broken,
}

impl EventSource {
    /// The events of an answer.
    pub fn new(exchange: Exchange) -> Self {
        Self {
            head: exchange.head,
            body: exchange.body,
            link: exchange.link,
            splitter: EventSplitter::default(),
        }
    }

    /// The next whole event. Nothing is lost if the caller stops waiting.
    pub async fn next(&mut self) -> SourceItem {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => return SourceItem::Event(event),
                Ok(None) => {}
                Err(_) => return SourceItem::Broken,
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                    }
                }
                None if self.splitter.is_empty() => return SourceItem::End,
                Some(Err(_)) | None => return SourceItem::Broken,
            }
        }
    }
}
