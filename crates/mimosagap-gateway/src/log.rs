//! Structured log lines on standard output.
//!
//! A thread writes, so that a reader who stops reading blocks nothing; lines that do not fit into
//! its queue, or exceed the budget of their kind, are counted and left out.

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime};

use mimosagap_types::prelude::*;
use serde::Serialize;

/// Batches that wait for the writer.
const QUEUE: usize = 64;

/// Lines of one kind in a second; more are counted and left out.
const LINES_PER_SECOND: u32 = 60;

/// A batch is handed to the writer when it is this long, in bytes.
const BATCH: usize = 16 << 10;

/// What is logged. The variants and their fields are the format of the log.
#[derive(Debug, Clone)]
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent<'a> {
    /// The process started.
    Started { host: &'a str, version: &'a str },
    /// The process was asked to stop.
    Stopping { host: &'a str, in_flight: u32 },
    /// The process ended.
    Stopped { host: &'a str, in_flight: u32 },
    /// The settings were read again after SIGHUP.
    Reloaded { result: &'a str },
    /// A configuration is in force.
    ConfigInForce { version: u64, revision: u64 },
    /// A configuration could not be read; the one before stays in force.
    ConfigUnreadable { revision: u64, cause: String },
    /// The store became reachable or unreachable.
    Store { reachable: bool, cause: String },
    /// A target can be used.
    TargetListed { target: &'a str, address: String },
    /// A target leaves or is gone.
    TargetLeaving { target: &'a str, source: &'a str },
    /// An entry names no target.
    EntryUnreadable { key: &'a str, cause: String },
    /// Another host joined or left.
    Host { name: &'a str, listed: bool },
    /// A target ended while it ran requests.
    TargetCrashed { target: &'a str, suspects: usize },
    /// A request was sent to a target.
    Sent {
        id: &'a str,
        target: &'a str,
        attempt: u32,
        /// Requests in flight at the target, as far as known.
        requests: u32,
        /// Part of the target's memory that is promised, in tokens.
        tokens: u32,
        config_version: u64,
        config_age_ms: u64,
    },
    /// A request waits for a place.
    Waits {
        id: &'a str,
        rank: usize,
        ahead: usize,
    },
    /// An attempt did not bring an answer.
    AttemptFailed {
        id: &'a str,
        target: &'a str,
        attempt: u32,
        cause: &'a str,
        after_ms: u64,
    },
    /// A request got an answer of the gateway's own.
    Refused {
        id: &'a str,
        reason: &'a str,
        status: u16,
        after_ms: u64,
        config_version: u64,
        config_age_ms: u64,
    },
    /// A request got a target's answer.
    Answered {
        id: &'a str,
        target: &'a str,
        status: u16,
        after_ms: u64,
    },
    /// A stream ended.
    StreamEnded {
        id: &'a str,
        target: &'a str,
        how: &'a str,
        last_event: u64,
        /// Output tokens that the caller estimated, its bound, and what was made.
        hinted_tokens: u32,
        most_tokens: u32,
        made_tokens: u32,
        moves: u32,
        longest_gap_ms: u64,
        after_ms: u64,
    },
    /// The first event of a stream is there.
    FirstEvent {
        id: &'a str,
        target: &'a str,
        /// Time since the send, and what was expected when the engine was chosen.
        after_ms: u64,
        expected_ms: u64,
        /// Prompt tokens of this request, and those that were to be read before them.
        prompt: u32,
        ahead: u32,
    },
    /// A stream broke at its engine.
    StreamBroke {
        id: &'a str,
        target: &'a str,
        last_event: u64,
        silent_ms: u64,
        has_copy: bool,
    },
    /// A stream went on elsewhere and its first new event is there.
    StreamWentOn {
        id: &'a str,
        target: &'a str,
        last_event: u64,
        silent_ms: u64,
    },
    /// A generation is copied to another engine.
    Move {
        id: &'a str,
        from: &'a str,
        to: &'a str,
        step: &'a str,
        after_ms: u64,
    },
    /// Lines of a kind were left out.
    LinesLeftOut { kind: &'a str, count: u32 },
    /// Something that needs no decision failed.
    Trouble { what: &'a str, cause: String },
}

impl LogEvent<'_> {
    fn kind(&self) -> (usize, &'static str) {
        match self {
            Self::Sent { .. } => (0, "sent"),
            Self::Waits { .. } => (1, "waits"),
            Self::AttemptFailed { .. } => (2, "attempt_failed"),
            Self::Refused { .. } => (3, "refused"),
            Self::Answered { .. } | Self::FirstEvent { .. } => (4, "answered"),
            Self::StreamEnded { .. } => (5, "stream_ended"),
            Self::Move { .. } | Self::StreamBroke { .. } | Self::StreamWentOn { .. } => (6, "move"),
            Self::TargetListed { .. } | Self::TargetLeaving { .. } => (7, "target"),
            Self::EntryUnreadable { .. } | Self::ConfigUnreadable { .. } => (8, "unreadable"),
            Self::Trouble { .. } => (9, "trouble"),
            _ => (10, "state"),
        }
    }
}

const KINDS: usize = 11;

#[derive(Serialize)]
struct Line<'a> {
    /// Wall-clock time in milliseconds since the Unix epoch.
    time_ms: u128,
    /// Time since the host started, in milliseconds; steps of the wall clock do not change it.
    boot_ms: u128,
    #[serde(flatten)]
    event: &'a LogEvent<'a>,
}

#[derive(Default)]
struct Buffer {
    text: Vec<u8>,
    second: u64,
    written: [u32; KINDS],
    left_out: [(u32, &'static str); KINDS],
    lost_batches: u32,
}

/// Takes log lines.
#[derive(Clone)]
pub struct EventLog {
    buffer: Rc<RefCell<Buffer>>,
    sender: SyncSender<Vec<u8>>,
    clock: SystemClock,
}

impl EventLog {
    /// Starts the writer.
    pub fn new(clock: SystemClock) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel::<Vec<u8>>(QUEUE);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || {
                let mut output = std::io::stdout();
                for batch in receiver {
                    // Nobody is left to tell that standard output is gone.
                    let _ = output.write_all(&batch).and_then(|()| output.flush());
                }
            })?;
        Ok(Self {
            buffer: Rc::default(),
            sender,
            clock,
        })
    }

    /// Adds a line unless the budget of its kind is spent.
    pub fn event(&self, event: &LogEvent<'_>) {
        let now = self.clock.since_boot();
        let mut buffer = self.buffer.borrow_mut();
        if buffer.second != now.as_secs() {
            self.begin_second(&mut buffer, now);
        }
        let (kind, name) = event.kind();
        if buffer.written[kind] >= LINES_PER_SECOND {
            buffer.left_out[kind].0 += 1;
            buffer.left_out[kind].1 = name;
            return;
        }
        buffer.written[kind] += 1;
        self.append(&mut buffer, now, event);
        if buffer.text.len() >= BATCH {
            self.hand_over(&mut buffer);
        }
    }

    /// Hands what was logged to the writer.
    pub fn flush(&self) {
        self.hand_over(&mut self.buffer.borrow_mut());
    }

    fn begin_second(&self, buffer: &mut Buffer, now: Duration) {
        buffer.second = now.as_secs();
        buffer.written = [0; KINDS];
        for (count, kind) in std::mem::take(&mut buffer.left_out) {
            if count > 0 {
                self.append(buffer, now, &LogEvent::LinesLeftOut { kind, count });
            }
        }
        if buffer.lost_batches > 0 {
            let count = std::mem::take(&mut buffer.lost_batches);
            let kind = "batches";
            self.append(buffer, now, &LogEvent::LinesLeftOut { kind, count });
        }
    }

    fn append(&self, buffer: &mut Buffer, now: Duration, event: &LogEvent<'_>) {
        let wall = self.clock.wall();
        let line = Line {
            time_ms: wall
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis(),
            boot_ms: now.as_millis(),
            event,
        };
        if serde_json::to_writer(&mut buffer.text, &line).is_ok() {
            buffer.text.push(b'\n');
        }
    }

    fn hand_over(&self, buffer: &mut Buffer) {
        if buffer.text.is_empty() {
            return;
        }
        match self.sender.try_send(std::mem::take(&mut buffer.text)) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => buffer.lost_batches += 1,
        }
    }
}
