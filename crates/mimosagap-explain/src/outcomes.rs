//! Counts the outcomes of requests: how many were served, late, lost or failed, and why.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::cause::FailureCause;
use crate::records::{LogRecord, LogSet};

/// Thresholds above which a served generation counts as late.
#[derive(Debug, Clone, Copy)]
pub struct SummaryOptions {
    /// Delay of the first event beyond the time that the gateway expected.
    pub first_event_tolerance: Duration,
    /// Gap between two events of the stream.
    pub max_event_gap: Duration,
}

impl Default for SummaryOptions {
    fn default() -> Self {
        Self {
            first_event_tolerance: Duration::from_millis(500),
            // The longest gap that any of the users' deployments accepts as on time.
            max_event_gap: Duration::from_millis(180),
        }
    }
}

/// Outcome of a request over all its attempts. Reports list outcomes in the order of the variants.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub enum RequestOutcome {
    /// The request was served on time and was never refused.
    Served,
    /// The request was served after a refusal with this reason.
    ServedAfterRefusal(String),
    /// The first event came later than expected.
    LateFirstEvent,
    /// The stream had a long gap and was migrated to another engine.
    GapInMigration,
    /// The stream had a long gap at its engine, which preempted it or processed other prompts.
    GapAtEngine,
    /// The logs show no end of the request: its host stopped first.
    HostStopped,
    /// The engine failed before a copy of the KV cache was started.
    LostWithoutCopy,
    /// The engine failed while a copy of the KV cache was in progress.
    LostCopyIncomplete,
    /// The engine failed and no other engine had capacity for a copy of the KV cache.
    LostCopyRefused,
    /// The request failed otherwise; holds the name of the [`FailureCause`].
    Failed(String),
}

impl RequestOutcome {
    /// The outcome's name in reports; also the key in their JSON form.
    #[must_use]
    pub fn label(&self) -> String {
        match self {
            Self::Served => "served".to_owned(),
            Self::ServedAfterRefusal(reason) => format!("served after a refusal: {reason}"),
            Self::LateFirstEvent => "late: first event".to_owned(),
            Self::GapInMigration => "late: pause in a move".to_owned(),
            Self::GapAtEngine => "late: pause at its engine".to_owned(),
            Self::HostStopped => "lost: host ended".to_owned(),
            Self::LostWithoutCopy => "lost: engine ended, no copy".to_owned(),
            Self::LostCopyIncomplete => "lost: engine ended, copy too late".to_owned(),
            Self::LostCopyRefused => "lost: engine ended, copies refused".to_owned(),
            Self::Failed(cause) => format!("failed: {cause}"),
        }
    }
}

/// Number of requests with each outcome.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct OutcomeCounts {
    /// Requests for a stream of events.
    pub generations: BTreeMap<RequestOutcome, u64>,
    /// All other requests.
    pub calls: BTreeMap<RequestOutcome, u64>,
    /// Log lines that hosts left out to limit their log rate; if not 0, the counts are too low.
    pub omitted_lines: u64,
}

/// Counts the outcome of each request that the logs identify by the field `request`.
#[must_use]
pub fn count_outcomes(logs: &LogSet, options: SummaryOptions) -> OutcomeCounts {
    let mut attempts: HashMap<&str, Vec<&LogRecord>> = HashMap::new();
    let mut counts = OutcomeCounts::default();
    for record in logs.records() {
        if let Some(id) = record.id() {
            attempts.entry(id).or_default().push(record);
        } else if record.event == "lines_left_out" {
            counts.omitted_lines += record.number_field("count").unwrap_or(0);
        }
    }
    // All attempts of a request have the same fingerprint, in the field `request`.
    let mut requests: HashMap<&str, Vec<&LogRecord>> = HashMap::new();
    for records in attempts.into_values() {
        let mut fingerprints = records
            .iter()
            .filter_map(|record| record.text_field("request"));
        if let Some(fingerprint) = fingerprints.find(|fingerprint| !fingerprint.is_empty()) {
            requests.entry(fingerprint).or_default().extend(records);
        }
    }
    for mut records in requests.into_values() {
        records.sort_by_key(|record| record.timestamp);
        let is_stream = records.iter().any(|record| {
            matches!(
                record.event.as_str(),
                "waits" | "first_event" | "stream_ended"
            ) || record
                .number_field("tokens")
                .is_some_and(|tokens| tokens > 0)
        });
        let outcomes = if is_stream {
            &mut counts.generations
        } else {
            &mut counts.calls
        };
        *outcomes
            .entry(classify_outcome(&records, options))
            .or_default() += 1;
    }
    counts
}

fn classify_outcome(records: &[&LogRecord], options: SummaryOptions) -> RequestOutcome {
    let last = |event: &str| records.iter().rfind(|record| record.event == event);
    let refusal = last("refused");
    let end = records
        .iter()
        .rfind(|record| matches!(record.event.as_str(), "stream_ended" | "answered"));
    let Some(end) = end else {
        let failure = last("caller_left").or(refusal);
        return failure.map_or(RequestOutcome::HostStopped, |record| failed_outcome(record));
    };
    if end.text_field("how") == Some("broken") {
        return lost_outcome(records);
    }
    if FailureCause::of(end).is_some() {
        return failed_outcome(end);
    }
    if let Some(refusal) = refusal {
        let reason = refusal.text_field("reason").unwrap_or_default();
        return RequestOutcome::ServedAfterRefusal(reason.to_owned());
    }
    let delay_ms = last("first_event").map(|record| {
        let expected_ms = record.number_field("expected_ms").unwrap_or(0);
        record
            .number_field("after_ms")
            .unwrap_or(0)
            .saturating_sub(expected_ms)
    });
    if delay_ms
        .is_some_and(|delay_ms| Duration::from_millis(delay_ms) > options.first_event_tolerance)
    {
        return RequestOutcome::LateFirstEvent;
    }
    let longest_gap = Duration::from_millis(end.number_field("longest_gap_ms").unwrap_or(0));
    match longest_gap > options.max_event_gap {
        true if end.number_field("moves") > Some(0) => RequestOutcome::GapInMigration,
        true => RequestOutcome::GapAtEngine,
        false => RequestOutcome::Served,
    }
}

fn failed_outcome(record: &LogRecord) -> RequestOutcome {
    RequestOutcome::Failed(FailureCause::of(record).map_or_else(String::new, |cause| cause.name))
}

/// Outcome of a stream whose engine failed, by the last step of copying its KV cache.
fn lost_outcome(records: &[&LogRecord]) -> RequestOutcome {
    let mut move_records = records.iter().filter(|record| record.event == "move");
    match move_records
        .next_back()
        .and_then(|record| record.text_field("step"))
    {
        None => RequestOutcome::LostWithoutCopy,
        Some("no_room") => RequestOutcome::LostCopyRefused,
        Some(_) => RequestOutcome::LostCopyIncomplete,
    }
}
