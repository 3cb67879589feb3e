//! Summaries of the request records of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use mimosagap_types::prelude::RunOutcome;
use serde::{Deserialize, Serialize};

use crate::caller::{RequestRecord, RequestResult};
use crate::engines::FleetStatistics;
use crate::workload::Workload;

/// A longer gap between two tokens is a stall.
const STALL_THRESHOLD_US: u32 = 250_000;

/// Upper bound of the histograms: one hour in microseconds. Longer times count as this value.
const MAX_LATENCY_US: u64 = 3_600_000_000;

/// Maximum number of violations listed in a summary. All are counted.
const MAX_LISTED_VIOLATIONS: usize = 20;

/// Percentiles of a time in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Percentiles {
    /// Number of measured values.
    pub count: u64,
    /// 50th percentile, the median.
    pub p50: f64,
    /// 95th percentile.
    pub p95: f64,
    /// 99th percentile.
    pub p99: f64,
}

impl fmt::Display for Percentiles {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            count,
            p50,
            p95,
            p99,
        } = self;
        write!(f, "{p50:>9.2} {p95:>9.2} {p99:>9.2} {count:>9}")
    }
}

/// Histogram of times in microseconds, with three significant digits.
struct LatencyHistogram(Histogram<u64>);

impl LatencyHistogram {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3);
        Self(histogram.expect("the bounds and the precision are valid"))
    }

    fn record(&mut self, micros: u64) {
        self.0.saturating_record(micros);
    }

    #[allow(clippy::cast_precision_loss)] // Times are far below 2^52 microseconds.
    fn percentiles(&self) -> Percentiles {
        let at = |quantile: f64| self.0.value_at_quantile(quantile) as f64 / 1_000.0;
        Percentiles {
            count: self.0.len(),
            p50: at(0.5),
            p95: at(0.95),
            p99: at(0.99),
        }
    }
}

/// Summary of a group of requests.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct GroupSummary {
    /// Requests planned after the warm-up.
    pub requests: u64,
    /// Requests with a complete response.
    pub completed: u64,
    /// Requests without a complete response at the end of the run.
    pub unfinished: u64,
    /// Number of refusals by error code.
    pub refused: BTreeMap<String, u64>,
    /// Number of broken connections by cause.
    pub broken: BTreeMap<String, u64>,
    /// Number of attempts of callers to resume a stream.
    pub resumes: u64,
    /// Time from the planned arrival to the first token.
    pub first_token_ms: Percentiles,
    /// Time between successive tokens of a stream.
    pub between_tokens_ms: Percentiles,
    /// Stall time per stream: for each gap over 250 ms between tokens, the part over 250 ms.
    /// Streams without such a gap count as 0.
    pub stall_per_stream_ms: Percentiles,
    /// Number of gaps over 250 ms between tokens.
    pub stalls: u64,
    /// Tokens per second, counting only requests that completed during the measurement.
    pub goodput: f64,
    /// Number of violations of the stream protocol, also in requests of the warm-up.
    pub violations: u64,
    /// Descriptions of the first 20 violations.
    pub violation_list: Vec<String>,
}

/// Summary of one run.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RunSummary {
    /// Name of the workload.
    pub workload: String,
    /// Seed of the run.
    pub seed: u64,
    /// Summary of all requests.
    pub total: GroupSummary,
    /// Summaries by class.
    pub classes: BTreeMap<String, GroupSummary>,
    /// Statistics of the engines; `None` if they were not fetched.
    pub engines: Option<FleetStatistics>,
}

/// Summarizes the records of a run, in total and by class.
#[must_use]
pub fn summarize(
    workload: &Workload,
    seed: u64,
    records: &[RequestRecord],
    engines: Option<FleetStatistics>,
) -> RunSummary {
    let all_records: Vec<&RequestRecord> = records.iter().collect();
    let classes = workload
        .classes
        .iter()
        .enumerate()
        .map(|(class_index, class)| {
            let class_records: Vec<&RequestRecord> = records
                .iter()
                .filter(|record| record.planned.class_index == class_index)
                .collect();
            (
                class.name.clone(),
                summarize_group(workload, &class_records),
            )
        });
    RunSummary {
        workload: workload.name.clone(),
        seed,
        total: summarize_group(workload, &all_records),
        classes: classes.collect(),
        engines,
    }
}

