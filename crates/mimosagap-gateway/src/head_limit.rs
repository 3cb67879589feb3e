//! Limits the bytes and the time up to the end of a response head.
//!
//! A faulty target may send a head that never ends, slowly or fast, or one interim response after
//! the other. The HTTP library limits the size of one head, but neither the time that it takes nor
//! the number of interim responses.

use std::cell::Cell;
use std::io::{self, IoSlice};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Most bytes up to the end of a head: several times the longest head that the HTTP library
/// accepts.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Longest time from the first to the last byte of something that a healthy target writes at once.
const MAX_WRITE_TIME: Duration = Duration::from_secs(2);

/// A pause of this length restarts the time. It may stem from an interrupted link, while a faulty
/// target keeps sending.
const RESTART_PAUSE: Duration = Duration::from_secs(1);

/// Detects a sender that keeps sending but takes too long, unlike one whose link is interrupted.
#[derive(Debug, Clone, Copy, Default)]
pub struct SlowSendDetector {
    started_at: Option<Instant>,
    last_at: Option<Instant>,
}

impl SlowSendDetector {
    /// Records the arrival of bytes that complete nothing. Returns whether that has lasted too
    /// long.
    pub fn observe(&mut self, now: Instant) -> bool {
        let is_restart = self
            .last_at
            .is_none_or(|last_at| now > last_at + RESTART_PAUSE);
        self.last_at = Some(now);
        let started_at = match self.started_at {
            Some(started_at) if !is_restart => started_at,
            _ => now,
        };
        self.started_at = Some(started_at);
        now > started_at + MAX_WRITE_TIME
    }
}

/// Counts what arrives on a connection from a request until the head of its response.
#[derive(Debug, Default)]
pub struct HeadLimiter {
    bytes: Cell<usize>,
    slow_send_detector: Cell<SlowSendDetector>,
    /// Whether a head is awaited; other bytes are not counted.
    is_counting: Cell<bool>,
    is_exceeded: Cell<bool>,
    limit_reached: Notify,
}

impl HeadLimiter {
    /// Starts counting for a request that is about to be sent.
    pub fn start(&self) {
        self.bytes.set(0);
        self.slow_send_detector.set(SlowSendDetector::default());
        self.is_counting.set(true);
        self.is_exceeded.set(false);
    }

    /// Stops counting: the head arrived or the request failed.
    pub fn stop(&self) {
        self.is_counting.set(false);
    }

    fn record(&self, bytes: usize) {
        if bytes == 0 || !self.is_counting.get() {
            return;
        }
        self.bytes.set(self.bytes.get().saturating_add(bytes));
        let mut slow_send_detector = self.slow_send_detector.get();
        let is_too_slow = slow_send_detector.observe(Instant::now());
        self.slow_send_detector.set(slow_send_detector);
        if is_too_slow || self.bytes.get() > MAX_HEAD_BYTES {
            self.is_exceeded.set(true);
            self.limit_reached.notify_one();
        }
    }

    /// Waits until the head exceeds the limit on bytes or on time.
    pub async fn exceeded(&self) {
        while !self.is_exceeded.get() {
            self.limit_reached.notified().await;
        }
    }
}

/// TCP stream that reports incoming bytes to a [`HeadLimiter`].
#[derive(Debug)]
pub struct HeadLimitedStream {
    stream: TcpStream,
    limiter: Rc<HeadLimiter>,
}

impl HeadLimitedStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, limiter: Rc<HeadLimiter>) -> Self {
        Self { stream, limiter }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.limiter.record(buffer.filled().len() - filled_before);
        result
    }
}

impl AsyncWrite for HeadLimitedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
