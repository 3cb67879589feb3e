//! Client of the engines' control interface, which serves statistics and injects faults.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::workload::EngineFault;

/// Timeout of a call to the control interface.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(3);

/// Record of a generation that an engine started.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub struct GenerationRecord {
    /// Request id, from `metadata.request`; `None` if the caller set none.
    pub request: Option<String>,
    /// Start time, in milliseconds since the Unix epoch.
    pub started_ms: u64,
}

/// Statistics of one engine. Only the fields used here are read.
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

/// Statistics summed over the engines of a fleet.
#[derive(Debug, Clone, Default, PartialEq)]
#[derive(Serialize, Deserialize)]
pub struct FleetStatistics {
    /// Number of engines that returned statistics.
    pub engines: u64,
    /// Number of engines that did not return statistics.
    pub silent_engines: u64,
    /// Generations started.
    pub started: u64,
    /// Generations completed.
    pub completed: u64,
    /// Generations cancelled.
    pub cancelled: u64,
    /// Generations failed because they did not fit in memory.
    pub failed: u64,
    /// Tokens decoded.
    pub tokens: u64,
    /// Preemptions of generations.
    pub preemptions: u64,
    /// Tokens computed by prefill.
    pub prefilled_tokens: u64,
    /// Tokens of these that were computed again after preemptions.
    pub recomputed_tokens: u64,
    /// Highest memory usage of any engine, as a fraction of its memory, 0 to 1.
    pub memory_peak: f64,
    /// Mean memory usage of the engines during the measurement, as a fraction, 0 to 1.
    pub memory_mean: f64,
    /// Number of requests of this run that were started more than once.
    pub started_again: u64,
    /// Number of requests of this run refused as `not_run` although an engine had started them.
    pub not_run_but_started: u64,
    /// Longest time, in milliseconds, from an engine's leave notice to a generation start on it.
    pub last_start_after_leave_ms: u64,
}

impl FleetStatistics {
    /// Sums the statistics of all engines. Request ids of this run begin with `SEED-`; `refused`
    /// holds the ids of the requests refused as `not_run`.
    #[must_use]
    pub fn new(
        statistics: &[Option<EngineStatistics>],
        seed: u64,
        refused: &BTreeSet<String>,
    ) -> Self {
        let mut totals = Self::default();
        let mut start_counts: BTreeMap<&str, u64> = BTreeMap::new();
        let prefix = format!("{seed}-");
        for engine in statistics {
            let Some(engine) = engine else {
                totals.silent_engines += 1;
                continue;
            };
            totals.add(engine);
            let request_ids = engine
                .generations
                .iter()
                .filter_map(|g| g.request.as_deref());
            for request_id in request_ids.filter(|request_id| request_id.starts_with(&prefix)) {
                *start_counts.entry(request_id).or_default() += 1;
            }
        }
        totals.started_again = start_counts.values().filter(|count| **count > 1).count() as u64;
        let wrongly_refused = refused
            .iter()
            .filter(|request_id| start_counts.contains_key(request_id.as_str()));
        totals.not_run_but_started = wrongly_refused.count() as u64;
        totals
    }

    /// Sets the mean memory usage from statistics at the start and the end of the measurement.
    pub fn set_mean_memory(
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
        if let Some(left_at_ms) = engine.left_at_ms {
            let delays = engine
                .generations
                .iter()
                .map(|g| g.started_ms.saturating_sub(left_at_ms));
            let longest_delay = delays.max().unwrap_or(0);
            self.last_start_after_leave_ms = self.last_start_after_leave_ms.max(longest_delay);
        }
    }
}

#[allow(clippy::cast_precision_loss)] // Memory sizes are far below 2^52 tokens.
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}

impl fmt::Display for FleetStatistics {
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

fn control_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(CONTROL_TIMEOUT))
        .build()
        .new_agent()
}

/// Fetches the statistics of every engine; `None` for one that does not respond. Blocks the thread.
#[must_use]
pub fn fetch_statistics(engines: &[SocketAddr]) -> Vec<Option<EngineStatistics>> {
    let agent = control_agent();
    let fetch = |address: &SocketAddr| {
        let url = format!("http://{address}/control/stats");
        let mut response = agent.get(url).call().ok()?;
        // The list of generations can exceed ureq's default limit of a response body.
        let body = response.body_mut().with_config().limit(64 << 20);
        body.read_json().ok()
    };
    engines.iter().map(fetch).collect()
}

/// A fault with the time and the engines at which it is injected.
#[derive(Debug, Clone)]
pub struct ScheduledFault {
    /// Time from the start of the run.
    pub at: Duration,
    /// Indexes of the engines.
    pub engines: Vec<usize>,
    /// Path below `/control/`.
    pub control: String,
    /// JSON body of the call.
    pub body: Value,
}

/// Expands the faults of a workload into single injections, sorted by time. Repeated faults end at
/// `until`.
#[must_use]
pub fn schedule_faults(
    faults: &[EngineFault],
    engine_count: usize,
    until: Duration,
) -> Vec<ScheduledFault> {
    let mut scheduled_faults = Vec::new();
    if engine_count == 0 {
        return scheduled_faults;
    }
    for fault in faults {
        let all_engines: Vec<usize> = if fault.engines.is_empty() {
            (0..engine_count).collect()
        } else {
            fault.engines.iter().map(|e| e % engine_count).collect()
        };
        let scheduled_fault = |at: Duration, engines: Vec<usize>| ScheduledFault {
            at,
            engines,
            control: fault.control.clone(),
            body: fault.body.clone(),
        };
        let first_at = Duration::from_secs_f64(fault.at_seconds);
        match fault.every_seconds.filter(|seconds| *seconds >= 0.1) {
            None => scheduled_faults.push(scheduled_fault(first_at, all_engines)),
            Some(seconds) => {
                let mut at = first_at;
                for engine in all_engines.iter().cycle() {
                    if at >= until {
                        break;
                    }
                    scheduled_faults.push(scheduled_fault(at, vec![*engine]));
                    at += Duration::from_secs_f64(seconds);
                }
            }
        }
    }
    scheduled_faults.sort_by_key(|fault| fault.at);
    scheduled_faults
}

/// Injects a fault. An error of one engine is printed and the others follow, because the engine may
/// have exited. Blocks the thread.
pub fn inject_fault(fault: &ScheduledFault, engines: &[SocketAddr]) {
    let agent = control_agent();
    for address in fault.engines.iter().filter_map(|index| engines.get(*index)) {
        let url = format!("http://{address}/control/{}", fault.control);
        if let Err(error) = agent.post(url).send_json(&fault.body) {
            eprintln!(
                "cannot inject fault {} at engine {address}: {error}",
                fault.control
            );
        }
    }
}
