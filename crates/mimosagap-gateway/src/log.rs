//! Structured event log on standard output, one JSON object per line.
//!
//! A separate thread writes, so that a stalled reader of the output blocks no task. Lines that do
//! not fit into its queue, or exceed the rate limit of their kind, are dropped and counted. Failed
//! requests have a rate limit of their own, which successes cannot use up.

use std::cell::RefCell;
use std::io::Write;
use std::rc::Rc;
use std::sync::mpsc::{SyncSender, TrySendError, sync_channel};
use std::time::{Duration, SystemTime};

use mimosagap_types::prelude::*;
use serde::Serialize;

/// Batches that wait for the writer. With batches a little over [`BATCH_BYTES`], a stalled reader
/// of the output costs about a megabyte of memory.
const MAX_QUEUED_BATCHES: usize = 64;

/// Most lines of one kind per second; further ones are dropped and counted. All kinds together stay
/// below 200 KB a second, a fifth of the slowest host's link.
pub const MAX_LINES_PER_SECOND: u32 = 60;

/// Longest wait for the last lines when the process ends.
const CLOSE_TIMEOUT: Duration = Duration::from_millis(400);

/// Size from which a batch is sent to the writer.
const BATCH_BYTES: usize = 16 << 10;

/// Lowest status of a response that counts as a failure.
const MIN_FAILURE_STATUS: u16 = 400;

/// Outcome of a stream that its caller received to the end.
pub const STREAM_COMPLETE: &str = "complete";

