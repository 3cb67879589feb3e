//! The engines' control interface: statistics and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::workload::Fault;

const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

/// One generation that an engine started.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct GenerationRecord {
    /// `metadata.request`.
    pub request: Option<String>,
    /// Wall-clock time in milliseconds since 1970.
    pub started_ms: u64,
}

/// The statistics of one engine, as far as they are used.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct EngineStatistics {
    started: u64,
    completed: u64,
    cancelled: u64,
    failed: u64,
    tokens: u64,
    preemptions: u64,
    recomputed_tokens: u64,
    prefilled_tokens: u64,
    memory_peak: u64,
    memory_sum: u64,
    memory_samples: u64,
    memory_tokens: u64,
    left_at_ms: Option<u64>,
    generations: Vec<GenerationRecord>,
}

/// Sums over the engines.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetFigures {
    /// Engines that answered.
    pub engines: u64,
    /// Engines that did not answer.
    pub silent_engines: u64,
    /// Generations started.
    pub started: u64,
    /// Generations completed.
    pub completed: u64,
    /// Generations cancelled.
    pub cancelled: u64,
    /// Generations that did not fit.
    pub failed: u64,
    /// Tokens decoded.
    pub tokens: u64,
    /// Preemptions.
    pub preemptions: u64,
    /// Prompt tokens computed.
    pub prefilled_tokens: u64,
    /// Of these, tokens computed again after preemptions.
    pub recomputed_tokens: u64,
    /// The highest part of any engine's memory in use, 0 to 1.
    pub memory_peak: f64,
    /// The mean part of the engines' memory in use during the measured time, 0 to 1.
    pub memory_mean: f64,
    /// Requests of this run that were started more than once.
    pub started_again: u64,
    /// Requests of this run refused as `not run` although an engine started them.
    pub not_run_but_started: u64,
    /// The latest start on an engine after it was told to leave, in milliseconds after that.
    pub last_start_after_leave_ms: u64,
}

impl FleetFigures {
    /// Sums statistics. Requests of the run have names that begin with `SEED-`.
    #[must_use]
    pub fn new(
        statistics: &[Option<EngineStatistics>],
        seed: u64,
        refused: &BTreeSet<String>,
    ) -> Self {
        let mut figures = Self::default();
        let mut starts: BTreeMap<&str, u64> = BTreeMap::new();
        let prefix = format!("{seed}-");
        for engine in statistics {
            let Some(engine) = engine else {
                figures.silent_engines += 1;
                continue;
            };
            figures.add(engine);
            let names = engine
                .generations
                .iter()
                .filter_map(|g| g.request.as_deref());
            for name in names.filter(|name| name.starts_with(&prefix)) {
                *starts.entry(name).or_default() += 1;
            }
        }
        figures.started_again = starts.values().filter(|count| **count > 1).count() as u64;
        let untrue = refused
            .iter()
            .filter(|name| starts.contains_key(name.as_str()));
        figures.not_run_but_started = untrue.count() as u64;
        figures
    }

    /// Sets the mean memory from statistics at both ends of the measured time.
    pub fn set_memory_mean(
        &mut self,
        first: &[Option<EngineStatistics>],
        last: &[Option<EngineStatistics>],
    ) {
        let pairs = first.iter().zip(last);
        let means: Vec<f64> = pairs
            .filter_map(|(first, last)| {
                let (first, last) = (first.as_ref()?, last.as_ref()?);
                let samples = last.memory_samples.checked_sub(first.memory_samples)?;
                let sum = last.memory_sum.checked_sub(first.memory_sum)?;
                Some(ratio(sum, samples * last.memory_tokens))
            })
            .collect();
        let count = u32::try_from(means.len()).unwrap_or(u32::MAX);
        self.memory_mean = means.iter().sum::<f64>() / f64::from(count.max(1));
    }

