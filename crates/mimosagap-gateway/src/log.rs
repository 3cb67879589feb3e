//! Structured log lines on standard output.
//!
//! A thread writes, so that a reader who stops reading blocks nothing; lines that do not fit into
//! its queue, or exceed the budget of their kind, are counted and left out. The ends of failed
//! requests have a budget of their own, which successes cannot use up.

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime};

use mimosagap_types::prelude::*;
use serde::Serialize;

/// Batches that wait for the writer. With batches a little over [`BATCH`] this bounds the memory
/// of a reader that stopped reading to about a megabyte.
const QUEUE: usize = 64;

/// Lines of one kind in a second; more are counted and left out. All kinds together stay below
/// 200 KB a second, a fifth of the slowest host's link.
pub const LINES_PER_SECOND: u32 = 60;

/// A process that ends waits this long for its last lines.
const CLOSE_TIME: Duration = Duration::from_millis(400);

/// A batch is handed to the writer when it is this long, in bytes.
const BATCH: usize = 16 << 10;

/// The lowest status of an answer that is logged as a failure.
const FIRST_FAILURE: u16 = 400;

/// How a stream ended that its caller got whole.
pub const STREAM_COMPLETE: &str = "complete";

/// What is logged. The variants and their fields are the format of the log.
#[derive(Debug, Clone)]
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent<'a> {
    /// The process started.
    Started {
        /// The host's name.
        host: &'a str,
        /// Version of the program.
        version: &'a str,
    },
    /// The process was asked to stop.
    Stopping {
        /// The host's name.
        host: &'a str,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The process ended.
    Stopped {
        /// The host's name.
        host: &'a str,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The settings were read again after SIGHUP.
    Reloaded {
        /// What became of the settings.
        result: &'a str,
    },
    /// A configuration is in force.
    ConfigInForce {
        /// Version of the configuration.
        version: u64,
        /// The store's revision of the entry.
        revision: u64,
    },
    /// A configuration could not be read; the one before stays in force.
    ConfigUnreadable {
        /// The store's revision of the entry.
        revision: u64,
        /// What went wrong.
        cause: String,
    },
    /// The store became reachable or unreachable.
    Store {
        /// Whether the store answers.
        reachable: bool,
        /// What went wrong.
        cause: String,
    },
    /// A target can be used.
    TargetListed {
        /// The target's instance.
        target: &'a str,
        /// Where the target listens.
        address: String,
    },
    /// A target leaves or is gone.
    TargetLeaving {
        /// The target's instance.
        target: &'a str,
        /// How this host learned of it.
        source: &'a str,
    },
    /// A target turned a request away and wants none for a while.
    TargetPauses {
        /// The target's instance.
        target: &'a str,
        /// How this host learned of it.
        source: &'a str,
        /// For how long.
        for_ms: u64,
    },
    /// An entry names no target.
    EntryUnreadable {
        /// The store's key.
        key: &'a str,
        /// What went wrong.
        cause: String,
    },
    /// Another host joined or left.
    Host {
        /// The host's name.
        name: &'a str,
        /// Whether the store lists it.
        listed: bool,
    },
    /// A target ended while it ran requests.
    TargetCrashed {
        /// The target's instance.
        target: &'a str,
        /// Requests that ran there.
        suspects: usize,
    },
    /// A request was sent to a target.
    Sent {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// Equal for all tries of a caller's request.
        request: String,
        /// The target's instance.
        target: &'a str,
        /// The number of the send, from 1.
        attempt: u32,
        /// Requests in flight at the target, as far as known.
        requests: u32,
        /// Part of the target's memory that is promised, in tokens.
        tokens: u32,
        /// Version of the configuration in force.
        config_version: u64,
        /// Time since the configuration was proved to be the newest.
        config_age_ms: u64,
    },
    /// A request waits for a place.
    Waits {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// Equal for all tries of a caller's request.
        request: String,
        /// Its rank; 0 is the most urgent.
        rank: usize,
        /// Requests that were there before.
        ahead: usize,
    },
    /// An attempt did not bring an answer.
    AttemptFailed {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// The target's instance.
        target: &'a str,
        /// The number of the send, from 1.
        attempt: u32,
        /// What went wrong.
        cause: &'a str,
        /// Time since the request arrived or its step began.
        after_ms: u64,
    },
    /// A request got an answer of the gateway's own.
    Refused {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// Empty if the request was refused before its body was read.
        request: String,
        /// The reason's name.
        reason: &'a str,
        /// The HTTP status.
        status: u16,
        /// Time since the request arrived or its step began.
        after_ms: u64,
        /// Version of the configuration in force.
        config_version: u64,
        /// Time since the configuration was proved to be the newest.
        config_age_ms: u64,
    },
    /// A request got a target's answer.
    Answered {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// The target's instance.
        target: &'a str,
        /// The HTTP status.
        status: u16,
        /// Time since the request arrived or its step began.
        after_ms: u64,
    },
    /// The caller left before it had an answer.
    CallerLeft {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// Time since the request arrived or its step began.
        after_ms: u64,
    },
    /// A stream ended.
    StreamEnded {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// The target's instance.
        target: &'a str,
        /// How it ended; [`STREAM_COMPLETE`] if the caller got all.
        how: &'a str,
        /// The last event that the caller got.
        last_event: u64,
        /// Output tokens that the caller estimated.
        hinted_tokens: u32,
        /// The caller's bound on the output.
        most_tokens: u32,
        /// Output tokens that were made.
        made_tokens: u32,
        /// How often it went on at another engine.
        moves: u32,
        /// The longest pause between two events.
        longest_gap_ms: u64,
        /// Time since the request arrived or its step began.
        after_ms: u64,
    },
    /// The first event of a stream is there.
    FirstEvent {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// The target's instance.
        target: &'a str,
        /// Time since the send.
        after_ms: u64,
        /// What was expected when the engine was chosen.
        expected_ms: u64,
        /// Prompt tokens of this request.
        prompt: u32,
        /// Prompt tokens that were to be read before them.
        ahead: u32,
    },
    /// A stream broke at its engine.
    StreamBroke {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// The target's instance.
        target: &'a str,
        /// The last event that the caller got.
        last_event: u64,
        /// Time since the last event.
        silent_ms: u64,
        /// Whether a copy of the run is elsewhere.
        has_copy: bool,
    },
    /// A stream is to go on from a copy at another engine.
    Handover {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// The instance that ran it.
        from: &'a str,
        /// The instance with the copy.
        to: &'a str,
        /// The last event that the caller got.
        last_event: u64,
        /// Time since the last event.
        silent_ms: u64,
        /// Whether the first instance still runs it.
        is_running: bool,
    },
    /// A stream went on elsewhere and its first new event is there.
    StreamWentOn {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// The target's instance.
        target: &'a str,
        /// The last event that the caller got.
        last_event: u64,
        /// Time since the last event.
        silent_ms: u64,
    },
    /// A generation is copied to another engine.
    Move {
        /// The id of this try, as the caller sent it.
        id: &'a str,
        /// The engine that runs it.
        from: &'a str,
        /// The engine that gets the copy.
        to: &'a str,
        /// What became of the copy.
        step: &'a str,
        /// Time since the request arrived or its step began.
        after_ms: u64,
    },
    /// Lines of a kind were left out.
    LinesLeftOut {
        /// The kind of lines.
        kind: &'a str,
        /// How many.
        count: u32,
    },
    /// Something that needs no decision failed.
    Trouble {
        /// What failed.
        what: &'a str,
        /// What went wrong.
        cause: String,
    },
}

impl LogEvent<'_> {
    fn kind(&self) -> (usize, &'static str) {
        match self {
            Self::Sent { .. } => (0, "sent"),
            Self::Waits { .. } => (1, "waits"),
            Self::AttemptFailed { .. } => (2, "attempt_failed"),
            Self::Refused { .. } | Self::CallerLeft { .. } => (3, "failed"),
            Self::Answered { status, .. } if *status >= FIRST_FAILURE => (3, "failed"),
            Self::StreamEnded { how, .. } if *how != STREAM_COMPLETE => (3, "failed"),
            Self::Answered { .. } | Self::FirstEvent { .. } => (4, "answered"),
            Self::StreamEnded { .. } => (5, "stream_ended"),
            Self::Move { .. }
            | Self::Handover { .. }
            | Self::StreamBroke { .. }
            | Self::StreamWentOn { .. } => (6, "move"),
            Self::TargetListed { .. } | Self::TargetLeaving { .. } | Self::TargetPauses { .. } => {
                (7, "target")
            }
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

/// What the writer gets.
enum LogBatch {
    Lines(Vec<u8>),
    /// Asks for an answer once everything before is written.
    Close(SyncSender<()>),
}

/// Takes log lines. Clones share their budget and their writer.
#[derive(Clone)]
pub struct EventLog {
    buffer: Rc<RefCell<Buffer>>,
    sender: SyncSender<LogBatch>,
    clock: SystemClock,
}

impl EventLog {
    /// Starts the writer.
    ///
    /// # Errors
    /// If no thread can be started.
    pub fn new(
        clock: SystemClock,
        mut output: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || {
                for batch in receiver {
                    match batch {
                        LogBatch::Lines(lines) => {
                            // Nobody is left to tell that standard output is gone.
                            let _ = output.write_all(&lines).and_then(|()| output.flush());
                        }
                        LogBatch::Close(done) => {
                            // The process may have stopped waiting.
                            let _ = done.send(());
                        }
                    }
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

    /// Waits until everything is written, or for a short time if the reader has stopped reading.
    pub fn close(&self) {
        self.flush();
        let (done, written) = sync_channel(1);
        if self.sender.try_send(LogBatch::Close(done)).is_ok() {
            // Lines that are not written by then are lost with the process.
            let _ = written.recv_timeout(CLOSE_TIME);
        }
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
        let wall = self.clock.wall_time();
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
        match self
            .sender
            .try_send(LogBatch::Lines(std::mem::take(&mut buffer.text)))
        {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => buffer.lost_batches += 1,
        }
    }
}
