//! TCP streams that count their bytes, and the reading of message bodies.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::{Bytes, BytesMut};
use h2::RecvStream;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::counters::PeerCounters;
use crate::error::MessageError;

/// TCP stream to or from a peer. Counts the bytes that it transfers.
pub(crate) struct CountedStream {
    stream: TcpStream,
    counters: Arc<PeerCounters>,
}

impl CountedStream {
    pub(crate) fn new(stream: TcpStream, counters: Arc<PeerCounters>) -> Self {
        Self { stream, counters }
    }
}

impl AsyncRead for CountedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        self.counters
            .add_bytes_received(buffer.filled().len() - filled_before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, buffer))?;
        self.counters.add_bytes_sent(written);
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, buffers))?;
        self.counters.add_bytes_sent(written);
        Poll::Ready(Ok(written))
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

/// Reason why a body could not be read.
pub(crate) enum BodyError {
    /// The body is longer than allowed.
    Oversized,
    /// The stream ended with an error.
    Broken,
}

impl From<BodyError> for MessageError {
    fn from(error: BodyError) -> Self {
        match error {
            BodyError::Oversized => Self::Oversized,
            BodyError::Broken => Self::Malformed,
        }
    }
}

/// Reads a body of at most `max_bytes` bytes.
pub(crate) async fn read_body(
    stream: &mut RecvStream,
    max_bytes: usize,
) -> Result<Bytes, BodyError> {
    let mut body = BytesMut::new();
    while let Some(chunk) = stream.data().await {
        let chunk = chunk.map_err(|_| BodyError::Broken)?;
        if body.len() + chunk.len() > max_bytes {
            return Err(BodyError::Oversized);
        }
        body.extend_from_slice(&chunk);
        let release = stream.flow_control().release_capacity(chunk.len());
        release.map_err(|_| BodyError::Broken)?;
    }
    Ok(body.freeze())
}
