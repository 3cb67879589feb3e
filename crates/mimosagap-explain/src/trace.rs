//! Collects the log records of a request: its attempts, and related events of targets and hosts.

use std::collections::BTreeSet;
use std::fmt;
use std::time::Duration;

use crate::cause::{FailureCause, is_terminal};
use crate::records::{LogRecord, LogSet};

/// Time windows of a [`RequestReport`].
#[derive(Debug, Clone, Copy)]
pub struct ExplainOptions {
    /// Related events are reported from this long before the first attempt until half as long after
    /// the last one.
    pub lead_time: Duration,
    /// An equal request counts as a retry if it starts at most this long after a failed attempt.
    pub retry_window: Duration,
}

impl Default for ExplainOptions {
    fn default() -> Self {
        Self {
            // The longest time for which a target still serves after it announced that it leaves.
            lead_time: Duration::from_secs(10),
            // Longer than any delay that a refusal asks callers to wait.
            retry_window: Duration::from_secs(10),
        }
    }
}

/// Reason why a request cannot be explained.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExplainError {
    /// No log line has the id.
    NotFound {
        /// The id that was searched for.
        id: String,
        /// Log lines that hosts left out to limit their log rate; the id may be among them.
        omitted_lines: u64,
    },
}

impl fmt::Display for ExplainError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotFound {
                id,
                omitted_lines: 0,
            } => write!(
                f,
                "no line has the id \"{id}\"; pass the logs of all hosts and the id of one attempt"
            ),
            Self::NotFound { id, omitted_lines } => write!(
                f,
                "no line has the id \"{id}\"; pass the logs of all hosts. The hosts left out \
                 {omitted_lines} lines, so also check the metrics of that time"
            ),
        }
    }
}

impl std::error::Error for ExplainError {}

/// What the logs say about a request.
#[derive(Debug, Clone)]
pub struct RequestReport {
    /// The attempts of the request in order, among them the one that was searched for.
    pub attempts: Vec<AttemptTrace>,
    /// Events of the targets and hosts that the attempts involved, around the same time.
    pub related_records: Vec<LogRecord>,
    /// Reasons why the report may be incomplete or out of order.
    pub warnings: Vec<String>,
}

/// The records of one attempt.
#[derive(Debug, Clone)]
pub struct AttemptTrace {
    /// The attempt id that the caller set.
    pub id: String,
    /// The records that name the id, in order of time.
    pub records: Vec<LogRecord>,
}

impl AttemptTrace {
    /// Why the attempt failed; `None` if it was served or its end is not logged.
    #[must_use]
    pub fn cause(&self) -> Option<FailureCause> {
        self.terminal_record().and_then(FailureCause::of)
    }

    /// The record that ends the attempt; `None` if its end is not logged.
    #[must_use]
    pub fn terminal_record(&self) -> Option<&LogRecord> {
        self.records.iter().rfind(|record| is_terminal(record))
    }

    fn started_at(&self) -> Duration {
        self.records
            .first()
            .map_or(Duration::ZERO, |record| record.timestamp)
    }

    fn ended_at(&self) -> Duration {
        self.records
            .last()
            .map_or(Duration::ZERO, |record| record.timestamp)
    }

    /// The fingerprint of the request, which all its attempts share; `None` if no record has it.
    fn fingerprint(&self) -> Option<&str> {
        self.records
            .iter()
            .filter_map(|record| record.text_field("request"))
            .find(|fingerprint| !fingerprint.is_empty())
    }
}

/// Collects what the logs say about the request to which the attempt `id` belongs.
///
/// # Errors
/// If no line has the id.
pub fn explain(
    logs: &LogSet,
    id: &str,
    options: ExplainOptions,
) -> Result<RequestReport, ExplainError> {
    let attempt = trace_attempt(logs, id);
    if attempt.records.is_empty() {
        let omissions = logs
            .records()
            .iter()
            .filter(|record| record.event == "lines_left_out");
        return Err(ExplainError::NotFound {
            id: id.to_owned(),
            omitted_lines: omissions
                .filter_map(|record| record.number_field("count"))
                .sum(),
        });
    }
    let attempts = chain_attempts(logs, attempt, options);
    let related_records = find_related_records(logs, &attempts, options);
    let warnings = collect_warnings(logs, &attempts, &related_records);
    Ok(RequestReport {
        attempts,
        related_records,
        warnings,
    })
}

