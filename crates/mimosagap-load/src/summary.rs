//! Figures over the records of a run.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::fmt::Write as _;
use std::time::Duration;

use hdrhistogram::Histogram;
use mimosagap_types::prelude::RunOutcome;
use serde::{Deserialize, Serialize};

use crate::caller::{RequestEnd, RequestRecord};
use crate::engines::FleetFigures;
use crate::workload::Workload;

/// A gap beyond this is a stall.
const STALL_THRESHOLD_US: u32 = 250_000;

/// The longest time that is told apart, one hour in microseconds.
const LONGEST_US: u64 = 3_600_000_000;

/// Violations listed in a summary; further ones are counted only.
const LISTED_VIOLATIONS: usize = 20;

/// Three percentiles in milliseconds.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct Percentiles {
    /// Values measured.
    pub count: u64,
    /// The median.
    pub p50: f64,
    /// The 95th percentile.
    pub p95: f64,
    /// The 99th percentile.
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

/// Collects microseconds.
struct Sample(Histogram<u64>);

impl Sample {
    fn new() -> Self {
        let histogram = Histogram::new_with_bounds(1, LONGEST_US, 3);
        Self(histogram.expect("the bounds and the precision are valid"))
    }

    fn add(&mut self, micros: u64) {
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

/// The figures of one group of requests.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct GroupSummary {
    /// Requests measured.
    pub requests: u64,
    /// Requests whose whole answer came.
    pub completed: u64,
    /// Requests that were open at the end of the run.
    pub unfinished: u64,
    /// Refusals by cause.
    pub refused: BTreeMap<String, u64>,
    /// Broken connections by cause.
    pub broken: BTreeMap<String, u64>,
    /// Resumes by callers.
    pub resumes: u64,
    /// From the planned arrival to the first token.
    pub first_token_ms: Percentiles,
    /// Between two tokens of a stream.
    pub between_tokens_ms: Percentiles,
    /// Sum of a stream's gaps beyond 250 ms, less 250 ms each; streams without one count as 0.
    pub stall_per_stream_ms: Percentiles,
    /// Gaps beyond 250 ms.
    pub stalls: u64,
    /// Tokens per second of requests that completed in the measured time.
    pub goodput: f64,
    /// Broken promises.
    pub violations: u64,
    /// The first of them.
    pub violation_list: Vec<String>,
}

/// The figures of one run.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RunSummary {
    /// The workload.
    pub workload: String,
    /// The seed.
    pub seed: u64,
    /// All requests.
    pub total: GroupSummary,
    /// By class.
    pub classes: BTreeMap<String, GroupSummary>,
    /// From the engines' statistics, if they were asked.
    pub engines: Option<FleetFigures>,
}

/// Summarizes the records of requests planned after the warm-up.
#[must_use]
pub fn summarize(
    workload: &Workload,
    seed: u64,
    records: &[RequestRecord],
    engines: Option<FleetFigures>,
) -> RunSummary {
    let all: Vec<&RequestRecord> = records.iter().collect();
    let classes = workload.classes.iter().enumerate().map(|(number, mix)| {
        let part: Vec<&RequestRecord> = records
            .iter()
            .filter(|record| record.planned.class == number)
            .collect();
        (mix.name.clone(), summarize_group(workload, &part))
    });
    RunSummary {
        workload: workload.name.clone(),
        seed,
        total: summarize_group(workload, &all),
        classes: classes.collect(),
        engines,
    }
}

/// Summarizes one group of records.
#[must_use]
pub fn summarize_group(workload: &Workload, records: &[&RequestRecord]) -> GroupSummary {
    let mut group = GroupSummary::default();
    let mut first = Sample::new();
    let mut between = Sample::new();
    let mut stall = Sample::new();
    let mut good_tokens: u64 = 0;
    for record in records {
        count_violations(&mut group, record);
        if completed_in_time(workload, record) {
            good_tokens += u64::from(record.tokens);
        }
        if record.planned.at < workload.warmup() {
            continue;
        }
        count_end(&mut group, record);
        if let Some(delay) = record.first_token {
            first.add(micros(delay));
            stall.add(stall_of(record));
        }
        for gap in &record.gaps_us {
            between.add(u64::from(*gap));
            group.stalls += u64::from(*gap > STALL_THRESHOLD_US);
        }
    }
    group.first_token_ms = first.percentiles();
    group.between_tokens_ms = between.percentiles();
    group.stall_per_stream_ms = stall.percentiles();
    group.goodput = per_second(good_tokens, workload.measured());
    group
}

fn completed_in_time(workload: &Workload, record: &RequestRecord) -> bool {
    record.end == RequestEnd::Completed
        && (workload.warmup()..workload.duration()).contains(&record.ended_at)
}

fn count_violations(group: &mut GroupSummary, record: &RequestRecord) {
    group.violations += record.violations.len() as u64;
    for violation in &record.violations {
        if group.violation_list.len() < LISTED_VIOLATIONS {
            let number = record.planned.number;
            group
                .violation_list
                .push(format!("request {number}: {violation}"));
        }
    }
}

fn count_end(group: &mut GroupSummary, record: &RequestRecord) {
    group.requests += 1;
    group.resumes += u64::from(record.resumes);
    match &record.end {
        RequestEnd::Completed => group.completed += 1,
        RequestEnd::Unfinished => group.unfinished += 1,
        RequestEnd::Refused { code, .. } => *group.refused.entry(code.clone()).or_default() += 1,
        RequestEnd::Broken(cause) => *group.broken.entry(cause.clone()).or_default() += 1,
    }
}

fn stall_of(record: &RequestRecord) -> u64 {
    let beyond = record
        .gaps_us
        .iter()
        .map(|gap| gap.saturating_sub(STALL_THRESHOLD_US));
    beyond.map(u64::from).sum()
}

fn micros(duration: Duration) -> u64 {
    u64::try_from(duration.as_micros()).unwrap_or(u64::MAX)
}

#[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
fn per_second(count: u64, duration: Duration) -> f64 {
    count as f64 / duration.as_secs_f64().max(f64::EPSILON)
}

/// The names of the requests refused as `not run`.
#[must_use]
pub fn refused_as_not_run(seed: u64, records: &[RequestRecord]) -> BTreeSet<String> {
    let refused = records.iter().filter(|record| {
        matches!(
            &record.end,
            RequestEnd::Refused {
                outcome: Some(RunOutcome::NotRun),
                ..
            }
        )
    });
    refused.map(|record| record.planned.name(seed)).collect()
}

impl fmt::Display for GroupSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let columns = format!(
            "{:<22} {:>9} {:>9} {:>9} {:>9}",
            "", "p50", "p95", "p99", "count"
        );
        writeln!(f, "{columns}")?;
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
        write!(f, "refused: {}", counts(&self.refused))?;
        write!(f, "\nbroken: {}", counts(&self.broken))?;
        for violation in &self.violation_list {
            write!(f, "\nviolation: {violation}")?;
        }
        Ok(())
    }
}

fn counts(map: &BTreeMap<String, u64>) -> String {
    if map.is_empty() {
        return "none".to_owned();
    }
    let mut text = String::new();
    for (name, count) in map {
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
