//! The byte stream of a caller's connection: enforces timeouts, and replaces the HTTP library's
//! error responses with refusals.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use mimosagap_types::prelude::*;
use serde_json::json;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep, sleep_until};

use super::response::{refusal_json, retry_seconds};
use crate::view::ServingView;

/// How long a kept-alive connection may wait for its next request.
const NEXT_REQUEST_TIMEOUT: Duration = Duration::from_mins(2);

/// Whether a request of the connection is in progress.
#[derive(Debug, Clone, Default)]
pub struct BusyFlag(Arc<AtomicBool>);

impl BusyFlag {
    /// Marks the connection as busy until the guard is dropped.
    #[must_use]
    pub fn mark_busy(&self) -> BusyGuard {
        self.0.store(true, Ordering::Relaxed);
        BusyGuard(self.clone())
    }

    fn is_busy(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// Marks the connection as busy while a request is in progress.
#[derive(Debug)]
pub struct BusyGuard(BusyFlag);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.0.store(false, Ordering::Relaxed);
    }
}

/// What the connection is waiting for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ConnectionPhase {
    NextRequest,
    RestOfHead,
    Response,
}

/// The stream that the HTTP library reads and writes.
///
/// Timeouts apply to the head of a request, to the wait for the next one, and to a response that the
/// caller does not read.
pub struct CallerIo {
    stream: TcpStream,
    view: Arc<ServingView>,
    busy_flag: BusyFlag,
    timeout: Duration,
    phase: ConnectionPhase,
    read_deadline: Pin<Box<Sleep>>,
    write_deadline: Option<Pin<Box<Sleep>>>,
    replacement_response: Option<Bytes>,
}

impl CallerIo {
    /// Wraps a connection. `timeout` applies to request heads and to unread responses.
    #[must_use]
    pub fn new(
        stream: TcpStream,
        view: Arc<ServingView>,
        busy_flag: BusyFlag,
        timeout: Duration,
    ) -> Self {
        Self {
            stream,
            view,
            busy_flag,
            timeout,
            phase: ConnectionPhase::RestOfHead,
            read_deadline: Box::pin(sleep_until(Instant::now() + timeout)),
            write_deadline: None,
            replacement_response: None,
        }
    }

    fn enter_phase(&mut self, phase: ConnectionPhase) {
        self.phase = phase;
        let timeout = match phase {
            ConnectionPhase::NextRequest => NEXT_REQUEST_TIMEOUT,
            ConnectionPhase::RestOfHead => self.timeout,
            ConnectionPhase::Response => return,
        };
        self.read_deadline.as_mut().reset(Instant::now() + timeout);
    }

    fn poll_read_deadline(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match (self.busy_flag.is_busy(), self.phase) {
            (true, ConnectionPhase::Response) => return Poll::Pending,
            (true, _) => {
                self.enter_phase(ConnectionPhase::Response);
                return Poll::Pending;
            }
            (false, ConnectionPhase::Response) => self.enter_phase(ConnectionPhase::NextRequest),
            (false, _) => {}
        }
        ready!(self.read_deadline.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }

    fn poll_stream_write(
        &mut self,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if let Poll::Ready(written) = Pin::new(&mut self.stream).poll_write(context, bytes) {
            self.write_deadline = None;
            return Poll::Ready(written);
        }
        let timeout = self.timeout;
        let deadline = self
            .write_deadline
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + timeout)));
        ready!(deadline.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// Returns the refusal that replaces the HTTP library's own error response, which has no body; `None`
/// for any other output.
///
/// Every 4xx response of the daemon carries `x-outcome`, so one without it comes from the library.
/// The library writes a head in a single call.
fn replace_library_error(bytes: &[u8], view: &ServingView) -> Option<Bytes> {
    if !bytes.starts_with(b"HTTP/1.1 4") || contains(bytes, b"\r\nx-outcome: ") {
        return None;
    }
    let message = if bytes.starts_with(b"HTTP/1.1 431") {
        "the headers are too long; shorten them"
    } else {
        "the request is not valid HTTP/1.1; correct it"
    };
    let status_line = bytes.split(|byte| *byte == b'\r').next()?;
    let status_line = String::from_utf8_lossy(status_line);
    let refusal = Refusal::new(RefusalCause::BadRequest, message);
    Some(raw_refusal_response(&status_line, &refusal, view))
}

fn contains(bytes: &[u8], pattern: &[u8]) -> bool {
    bytes.windows(pattern.len()).any(|window| window == pattern)
}

/// Encodes a refusal as an HTTP response without the HTTP library; the connection is to be closed
/// after it.
#[must_use]
pub fn raw_refusal_response(status_line: &str, refusal: &Refusal, view: &ServingView) -> Bytes {
    let body = json!({"error": refusal_json(refusal)}).to_string();
    let retry_header = refusal.retry_after.map_or_else(String::new, |delay| {
        format!("retry-after: {}\r\n", retry_seconds(delay))
    });
    let outcome = refusal.outcome;
    let revision = view.rules().revision;
    let content_length = body.len();
    Bytes::from(format!(
        "{status_line}\r\ncontent-type: application/json\r\nx-outcome: {outcome}\r\n{retry_header}\
         x-rules-revision: {revision}\r\ncontent-length: {content_length}\r\nconnection: close\r\n\r\n{body}"
    ))
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                let awaits_request =
                    self.phase != ConnectionPhase::RestOfHead && !self.busy_flag.is_busy();
                if awaits_request && buffer.filled().len() > filled_before {
                    self.enter_phase(ConnectionPhase::RestOfHead);
                }
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.poll_read_deadline(context),
        }
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.replacement_response.is_none() {
            self.replacement_response = replace_library_error(bytes, &self.view);
        }
        while let Some(mut unsent_bytes) = self.replacement_response.take() {
            if unsent_bytes.is_empty() {
                return Poll::Ready(Ok(bytes.len()));
            }
            match self.poll_stream_write(context, &unsent_bytes) {
                Poll::Ready(Ok(written)) => {
                    let _ = unsent_bytes.split_to(written);
                    self.replacement_response = Some(unsent_bytes);
                }
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    self.replacement_response = Some(unsent_bytes);
                    return Poll::Pending;
                }
            }
        }
        self.poll_stream_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
