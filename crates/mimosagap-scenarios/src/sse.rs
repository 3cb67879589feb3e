//! A parser of server-sent events, limited to what the Responses API uses.

use serde_json::Value;

/// Parses a byte stream into the JSON payloads of its events.
#[derive(Debug, Default)]
pub struct EventParser {
    buffer: Vec<u8>,
    data: String,
}

impl EventParser {
    /// Adds the next bytes and returns the payloads that they complete. Comments and fields other
    /// than `data` are skipped.
    ///
    /// # Errors
    /// A line is not UTF-8, or a payload is not JSON.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Value>, String> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = std::str::from_utf8(&line).map_err(|error| error.to_string())?;
            events.extend(self.parse_line(line.trim_end_matches(['\r', '\n']))?);
        }
        Ok(events)
    }

    fn parse_line(&mut self, line: &str) -> Result<Option<Value>, String> {
        if let Some(data) = line.strip_prefix("data:") {
            self.data.push_str(data.trim_start());
            return Ok(None);
        }
        if !line.is_empty() || self.data.is_empty() {
            return Ok(None);
        }
        let data = std::mem::take(&mut self.data);
        let event = serde_json::from_str(&data);
        event
            .map(Some)
            .map_err(|error| format!("event {data:?} is not JSON: {error}"))
    }
}
