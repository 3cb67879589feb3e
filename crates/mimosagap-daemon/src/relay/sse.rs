//! Splits a stream of server-sent events and reads what the relay must know of each.

use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, Visitor};

/// Longest event, in bytes; the last event of a generation may carry the whole output.
const MAX_EVENT_BYTES: usize = 8 << 20;

/// An event longer than the bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventTooLong;

/// An event that the relay cannot read.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct MalformedEvent;

/// Cuts a byte stream into events.
#[derive(Debug, Default)]
pub struct EventScanner {
    buffer: Vec<u8>,
    start: usize,
    scanned: usize,
}

impl EventScanner {
    /// Appends bytes as they came.
    ///
    /// # Errors
    /// If an event is longer than 8 MiB.
    pub fn push(&mut self, data: &[u8]) -> Result<(), EventTooLong> {
        self.buffer.drain(..self.start);
        self.scanned -= self.start;
        self.start = 0;
        if self.buffer.len() + data.len() > MAX_EVENT_BYTES {
            return Err(EventTooLong);
        }
        self.buffer.extend_from_slice(data);
        Ok(())
    }

    /// The next whole event with its blank line.
    pub fn next_event(&mut self) -> Option<&[u8]> {
        while let Some(offset) = self.buffer[self.scanned..]
            .iter()
            .position(|byte| *byte == b'\n')
        {
            let after = self.scanned + offset + 1;
            let rest = &self.buffer[after..];
            let blank = match rest {
                [b'\n', ..] => 1,
                [b'\r', b'\n', ..] => 2,
                [] | [b'\r'] => return None,
                _ => {
                    self.scanned = after;
                    continue;
                }
            };
            let start = self.start;
            self.start = after + blank;
            self.scanned = self.start;
            return Some(&self.buffer[start..self.start]);
        }
        self.scanned = self.buffer.len();
        None
    }
}

/// The JSON of an event; `None` for a comment.
#[must_use]
pub fn event_data(event: &[u8]) -> Option<&[u8]> {
    event.split(|byte| *byte == b'\n').find_map(|line| {
        let value = line.strip_prefix(b"data:")?;
        Some(value.trim_ascii())
    })
}

/// The kinds of events that the relay treats differently.
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
    /// Anything else; forwarded as it is.
    Other,
}

impl EventKind {
    fn of(name: &str) -> Self {
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

/// Kind and number of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EventHead {
    /// Its kind.
    pub kind: EventKind,
    /// Its `sequence_number`.
    pub number: u64,
}

impl EventHead {
    /// Reads the head from an event's JSON.
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
                Ok(EventKind::of(name))
            }
        }

        deserializer.deserialize_str(KindVisitor)
    }
}

enum HeadField {
    Kind,
    Number,
    Other,
}

impl<'de> Deserialize<'de> for HeadField {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct FieldVisitor;

        impl Visitor<'_> for FieldVisitor {
            type Value = HeadField;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a field name")
            }

            fn visit_str<E>(self, name: &str) -> Result<HeadField, E> {
                Ok(match name {
                    "type" => HeadField::Kind,
                    "sequence_number" => HeadField::Number,
                    _ => HeadField::Other,
                })
            }
        }

        deserializer.deserialize_identifier(FieldVisitor)
    }
}

impl<'de> Deserialize<'de> for EventHead {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct HeadVisitor;

        impl<'de> Visitor<'de> for HeadVisitor {
            type Value = EventHead;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("an event with type and sequence_number")
            }

            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<EventHead, A::Error> {
                let mut kind = None;
                let mut number = None;
                while let Some(field) = map.next_key()? {
                    match field {
                        HeadField::Kind => kind = Some(map.next_value()?),
                        HeadField::Number => number = Some(map.next_value()?),
                        HeadField::Other => {
                            map.next_value::<IgnoredAny>()?;
                        }
                    }
                }
                Ok(EventHead {
                    kind: kind.ok_or_else(|| serde::de::Error::missing_field("type"))?,
                    number: number
                        .ok_or_else(|| serde::de::Error::missing_field("sequence_number"))?,
                })
            }
        }

        deserializer.deserialize_map(HeadVisitor)
    }
}
