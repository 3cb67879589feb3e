//! Checks of one answer: order, gaps and a single origin.

use std::borrow::Cow;

use mimosagap_types::prelude::RunOutcome;
use serde::Deserialize;

/// The error object of a refusal.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct ErrorBody {
    /// The cause.
    pub code: String,
    /// What happened to the work.
    #[serde(default)]
    pub outcome: Option<RunOutcome>,
}

/// An answer with an error in it.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct ErrorAnswer {
    /// The error.
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

/// One server-sent event.
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

/// What an event meant.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum EventMeaning {
    /// The generation exists.
    Created,
    /// One token.
    Token,
    /// The answer is whole.
    Completed,
    /// The answer ended early, with the refusal's code and outcome.
    Failed {
        /// The cause.
        code: String,
        /// What happened to the work.
        outcome: Option<RunOutcome>,
    },
}

/// The state of the check of one stream.
#[derive(Debug, Default)]
pub struct StreamCheck {
    next: u32,
    origin: Option<String>,
    /// The resume key.
    pub id: Option<String>,
    /// Broken promises.
    pub violations: Vec<String>,
}

impl StreamCheck {
    /// The last sequence number seen; `None` before the first event.
    #[must_use]
    pub fn last_sequence(&self) -> Option<u32> {
        self.next.checked_sub(1)
    }

    /// Tokens seen.
    #[must_use]
    pub fn tokens(&self) -> u32 {
        self.next.saturating_sub(1)
    }

    /// Checks an event in JSON.
    ///
    /// # Errors
    /// The text is not an event.
    pub fn apply(&mut self, data: &str) -> Result<EventMeaning, serde_json::Error> {
        let event: StreamEvent<'_> = serde_json::from_str(data)?;
        let is_token = event.kind == "response.output_text.delta";
        let ends_early = matches!(&*event.kind, "response.failed" | "response.cancelled");
        // A refusal can end a stream at any point, also before the first event.
        if event.sequence_number == self.next {
            self.next += u32::from(is_token || event.kind == "response.created");
        } else if !ends_early {
            let (next, found) = (self.next, event.sequence_number);
            self.violations
                .push(format!("sequence number {found} where {next} was due"));
            self.next = found + 1;
        }
        if let Some(delta) = &event.delta {
            self.check_token(event.sequence_number, delta);
        }
        Ok(self.meaning(event))
    }

    /// Checks the text of a whole answer; returns the number of tokens.
    pub fn apply_whole(&mut self, text: &str) -> u32 {
        let mut count = 0;
        for token in text.split_inclusive(' ') {
            count += 1;
            self.check_token(count, token);
        }
        count
    }

    /// Checks that an answer has the length which the request asked for.
    pub fn check_length(&mut self, found: u32, expected: u32) {
        if found != expected {
            self.violations
                .push(format!("{found} tokens where {expected} were due"));
        }
    }

    fn check_token(&mut self, sequence: u32, delta: &str) {
        let Some((origin, number)) = delta.trim_end().rsplit_once(':') else {
            self.violations.push(format!("strange token \"{delta}\""));
            return;
        };
        if number.parse() != Ok(sequence) {
            self.violations
                .push(format!("token {number} under sequence number {sequence}"));
        }
        match &self.origin {
            None => self.origin = Some(origin.to_owned()),
            Some(first) if first == origin => {}
            Some(first) => {
                let violation = format!("token of {origin} in a stream of {first}");
                self.violations.push(violation);
            }
        }
    }

    fn meaning(&mut self, event: StreamEvent<'_>) -> EventMeaning {
        let (id, inner) = event
            .response
            .map_or((None, None), |head| (head.id, head.error));
        match &*event.kind {
            "response.created" => {
                self.id = id;
                EventMeaning::Created
            }
            "response.output_text.delta" => EventMeaning::Token,
            "response.completed" => EventMeaning::Completed,
            kind => {
                let error = event.error.or(inner);
                EventMeaning::Failed {
                    outcome: error.as_ref().and_then(|error| error.outcome),
                    code: error.map_or_else(|| kind.to_owned(), |error| error.code),
                }
            }
        }
    }
}
