//! The events that a target sends in answer to one request.

use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use tokio::time::Instant;

use crate::connection::HttpConnection;
use crate::exchange::Exchange;
use crate::head_limit::DripDetector;
use crate::sse::{EventSplitter, StreamEvent};

/// The events of one send.
pub struct EventSource {
    /// The head of the answer.
    pub head: Parts,
    body: Incoming,
    /// The connection.
    pub link: HttpConnection,
    splitter: EventSplitter,
    /// Of bytes that are no whole event yet.
    drip: DripDetector,
    /// Whether bytes came since the last look for an event.
    has_more: bool,
}

/// What comes next of a stream.
pub enum SourceItem {
    /// A whole event.
    Event(StreamEvent),
    /// The stream is complete.
    End,
    /// The stream broke off.
    Broken,
    /// What comes is no event and does not end.
    Endless,
}

impl EventSource {
    /// The events of an answer.
    pub fn new(exchange: Exchange) -> Self {
        Self {
            head: exchange.head,
            body: exchange.body,
            link: exchange.connection,
            splitter: EventSplitter::default(),
            drip: DripDetector::default(),
            has_more: false,
        }
    }

    /// The next whole event. Nothing is lost if the caller stops waiting.
    pub async fn next(&mut self) -> SourceItem {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    self.drip = DripDetector::default();
                    self.has_more = false;
                    return SourceItem::Event(event);
                }
                Ok(None) => {}
                Err(_) => return SourceItem::Endless,
            }
            if std::mem::take(&mut self.has_more) && self.drip.observe(Instant::now()) {
                return SourceItem::Endless;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                        self.has_more = true;
                    }
                }
                None if self.splitter.is_empty() => return SourceItem::End,
                Some(Err(_)) | None => return SourceItem::Broken,
            }
        }
    }
}
