//! Splits a byte stream into server-sent events and reads the fields that the relay needs.

use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, Visitor};

/// Maximum size of an event, in bytes. The last event of a generation may carry the whole output.
const MAX_EVENT_BYTES: usize = 8 << 20;

/// An event exceeds the maximum size.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// An event does not have the expected form.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedEvent;

/// Splits a byte stream into events, which end with a blank line.
#[derive(Debug, Default)]
pub struct EventScanner {
    buffer: Vec<u8>,
    event_start: usize,
    scan_position: usize,
}

impl EventScanner {
    /// Appends received bytes, in chunks of any size.
    ///
    /// # Errors
    /// If the bytes not yet returned as events exceed 8 MiB.
    pub fn push(&mut self, data: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.drain(..self.event_start);
        self.scan_position -= self.event_start;
        self.event_start = 0;
        if self.buffer.len() + data.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// Returns the next complete event with its blank line; `None` until more bytes arrive.
    pub fn next_event(&mut self) -> Option<&[u8]> {
        while let Some(newline_offset) = self.buffer[self.scan_position..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let line_end = self.scan_position + newline_offset + 1;
            let rest = &self.buffer[line_end..];
            let blank_length = match rest {
                [b'\n', ..] => 1,
                [b'\r', b'\n', ..] => 2,
                [] | [b'\r'] => return None,
                _ => {
                    self.scan_position = line_end;
                    continue;
                }
            };
            let event_start = self.event_start;
            self.event_start = line_end + blank_length;
            self.scan_position = self.event_start;
            return Some(&self.buffer[event_start..self.event_start]);
        }
        self.scan_position = self.buffer.len();
        None
    }
}

/// Returns the JSON payload of an event; `None` for a comment, such as a keepalive.
#[must_use]
pub fn event_data(event: &[u8]) -> Option<&[u8]> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"data:")?;
        Some(value.trim_ascii())
    })
}

/// The event types that the relay handles differently.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EventKind {
    /// `response.created`
    Created,
    /// `response.output_text.delta`
    Delta,
    /// `response.completed`
    Completed,
    /// `response.failed`
    Failed,
    /// `response.cancelled`
    Cancelled,
    /// Any other type, which is forwarded unchanged.
    Other,
}

impl EventKind {
    fn from_type(name: &str) -> Self {
        match name {
            "response.output_text.delta" => Self::Delta,
            "response.created" => Self::Created,
            "response.completed" => Self::Completed,
            "response.failed" => Self::Failed,
            "response.cancelled" => Self::Cancelled,
            _ => Self::Other,
        }
    }
}

/// The fields of an event that the relay needs to keep the stream in order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventHeader {
    /// From the `type` field.
    pub kind: EventKind,
    /// From the `sequence_number` field: 0 for the first event, then consecutive.
    pub sequence_number: u64,
}

impl EventHeader {
    /// Parses an event's JSON payload and skips all other fields.
    ///
    /// # Errors
    /// If it is not a JSON object with `type` and `sequence_number`.
    pub fn parse(data: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(data)
    }
}

impl<'de> Deserialize<'de> for EventKind {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct KindVisitor;

        impl Visitor<'_> for KindVisitor {
            type Value = EventKind;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("the type of an event")
            }

            fn visit_str<E>(self, name: &str) -> Result<EventKind, E> {
                Ok(EventKind::from_type(name))
            }
        }

        deserializer.deserialize_str(KindVisitor)
    }
}

enum HeaderField {
    Kind,
    SequenceNumber,
    Other,
}

impl<'de> Deserialize<'de> for HeaderField {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldVisitor;

        impl Visitor<'_> for FieldVisitor {
            type Value = HeaderField;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a field name")
            }

            fn visit_str<E>(self, name: &str) -> Result<HeaderField, E> {
                Ok(match name {
                    "type" => HeaderField::Kind,
                    "sequence_number" => HeaderField::SequenceNumber,
                    _ => HeaderField::Other,
                })
            }
        }

        deserializer.deserialize_identifier(FieldVisitor)
    }
}

impl<'de> Deserialize<'de> for EventHeader {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct HeaderVisitor;

        impl<'de> Visitor<'de> for HeaderVisitor {
            type Value = EventHeader;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an event with type and sequence_number")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<EventHeader, A::Error> {
                let mut kind = None;
                let mut sequence_number = None;
                while let Some(field) = map.next_key()? {
                    match field {
                        HeaderField::Kind => kind = Some(map.next_value()?),
                        HeaderField::SequenceNumber => sequence_number = Some(map.next_value()?),
                        HeaderField::Other => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                Ok(EventHeader {
                    kind: kind.ok_or_else(|| serde::de::Error::missing_field("type"))?,
                    sequence_number: sequence_number
                        .ok_or_else(|| serde::de::Error::missing_field("sequence_number"))?,
                })
            }
        }

        deserializer.deserialize_map(HeaderVisitor)
    }
}
