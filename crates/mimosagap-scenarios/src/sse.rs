//! Server-sent events, as far as the Responses API uses them.

use serde_json::Value;

/// Splits a byte stream into events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: Vec<u8>,
    data: String,
}

impl EventSplitter {
    /// Takes the next bytes and returns the payloads that they complete. Comments are skipped.
    ///
    /// # Errors
    /// If a line is not text or a payload is not JSON.
    pub fn push(&mut self, bytes: &[u8]) -> Result<Vec<Value>, String> {
        self.buffer.extend_from_slice(bytes);
        let mut events = Vec::new();
        while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
            let line: Vec<u8> = self.buffer.drain(..=end).collect();
            let line = std::str::from_utf8(&line).map_err(|error| error.to_string())?;
            events.extend(self.take_line(line.trim_end_matches(['\r', '\n']))?);
        }
        Ok(events)
    }

    fn take_line(&mut self, line: &str) -> Result<Option<Value>, String> {
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
            .map_err(|error| format!("event {data:?}: {error}"))
    }
}
