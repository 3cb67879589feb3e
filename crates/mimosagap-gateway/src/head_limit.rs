//! Counts what arrives before the head of an answer is whole.
//!
//! A sick target may send a head that never ends, slowly or fast, or one interim answer after the
//! other. The HTTP library bounds the size of one head, but neither its time nor the number of
//! interim ones.

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

/// Most bytes up to the end of a head, in bytes: several times the longest head that is read.
const MOST_BYTES: usize = 64 << 10;

/// Longest time from the first byte to the last one of something that a sound target writes at once.
const MOST_TIME: Duration = Duration::from_secs(2);

/// A pause of this length is silence, from a link that was cut for example, and begins anew.
const SILENCE: Duration = Duration::from_secs(1);

/// Tells bytes that keep coming from silence, which is no reason to give an answer up.
#[derive(Debug, Clone, Copy, Default)]
pub struct DripDetector {
    begun: Option<Instant>,
    last: Option<Instant>,
}

impl DripDetector {
    /// Bytes came that complete nothing. Returns whether that has gone on for too long.
    pub fn observe(&mut self, now: Instant) -> bool {
        let is_pause = self.last.is_none_or(|last| now > last + SILENCE);
        self.last = Some(now);
        let begun = match self.begun {
            Some(begun) if !is_pause => begun,
            _ => now,
        };
        self.begun = Some(begun);
        now > begun + MOST_TIME
    }
}

/// What arrived on a connection since the last request on it.
#[derive(Debug, Default)]
pub struct HeadLimiter {
    bytes: Cell<usize>,
    drip: Cell<DripDetector>,
    /// Whether a head is awaited; what follows it is not counted.
    is_awaiting: Cell<bool>,
    is_over: Cell<bool>,
    news: Notify,
}

impl HeadLimiter {
    /// A request is sent.
    pub fn start(&self) {
        self.bytes.set(0);
        self.drip.set(DripDetector::default());
        self.is_awaiting.set(true);
        self.is_over.set(false);
    }

    /// The head is there, or nothing is awaited any more.
    pub fn stop(&self) {
        self.is_awaiting.set(false);
    }

    fn add(&self, bytes: usize) {
        if bytes == 0 || !self.is_awaiting.get() {
            return;
        }
        self.bytes.set(self.bytes.get().saturating_add(bytes));
        let mut drip = self.drip.get();
        let is_long = drip.observe(Instant::now());
        self.drip.set(drip);
        if is_long || self.bytes.get() > MOST_BYTES {
            self.is_over.set(true);
            self.news.notify_one();
        }
    }

    /// Waits until a head is longer than any, or takes longer than any.
    pub async fn exceeded(&self) {
        while !self.is_over.get() {
            self.news.notified().await;
        }
    }
}

/// A connection whose incoming bytes are counted.
#[derive(Debug)]
pub struct HeadLimitedStream {
    stream: TcpStream,
    meter: Rc<HeadLimiter>,
}

impl HeadLimitedStream {
    /// Counts the bytes of a connection.
    pub fn new(stream: TcpStream, meter: Rc<HeadLimiter>) -> Self {
        Self { stream, meter }
    }
}

impl AsyncRead for HeadLimitedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        self.meter.add(buffer.filled().len() - before);
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
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, parts)
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
