//! Reads the events of a stream from the response of a target.

use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::response::Parts;
use http_body_util::BodyExt;
use hyper::body::Incoming;

use tokio::time::Instant;

use crate::connection::HttpConnection;
use crate::exchange::Exchange;
use crate::head_limit::SlowSendDetector;
use crate::sse::{EventSplitter, StreamEvent};

/// The events in the response to one send.
pub struct EventSource {
    /// Status and headers of the response.
    pub head: Parts,
    body: Incoming,
    /// The connection that carries the response.
    pub connection: HttpConnection,
    splitter: EventSplitter,
    /// Detects bytes that keep arriving without completing an event.
    slow_send_detector: SlowSendDetector,
    /// Whether bytes arrived since the splitter last looked for an event.
    has_more: bool,
}

/// Next item of a stream.
pub enum SourceItem {
    /// A complete event.
    Event(StreamEvent),
    /// The response ended after a complete event.
    End,
    /// The connection failed, or the response ended within an event.
    Aborted,
    /// An event exceeds the size limit or the time limit.
    LimitExceeded,
}

impl EventSource {
    /// Reads events from the body of a response.
    pub fn new(exchange: Exchange) -> Self {
        Self {
            head: exchange.head,
            body: exchange.body,
            connection: exchange.connection,
            splitter: EventSplitter::default(),
            slow_send_detector: SlowSendDetector::default(),
            has_more: false,
        }
    }

    /// Whether the body ends with its connection, so that a broken one looks complete.
    pub fn is_close_delimited(&self) -> bool {
        let headers = &self.head.headers;
        !headers.contains_key(CONTENT_LENGTH) && !headers.contains_key(TRANSFER_ENCODING)
    }

    /// Returns the next item. Cancellation safe: dropping the future loses no bytes.
    pub async fn next(&mut self) -> SourceItem {
        loop {
            match self.splitter.next_event() {
                Ok(Some(event)) => {
                    self.slow_send_detector = SlowSendDetector::default();
                    self.has_more = false;
                    return SourceItem::Event(event);
                }
                Ok(None) => {}
                Err(_) => return SourceItem::LimitExceeded,
            }
            if std::mem::take(&mut self.has_more) && self.slow_send_detector.observe(Instant::now())
            {
                return SourceItem::LimitExceeded;
            }
            match self.body.frame().await {
                Some(Ok(frame)) => {
                    if let Some(bytes) = frame.data_ref() {
                        self.splitter.push(bytes);
                        self.has_more = true;
                    }
                }
                None if self.splitter.is_empty() => return SourceItem::End,
                Some(Err(_)) | None => return SourceItem::Aborted,
            }
        }
    }
}
