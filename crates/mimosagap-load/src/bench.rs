//! What the daemon adds: the same load directly and through one daemon, interleaved in one run.

use std::collections::BTreeMap;
use std::fmt;
use std::fs;
use std::path::PathBuf;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::caller::RequestRecord;
use crate::command::{CommandError, finish, runtime};
use crate::fleet::{Fleet, FleetOptions};
use crate::process::end_children_on_signal;
use crate::route::{AddressBook, Route, RouteKind};
use crate::run::{Probe, RunOptions, run};
use crate::summary::{GroupSummary, Percentiles, summarize_group};
use crate::usage::{UsageReading, cores_between, read_usage};
use crate::workload::{Arrivals, ClassMix, FleetShape, LengthDistribution, Site, Workload};

/// Open streams through the daemon, and the engines' step time in milliseconds. 340 streams at
/// 30 ms are one daemon's share of the peak in two years; the steps at 1000 streams are longer so
/// that the token rate stays near that.
const DEFAULT_LEVELS: &str = "10:30,100:30,340:30,1000:100";

/// How long one answer takes. 38 answers of this length a second keep 340 streams open.
const ANSWER_SECONDS: f64 = 8.9;

const PROMPT_TOKENS: u32 = 200;

const ENGINES: usize = 6;

const WARMUP_SECONDS: f64 = 11.0;

const IDLE: Duration = Duration::from_secs(3);

/// Goals: 99th percentile of the time added between tokens, cores, and memory for each stream.
const GOAL_ADDED_MS: f64 = 1.0;
const GOAL_CORES: f64 = 0.25;
const GOAL_STREAM_KIB: f64 = 100.0;

/// The figures of one route.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct RouteFigures {
    /// To the first token.
    pub first_token_ms: Percentiles,
    /// Between tokens.
    pub between_tokens_ms: Percentiles,
    /// Requests whose whole answer came.
    pub completed: u64,
    /// Requests that ended otherwise.
    pub others: u64,
    /// Broken promises.
    pub violations: u64,
}

impl RouteFigures {
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

/// The figures of one level.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct LevelFigures {
    /// Streams that the load is laid out for.
    pub planned_streams: u64,
    /// Streams open through the daemon, the mean of both ends of the measured time.
    pub open_streams: f64,
    /// Tokens per second through the daemon.
    pub tokens_per_second: f64,
    /// Directly to the engines.
    pub direct: RouteFigures,
    /// Through the daemon.
    pub daemon: RouteFigures,
    /// Added to the 99th percentile between tokens.
    pub added_between_p99_ms: f64,
    /// Added to the 99th percentile of the first token.
    pub added_first_p99_ms: f64,
    /// Cores that the daemon used.
    pub cores: f64,
    /// Cores that it used without load.
    pub idle_cores: f64,
    /// Processor milliseconds for 1,000 tokens, without the idle part.
    pub processor_ms_per_1000_tokens: f64,
    /// Resident memory without load.
    pub idle_kib: u64,
    /// Resident memory at the end of the measured time.
    pub loaded_kib: u64,
    /// The difference for each open stream.
    pub stream_kib: f64,
    /// Cores that this tool used.
    pub tool_cores: f64,
}

struct Level {
    streams: u64,
    step_ms: u64,
}

struct Reading {
    daemon: UsageReading,
    tool: UsageReading,
    tokens: u64,
    open: u64,
}

/// Carries out `bench`.
///
/// # Errors
/// A wrong command line, or processes that do not start.
pub fn bench_command(mut arguments: pico_args::Arguments) -> Result<(), CommandError> {
    let binaries: PathBuf = arguments.value_from_str("--binaries")?;
    let directory: PathBuf = arguments.value_from_str("--out")?;
    let seconds: f64 = arguments.opt_value_from_str("--seconds")?.unwrap_or(12.0);
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let levels: Option<String> = arguments.opt_value_from_str("--levels")?;
    finish(arguments)?;
    fs::create_dir_all(&directory)?;
    end_children_on_signal()?;
    let mut figures = Vec::new();
    for level in parse_levels(levels.as_deref().unwrap_or(DEFAULT_LEVELS))? {
        let workload = workload(&level, seconds);
        let fleet = Fleet::start(&FleetOptions {
            binaries: &binaries,
            directory: directory.join(format!("level-{}", level.streams)),
            workload: &workload,
            policy: Some("forecast"),
            seed,
            slot: 0,
        })?;
        let result = measure(&workload, &level, &fleet, seed)?;
        println!("{result}");
        figures.push(result);
    }
    let text = serde_json::to_string_pretty(&figures).map_err(std::io::Error::from)?;
    Ok(fs::write(directory.join("bench.json"), text)?)
}

fn parse_levels(text: &str) -> Result<Vec<Level>, CommandError> {
    text.split(',')
        .map(|entry| {
            let parts = entry.split_once(':');
            let level = parts.and_then(|(streams, step)| {
                let (streams, step_ms) = (streams.parse().ok()?, step.parse().ok()?);
                (streams > 0 && step_ms > 0).then_some(Level { streams, step_ms })
            });
            level.ok_or_else(|| {
                CommandError::Arguments(format!("level \"{entry}\" is not like 340:30"))
            })
        })
        .collect()
}

