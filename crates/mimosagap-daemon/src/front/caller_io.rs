//! A caller's connection with time limits, and refusals for requests that are not valid HTTP.

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

use super::answer::{refusal_json, retry_seconds};
use crate::view::ServingView;

/// How long a connection may wait for its next request.
const IDLE_LIMIT: Duration = Duration::from_mins(2);

/// Whether a request of the connection is being answered.
#[derive(Debug, Clone, Default)]
pub struct BusyFlag(Arc<AtomicBool>);

impl BusyFlag {
    /// Marks the connection as busy until the guard is dropped.
    #[must_use]
    pub fn enter(&self) -> BusyGuard {
        self.0.store(true, Ordering::Relaxed);
        BusyGuard(self.clone())
    }

    fn get(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

/// A request that is being answered.
#[derive(Debug)]
pub struct BusyGuard(BusyFlag);

impl Drop for BusyGuard {
    fn drop(&mut self) {
        self.0.0.store(false, Ordering::Relaxed);
    }
}

/// What the connection waits for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    NextRequest,
    RestOfHead,
    Answer,
}

/// The connection as the HTTP library sees it.
///
/// Time limits apply to the head of a request, to the wait for the next one, and to an answer that
/// the caller does not read.
pub struct CallerIo {
    stream: TcpStream,
    view: Arc<ServingView>,
    busy: BusyFlag,
    limit: Duration,
    phase: Phase,
    read_deadline: Pin<Box<Sleep>>,
    write_deadline: Option<Pin<Box<Sleep>>>,
    replacement: Option<Bytes>,
}

impl CallerIo {
    /// Wraps a connection; `limit` bounds heads and unread answers.
    #[must_use]
    pub fn new(stream: TcpStream, view: Arc<ServingView>, busy: BusyFlag, limit: Duration) -> Self {
        Self {
            stream,
            view,
            busy,
            limit,
            phase: Phase::RestOfHead,
            read_deadline: Box::pin(sleep_until(Instant::now() + limit)),
            write_deadline: None,
            replacement: None,
        }
    }

    fn enter(&mut self, phase: Phase) {
        self.phase = phase;
        let limit = match phase {
            Phase::NextRequest => IDLE_LIMIT,
            Phase::RestOfHead => self.limit,
            Phase::Answer => return,
        };
        self.read_deadline.as_mut().reset(Instant::now() + limit);
    }

    fn check_read_deadline(&mut self, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match (self.busy.get(), self.phase) {
            (true, Phase::Answer) => return Poll::Pending,
            (true, _) => {
                self.enter(Phase::Answer);
                return Poll::Pending;
            }
            (false, Phase::Answer) => self.enter(Phase::NextRequest),
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
        let limit = self.limit;
        let deadline = self
            .write_deadline
            .get_or_insert_with(|| Box::pin(sleep_until(Instant::now() + limit)));
        ready!(deadline.as_mut().poll(context));
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

/// The refusal that takes the place of the library's own answer without a body.
///
/// Every answer of the daemon with such a status carries `x-outcome`; the library writes a head in
/// one piece.
fn replacement(bytes: &[u8], view: &ServingView) -> Option<Bytes> {
    if !bytes.starts_with(b"HTTP/1.1 4") || find(bytes, b"\r\nx-outcome: ") {
        return None;
    }
    let message = if bytes.starts_with(b"HTTP/1.1 431") {
        "the headers are too long; shorten them"
    } else {
        "the request is not valid HTTP/1.1; correct it"
    };
    let line = bytes.split(|byte| *byte == b'\r').next()?;
    let line = String::from_utf8_lossy(line);
    let refusal = Refusal::new(RefusalCause::BadRequest, message);
    Some(bare_answer(&line, &refusal, view))
}

fn find(bytes: &[u8], wanted: &[u8]) -> bool {
    bytes.windows(wanted.len()).any(|part| part == wanted)
}

/// A refusal written without the HTTP library, after which the connection closes.
#[must_use]
pub fn bare_answer(status_line: &str, refusal: &Refusal, view: &ServingView) -> Bytes {
    let body = json!({"error": refusal_json(refusal)}).to_string();
    let retry = refusal.retry_after.map_or_else(String::new, |delay| {
        format!("retry-after: {}\r\n", retry_seconds(delay))
    });
    let outcome = refusal.outcome;
    let revision = view.rules().revision;
    let length = body.len();
    Bytes::from(format!(
        "{status_line}\r\ncontent-type: application/json\r\nx-outcome: {outcome}\r\n{retry}\
         x-rules-revision: {revision}\r\ncontent-length: {length}\r\nconnection: close\r\n\r\n{body}"
    ))
}

impl AsyncRead for CallerIo {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.stream).poll_read(context, buffer) {
            Poll::Ready(Ok(())) => {
                let is_idle = self.phase != Phase::RestOfHead && !self.busy.get();
                if is_idle && buffer.filled().len() > before {
                    self.enter(Phase::RestOfHead);
                }
                Poll::Ready(Ok(()))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => self.check_read_deadline(context),
        }
    }
}

impl AsyncWrite for CallerIo {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        if self.replacement.is_none() {
            self.replacement = replacement(bytes, &self.view);
        }
        while let Some(mut rest) = self.replacement.take() {
            if rest.is_empty() {
                return Poll::Ready(Ok(bytes.len()));
            }
            match self.poll_stream_write(context, &rest) {
                Poll::Ready(Ok(written)) => {
                    let _ = rest.split_to(written);
                    self.replacement = Some(rest);
                }
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    self.replacement = Some(rest);
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