fn trace_attempt(logs: &LogSet, id: &str) -> AttemptTrace {
    let records = logs.records().iter();
    let mut records: Vec<LogRecord> = records
        .filter(|record| record.id() == Some(id))
        .cloned()
        .collect();
    records.sort_by_key(|record| record.timestamp);
    AttemptTrace {
        id: id.to_owned(),
        records,
    }
}

/// Adds the attempts before and after `attempt`, as long as each starts soon after the previous one
/// failed. Equal requests of one team cannot be told apart, so attempts that overlap are not
/// retries, and an attempt after a success is a new request.
fn chain_attempts(
    logs: &LogSet,
    attempt: AttemptTrace,
    options: ExplainOptions,
) -> Vec<AttemptTrace> {
    let Some(fingerprint) = attempt.fingerprint().map(ToOwned::to_owned) else {
        return vec![attempt];
    };
    let other_ids: BTreeSet<&str> = logs
        .records()
        .iter()
        .filter(|record| record.text_field("request") == Some(&fingerprint))
        .filter_map(LogRecord::id)
        .filter(|id| *id != attempt.id)
        .collect();
    let mut others: Vec<AttemptTrace> = other_ids
        .into_iter()
        .map(|id| trace_attempt(logs, id))
        .collect();
    let is_retry = |first: &AttemptTrace, second: &AttemptTrace| {
        first.cause().is_some() && second.started_at() <= first.ended_at() + options.retry_window
    };
    let mut chain = vec![attempt];
    while let Some(index) = max_index_by_key(
        &others,
        |other| other.ended_at() <= chain[0].started_at(),
        AttemptTrace::ended_at,
    ) && is_retry(&others[index], &chain[0])
    {
        chain.insert(0, others.remove(index));
    }
    let earliest_first = |other: &AttemptTrace| std::cmp::Reverse(other.started_at());
    while let Some(last) = chain.last()
        && let Some(index) = max_index_by_key(
            &others,
            |other| other.started_at() >= last.ended_at(),
            earliest_first,
        )
        && is_retry(last, &others[index])
    {
        chain.push(others.remove(index));
    }
    chain
}

/// Index of the attempt with the greatest key among those that satisfy the condition.
fn max_index_by_key<K: Ord>(
    attempts: &[AttemptTrace],
    condition: impl Fn(&AttemptTrace) -> bool,
    key: impl Fn(&AttemptTrace) -> K,
) -> Option<usize> {
    let candidates = attempts.iter().enumerate();
    let candidates = candidates.filter(|(_, attempt)| condition(attempt));
    candidates
        .max_by_key(|(_, attempt)| key(attempt))
        .map(|(index, _)| index)
}

