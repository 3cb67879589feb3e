//! Reads whole answers of targets, within the memory of the host.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::head_limit::DripDetector;
use crate::state::Gateway;

/// Why an answer was not read to its end.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum BodyError {
    /// It broke off.
    Broken,
    /// It is longer than any answer, or than there is memory for.
    Endless,
}

/// How fast an answer has to come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResponsePace {
    /// A sound target writes it at once.
    Immediate,
    /// It may be long; only the request's own time bounds it.
    DeadlineOnly,
}

/// What was read so far; gives its memory back when it is dropped.
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
            return Err(BodyError::Endless);
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

/// Reads a body to its end.
pub async fn read_to_end(
    gateway: &Gateway,
    mut body: Incoming,
    pace: ResponsePace,
) -> Result<Bytes, BodyError> {
    let mut drip_detector = DripDetector::default();
    let mut buffer = BodyBuffer {
        gateway,
        bytes: BytesMut::new(),
    };
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| BodyError::Broken)?;
        if let Some(bytes) = frame.data_ref() {
            buffer.append(bytes)?;
            if pace == ResponsePace::Immediate && drip_detector.observe(Instant::now()) {
                return Err(BodyError::Endless);
            }
        }
    }
    Ok(Bytes::copy_from_slice(&buffer.bytes))
}
