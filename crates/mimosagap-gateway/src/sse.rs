//! Splits a stream of server-sent events into whole events without changing their bytes.

use bytes::{Buf, Bytes, BytesMut};

/// Limit on one event. Targets send none that is longer, and on the smallest hosts some hundred
/// streams may each buffer a few events.
pub const MAX_EVENT_BYTES: usize = 16 << 10;

/// One event with its bytes as received.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Value of the `id` field; `None` if it is missing or not a number.
    pub id: Option<u64>,
    /// Bytes of the event, including the blank line that ends it.
    pub bytes: Bytes,
}

/// Buffers received bytes until they form whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

/// An incomplete event is longer than [`MAX_EVENT_BYTES`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next whole event; `None` until more bytes arrive.
    ///
    /// # Errors
    /// If an incomplete event is longer than [`MAX_EVENT_BYTES`].
    pub fn next_event(&mut self) -> Result<Option<StreamEvent>, EventTooLong> {
        let Some(end) = self.find_end() else {
            return if self.buffer.len() > MAX_EVENT_BYTES {
                Err(EventTooLong)
            } else {
                Ok(None)
            };
        };
        self.scanned = 0;
        let bytes = self.buffer.split_to(end).freeze();
        Ok(Some(StreamEvent {
            id: event_id(&bytes),
            bytes,
        }))
    }

    /// Whether no part of an incomplete event is buffered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Offset after the first blank line. Lines end with LF or CR LF.
    fn find_end(&mut self) -> Option<usize> {
        // A blank line may have begun in bytes that were scanned before.
        let start = self.scanned.saturating_sub(3);
        let mut rest = &self.buffer[start..];
        while let Some(newline) = rest.iter().position(|byte| *byte == b'\n') {
            let end = self.buffer.len() - rest.len() + newline + 1;
            rest.advance(newline + 1);
            match rest {
                [b'\n', ..] => return Some(end + 1),
                [b'\r', b'\n', ..] => return Some(end + 2),
                _ => {}
            }
        }
        self.scanned = self.buffer.len();
        None
    }
}

fn event_id(bytes: &[u8]) -> Option<u64> {
    bytes
        .split(|byte| *byte == b'\n')
        .find_map(|line| line.strip_prefix(b"id:"))
        .and_then(|value| std::str::from_utf8(value).ok())
        .and_then(|value| value.trim().parse().ok())
}