    fn add(&mut self, engine: &EngineStatistics) {
        self.engines += 1;
        self.started += engine.started;
        self.completed += engine.completed;
        self.cancelled += engine.cancelled;
        self.failed += engine.failed;
        self.tokens += engine.tokens;
        self.preemptions += engine.preemptions;
        self.prefilled_tokens += engine.prefilled_tokens;
        self.recomputed_tokens += engine.recomputed_tokens;
        self.memory_peak = self
            .memory_peak
            .max(ratio(engine.memory_peak, engine.memory_tokens));
        if let Some(left) = engine.left_at_ms {
            let late = engine
                .generations
                .iter()
                .map(|g| g.started_ms.saturating_sub(left));
            let latest = late.max().unwrap_or(0);
            self.last_start_after_leave_ms = self.last_start_after_leave_ms.max(latest);
        }
    }
}

#[allow(clippy::cast_precision_loss)] // Memory sizes are far below 2^52 tokens.
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

impl fmt::Display for FleetFigures {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "engines {} ({} silent): started {}, completed {}, cancelled {}, failed {}, tokens {}",
            self.engines,
            self.silent_engines,
            self.started,
            self.completed,
            self.cancelled,
            self.failed,
            self.tokens
        )?;
        writeln!(
            f,
            "preemptions {}, recomputed tokens {} of {} prefilled, memory mean {:.1}%, peak {:.1}%",
            self.preemptions,
            self.recomputed_tokens,
            self.prefilled_tokens,
            self.memory_mean * 100.0,
            self.memory_peak * 100.0
        )?;
        write!(
            f,
            "started again {}, refused as not run but started {}, last start after leave {} ms",
            self.started_again, self.not_run_but_started, self.last_start_after_leave_ms
        )
    }
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(CONTROL_TIMEOUT))
        .build()
        .new_agent()
}

/// Asks every engine for its statistics; `None` for one that does not answer. Blocks.
#[must_use]
pub fn fetch_statistics(engines: &[SocketAddr]) -> Vec<Option<EngineStatistics>> {
    let agent = agent();
    let fetch = |address: &SocketAddr| {
        let url = format!("http://{address}/control/stats");
        let mut answer = agent.get(url).call().ok()?;
        // The list of generations is longer than ureq's default bound on bodies.
        let body = answer.body_mut().with_config().limit(64 << 20);
        body.read_json().ok()
    };
    engines.iter().map(fetch).collect()
}

/// A fault at one time and its engines.
#[derive(Debug, Clone)]
pub struct TimedFault {
    /// When, from the start of the run.
    pub at: Duration,
    /// The engines' positions.
    pub engines: Vec<usize>,
    /// The path below `/control/`.
    pub control: String,
    /// The body.
    pub body: Value,
}

/// Lays out the faults of a run in the order of time.
#[must_use]
pub fn schedule(faults: &[Fault], engine_count: usize, until: Duration) -> Vec<TimedFault> {
    let mut timed = Vec::new();
    if engine_count == 0 {
        return timed;
    }
    for fault in faults {
        let all: Vec<usize> = if fault.engines.is_empty() {
            (0..engine_count).collect()
        } else {
            fault.engines.iter().map(|e| e % engine_count).collect()
        };
        let single = |at: Duration, engines: Vec<usize>| TimedFault {
            at,
            engines,
            control: fault.control.clone(),
            body: fault.body.clone(),
        };
        let first = Duration::from_secs_f64(fault.at_seconds);
        match fault.every_seconds.filter(|seconds| *seconds >= 0.1) {
            None => timed.push(single(first, all)),
            Some(seconds) => {
                let mut at = first;
                for engine in all.iter().cycle() {
                    if at >= until {
                        break;
                    }
                    timed.push(single(at, vec![*engine]));
                    at += Duration::from_secs_f64(seconds);
                }
            }
        }
    }
    timed.sort_by_key(|fault| fault.at);
    timed
}

/// Applies a fault. Engines that do not answer are passed over, because they may be gone. Blocks.
pub fn apply(fault: &TimedFault, engines: &[SocketAddr]) {
    let agent = agent();
    for address in fault
        .engines
        .iter()
        .filter_map(|number| engines.get(*number))
    {
        let url = format!("http://{address}/control/{}", fault.control);
        if let Err(error) = agent.post(url).send_json(&fault.body) {
            eprintln!("fault {} at engine {address}: {error}", fault.control);
        }
    }
}
