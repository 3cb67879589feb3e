//! Counts why requests were lost or late.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::cause::FailureCause;
use crate::records::{LogRecord, LogSet};

/// What counts as late.
#[derive(Debug, Clone, Copy)]
pub struct SummaryOptions {
    /// A first event that comes this much later than expected.
    pub late_after: Duration,
    /// A longer pause between two events.
    pub longest_pause: Duration,
}

impl Default for SummaryOptions {
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
pub enum RequestOutcome {
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

impl RequestOutcome {
    /// A name for reports.
    #[must_use]
    pub fn label(&self) -> String {
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
pub struct OutcomeCounts {
    /// Generations.
    pub generations: BTreeMap<RequestOutcome, u64>,
    /// Calls of plain services.
    pub calls: BTreeMap<RequestOutcome, u64>,
    /// Lines that hosts left out because there were too many.
    pub omitted_lines: u64,
}

/// Counts the fates of all requests that were sent to a target or waited for one.
#[must_use]
pub fn count_outcomes(logs: &LogSet, options: SummaryOptions) -> OutcomeCounts {
    let mut tries: HashMap<&str, Vec<&LogRecord>> = HashMap::new();
    let mut counts = OutcomeCounts::default();
    for record in logs.records() {
        if let Some(id) = record.id() {
            tries.entry(id).or_default().push(record);
        } else if record.event == "lines_left_out" {
            counts.omitted_lines += record.number_field("count").unwrap_or(0);
        }
    }
    // The tries of one caller's request bear the same mark.
    let mut requests: HashMap<&str, Vec<&LogRecord>> = HashMap::new();
    for lines in tries.into_values() {
        let mut marks = lines.iter().filter_map(|line| line.text_field("request"));
        if let Some(mark) = marks.find(|mark| !mark.is_empty()) {
            requests.entry(mark).or_default().extend(lines);
        }
    }
    for mut lines in requests.into_values() {
        lines.sort_by_key(|line| line.timestamp);
        let is_stream = lines.iter().any(|line| {
            matches!(
                line.event.as_str(),
                "waits" | "first_event" | "stream_ended"
            ) || line.number_field("tokens").is_some_and(|tokens| tokens > 0)
        });
        let fates = if is_stream {
            &mut counts.generations
        } else {
            &mut counts.calls
        };
        *fates.entry(fate(&lines, options)).or_default() += 1;
    }
    counts
}

fn fate(lines: &[&LogRecord], options: SummaryOptions) -> RequestOutcome {
    let last = |event: &str| lines.iter().rfind(|line| line.event == event);
    let refusal = last("refused");
    let end = lines
        .iter()
        .rfind(|line| matches!(line.event.as_str(), "stream_ended" | "answered"));
    let Some(end) = end else {
        let left = last("caller_left").or(refusal);
        return left.map_or(RequestOutcome::HostEnded, |line| failed(line));
    };
    if end.text_field("how") == Some("broken") {
        return lost(lines);
    }
    if FailureCause::of(end).is_some() {
        return failed(end);
    }
    if let Some(refusal) = refusal {
        let reason = refusal.text_field("reason").unwrap_or_default();
        return RequestOutcome::ServedAfterRefusal(reason.to_owned());
    }
    let late_by = last("first_event").map(|line| {
        let expected = line.number_field("expected_ms").unwrap_or(0);
        line.number_field("after_ms")
            .unwrap_or(0)
            .saturating_sub(expected)
    });
    if late_by.is_some_and(|late| Duration::from_millis(late) > options.late_after) {
        return RequestOutcome::LateFirstEvent;
    }
    let pause = Duration::from_millis(end.number_field("longest_gap_ms").unwrap_or(0));
    match pause > options.longest_pause {
        true if end.number_field("moves") > Some(0) => RequestOutcome::PausedInMove,
        true => RequestOutcome::PausedAtEngine,
        false => RequestOutcome::Served,
    }
}

fn failed(line: &LogRecord) -> RequestOutcome {
    RequestOutcome::Failed(FailureCause::of(line).map_or_else(String::new, |cause| cause.name))
}

/// Why a stream ended with its engine.
fn lost(lines: &[&LogRecord]) -> RequestOutcome {
    let mut moves = lines.iter().filter(|line| line.event == "move");
    match moves.next_back().and_then(|line| line.text_field("step")) {
        None => RequestOutcome::LostWithoutCopy,
        Some("no_room") => RequestOutcome::LostCopyRefused,
        Some(_) => RequestOutcome::LostCopyLate,
    }
}
