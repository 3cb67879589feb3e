//! Measures the overhead of the daemon. One run sends the same load directly to the engines and
//! through one daemon, interleaved, and compares latencies, processor time and memory.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::caller::RequestRecord;
use crate::command::{CommandError, build_runtime, reject_unknown_arguments};
use crate::fleet::{Fleet, FleetOptions};
use crate::process::kill_children_on_signal;
use crate::route::{AddressCache, Route, RouteKind};
use crate::run::{RunOptions, ScheduledAction, run_workload};
use crate::summary::{GroupSummary, Percentiles, summarize_group};
use crate::usage::{ProcessUsage, cores_used, sample_usage};
use crate::workload::{
    ArrivalPattern, ClassWorkload, FleetConfig, LengthDistribution, ProcessLocation, Workload,
};

/// Load levels as pairs of open streams through the daemon and step time of the engines in
/// milliseconds. 340 streams at 30 ms are one daemon's share of the peak expected in two years. At
/// 1000 streams the steps are longer, so that the token rate stays near that of 340.
const DEFAULT_LEVELS: &str = "10:30,100:30,340:30,1000:100";

/// Duration of one response. 38 responses of this duration per second keep 340 streams open.
const RESPONSE_SECONDS: f64 = 8.9;

const PROMPT_TOKENS: u32 = 200;

const ENGINE_COUNT: usize = 6;

/// Longer than one response, so that the number of open streams is steady when measurement starts.
const WARMUP_SECONDS: f64 = 11.0;

/// Period over which the processor time of the daemon without load is measured.
const IDLE_PERIOD: Duration = Duration::from_secs(3);

/// Goals for the daemon: time added between tokens at the 99th percentile, processor cores in use,
/// and resident memory per open stream.
const GOAL_ADDED_LATENCY_MS: f64 = 1.0;
const GOAL_CPU_CORES: f64 = 0.25;
const GOAL_MEMORY_PER_STREAM_KIB: f64 = 100.0;

/// Results of one route.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RouteResult {
    /// Time to the first token.
    pub first_token_ms: Percentiles,
    /// Time between tokens.
    pub between_tokens_ms: Percentiles,
    /// Requests with a complete response.
    pub completed: u64,
    /// Requests that were refused, broken or unfinished.
    pub others: u64,
    /// Violations found by [`StreamChecker`](crate::check::StreamChecker).
    pub violations: u64,
}

impl RouteResult {
    fn new(group: &GroupSummary) -> Self {
        Self {
            first_token_ms: group.first_token_ms,
            between_tokens_ms: group.between_tokens_ms,
            completed: group.completed,
            others: group.requests - group.completed,
            violations: group.violations,
        }
    }
}

/// Results of one load level.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct LevelResult {
    /// Number of open streams for which the request rate is set.
    pub planned_streams: u64,
    /// Open streams through the daemon, as the mean of the start and end of the measurement.
    pub open_streams: f64,
    /// Tokens per second through the daemon.
    pub tokens_per_second: f64,
    /// Results of requests sent directly to the engines.
    pub direct: RouteResult,
    /// Results of requests sent through the daemon.
    pub daemon: RouteResult,
    /// Difference of the routes in the 99th percentile of the time between tokens.
    pub added_between_p99_ms: f64,
    /// Difference of the routes in the 99th percentile of the time to the first token.
    pub added_first_p99_ms: f64,
    /// Processor cores used by the daemon under load.
    pub cores: f64,
    /// Processor cores used by the daemon without load.
    pub idle_cores: f64,
    /// Processor time of the daemon per 1,000 tokens, without the idle usage.
    pub processor_ms_per_1000_tokens: f64,
    /// Resident memory of the daemon without load.
    pub idle_kib: u64,
    /// Resident memory of the daemon at the end of the measurement.
    pub loaded_kib: u64,
    /// Growth of resident memory per open stream.
    pub stream_kib: f64,
    /// Processor cores used by this tool.
    pub tool_cores: f64,
}

struct LoadLevel {
    streams: u64,
    step_ms: u64,
}

/// Usage of both processes and counters of the daemon route at one time.
struct LoadSample {
    daemon: ProcessUsage,
    tool: ProcessUsage,
    tokens: u64,
    open_streams: u64,
}

