//! Checks of one response: sequence numbers without gaps or repeats, and tokens of a single
//! generation.

use std::borrow::Cow;

use mimosagap_types::prelude::RunOutcome;
use serde::Deserialize;

/// Error object of a refusal.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct ErrorBody {
    /// Code that names the cause of the refusal.
    pub code: String,
    /// Whether the request was executed; `None` if the error does not say so.
    #[serde(default)]
    pub outcome: Option<RunOutcome>,
}

/// Response body that holds an error object.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct ErrorResponse {
    /// Cause of the refusal, and whether the request was executed.
    pub error: ErrorBody,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct ResponseHead {
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    error: Option<ErrorBody>,
}

/// Data of a server-sent event.
#[derive(Debug)]
#[derive(Deserialize)]
pub struct StreamEvent<'a> {
    #[serde(rename = "type", borrow)]
    kind: Cow<'a, str>,
    sequence_number: u32,
    #[serde(default, borrow)]
    delta: Option<Cow<'a, str>>,
    #[serde(default)]
    response: Option<ResponseHead>,
    #[serde(default)]
    error: Option<ErrorBody>,
}

/// Kind of an event, as the caller handles it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventKind {
    /// The generation was created.
    Created,
    /// A token was received.
    Token,
    /// The response is complete.
    Completed,
    /// The response ended early with an error.
    Failed {
        /// Error code; the event type if the event has no error object.
        code: String,
        /// Whether the request was executed; `None` if the error does not say so.
        outcome: Option<RunOutcome>,
    },
}

/// Checks the events of one stream and collects violations.
#[derive(Debug, Default)]
pub struct StreamChecker {
    next_sequence: u32,
    generation_id: Option<String>,
    /// Response id, by which the stream is resumed; `None` before the first event.
    pub response_id: Option<String>,
    /// Descriptions of the violations found, in the order of the stream.
    pub violations: Vec<String>,
}

impl StreamChecker {
    /// Last sequence number received; `None` before the first event.
    #[must_use]
    pub fn last_sequence(&self) -> Option<u32> {
        self.next_sequence.checked_sub(1)
    }

    /// Number of tokens received, derived from the sequence number.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.next_sequence.saturating_sub(1)
    }

    /// Checks the JSON data of an event.
    ///
    /// # Errors
    /// The data is not a stream event.
    pub fn check_event(&mut self, data: &str) -> Result<EventKind, serde_json::Error> {
        let event: StreamEvent<'_> = serde_json::from_str(data)?;
        let is_token = event.kind == "response.output_text.delta";
        let ends_early = matches!(&*event.kind, "response.failed" | "response.cancelled");
        // A refusal can end a stream at any point, even before the first event, so its sequence
        // number is not checked.
        if event.sequence_number == self.next_sequence {
            self.next_sequence += u32::from(is_token || event.kind == "response.created");
        } else if !ends_early {
            let (expected, found) = (self.next_sequence, event.sequence_number);
            self.violations
                .push(format!("sequence number {found} where {expected} was due"));
            self.next_sequence = found + 1;
        }
        if let Some(delta) = &event.delta {
            self.check_token(event.sequence_number, delta);
        }
        Ok(self.event_kind(event))
    }

    /// Checks the text of an unstreamed response and returns its number of tokens.
    pub fn check_text(&mut self, text: &str) -> u32 {
        let mut count = 0;
        for token in text.split_inclusive(' ') {
            count += 1;
            self.check_token(count, token);
        }
        count
    }

    /// Checks that a response has the number of tokens that the request asked for.
    pub fn check_token_count(&mut self, found: u32, expected: u32) {
        if found != expected {
            self.violations
                .push(format!("{found} tokens where {expected} were due"));
        }
    }

    fn check_token(&mut self, sequence: u32, delta: &str) {
        let Some((generation_id, number)) = delta.trim_end().rsplit_once(':') else {
            self.violations.push(format!("strange token \"{delta}\""));
            return;
        };
        if number.parse() != Ok(sequence) {
            self.violations
                .push(format!("token {number} under sequence number {sequence}"));
        }
        match &self.generation_id {
            None => self.generation_id = Some(generation_id.to_owned()),
            Some(first_id) if first_id == generation_id => {}
            Some(first_id) => {
                let violation = format!("token of {generation_id} in a stream of {first_id}");
                self.violations.push(violation);
            }
        }
    }

    fn event_kind(&mut self, event: StreamEvent<'_>) -> EventKind {
        let (response_id, response_error) = event
            .response
            .map_or((None, None), |head| (head.id, head.error));
        match &*event.kind {
            "response.created" => {
                self.response_id = response_id;
                EventKind::Created
            }
            "response.output_text.delta" => EventKind::Token,
            "response.completed" => EventKind::Completed,
            kind => {
                let error = event.error.or(response_error);
                EventKind::Failed {
                    outcome: error.as_ref().and_then(|error| error.outcome),
                    code: error.map_or_else(|| kind.to_owned(), |error| error.code),
                }
            }
        }
    }
}