#[allow(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    clippy::cast_precision_loss
)]
fn workload(level: &Level, seconds: f64) -> Workload {
    let site = Site {
        zone: "bench-1".to_owned(),
        region: "bench".to_owned(),
    };
    let tokens = ANSWER_SECONDS * 1_000.0 / level.step_ms as f64;
    Workload {
        name: format!("bench-{}", level.streams),
        seconds: WARMUP_SECONDS + seconds,
        warmup_seconds: WARMUP_SECONDS,
        drain_seconds: 15.0,
        arrivals: Arrivals {
            // Both routes carry the level's streams.
            requests_per_second: 2.0 * level.streams as f64 / ANSWER_SECONDS,
            bursts: None,
        },
        classes: vec![ClassMix {
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
        fleet: FleetShape {
            engines: vec![site.clone(); ENGINES],
            daemons: vec![site],
            memory_tokens: 10_000_000,
            step_ms: level.step_ms,
            stream_us: 0,
            prefill_us: 0,
            max_streams: 4_096,
            rules: Vec::new(),
        },
    }
}

fn measure(
    workload: &Workload,
    level: &Level,
    fleet: &Fleet,
    seed: u64,
) -> Result<LevelFigures, CommandError> {
    let id = *fleet
        .daemon_ids
        .first()
        .ok_or_else(|| CommandError::Setup("no daemon was started".to_owned()))?;
    let ended = || CommandError::Setup("the daemon ended during the bench".to_owned());
    let idle_start = read_usage(id).ok_or_else(ended)?;
    std::thread::sleep(IDLE);
    let idle_end = read_usage(id).ok_or_else(ended)?;
    let book = AddressBook::new("bench-1", fleet.daemons.clone());
    let direct = RouteKind::Engines(fleet.engines.clone());
    let direct = Arc::new(Route::new("direct", direct));
    let daemon = Arc::new(Route::new("daemon", RouteKind::Daemons(vec![book])));
    let readings = Arc::new(Mutex::new(Vec::new()));
    let probe = |at: Duration| -> (Duration, Probe) {
        let (readings, route) = (Arc::clone(&readings), Arc::clone(&daemon));
        let take = move || {
            if let Some(reading) = read(id, &route) {
                let mut list = readings.lock().unwrap_or_else(PoisonError::into_inner);
                list.push(reading);
            }
        };
        (at, Box::new(take))
    };
    let records = runtime()?.block_on(run(RunOptions {
        workload: workload.clone(),
        seed,
        routes: vec![direct, Arc::clone(&daemon)],
        engines: Vec::new(),
        probes: vec![probe(workload.warmup()), probe(workload.duration())],
    }));
    let readings = readings.lock().unwrap_or_else(PoisonError::into_inner);
    let [first, last] = readings.as_slice() else {
        return Err(ended());
    };
    let routes = [0, 1].map(|route| route_figures(workload, &records, route));
    Ok(level_figures(
        level,
        routes,
        (&idle_start, &idle_end),
        (first, last),
    ))
}

fn read(id: u32, route: &Route) -> Option<Reading> {
    Some(Reading {
        daemon: read_usage(id)?,
        tool: read_usage(std::process::id())?,
        tokens: route.tokens.load(Ordering::Relaxed),
        open: route.open.load(Ordering::Relaxed),
    })
}

fn route_figures(workload: &Workload, records: &[RequestRecord], route: usize) -> RouteFigures {
    let part: Vec<&RequestRecord> = records.iter().filter(|r| r.route == route).collect();
    RouteFigures::new(&summarize_group(workload, &part))
}

#[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
fn level_figures(
    level: &Level,
    [direct, daemon]: [RouteFigures; 2],
    idle: (&UsageReading, &UsageReading),
    (first, last): (&Reading, &Reading),
) -> LevelFigures {
    let seconds = last
        .daemon
        .at
        .saturating_duration_since(first.daemon.at)
        .as_secs_f64();
    let cores = cores_between(&first.daemon, &last.daemon);
    let idle_cores = cores_between(idle.0, idle.1);
    let tokens_per_second = (last.tokens - first.tokens) as f64 / seconds;
    let loaded_kib = last.daemon.resident_kib;
    let idle_kib = idle.1.resident_kib;
    LevelFigures {
        planned_streams: level.streams,
        open_streams: (first.open + last.open) as f64 / 2.0,
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
        stream_kib: loaded_kib.saturating_sub(idle_kib) as f64 / last.open.max(1) as f64,
        tool_cores: cores_between(&first.tool, &last.tool),
    }
}

impl fmt::Display for LevelFigures {
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
        let goal = |value: f64, goal: f64| if value <= goal { "reached" } else { "missed" };
        writeln!(
            f,
            "added between tokens p99 {:.2} ms (goal {GOAL_ADDED_MS}, {}), first token p99 {:.2} ms",
            self.added_between_p99_ms,
            goal(self.added_between_p99_ms, GOAL_ADDED_MS),
            self.added_first_p99_ms
        )?;
        writeln!(
            f,
            "daemon {:.3} cores (goal {GOAL_CORES}, {}), idle {:.3}; {:.2} ms per 1,000 tokens; tool {:.2} cores",
            self.cores,
            goal(self.cores, GOAL_CORES),
            self.idle_cores,
            self.processor_ms_per_1000_tokens,
            self.tool_cores
        )?;
        writeln!(
            f,
            "daemon memory {} KiB idle, {} KiB loaded, {:.1} KiB per stream (goal {GOAL_STREAM_KIB}, {})",
            self.idle_kib,
            self.loaded_kib,
            self.stream_kib,
            goal(self.stream_kib, GOAL_STREAM_KIB)
        )
    }
}