/// Runs the `bench` subcommand.
///
/// # Errors
/// The arguments are invalid, or a process of the fleet does not start.
pub fn run_bench(mut arguments: pico_args::Arguments) -> Result<(), CommandError> {
    let binaries: PathBuf = arguments.value_from_str("--binaries")?;
    let directory: PathBuf = arguments.value_from_str("--out")?;
    let seconds: f64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(12.0);
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let levels: Option<String> = arguments.opt_value_from_str("--levels")?;
    reject_unknown_arguments(arguments)?;
    fs::create_dir_all(&directory)?;
    kill_children_on_signal()?;
    let mut results = Vec::new();
    for level in parse_levels(levels.as_deref().unwrap_or(DEFAULT_LEVELS))? {
        let workload = level_workload(&level, seconds);
        let fleet = Fleet::start(&FleetOptions {
            binaries: &binaries,
            directory: directory.join(format!("level-{}", level.streams)),
            workload: &workload,
            policy: Some("forecast"),
            seed,
            slot: 0,
        })?;
        let result = measure_level(&workload, &level, &fleet, seed)?;
        println!("{result}");
        results.push(result);
    }
    let text = serde_json::to_string_pretty(&results).map_err(std::io::Error::from)?;
    Ok(fs::write(directory.join("bench.json"), text)?)
}