/// Summarizes a group of records. Times and results count requests planned after the warm-up only.
#[must_use]
pub fn summarize_group(workload: &Workload, records: &[&RequestRecord]) -> GroupSummary {
    let mut group = GroupSummary::default();
    let mut first_token = LatencyHistogram::new();
    let mut between_tokens = LatencyHistogram::new();
    let mut stall_per_stream = LatencyHistogram::new();
    let mut completed_tokens: u64 = 0;
    for record in records {
        count_violations(&mut group, record);
        if completed_during_measurement(workload, record) {
            completed_tokens += u64::from(record.tokens);
        }
        if record.planned.at < workload.warmup() {
            continue;
        }
        count_result(&mut group, record);
        if let Some(delay) = record.time_to_first_token {
            first_token.record(as_micros(delay));
            stall_per_stream.record(stall_time_us(record));
        }
        for gap in &record.token_gaps_us {
            between_tokens.record(u64::from(*gap));
            group.stalls += u64::from(*gap > STALL_THRESHOLD_US);
        }
    }
    group.first_token_ms = first_token.percentiles();
    group.between_tokens_ms = between_tokens.percentiles();
    group.stall_per_stream_ms = stall_per_stream.percentiles();
    group.goodput = per_second(completed_tokens, workload.measured());
    group
}

fn completed_during_measurement(workload: &Workload, record: &RequestRecord) -> bool {
    record.result == RequestResult::Completed
        && (workload.warmup()..workload.duration()).contains(&record.ended_at)
}

fn count_violations(group: &mut GroupSummary, record: &RequestRecord) {
    group.violations += record.violations.len() as u64;
    for violation in &record.violations {
        if group.violation_list.len() < MAX_LISTED_VIOLATIONS {
            let index = record.planned.index;
            group
                .violation_list
                .push(format!("request {index}: {violation}"));
        }
    }
}

fn count_result(group: &mut GroupSummary, record: &RequestRecord) {
    group.requests += 1;
    group.resumes += u64::from(record.resumes);
    match &record.result {
        RequestResult::Completed => group.completed += 1,
        RequestResult::Unfinished => group.unfinished += 1,
        RequestResult::Refused { code, .. } => *group.refused.entry(code.clone()).or_default() += 1,
        RequestResult::Broken(cause) => *group.broken.entry(cause.clone()).or_default() += 1,
    }
}

fn stall_time_us(record: &RequestRecord) -> u64 {
    let excesses_us = record
        .token_gaps_us
        .iter()
        .map(|gap| gap.saturating_sub(STALL_THRESHOLD_US));
    excesses_us.map(u64::from).sum()
}

fn as_micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
fn per_second(count: u64, duration: Duration) -> f64 {
    count as f64 / duration.as_secs_f64().max(f64::EPSILON)
}

/// Returns the ids of the requests refused as `not_run`.
#[must_use]
pub fn requests_refused_not_run(seed: u64, records: &[RequestRecord]) -> BTreeSet<String> {
    let refused_records = records.iter().filter(|record| {
        matches!(
            &record.result,
            RequestResult::Refused {
                outcome: Some(RunOutcome::NotRun),
                ..
            }
        )
    });
    refused_records
        .map(|record| record.planned.request_id(seed))
        .collect()
}

impl fmt::Display for GroupSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let header = format!(
            "{:<22} {:>9} {:>9} {:>9} {:>9}",
            "", "p50", "p95", "p99", "count"
        );
        writeln!(f, "{header}")?;
        writeln!(f, "{:<22} {}", "first token, ms", self.first_token_ms)?;
        writeln!(f, "{:<22} {}", "between tokens, ms", self.between_tokens_ms)?;
        writeln!(
            f,
            "{:<22} {}",
            "stall per stream, ms", self.stall_per_stream_ms
        )?;
        writeln!(f, "gaps over 250 ms       {:>9}", self.stalls)?;
        writeln!(f, "goodput, tokens/s      {:>9.0}", self.goodput)?;
        writeln!(
            f,
            "requests {}, completed {}, unfinished {}, resumes {}, violations {}",
            self.requests, self.completed, self.unfinished, self.resumes, self.violations
        )?;
        write!(f, "refused: {}", format_counts(&self.refused))?;
        write!(f, "\nbroken: {}", format_counts(&self.broken))?;
        for violation in &self.violation_list {
            write!(f, "\nviolation: {violation}")?;
        }
        Ok(())
    }
}

fn format_counts(counts: &BTreeMap<String, u64>) -> String {
    if counts.is_empty() {
        return "none".to_owned();
    }
    let mut text = String::new();
    for (name, count) in counts {
        let separator = if text.is_empty() { "" } else { ", " };
        let _ = write!(text, "{separator}{name} {count}");
    }
    text
}

impl fmt::Display for RunSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "workload {}, seed {}", self.workload, self.seed)?;
        writeln!(f, "\nall requests\n{}", self.total)?;
        if self.classes.len() > 1 {
            for (name, class) in &self.classes {
                writeln!(f, "\nclass {name}\n{class}")?;
            }
        }
        if let Some(engines) = &self.engines {
            write!(f, "\n{engines}")?;
        }
        Ok(())
    }
}
