//! Collects the events of a generation for a caller that requested a response without streaming.

use std::borrow::Cow;

use serde::Deserialize;
use serde_json::{Value, json};

use super::sse::MalformedEvent;

/// Maximum size of the collected text, in bytes.
const MAX_TEXT_BYTES: usize = 8 << 20;

#[derive(Deserialize)]
struct DeltaEvent<'a> {
    #[serde(borrow, default)]
    delta: Cow<'a, str>,
}

#[derive(Deserialize)]
struct FinalEvent {
    response: Value,
}

/// The text collected so far and, after the last event, the engine's response object.
#[derive(Debug, Default)]
pub struct BufferedResponse {
    text: String,
    response: Option<Value>,
}

impl BufferedResponse {
    /// Appends the text of a delta event.
    ///
    /// # Errors
    /// If the event is malformed or the text would exceed 8 MiB.
    pub fn append_delta(&mut self, data: &[u8]) -> Result<(), MalformedEvent> {
        let event: DeltaEvent = serde_json::from_slice(data).map_err(|_| MalformedEvent)?;
        if self.text.len() + event.delta.len() > MAX_TEXT_BYTES {
            return Err(MalformedEvent);
        }
        self.text.push_str(&event.delta);
        Ok(())
    }

    /// Stores the response object of the last event.
    ///
    /// # Errors
    /// If the event has no response object.
    pub fn set_final_response(&mut self, data: &[u8]) -> Result<(), MalformedEvent> {
        let event: FinalEvent = serde_json::from_slice(data).map_err(|_| MalformedEvent)?;
        self.response = Some(event.response);
        Ok(())
    }

    /// Returns the engine's response object with the caller's response id and the collected text.
    #[must_use]
    pub fn into_json(self, id: &str) -> Value {
        let mut response = self.response.unwrap_or_else(|| json!({}));
        response["id"] = json!(id);
        response["object"] = json!("response");
        response["output"] = json!([{
            "type": "message",
            "role": "assistant",
            "status": "completed",
            "content": [{"type": "output_text", "text": self.text, "annotations": []}],
        }]);
        response
    }
}