/// Finds the events of the targets and hosts that the attempts involved, and failures of other
/// requests at these targets. Many hosts may report the same event of a target; only the first
/// record of it is kept.
fn find_related_records(
    logs: &LogSet,
    attempts: &[AttemptTrace],
    options: ExplainOptions,
) -> Vec<LogRecord> {
    let started_at = attempts
        .first()
        .map_or(Duration::ZERO, AttemptTrace::started_at);
    let ended_at = attempts
        .iter()
        .map(AttemptTrace::ended_at)
        .max()
        .unwrap_or_default();
    let window = started_at.saturating_sub(options.lead_time)..=ended_at + options.lead_time / 2;
    let attempt_records = || attempts.iter().flat_map(|attempt| &attempt.records);
    let targets: BTreeSet<&str> = attempt_records()
        .flat_map(|record| ["target", "from", "to"].map(|name| record.text_field(name)))
        .flatten()
        .collect();
    let hosts: BTreeSet<&str> = attempt_records()
        .map(|record| record.host.as_str())
        .collect();
    let suspects: BTreeSet<&str> = attempt_records()
        .filter_map(|record| record.text_field("suspect"))
        .collect();
    let mut related_records: Vec<LogRecord> = logs
        .records()
        .iter()
        .filter(|record| {
            window.contains(&record.timestamp)
                || record.timestamp < started_at && speaks_against(record, &suspects)
        })
        .filter(|record| {
            attempts
                .iter()
                .all(|attempt| record.id() != Some(&attempt.id))
        })
        .filter(|record| match record.event.as_str() {
            "target_crashed" if speaks_against(record, &suspects) => true,
            "target_listed" | "target_leaving" | "target_crashed" | "attempt_failed"
            | "stream_broke" | "target_rate_limit" | "header_unread" => record
                .text_field("target")
                .is_some_and(|target| targets.contains(target)),
            "host" | "entry_unreadable" => false,
            "quarantined" | "proved_sound" => speaks_against(record, &suspects),
            _ if record.id().is_some() => false,
            _ => hosts.contains(record.host.as_str()),
        })
        .cloned()
        .collect();
    related_records.sort_by_key(|record| record.timestamp);
    let mut reported = BTreeSet::new();
    related_records.retain(|record| {
        let target = record.text_field("target").map(ToOwned::to_owned);
        // Each value of a rate limit is reported.
        let value = record.fields.get("per_second").map(ToString::to_string);
        target.is_none_or(|target| reported.insert((record.event.clone(), target, value)))
    });
    related_records
}

/// Whether a record is about a crash, a verdict or a proof that concerns one of these suspects: a
/// request, or parts of a prompt, as `refused` lines name them.
fn speaks_against(record: &LogRecord, suspects: &BTreeSet<&str>) -> bool {
    suspects.iter().any(|suspect| match record.event.as_str() {
        "quarantined" => record.text_field("what") == Some(suspect),
        "proved_sound" => record
            .text_field("what")
            .and_then(|what| what.split_once(' '))
            .is_some_and(|(_, proved)| suspect.contains(proved)),
        "target_crashed" => match suspect.split_once(' ') {
            Some(("request", fingerprint)) => record.text_field("request") == Some(fingerprint),
            Some((_, parts)) => {
                let crashed_under = record.text_field("parts").unwrap_or_default();
                let crashed_under: BTreeSet<&str> = crashed_under.split(',').collect();
                parts.split(',').all(|part| crashed_under.contains(part))
            }
            None => false,
        },
        _ => false,
    })
}

fn collect_warnings(
    logs: &LogSet,
    attempts: &[AttemptTrace],
    related_records: &[LogRecord],
) -> Vec<String> {
    let mut warnings = Vec::new();
    for attempt in attempts
        .iter()
        .filter(|attempt| attempt.terminal_record().is_none())
    {
        warnings.push(format!(
            "attempt {} has no end: it is still running, its host was killed, or lines were left \
             out",
            attempt.id
        ));
    }
    let omitted_lines: u64 = related_records
        .iter()
        .filter(|record| record.event == "lines_left_out")
        .filter_map(|record| record.number_field("count"))
        .sum();
    if omitted_lines > 0 {
        warnings.push(format!(
            "its hosts left out {omitted_lines} lines at that time"
        ));
    }
    let hosts: BTreeSet<&str> = attempts
        .iter()
        .flat_map(|attempt| &attempt.records)
        .map(|record| record.host.as_str())
        .collect();
    for host in hosts.into_iter().filter(|host| logs.has_clock_step(host)) {
        warnings.push(format!(
            "the wall clock of {host} was stepped; its lines are placed by its boot clock"
        ));
    }
    if logs.unreadable_lines() > 0 {
        warnings.push(format!(
            "{} lines could not be parsed as log lines",
            logs.unreadable_lines()
        ));
    }
    warnings
}
