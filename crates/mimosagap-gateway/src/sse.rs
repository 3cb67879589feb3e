//! Splits a stream into whole events.

use bytes::{Buf, Bytes, BytesMut};

/// Longest event in bytes; a longer one is no event of a target. Some hundred streams may each keep
/// a few such events on the smallest hosts.
pub const MAX_EVENT_BYTES: usize = 16 << 10;

/// One event with its bytes as they came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StreamEvent {
    /// Its id, if it has one.
    pub id: Option<u64>,
    /// Its bytes, the blank line included.
    pub bytes: Bytes,
}

/// Bytes that are not yet a whole event.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    scanned: usize,
}

/// An event is longer than any target sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

impl EventSplitter {
    /// Adds bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Takes the next whole event.
    ///
    /// # Errors
    /// If what is there is longer than any event.
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

    /// Whether nothing is left over.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The end of the first blank line; lines end with LF or CR LF.
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