/// Events of the log. Names of variants and fields are the log format.
#[derive(Debug, Clone)]
#[derive(Serialize)]
#[serde(tag = "event", rename_all = "snake_case")]
pub enum LogEvent<'a> {
    /// The process started.
    Started {
        /// Name of the host.
        host: &'a str,
        /// Version of the program.
        version: &'a str,
    },
    /// The process was asked to stop.
    Stopping {
        /// Name of the host.
        host: &'a str,
        /// Requests in flight.
        in_flight: u32,
    },
    /// The process ended.
    Stopped {
        /// Name of the host.
        host: &'a str,
        /// Requests still in flight, which are aborted.
        in_flight: u32,
    },
    /// The settings were validated again after SIGHUP.
    Reloaded {
        /// Whether they changed, or why they are invalid.
        result: &'a str,
    },
    /// A new configuration is in force.
    ConfigInForce {
        /// Version of the configuration.
        version: u64,
        /// Revision of the configuration's key in the store.
        revision: u64,
    },
    /// A configuration could not be decoded; the previous one stays in force.
    ConfigUnreadable {
        /// Revision of the configuration's key in the store.
        revision: u64,
        /// Error of the decoder.
        cause: String,
    },
    /// The store became reachable or unreachable.
    Store {
        /// Whether the store responds.
        reachable: bool,
        /// Error of the last call; empty if the store responds.
        cause: String,
    },
    /// A target was added or changed and can be used.
    TargetListed {
        /// Instance name of the target.
        target: &'a str,
        /// Socket address of the target.
        address: String,
        /// Version of its software.
        version: &'a str,
    },
    /// A target is leaving or was removed.
    TargetLeaving {
        /// Instance name of the target.
        target: &'a str,
        /// How this host learned of it.
        source: &'a str,
    },
    /// A target rejected a request and requested a backoff.
    TargetPauses {
        /// Instance name of the target.
        target: &'a str,
        /// How this host learned of it.
        source: &'a str,
        /// Duration of the backoff, in milliseconds.
        for_ms: u64,
    },
    /// A target named another rate limit than before, or ceased to name one.
    TargetRateLimit {
        /// Instance name of the target.
        target: &'a str,
        /// How this host learned of it.
        source: &'a str,
        /// Requests per second that the target accepts from all hosts together; `None` if it names
        /// no limit any more.
        per_second: Option<f64>,
    },
    /// An engine is cold, of which a service bounds the rate.
    TargetCold {
        /// Instance name of the target.
        target: &'a str,
        /// How this host learned of it.
        source: &'a str,
        /// Milliseconds for which it counts as cold.
        remaining_ms: u64,
        /// Requests per second that its keeper grants to all hosts together.
        per_second: f64,
    },
    /// A host reported that a target may hang.
    TargetSuspected {
        /// Instance name of the target.
        target: &'a str,
        /// Whether a `wait` of this host led to it or a notice of another `host`.
        source: &'a str,
        /// `silent` if nothing is heard from the target, `unanswered` if only new work is not
        /// answered.
        evidence: &'a str,
        /// `suspected` from now on, or `contradicted` because this host heard from the target.
        step: &'a str,
        /// Milliseconds for which the request waited, or since the other host's report.
        waited_ms: u64,
    },
    /// A target is no longer suspected, because a host heard from it.
    SuspicionCleared {
        /// Instance name of the target.
        target: &'a str,
        /// What this host heard, or `host` if another one did.
        source: &'a str,
        /// Milliseconds for which it was suspected.
        after_ms: u64,
    },
    /// A target is late but not reported, because this host reaches no other target either.
    SuspicionWithheld {
        /// Instance name of the target.
        target: &'a str,
        /// Milliseconds for which the request waited.
        waited_ms: u64,
    },
    /// A target sent a header that was not read; logged once per target.
    HeaderUnread {
        /// Instance name of the target.
        target: &'a str,
        /// Name of the header.
        header: &'a str,
        /// Why it was not read.
        cause: &'a str,
    },
    /// A target's entry in the store could not be decoded.
    EntryUnreadable {
        /// Instance name in the key of the entry.
        key: &'a str,
        /// Error of the decoder.
        cause: String,
    },
    /// Another host was added to the store or removed from it.
    Host {
        /// Name of the host.
        name: &'a str,
        /// Whether the store lists it.
        listed: bool,
    },
    /// Nothing was heard from a listed host for long, or something was heard again.
    HostSilent {
        /// Name of the host.
        name: &'a str,
        /// Whether its address is left out of lookups.
        silent: bool,
        /// Milliseconds since something was heard from it.
        silent_ms: u64,
    },
    /// A target crashed while it ran requests.
    TargetCrashed {
        /// Instance name of the target.
        target: &'a str,
        /// Attempt id of a request that ran there.
        id: &'a str,
        /// Fingerprint of that request, equal for all attempts of the caller.
        request: String,
        /// Parts of its prompt; empty if it is not a generation.
        parts: String,
        /// Number of events that the target had sent for it.
        events: u32,
    },
    /// The store names another era: it came back from an older copy of its data.
    StoreEra {
        /// The era from now on.
        era: u64,
        /// The era before.
        previous: u64,
    },
    /// The evacuation of a zone began or ended, or is held although the store lost its key.
    ZoneEvacuation {
        /// Name of the zone.
        zone: &'a str,
        /// What changed; `unknown_zone` if the fleet has no zone of this name.
        change: &'a str,
        /// How this host learned of it.
        source: &'a str,
        /// Milliseconds since the state of the store was confirmed.
        config_age_ms: u64,
        /// Whether that is recent enough for the operators' bound on evacuations.
        is_current: bool,
    },
    /// A configuration of the store was not taken.
    ConfigSkipped {
        /// Its version.
        version: u64,
        /// The revision that wrote it.
        revision: u64,
        /// Version of the configuration in force.
        version_in_force: u64,
        /// The revision that wrote that one, maybe in an earlier era.
        revision_in_force: u64,
    },
    /// Requests are refused from now on because targets crashed under them.
    Quarantined {
        /// The request or the parts of prompts that are refused.
        what: String,
        /// Crashes, or moments with crashes, that led to it.
        crashes: usize,
        /// How this host learned of it: by the last `crash`, or from another `host`.
        source: &'a str,
    },
    /// A suspected request or part of a prompt was proved sound.
    ProvedSound {
        /// The request or the part.
        what: String,
        /// How this host learned of it.
        source: &'a str,
    },
    /// A quarantined request runs on trial.
    QuarantineTrial {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// The request or the parts of prompts that are refused otherwise.
        what: String,
    },
    /// Streams may begin at a version of a service from now on.
    VersionAdmitted {
        /// Name of the service.
        service: &'a str,
        /// Version of the software of its engines.
        version: &'a str,
        /// How this host learned of it.
        source: &'a str,
    },
    /// A version of a service is forgotten, because no engine of it is left.
    VersionRetired {
        /// Name of the service.
        service: &'a str,
        /// Version of the software of its engines.
        version: &'a str,
    },
    /// This host learned whether the store lists all versions at which streams can have begun.
    VersionHistory {
        /// Whether this host knows all of them.
        is_complete: bool,
        /// The era for which the store lists all of them; absent in a new store.
        recorded_era: Option<u64>,
        /// The era of the store.
        era: u64,
    },
    /// A request that resumes a stream is bound to the version that began it.
    StreamResumed {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Attempt that began the stream; empty if the caller names none.
        resumes: &'a str,
        /// Id of the last event that the caller has.
        last_event: u64,
        /// Service of the stream.
        service: &'a str,
        /// Version of the engine that began it.
        version: &'a str,
        /// How the version is known.
        source: &'a str,
        /// Milliseconds until it was known.
        after_ms: u64,
    },
    /// A request is sent to a target.
    Sent {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Fingerprint of the request, equal for all attempts of the caller.
        request: String,
        /// Parts of the prompt; empty if the request is not a generation.
        parts: String,
        /// Instance name of the target.
        target: &'a str,
        /// Version of the target's software.
        version: &'a str,
        /// Attempt that began the stream which this one continues; empty if it starts a new one.
        resumes: &'a str,
        /// Id of the last event that the caller has; 0 if the stream starts.
        last_event: u64,
        /// Number of the send, from 1.
        attempt: u32,
        /// Requests in flight at the target, as far as this host knows.
        requests: u32,
        /// KV-cache tokens reserved at the target, as far as this host knows.
        tokens: u32,
        /// Version of the configuration in force.
        config_version: u64,
        /// Milliseconds since the configuration was last confirmed.
        config_age_ms: u64,
    },
    /// A request waits for an engine with capacity.
    Waits {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Fingerprint of the request, equal for all attempts of the caller.
        request: String,
        /// Priority level; 0 is the most urgent.
        rank: usize,
        /// Requests that were already in the queue.
        ahead: usize,
    },
    /// A request asked for a permit of a target that names a rate limit.
    RatePermit {
        /// Attempt id; empty for a call that belongs to no request.
        id: &'a str,
        /// Instance name of the target.
        target: &'a str,
        /// Outcome of the ask.
        result: &'a str,
        /// Name of the host that decided; empty if none was asked.
        keeper: &'a str,
        /// Requests per second that all hosts together may send.
        per_second: Option<f64>,
        /// Milliseconds since this host learned of the limit.
        named_ms: Option<u64>,
        /// Milliseconds that the request waited for its slot.
        wait_ms: u64,
        /// Milliseconds until this host may ask again.
        ask_in_ms: u64,
    },
    /// An attempt brought no response.
    AttemptFailed {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Instance name of the target.
        target: &'a str,
        /// Number of the send, from 1.
        attempt: u32,
        /// Name of the failure.
        cause: &'a str,
        /// Milliseconds since the failed step of the attempt began.
        after_ms: u64,
    },
    /// This host lost or regained its links to all targets of a service.
    TargetsReachable {
        /// Service of the targets.
        service: &'a str,
        /// Whether a target was reached.
        reachable: bool,
        /// Milliseconds for which none was reached.
        after_ms: u64,
    },
    /// A request was handed to another host, because this one reaches no target.
    Relayed {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Name of the other host.
        host: &'a str,
        /// Service of the request.
        service: &'a str,
        /// `served`, or why the other host did not send the request.
        outcome: &'a str,
        /// HTTP status of the response; 0 if another host can be asked.
        status: u16,
        /// Milliseconds that the other host took.
        after_ms: u64,
    },
    /// A decision for a request that is restricted to regions.
    Residency {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Service of the request.
        service: &'a str,
        /// The allowed regions, with commas between them; empty if none is.
        regions: String,
        /// What was decided.
        result: &'a str,
        /// Instance name of the target or name of the host; empty if there is none.
        target: &'a str,
        /// Region of the target; empty if there is none.
        region: &'a str,
        /// Version of the configuration in force.
        config_version: u64,
    },
    /// A list of regions in the configuration names a region that the settings do not.
    RegionUnknown {
        /// Version of the configuration.
        version: u64,
        /// The name, which allows nothing.
        region: &'a str,
        /// The route or team whose list it is in.
        list: &'a str,
    },
    /// This host refused a request that another one relays, which tells its caller.
    RelayRefused {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Name of the reason.
        reason: &'a str,
        /// Milliseconds since the request arrived here.
        after_ms: u64,
    },
    /// A request is to be sent again, which the retry budget allows or denies.
    Retry {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Service whose budget is used.
        service: &'a str,
        /// Whether an attempt is repeated or a stream moved.
        purpose: &'a str,
        /// Whether the request is sent again.
        allowed: bool,
        /// Retries that this process may still send.
        credit: f64,
        /// The most that it can save up.
        capacity: f64,
        /// Hosts that share the slack; 0 while this one may not have heard of all.
        hosts: usize,
        /// Milliseconds since the process started.
        up_ms: u64,
    },
    /// Another host was asked for the credit of one retry.
    RetryLoan {
        /// Service whose budget is used.
        service: &'a str,
        /// Name of the host that was asked.
        lender: &'a str,
        /// Whether it gave the credit; `false` also if it did not respond.
        granted: bool,
    },
    /// The memory budget for requests refused a request or evicted one. The request gets a line of
    /// its own.
    RequestMemory {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// `refused` or `evicted`.
        action: &'a str,
        /// Why.
        cause: &'a str,
        /// Bytes of the body that had arrived.
        received_bytes: usize,
        /// Bytes that were charged to an evicted request.
        held_bytes: usize,
        /// Milliseconds since the last progress of an evicted request.
        stalled_ms: u64,
        /// Bytes that requests hold.
        used_bytes: usize,
        /// Bytes that they may hold.
        capacity_bytes: usize,
    },
    /// A client's connection was closed or not accepted, because of the bound on connections or of
    /// the limit on heads.
    ConnectionClosed {
        /// Kind of the clients.
        listener: &'a str,
        /// IP address of the client.
        address: String,
        /// Why.
        cause: &'a str,
        /// Milliseconds for which it had been silent, idle or in its head.
        after_ms: u64,
    },
    /// A retry was not sent, because it seldom helps and the credit that is left is reserved for
    /// others.
    RetrySkipped {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Route of the request.
        route: &'a str,
        /// What the attempt before ended with.
        cause: &'a str,
        /// How often such retries help, relative to the best that are wanted.
        value: f64,
        /// Retries that this process may still send.
        credit: f64,
    },
    /// A late request was sent to a second target, and how that ended, or why it was not.
    Hedge {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Name of the route.
        route: &'a str,
        /// Instance name of the second target, or of the late one if the hedge was denied.
        target: &'a str,
        /// `won`, `lost`, `failed`, `abandoned` or `denied`.
        outcome: &'a str,
        /// Why the hedge was denied; empty otherwise.
        cause: &'a str,
        /// What the delay was derived from.
        trigger: &'a str,
        /// Milliseconds after the first send at which the request was late.
        delay_ms: u64,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// The gateway itself rejected a request.
    Refused {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Fingerprint of the request, equal for all attempts of the caller; empty if its body
        /// was not read.
        request: String,
        /// What a quarantined request is refused for; empty otherwise.
        suspect: String,
        /// Name of the reason.
        reason: &'a str,
        /// HTTP status of the refusal.
        status: u16,
        /// Milliseconds since the request arrived.
        after_ms: u64,
        /// Version of the configuration in force.
        config_version: u64,
        /// Milliseconds since the configuration was last confirmed.
        config_age_ms: u64,
    },
    /// A response of a target was passed to the caller.
    Answered {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Instance name of the target.
        target: &'a str,
        /// HTTP status of the target's response.
        status: u16,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// The caller disconnected before it had a response.
    CallerLeft {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// The stream to a caller ended, complete or not.
    StreamEnded {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Instance name of the last target.
        target: &'a str,
        /// Outcome; [`STREAM_COMPLETE`] if the caller received everything.
        how: &'a str,
        /// Id of the last event passed to the caller; 0 if there is none.
        last_event: u64,
        /// Output length that the caller estimated, in tokens; 0 without an estimate.
        hinted_tokens: u32,
        /// Caller's limit on output tokens.
        most_tokens: u32,
        /// Output tokens passed to the caller.
        made_tokens: u32,
        /// Number of times that another engine resumed the stream.
        moves: u32,
        /// Longest gap between two events, in milliseconds.
        longest_gap_ms: u64,
        /// Milliseconds since the request arrived.
        after_ms: u64,
    },
    /// The first event of a stream arrived.
    FirstEvent {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Instance name of the target.
        target: &'a str,
        /// Milliseconds since the send.
        after_ms: u64,
        /// Milliseconds expected when the engine was chosen.
        expected_ms: u64,
        /// Prompt tokens of this request.
        prompt: u32,
        /// Prompt tokens queued for prefill at the engine before those of this request.
        ahead: u32,
    },
    /// The engine of a stream or the connection to it failed.
    StreamBroke {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Instance name of the target.
        target: &'a str,
        /// Id of the last event passed to the caller; 0 if there is none.
        last_event: u64,
        /// Milliseconds since the last event.
        silent_ms: u64,
        /// Whether another engine has a copy of the generation or is taking it over.
        has_copy: bool,
    },
    /// A stream is to continue from a copy at another engine.
    Handover {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Instance name of the engine that ran it.
        from: &'a str,
        /// Instance name of the engine with the copy.
        to: &'a str,
        /// Id of the last event passed to the caller; 0 if there is none.
        last_event: u64,
        /// Milliseconds since the last event.
        silent_ms: u64,
        /// Whether the first engine runs it or was asked to stop it; it did not fail.
        is_running: bool,
    },
    /// A stream continued at another engine, and the first new event arrived.
    StreamWentOn {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Instance name of the new engine.
        target: &'a str,
        /// Version of the engine that brought the event before; empty if unknown.
        from_version: &'a str,
        /// Version of the new engine; empty if unknown.
        version: &'a str,
        /// Id of the last event before; 0 if there is none.
        last_event: u64,
        /// Milliseconds since the last event.
        silent_ms: u64,
    },
    /// A step of copying a generation to another engine.
    Move {
        /// Attempt id, set by the caller anew for each retry.
        id: &'a str,
        /// Instance name of the engine that runs it.
        from: &'a str,
        /// Instance name of the engine that receives the copy.
        to: &'a str,
        /// Name of the step or its result.
        step: &'a str,
        /// Milliseconds since the copy was requested.
        after_ms: u64,
    },
    /// Lines were dropped.
    LinesLeftOut {
        /// Kind of the lines, or `batches` if whole batches did not fit into the queue.
        kind: &'a str,
        /// Number of lines or batches.
        count: u32,
    },
    /// A failure that the gateway handles by itself.
    Trouble {
        /// The operation that failed.
        what: &'a str,
        /// Error message, or an explanation for the operator.
        cause: String,
    },
}

impl LogEvent<'_> {
    /// Index and name of the kind whose rate limit applies.
    fn kind(&self) -> (usize, &'static str) {
        match self {
            Self::Sent { .. } => (0, "sent"),
            Self::Waits { .. } => (1, "waits"),
            Self::AttemptFailed { .. } => (2, "attempt_failed"),
            Self::Refused { .. } | Self::CallerLeft { .. } => (3, "failed"),
            Self::Answered { status, .. } if *status >= MIN_FAILURE_STATUS => (3, "failed"),
            Self::StreamEnded { how, .. } if *how != STREAM_COMPLETE => (3, "failed"),
            Self::Answered { .. } | Self::FirstEvent { .. } => (4, "answered"),
            Self::StreamEnded { .. } => (5, "stream_ended"),
            Self::Move { .. }
            | Self::Handover { .. }
            | Self::StreamBroke { .. }
            | Self::StreamWentOn { .. }
            | Self::StreamResumed { .. } => (6, "move"),
            Self::TargetListed { .. }
            | Self::TargetLeaving { .. }
            | Self::TargetPauses { .. }
            | Self::TargetRateLimit { .. }
            | Self::TargetCold { .. }
            | Self::TargetSuspected { .. }
            | Self::SuspicionCleared { .. }
            | Self::SuspicionWithheld { .. }
            | Self::HeaderUnread { .. } => (7, "target"),
            Self::EntryUnreadable { .. } | Self::ConfigUnreadable { .. } => (8, "unreadable"),
            Self::Trouble { .. } => (9, "trouble"),
            Self::RatePermit { .. } => (10, "rate_permit"),
            Self::Retry { .. } | Self::RetryLoan { .. } | Self::RetrySkipped { .. } => {
                (11, "retry")
            }
            Self::Relayed { .. } | Self::RelayRefused { .. } => (12, "relayed"),
            Self::Residency { .. } => (14, "residency"),
            Self::RequestMemory { .. } => (15, "request_memory"),
            Self::ConnectionClosed { .. } => (16, "connection_closed"),
            Self::Hedge { .. } => (17, "hedge"),
            _ => (13, "state"),
        }
    }
}

/// Number of kinds that [`LogEvent::kind`] distinguishes.
const KIND_COUNT: usize = 18;

#[derive(Serialize)]
struct LogLine<'a> {
    /// Wall-clock time in milliseconds since the Unix epoch.
    time_ms: u128,
    /// Milliseconds since the machine booted; steps of the wall clock do not change it.
    boot_ms: u128,
    #[serde(flatten)]
    event: &'a LogEvent<'a>,
}