fn parse_levels(text: &str) -> Result<Vec<LoadLevel>, CommandError> {
    text.split(',')
        .map(|entry| {
            let fields = entry.split_once(':');
            let level = fields.and_then(|(streams, step)| {
                let (streams, step_ms) = (streams.parse().ok()?, step.parse().ok()?);
                (streams > 0 && step_ms > 0).then_some(LoadLevel { streams, step_ms })
            });
            level.ok_or_else(|| {
                CommandError::Arguments(format!(
                    "level \"{entry}\" is not STREAMS:STEP_MS, for example 340:30"
                ))
            })
        })
        .collect()
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn level_workload(level: &LoadLevel, seconds: f64) -> Workload {
    let location = ProcessLocation {
        zone: "bench-1".to_owned(),
        region: "bench".to_owned(),
    };
    let tokens = RESPONSE_SECONDS * 1_000.0 / level.step_ms as f64;
    Workload {
        name: format!("bench-{}", level.streams),
        seconds: WARMUP_SECONDS + seconds,
        warmup_seconds: WARMUP_SECONDS,
        drain_seconds: 15.0,
        arrivals: ArrivalPattern {
            // Each of the two routes carries the streams of the level.
            requests_per_second: 2.0 * level.streams as f64 / RESPONSE_SECONDS,
            bursts: None,
        },
        classes: vec![ClassWorkload {
            name: "bench".to_owned(),
            model: "bench".to_owned(),
            share: 1.0,
            priority: "normal".to_owned(),
            teams: BTreeMap::from([("bench".to_owned(), 1.0)]),
            prompt_tokens: LengthDistribution::Fixed {
                tokens: PROMPT_TOKENS,
            },
            output_tokens: LengthDistribution::Fixed {
                tokens: tokens.round() as u32,
            },
            prefixes: None,
            streamed: true,
        }],
        faults: Vec::new(),
        variants: BTreeMap::new(),
        fleet: FleetConfig {
            engines: vec![location.clone(); ENGINE_COUNT],
            daemons: vec![location],
            memory_tokens: 10_000_000,
            step_ms: level.step_ms,
            stream_us: 0,
            prefill_us: 0,
            max_streams: 4_096,
            rules: Vec::new(),
        },
    }
}

fn measure_level(
    workload: &Workload,
    level: &LoadLevel,
    fleet: &Fleet,
    seed: u64,
) -> Result<LevelResult, CommandError> {
    let daemon_id = *fleet.daemon_ids.first().ok_or_else(|| {
        CommandError::Setup("the bench fleet was started without a daemon".to_owned())
    })?;
    let daemon_exited =
        || CommandError::Setup("the daemon exited during the bench; see its log".to_owned());
    let idle_start = sample_usage(daemon_id).ok_or_else(daemon_exited)?;
    std::thread::sleep(IDLE_PERIOD);
    let idle_end = sample_usage(daemon_id).ok_or_else(daemon_exited)?;
    let cache = AddressCache::new("bench-1", fleet.daemons.clone());
    let direct_kind = RouteKind::Engines(fleet.engines.clone());
    let direct_route = Arc::new(Route::new("direct", direct_kind));
    let daemon_route = Arc::new(Route::new("daemon", RouteKind::Daemons(vec![cache])));
    let samples = Arc::new(Mutex::new(Vec::new()));
    let sample_at = |at: Duration| -> (Duration, ScheduledAction) {
        let (samples, route) = (Arc::clone(&samples), Arc::clone(&daemon_route));
        let action = move || {
            if let Some(sample) = sample_load(daemon_id, &route) {
                let mut samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
                samples.push(sample);
            }
        };
        (at, Box::new(action))
    };
    let records = build_runtime()?.block_on(run_workload(RunOptions {
        workload: workload.clone(),
        seed,
        routes: vec![direct_route, Arc::clone(&daemon_route)],
        engines: Vec::new(),
        scheduled_actions: vec![sample_at(workload.warmup()), sample_at(workload.duration())],
    }));
    let samples = samples.lock().unwrap_or_else(PoisonError::into_inner);
    let [first, last] = samples.as_slice() else {
        return Err(daemon_exited());
    };
    let routes = [0, 1].map(|route_index| route_result(workload, &records, route_index));
    Ok(level_result(
        level,
        routes,
        (&idle_start, &idle_end),
        (first, last),
    ))
}

fn sample_load(daemon_id: u32, route: &Route) -> Option<LoadSample> {
    Some(LoadSample {
        daemon: sample_usage(daemon_id)?,
        tool: sample_usage(std::process::id())?,
        tokens: route.tokens.load(Ordering::Relaxed),
        open_streams: route.open_streams.load(Ordering::Relaxed),
    })
}

fn route_result(workload: &Workload, records: &[RequestRecord], route_index: usize) -> RouteResult {
    let route_records: Vec<&RequestRecord> = records
        .iter()
        .filter(|r| r.route_index == route_index)
        .collect();
    RouteResult::new(&summarize_group(workload, &route_records))
}

#[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
fn level_result(
    level: &LoadLevel,
    [direct, daemon]: [RouteResult; 2],
    idle: (&ProcessUsage, &ProcessUsage),
    (first, last): (&LoadSample, &LoadSample),
) -> LevelResult {
    let seconds = last
        .daemon
        .taken_at
        .saturating_duration_since(first.daemon.taken_at)
        .as_secs_f64();
    let cores = cores_used(&first.daemon, &last.daemon);
    let idle_cores = cores_used(idle.0, idle.1);
    let tokens_per_second = (last.tokens - first.tokens) as f64 / seconds;
    let loaded_kib = last.daemon.resident_kib;
    let idle_kib = idle.1.resident_kib;
    LevelResult {
        planned_streams: level.streams,
        open_streams: (first.open_streams + last.open_streams) as f64 / 2.0,
        tokens_per_second,
        added_between_p99_ms: daemon.between_tokens_ms.p99 - direct.between_tokens_ms.p99,
        added_first_p99_ms: daemon.first_token_ms.p99 - direct.first_token_ms.p99,
        direct,
        daemon,
        cores,
        idle_cores,
        processor_ms_per_1000_tokens: (cores - idle_cores) * 1e6 / tokens_per_second,
        idle_kib,
        loaded_kib,
        stream_kib: loaded_kib.saturating_sub(idle_kib) as f64 / last.open_streams.max(1) as f64,
        tool_cores: cores_used(&first.tool, &last.tool),
    }
}

impl fmt::Display for LevelResult {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{} streams planned, {:.0} open, {:.0} tokens/s through the daemon",
            self.planned_streams, self.open_streams, self.tokens_per_second
        )?;
        writeln!(
            f,
            "{:<24} {:>9} {:>9} {:>9} {:>9}",
            "ms", "p50", "p95", "p99", "count"
        )?;
        let rows = [
            ("first token, direct", &self.direct.first_token_ms),
            ("first token, daemon", &self.daemon.first_token_ms),
            ("between tokens, direct", &self.direct.between_tokens_ms),
            ("between tokens, daemon", &self.daemon.between_tokens_ms),
        ];
        for (name, percentiles) in rows {
            writeln!(f, "{name:<24} {percentiles}")?;
        }
        for (name, route) in [("direct", &self.direct), ("daemon", &self.daemon)] {
            let (completed, others) = (route.completed, route.others);
            let violations = route.violations;
            writeln!(
                f,
                "{name}: completed {completed}, others {others}, violations {violations}"
            )?;
        }
        let verdict = |value: f64, goal: f64| if value <= goal { "reached" } else { "missed" };
        writeln!(
            f,
            "added between tokens p99 {:.2} ms (goal {GOAL_ADDED_LATENCY_MS}, {}), first token p99 {:.2} ms",
            self.added_between_p99_ms,
            verdict(self.added_between_p99_ms, GOAL_ADDED_LATENCY_MS),
            self.added_first_p99_ms
        )?;
        writeln!(
            f,
            "daemon {:.3} cores (goal {GOAL_CPU_CORES}, {}), idle {:.3}; {:.2} ms per 1,000 tokens; tool {:.2} cores",
            self.cores,
            verdict(self.cores, GOAL_CPU_CORES),
            self.idle_cores,
            self.processor_ms_per_1000_tokens,
            self.tool_cores
        )?;
        writeln!(
            f,
            "daemon memory {} KiB idle, {} KiB loaded, {:.1} KiB per stream (goal {GOAL_MEMORY_PER_STREAM_KIB}, {})",
            self.idle_kib,
            self.loaded_kib,
            self.stream_kib,
            verdict(self.stream_kib, GOAL_MEMORY_PER_STREAM_KIB)
        )
    }
}
