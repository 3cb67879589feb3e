//! Reads complete response bodies of targets within the host's memory budget.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::client_connections;
use crate::head_limit::SlowSendDetector;
use crate::state::Gateway;

/// Why a response body was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// The connection failed before the end of the body.
    Aborted,
    /// The body exceeds the memory budget, or keeps arriving for too long under
    /// [`ResponsePace::Immediate`].
    LimitExceeded,
}

/// How fast a response body has to arrive.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponsePace {
    /// A healthy target writes the body at once, so one that keeps arriving for longer is aborted.
    Immediate,
    /// The body may take long; only the request's deadline bounds it.
    DeadlineOnly,
}

/// Bytes read so far; returns their share of the memory budget when dropped.
struct BodyBuffer<'a> {
    gateway: &'a Gateway,
    bytes: BytesMut,
}

impl BodyBuffer<'_> {
    fn append(&mut self, added: &[u8]) -> Result<(), BodyError> {
        let buffered = self.bytes.len();
        let may_grow = self
            .gateway
            .with_state(|state| state.buffer_budget.try_reserve(buffered, added.len()));
        if !may_grow {
            return Err(BodyError::LimitExceeded);
        }
        self.bytes.extend_from_slice(added);
        Ok(())
    }
}

impl Drop for BodyBuffer<'_> {
    fn drop(&mut self) {
        let bytes = self.bytes.len();
        self.gateway
            .with_state(|state| state.buffer_budget.release(bytes));
    }
}

/// A whole body, which is counted until it is sent to the caller, who may read slowly. It does not
/// count toward the budget for reading: targets are judged by that, and must not suffer from callers
/// who do not read.
struct BufferedBody {
    bytes: Bytes,
    unsent_bytes: Arc<AtomicUsize>,
}

impl BufferedBody {
    fn new(bytes: Bytes, unsent_bytes: &Arc<AtomicUsize>) -> Self {
        unsent_bytes.fetch_add(bytes.len(), Ordering::Relaxed);
        Self {
            bytes,
            unsent_bytes: Arc::clone(unsent_bytes),
        }
    }
}

impl AsRef<[u8]> for BufferedBody {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for BufferedBody {
    fn drop(&mut self) {
        self.unsent_bytes
            .fetch_sub(self.bytes.len(), Ordering::Relaxed);
    }
}

/// Reads a body to its end.
pub async fn read_to_end(
    gateway: &Gateway,
    mut body: Incoming,
    pace: ResponsePace,
) -> Result<Bytes, BodyError> {
    let mut slow_send_detector = SlowSendDetector::default();
    let mut buffer = BodyBuffer {
        gateway,
        bytes: BytesMut::new(),
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Aborted)?;
        if let Some(bytes) = frame.data_ref() {
            buffer.append(bytes)?;
            if pace == ResponsePace::Immediate && slow_send_detector.observe(Instant::now()) {
                return Err(BodyError::LimitExceeded);
            }
        }
    }
    let bytes = Bytes::copy_from_slice(&buffer.bytes);
    let body = BufferedBody::new(bytes, &gateway.unsent_response_bytes);
    client_connections::close_unread(gateway);
    Ok(Bytes::from_owner(body))
}
