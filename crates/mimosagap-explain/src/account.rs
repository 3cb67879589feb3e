//! Counts why requests were lost or late.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::cause::Cause;
use crate::records::{LogRecord, LogSet};

/// What counts as late.
#[derive(Debug, Clone, Copy)]
pub struct AccountOptions {
    /// A first event that comes this much later than expected.
    pub late_after: Duration,
    /// A longer pause between two events.
    pub longest_pause: Duration,
}

impl Default for AccountOptions {
    fn default() -> Self {
        Self {
            late_after: Duration::from_millis(500),
            // The longest pause of the users' deployments that counts as on time.
            longest_pause: Duration::from_millis(180),
        }
    }
}

/// What became of a request over all its tries, in the order of the report.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestFate {
    /// It was served, and nothing held it up.
    Served,
    /// It was served after a refusal.
    ServedAfterRefusal(String),
    /// Its first event came later than expected.
    LateFirstEvent,
    /// It paused after it had moved to another engine.
    PausedInMove,
    /// It paused at its engine, which had preempted it or read prompts.
    PausedAtEngine,
    /// Its host ended before it did.
    HostEnded,
    /// Its engine ended and no copy was begun.
    LostWithoutCopy,
    /// Its engine ended while a copy was being made.
    LostCopyLate,
    /// Its engine ended and no engine had taken a copy.
    LostCopyRefused,
    /// It failed otherwise; the cause as `explain` names it.
    Failed(String),
}

impl RequestFate {
    /// A name for reports.
    #[must_use]
    pub fn name(&self) -> String {
        match self {
            Self::Served => "served".to_owned(),
            Self::ServedAfterRefusal(reason) => format!("served after a refusal: {reason}"),
            Self::LateFirstEvent => "late: first event".to_owned(),
            Self::PausedInMove => "late: pause in a move".to_owned(),
            Self::PausedAtEngine => "late: pause at its engine".to_owned(),
            Self::HostEnded => "lost: host ended".to_owned(),
            Self::LostWithoutCopy => "lost: engine ended, no copy".to_owned(),
            Self::LostCopyLate => "lost: engine ended, copy too late".to_owned(),
            Self::LostCopyRefused => "lost: engine ended, copies refused".to_owned(),
            Self::Failed(cause) => format!("failed: {cause}"),
        }
    }
}

/// How many requests met each fate: generations first, then calls.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct FateCounts {
    /// Generations.
    pub streams: BTreeMap<RequestFate, u64>,
    /// Calls of plain services.
    pub calls: BTreeMap<RequestFate, u64>,
    /// Lines that hosts left out because there were too many.
    pub left_out: u64,
}

/// Counts the fates of all requests that were sent to a target or waited for one.
#[must_use]
pub fn account(logs: &LogSet, options: AccountOptions) -> FateCounts {
    let mut tries: HashMap<&str, Vec<&LogRecord>> = HashMap::new();
    let mut counts = FateCounts::default();
    for record in logs.records() {
        if let Some(id) = record.id() {
            tries.entry(id).or_default().push(record);
        } else if record.event == "lines_left_out" {
            counts.left_out += record.number("count").unwrap_or(0);
        }
    }
    // The tries of one caller's request bear the same mark.
    let mut requests: HashMap<&str, Vec<&LogRecord>> = HashMap::new();
    for lines in tries.into_values() {
        let mut marks = lines.iter().filter_map(|line| line.text("request"));
        if let Some(mark) = marks.find(|mark| !mark.is_empty()) {
            requests.entry(mark).or_default().extend(lines);
        }
    }
    for mut lines in requests.into_values() {
        lines.sort_by_key(|line| line.at);
        let is_stream = lines.iter().any(|line| {
            matches!(
                line.event.as_str(),
                "waits" | "first_event" | "stream_ended"
            ) || line.number("tokens").is_some_and(|tokens| tokens > 0)
        });
        let fates = if is_stream {
            &mut counts.streams
        } else {
            &mut counts.calls
        };
        *fates.entry(fate(&lines, options)).or_default() += 1;
    }
    counts
}

fn fate(lines: &[&LogRecord], options: AccountOptions) -> RequestFate {
    let last = |event: &str| lines.iter().rfind(|line| line.event == event);
    let refusal = last("refused");
    let end = lines
        .iter()
        .rfind(|line| matches!(line.event.as_str(), "stream_ended" | "answered"));
    let Some(end) = end else {
        let left = last("caller_left").or(refusal);
        return left.map_or(RequestFate::HostEnded, |line| failed(line));
    };
    if end.text("how") == Some("broken") {
        return lost(lines);
    }
    if Cause::of(end).is_some() {
        return failed(end);
    }
    if let Some(refusal) = refusal {
        let reason = refusal.text("reason").unwrap_or_default();
        return RequestFate::ServedAfterRefusal(reason.to_owned());
    }
    let late_by = last("first_event").map(|line| {
        let expected = line.number("expected_ms").unwrap_or(0);
        line.number("after_ms")
            .unwrap_or(0)
            .saturating_sub(expected)
    });
    if late_by.is_some_and(|late| Duration::from_millis(late) > options.late_after) {
        return RequestFate::LateFirstEvent;
    }
    let pause = Duration::from_millis(end.number("longest_gap_ms").unwrap_or(0));
    match pause > options.longest_pause {
        true if end.number("moves") > Some(0) => RequestFate::PausedInMove,
        true => RequestFate::PausedAtEngine,
        false => RequestFate::Served,
    }
}

fn failed(line: &LogRecord) -> RequestFate {
    RequestFate::Failed(Cause::of(line).map_or_else(String::new, |cause| cause.name))
}

/// Why a stream ended with its engine.
fn lost(lines: &[&LogRecord]) -> RequestFate {
    let mut moves = lines.iter().filter(|line| line.event == "move");
    match moves.next_back().and_then(|line| line.text("step")) {
        None => RequestFate::LostWithoutCopy,
        Some("no_room") => RequestFate::LostCopyRefused,
        Some(_) => RequestFate::LostCopyLate,
    }
}
