//! Records what callers sent and received, and the trace of a scenario.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// The state of one send of a request: open until it has ended, then how it ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendState {
    /// The response is not complete yet.
    Open,
    /// The whole response arrived, and it is not a refusal.
    Answered {
        /// The HTTP status of the response.
        status: u16,
    },
    /// A refusal arrived, as the response or as the last event of a stream.
    Refused {
        /// `error.code`.
        code: String,
        /// `error.outcome`.
        outcome: String,
        /// `error.retry_after_ms`.
        retry_after: Option<Duration>,
    },
    /// No connection could be opened, so nothing was sent.
    Unreachable,
    /// The connection broke or went silent before the response was complete.
    Broken(String),
}

impl SendState {
    /// Whether a target may have executed the request.
    #[must_use]
    pub fn may_have_been_executed(&self) -> bool {
        match self {
            Self::Refused { outcome, .. } => outcome != "not_run",
            Self::Unreachable => false,
            Self::Open | Self::Answered { .. } | Self::Broken(_) => true,
        }
    }

    /// The word for this state in the `expect` step of scripts: `answered`, `ran`, `not_run`,
    /// `unknown`, `unreachable` or `broken`.
    #[must_use]
    pub fn as_word(&self) -> &str {
        match self {
            Self::Open => "open",
            Self::Answered { .. } => "answered",
            Self::Refused { outcome, .. } => outcome,
            Self::Unreachable => "unreachable",
            Self::Broken(_) => "broken",
        }
    }
}

impl fmt::Display for SendState {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status } => write!(f, "answered {status}"),
            Self::Refused { code, outcome, .. } => write!(f, "refused {code} {outcome}"),
            Self::Broken(cause) => write!(f, "broken ({cause})"),
            Self::Open | Self::Unreachable => f.write_str(self.as_word()),
        }
    }
}

/// One send of a request to a process.
#[derive(Debug, Clone)]
pub struct SendRecord {
    /// The name of the called process, in the script.
    pub endpoint: String,
    /// When the send began.
    pub started: Instant,
    /// When the send ended; `None` while it is open.
    pub ended: Option<Instant>,
    /// How the send ended, or `Open`.
    pub state: SendState,
    /// Whether the send resumes a stream; such a send starts no work.
    pub is_resume: bool,
}

/// The kind of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A generation whose output length the caller sets.
    Generation {
        /// The number of tokens that the engine produces.
        tokens: u64,
    },
    /// An order with an idempotency key.
    Order {
        /// The idempotency key.
        key: String,
    },
}

/// A request and all its sends.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The name in the script.
    pub name: String,
    /// Whether it is a generation or an order, with its parameters.
    pub kind: RequestKind,
    /// All sends, in the order in which they began.
    pub sends: Vec<SendRecord>,
    /// The number of tokens received.
    pub received_tokens: u64,
    /// The engine's id of the generation, taken from the text of its tokens; `None` before the
    /// first token.
    pub generation_id: Option<String>,
    /// Whether a whole response that is not a refusal arrived.
    pub is_complete: bool,
    /// Violations that the caller found in the response.
    pub violations: Vec<String>,
    /// The longest time between two consecutive tokens.
    pub longest_token_gap: Duration,
}

impl RequestRecord {
    /// A record of a request that has not been sent yet.
    #[must_use]
    pub fn new(name: &str, kind: RequestKind) -> Self {
        Self {
            name: name.to_owned(),
            kind,
            sends: Vec::new(),
            received_tokens: 0,
            generation_id: None,
            is_complete: false,
            violations: Vec::new(),
            longest_token_gap: Duration::ZERO,
        }
    }

    /// The state of the last send, or `Open` before the first.
    #[must_use]
    pub fn last_state(&self) -> SendState {
        self.sends
            .last()
            .map_or(SendState::Open, |send| send.state.clone())
    }
}

/// Collects the requests and the trace of a scenario. Clones share their content.
#[derive(Debug, Clone)]
pub struct ScenarioRecorder {
    start: Instant,
    state: Arc<Mutex<RecorderState>>,
}

#[derive(Debug, Default)]
struct RecorderState {
    requests: BTreeMap<String, RequestRecord>,
    trace: Vec<(Duration, String)>,
}

impl Default for ScenarioRecorder {
    fn default() -> Self {
        Self::new()
    }
}

impl ScenarioRecorder {
    /// An empty recorder; times in the trace count from now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            state: Arc::default(),
        }
    }

    fn lock_state(&self) -> MutexGuard<'_, RecorderState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line to the trace, with the time since the start.
    pub fn trace(&self, line: impl Into<String>) {
        self.lock_state()
            .trace
            .push((self.start.elapsed(), line.into()));
    }

    /// Adds the record of a new request.
    ///
    /// # Errors
    /// Another request has the same name.
    pub fn add_request(&self, record: RequestRecord) -> Result<(), String> {
        let mut state = self.lock_state();
        if state.requests.contains_key(&record.name) {
            return Err(format!(
                "request name {} is already used; choose another name",
                record.name
            ));
        }
        state.requests.insert(record.name.clone(), record);
        Ok(())
    }

    /// Applies `change` to the record of a request. Unknown names are ignored.
    pub fn update(&self, name: &str, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = self.lock_state().requests.get_mut(name) {
            change(record);
        }
    }

    /// Records that a send begins, and returns its index.
    #[must_use]
    pub fn begin_send(&self, name: &str, endpoint: &str, is_resume: bool) -> usize {
        let mut send_index = 0;
        self.update(name, |record| {
            send_index = record.sends.len();
            record.sends.push(SendRecord {
                endpoint: endpoint.to_owned(),
                started: Instant::now(),
                ended: None,
                state: SendState::Open,
                is_resume,
            });
        });
        send_index
    }

    /// Whether any send of an order with this key, apart from the given one, may have been executed.
    #[must_use]
    pub fn other_send_may_have_been_executed(
        &self,
        key: &str,
        name: &str,
        send_index: usize,
    ) -> bool {
        let state = self.lock_state();
        let requests_of_key = state.requests.values().filter(
            |record| matches!(&record.kind, RequestKind::Order { key: found } if found == key),
        );
        requests_of_key
            .flat_map(|record| {
                record
                    .sends
                    .iter()
                    .enumerate()
                    .map(move |send| (record, send))
            })
            .filter(|(record, (index, _))| record.name != name || *index != send_index)
            .any(|(_, (_, send))| send.state.may_have_been_executed())
    }

    /// Records that a send has ended, and how.
    pub fn end_send(&self, name: &str, send_index: usize, state: &SendState) {
        let mut endpoint = String::new();
        self.update(name, |record| {
            if let Some(send) = record.sends.get_mut(send_index) {
                send.ended = Some(Instant::now());
                send.state = state.clone();
                endpoint.clone_from(&send.endpoint);
            }
        });
        self.trace(format!("{name} via {endpoint}: {state}"));
    }

    /// The record of a request; `None` if no request has this name.
    #[must_use]
    pub fn request(&self, name: &str) -> Option<RequestRecord> {
        self.lock_state().requests.get(name).cloned()
    }

    /// The records of all requests, ordered by name.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestRecord> {
        self.lock_state().requests.values().cloned().collect()
    }

    /// The trace as text, one line per entry with the time in seconds.
    #[must_use]
    pub fn format_trace(&self) -> String {
        let state = self.lock_state();
        let lines = state.trace.iter();
        let lines: Vec<String> = lines
            .map(|(time, line)| format!("{:8.3} {line}", time.as_secs_f64()))
            .collect();
        lines.join("\n") + "\n"
    }
}