#[derive(Default)]
struct LineBuffer {
    /// Lines that were not sent to the writer yet.
    batch: Vec<u8>,
    /// Second since boot to which the counts of lines apply.
    current_second: u64,
    logged_lines: [u32; KIND_COUNT],
    /// Lines over the rate limit and the name of their kind.
    dropped_lines: [(u32, &'static str); KIND_COUNT],
    /// Batches that did not fit into the queue; reported at the start of the next second.
    lost_batches: u32,
}

/// Message to the writer thread.
enum WriterMessage {
    Lines(Vec<u8>),
    /// Requests a reply once everything before is written.
    Close(SyncSender<()>),
}

/// Handle for logging events. Clones share rate limits and the writer thread.
#[derive(Clone)]
pub struct EventLog {
    buffer: Rc<RefCell<LineBuffer>>,
    sender: SyncSender<WriterMessage>,
    clock: SystemClock,
}

impl EventLog {
    /// Starts the writer thread.
    ///
    /// # Errors
    /// If the thread cannot be started.
    pub fn new(
        clock: SystemClock,
        mut output: impl Write + Send + 'static,
    ) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_BATCHES);
        std::thread::Builder::new()
            .name("log".to_owned())
            .stack_size(64 << 10)
            .spawn(move || {
                for message in receiver {
                    match message {
                        WriterMessage::Lines(lines) => {
                            // An error means that standard output is closed; there is no other
                            // place to report it.
                            let _ = output.write_all(&lines).and_then(|()| output.flush());
                        }
                        WriterMessage::Close(done_sender) => {
                            // The process may have stopped waiting.
                            let _ = done_sender.send(());
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

    /// Logs an event, unless the rate limit of its kind is reached.
    pub fn event(&self, event: &LogEvent<'_>) {
        let now = self.clock.since_boot();
        let mut buffer = self.buffer.borrow_mut();
        if buffer.current_second != now.as_secs() {
            self.start_second(&mut buffer, now);
        }
        let (kind, name) = event.kind();
        if buffer.logged_lines[kind] >= MAX_LINES_PER_SECOND {
            buffer.dropped_lines[kind].0 += 1;
            buffer.dropped_lines[kind].1 = name;
            return;
        }
        buffer.logged_lines[kind] += 1;
        self.append_line(&mut buffer, now, event);
        if buffer.batch.len() >= BATCH_BYTES {
            self.send_batch(&mut buffer);
        }
    }

    /// Sends buffered lines to the writer.
    pub fn flush(&self) {
        self.send_batch(&mut self.buffer.borrow_mut());
    }

    /// Waits until everything is written, or for a short time if the reader of the output stalls.
    pub fn close(&self) {
        self.flush();
        let (done_sender, done_receiver) = sync_channel(1);
        if self
            .sender
            .try_send(WriterMessage::Close(done_sender))
            .is_ok()
        {
            // Lines that are not written by then are lost when the process exits.
            let _ = done_receiver.recv_timeout(CLOSE_TIMEOUT);
        }
    }

    fn start_second(&self, buffer: &mut LineBuffer, now: Duration) {
        buffer.current_second = now.as_secs();
        buffer.logged_lines = [0; KIND_COUNT];
        for (count, kind) in std::mem::take(&mut buffer.dropped_lines) {
            if count > 0 {
                self.append_line(buffer, now, &LogEvent::LinesLeftOut { kind, count });
            }
        }
        if buffer.lost_batches > 0 {
            let count = std::mem::take(&mut buffer.lost_batches);
            let kind = "batches";
            self.append_line(buffer, now, &LogEvent::LinesLeftOut { kind, count });
        }
    }

    fn append_line(&self, buffer: &mut LineBuffer, now: Duration, event: &LogEvent<'_>) {
        let wall = self.clock.wall_time();
        let line = LogLine {
            time_ms: wall
                .duration_since(SystemTime::UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis(),
            boot_ms: now.as_millis(),
            event,
        };
        if serde_json::to_writer(&mut buffer.batch, &line).is_ok() {
            buffer.batch.push(b'\n');
        }
    }

    fn send_batch(&self, buffer: &mut LineBuffer) {
        if buffer.batch.is_empty() {
            return;
        }
        match self
            .sender
            .try_send(WriterMessage::Lines(std::mem::take(&mut buffer.batch)))
        {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => buffer.lost_batches += 1,
        }
    }
}
