//! What callers sent and received, and the trace of a scenario.

use std::collections::BTreeMap;
use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How one transmission of a request ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SendEnd {
    /// No answer yet.
    Open,
    /// The whole answer arrived.
    Answered {
        /// The HTTP status.
        status: u16,
    },
    /// A refusal arrived, as an answer or as the last event of a stream.
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
    /// The connection broke or went silent before the answer was complete.
    Broken(String),
}

impl SendEnd {
    /// Whether the work of an order may have been carried out.
    #[must_use]
    pub fn may_have_run(&self) -> bool {
        match self {
            Self::Refused { outcome, .. } => outcome != "not_run",
            Self::Unreachable => false,
            Self::Open | Self::Answered { .. } | Self::Broken(_) => true,
        }
    }

    /// A word for expectations in scripts: `answered`, `ran`, `not_run`, `unknown`, `unreachable`
    /// or `broken`.
    #[must_use]
    pub fn word(&self) -> &str {
        match self {
            Self::Open => "open",
            Self::Answered { .. } => "answered",
            Self::Refused { outcome, .. } => outcome,
            Self::Unreachable => "unreachable",
            Self::Broken(_) => "broken",
        }
    }
}

impl fmt::Display for SendEnd {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Answered { status } => write!(f, "answered {status}"),
            Self::Refused { code, outcome, .. } => write!(f, "refused {code} {outcome}"),
            Self::Broken(cause) => write!(f, "broken ({cause})"),
            Self::Open | Self::Unreachable => f.write_str(self.word()),
        }
    }
}

/// One transmission of a request to a process.
#[derive(Debug, Clone)]
pub struct SendRecord {
    /// The name of the daemon.
    pub to: String,
    /// When it began.
    pub started: Instant,
    /// When it ended.
    pub ended: Option<Instant>,
    /// How it ended.
    pub end: SendEnd,
    /// Whether it asked to continue a stream; such a send starts no work.
    pub is_resume: bool,
}

/// What a request was.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// A generation of a known length.
    Generation {
        /// The tokens that the engine is to produce.
        tokens: u64,
    },
    /// An order with an idempotency key.
    Order {
        /// The key.
        key: String,
    },
}

/// A request with all its transmissions.
#[derive(Debug, Clone)]
pub struct RequestRecord {
    /// The name in the script.
    pub name: String,
    /// What it was.
    pub kind: RequestKind,
    /// All transmissions in the order in which they began.
    pub sends: Vec<SendRecord>,
    /// Tokens received.
    pub tokens: u64,
    /// The engine's id of the generation, taken from the text of its tokens.
    pub generation: Option<String>,
    /// Whether the whole answer arrived.
    pub complete: bool,
    /// Violations that the caller saw in what it received.
    pub violations: Vec<String>,
    /// The longest time between two tokens.
    pub longest_gap: Duration,
}

impl RequestRecord {
    /// A request that was not sent yet.
    #[must_use]
    pub fn new(name: &str, kind: RequestKind) -> Self {
        Self {
            name: name.to_owned(),
            kind,
            sends: Vec::new(),
            tokens: 0,
            generation: None,
            complete: false,
            violations: Vec::new(),
            longest_gap: Duration::ZERO,
        }
    }

    /// The last transmission's end, or `Open` before the first.
    #[must_use]
    pub fn last_end(&self) -> SendEnd {
        self.sends
            .last()
            .map_or(SendEnd::Open, |send| send.end.clone())
    }
}

/// Everything that happened in a scenario. Cheap to clone.
#[derive(Debug, Clone)]
pub struct Journal {
    start: Instant,
    inner: Arc<Mutex<JournalContent>>,
}

#[derive(Debug, Default)]
struct JournalContent {
    requests: BTreeMap<String, RequestRecord>,
    trace: Vec<(Duration, String)>,
}

impl Default for Journal {
    fn default() -> Self {
        Self::new()
    }
}

impl Journal {
    /// An empty journal that begins now.
    #[must_use]
    pub fn new() -> Self {
        Self {
            start: Instant::now(),
            inner: Arc::default(),
        }
    }

    fn content(&self) -> MutexGuard<'_, JournalContent> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds a line to the trace.
    pub fn trace(&self, line: impl Into<String>) {
        self.content()
            .trace
            .push((self.start.elapsed(), line.into()));
    }

    /// Adds a request.
    ///
    /// # Errors
    /// If the name is taken.
    pub fn open(&self, record: RequestRecord) -> Result<(), String> {
        let mut content = self.content();
        if content.requests.contains_key(&record.name) {
            return Err(format!("the name {} is taken; choose another", record.name));
        }
        content.requests.insert(record.name.clone(), record);
        Ok(())
    }

    /// Changes a request's record.
    pub fn update(&self, name: &str, change: impl FnOnce(&mut RequestRecord)) {
        if let Some(record) = self.content().requests.get_mut(name) {
            change(record);
        }
    }

    /// Begins a transmission; returns its position.
    #[must_use]
    pub fn begin_send(&self, name: &str, to: &str, is_resume: bool) -> usize {
        let mut position = 0;
        self.update(name, |record| {
            position = record.sends.len();
            record.sends.push(SendRecord {
                to: to.to_owned(),
                started: Instant::now(),
                ended: None,
                end: SendEnd::Open,
                is_resume,
            });
        });
        position
    }

    /// Whether a transmission of an order with this key, other than the named one, may have run.
    #[must_use]
    pub fn may_have_run(&self, key: &str, name: &str, position: usize) -> bool {
        let content = self.content();
        let of_key = content.requests.values().filter(
            |record| matches!(&record.kind, RequestKind::Order { key: found } if found == key),
        );
        of_key
            .flat_map(|record| {
                record
                    .sends
                    .iter()
                    .enumerate()
                    .map(move |send| (record, send))
            })
            .filter(|(record, (number, _))| record.name != name || *number != position)
            .any(|(_, (_, send))| send.end.may_have_run())
    }

    /// Ends a transmission.
    pub fn end_send(&self, name: &str, position: usize, end: &SendEnd) {
        let mut to = String::new();
        self.update(name, |record| {
            if let Some(send) = record.sends.get_mut(position) {
                send.ended = Some(Instant::now());
                send.end = end.clone();
                to.clone_from(&send.to);
            }
        });
        self.trace(format!("{name} via {to}: {end}"));
    }

    /// A request's record.
    #[must_use]
    pub fn request(&self, name: &str) -> Option<RequestRecord> {
        self.content().requests.get(name).cloned()
    }

    /// All requests.
    #[must_use]
    pub fn requests(&self) -> Vec<RequestRecord> {
        self.content().requests.values().cloned().collect()
    }

    /// The trace as text.
    #[must_use]
    pub fn trace_text(&self) -> String {
        let content = self.content();
        let lines = content.trace.iter();
        let lines: Vec<String> = lines
            .map(|(time, line)| format!("{:8.3} {line}", time.as_secs_f64()))
            .collect();
        lines.join("\n") + "\n"
    }
}
