//! One workload against several route policies, over several seeds.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::command::{CommandError, address_books, finish, runtime};
use crate::engines::{self, EngineStatistics, FleetFigures, fetch_statistics};
use crate::fleet::{Fleet, FleetOptions, SLOTS};
use crate::plot;
use crate::process::end_children_on_signal;
use crate::route::{Route, RouteKind};
use crate::run::{Probe, RunOptions, run};
use crate::summary::{RunSummary, refused_as_not_run, summarize};
use crate::workload::Workload;

/// Without daemons: the tool sends to the engines in turn.
const DIRECT: &str = "direct";

/// How long before its end a reclaimed engine is asked for its statistics.
const RECLAIM_MARGIN: Duration = Duration::from_millis(300);

const DEFAULT_POLICIES: &str = "forecast,round-robin,least-outstanding,two-choices";

/// One run of an experiment.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ExperimentRun {
    /// The policy.
    pub policy: String,
    /// The variant of the workload, if any.
    pub variant: Option<String>,
    /// The figures.
    pub summary: RunSummary,
}

/// All runs with one workload and variant.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct ExperimentResults {
    /// The runs.
    pub runs: Vec<ExperimentRun>,
}

/// A figure over the seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SeedSpread {
    /// The mean.
    pub mean: f64,
    /// The least.
    pub min: f64,
    /// The greatest.
    pub max: f64,
}

impl SeedSpread {
    /// The spread of values; `None` without any.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // A few dozen values.
    pub fn new(values: &[f64]) -> Option<Self> {
        if values.is_empty() {
            return None;
        }
        Some(Self {
            mean: values.iter().sum::<f64>() / values.len() as f64,
            min: values.iter().copied().fold(f64::INFINITY, f64::min),
            max: values.iter().copied().fold(f64::NEG_INFINITY, f64::max),
        })
    }
}

/// A figure of a run with its name in tables.
pub type Figure = (&'static str, fn(&RunSummary) -> f64);

/// The figures of the table.
pub const FIGURES: [Figure; 22] = [
    ("preemptions", |run| engine(run, |e| count(e.preemptions))),
    ("recomputed tokens", |run| {
        engine(run, |e| count(e.recomputed_tokens))
    }),
    ("memory mean, %", |run| {
        engine(run, |e| e.memory_mean * 100.0)
    }),
    ("memory peak, %", |run| {
        engine(run, |e| e.memory_peak * 100.0)
    }),
    ("first token p50, ms", |run| run.total.first_token_ms.p50),
    ("first token p95, ms", |run| run.total.first_token_ms.p95),
    ("first token p99, ms", |run| run.total.first_token_ms.p99),
    ("between tokens p50, ms", |run| {
        run.total.between_tokens_ms.p50
    }),
    ("between tokens p95, ms", |run| {
        run.total.between_tokens_ms.p95
    }),
    ("between tokens p99, ms", |run| {
        run.total.between_tokens_ms.p99
    }),
    ("stall per stream p50, ms", |run| {
        run.total.stall_per_stream_ms.p50
    }),
    ("stall per stream p95, ms", |run| {
        run.total.stall_per_stream_ms.p95
    }),
    ("stall per stream p99, ms", |run| {
        run.total.stall_per_stream_ms.p99
    }),
    ("gaps over 250 ms", |run| count(run.total.stalls)),
    ("goodput, tokens/s", |run| run.total.goodput),
    ("completed", |run| count(run.total.completed)),
    ("refused", |run| count(run.total.refused.values().sum())),
    ("broken or unfinished", |run| {
        count(run.total.unfinished + run.total.broken.values().sum::<u64>())
    }),
    ("violations", |run| count(run.total.violations)),
    ("started again", |run| {
        engine(run, |e| count(e.started_again))
    }),
    ("not run but started", |run| {
        engine(run, |e| count(e.not_run_but_started))
    }),
    ("last start after leave, ms", |run| {
        engine(run, |e| count(e.last_start_after_leave_ms))
    }),
];

fn engine(run: &RunSummary, figure: fn(&FleetFigures) -> f64) -> f64 {
    run.engines.as_ref().map_or(0.0, figure)
}

#[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
fn count(value: u64) -> f64 {
    value as f64
}

impl ExperimentResults {
    /// The results in a file; none if it does not exist.
    ///
    /// # Errors
    /// The file is not one of results.
    pub fn read(path: &Path) -> Result<Self, CommandError> {
        match fs::read_to_string(path) {
            Ok(text) => serde_json::from_str(&text).map_err(|error| {
                let path = path.display();
                CommandError::Setup(format!("{path}: {error}; move the file away"))
            }),
            Err(_) => Ok(Self::default()),
        }
    }

    /// Adds a run in place of an earlier one with the same policy, variant and seed.
    pub fn add(&mut self, run: ExperimentRun) {
        self.runs.retain(|old| {
            (&old.policy, &old.variant, old.summary.seed)
                != (&run.policy, &run.variant, run.summary.seed)
        });
        self.runs.push(run);
    }

    /// The spread of a figure over the seeds, by policy.
    #[must_use]
    pub fn spread(&self, figure: fn(&RunSummary) -> f64) -> BTreeMap<&str, SeedSpread> {
        let mut values: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for run in &self.runs {
            let list = values.entry(&run.policy).or_default();
            list.push(figure(&run.summary));
        }
        values
            .into_iter()
            .filter_map(|(policy, list)| Some((policy, SeedSpread::new(&list)?)))
            .collect()
    }

    /// A table in Markdown: mean, least and greatest value over the seeds.
    #[must_use]
    pub fn table(&self) -> String {
        let policies: Vec<&str> = self.spread(|_| 0.0).into_keys().collect();
        let mut text = String::new();
        let _ = writeln!(text, "| figure | {} |", policies.join(" | "));
        let _ = writeln!(text, "|---|{}", "---|".repeat(policies.len()));
        for (name, figure) in FIGURES {
            let spread = self.spread(figure);
            let cells: Vec<String> = policies
                .iter()
                .filter_map(|policy| spread.get(policy))
                .map(|s| format!("{:.1} ({:.1}–{:.1})", s.mean, s.min, s.max))
                .collect();
            let _ = writeln!(text, "| {name} | {} |", cells.join(" | "));
        }
        text
    }
}

struct ExperimentOptions {
    workload: Workload,
    variant: Option<String>,
    binaries: PathBuf,
    directory: PathBuf,
}

/// Carries out `experiment`.
///
/// # Errors
/// A wrong command line, or processes that do not start.
pub fn experiment_command(mut arguments: pico_args::Arguments) -> Result<(), CommandError> {
    let path: PathBuf = arguments.value_from_str("--workload")?;
    let variant: Option<String> = arguments.opt_value_from_str("--variant")?;
    let policies: Option<String> = arguments.opt_value_from_str("--policies")?;
    let seeds: Option<String> = arguments.opt_value_from_str("--seeds")?;
    let in_turn = arguments.contains("--in-turn");
    let binaries: PathBuf = arguments.value_from_str("--binaries")?;
    let directory: PathBuf = arguments.value_from_str("--out")?;
    finish(arguments)?;
    let options = ExperimentOptions {
        workload: Workload::read(&path, variant.as_deref())?,
        variant,
        binaries,
        directory,
    };
    end_children_on_signal()?;
    fs::create_dir_all(&options.directory)?;
    let results_path = options.directory.join("results.json");
    let mut results = ExperimentResults::read(&results_path)?;
    let policies: Vec<&str> = policies
        .as_deref()
        .unwrap_or(DEFAULT_POLICIES)
        .split(',')
        .collect();
    if policies.len() > SLOTS as usize {
        return Err(CommandError::Arguments(format!("at most {SLOTS} policies")));
    }
    for seed in parse_seeds(seeds.as_deref().unwrap_or("1,2,3,4,5"))? {
        let summaries = if in_turn {
            policies
                .iter()
                .map(|policy| run_once(&options, policy, seed, 0))
                .collect()
        } else {
            run_side_by_side(&options, &policies, seed)
        };
        for (policy, summary) in policies.iter().zip(summaries) {
            let summary = summary?;
            println!("policy {policy}, {summary}\n");
            results.add(ExperimentRun {
                policy: (*policy).to_owned(),
                variant: options.variant.clone(),
                summary,
            });
        }
        let text = serde_json::to_string_pretty(&results).map_err(std::io::Error::from)?;
        fs::write(&results_path, text)?;
    }
    let table = results.table();
    fs::write(options.directory.join("table.md"), &table)?;
    println!("{table}");
    plot::draw(&results, &options.directory.join("figures.svg"))
}

fn parse_seeds(text: &str) -> Result<Vec<u64>, CommandError> {
    text.split(',')
        .map(|seed| {
            let cause = || CommandError::Arguments(format!("seed \"{seed}\" is not a number"));
            seed.parse().map_err(|_| cause())
        })
        .collect()
}

/// Runs all policies at the same time, so that what else the machine does hits them alike.
fn run_side_by_side(
    options: &ExperimentOptions,
    policies: &[&str],
    seed: u64,
) -> Vec<Result<RunSummary, CommandError>> {
    thread::scope(|scope| {
        let threads: Vec<_> = (0..)
            .zip(policies)
            .map(|(slot, policy)| scope.spawn(move || run_once(options, policy, seed, slot)))
            .collect();
        let join = |thread: thread::ScopedJoinHandle<'_, _>| {
            let failed = || Err(CommandError::Setup("a run panicked; see above".to_owned()));
            thread.join().unwrap_or_else(|_| failed())
        };
        threads.into_iter().map(join).collect()
    })
}

fn run_once(
    options: &ExperimentOptions,
    policy: &str,
    seed: u64,
    slot: u32,
) -> Result<RunSummary, CommandError> {
    let workload = &options.workload;
    let fleet = Fleet::start(&FleetOptions {
        binaries: &options.binaries,
        directory: options.directory.join(format!("{policy}-{seed}")),
        workload,
        policy: (policy != DIRECT).then_some(policy),
        seed,
        slot,
    })?;
    let kind = if fleet.daemons.is_empty() {
        RouteKind::Engines(fleet.engines.clone())
    } else {
        RouteKind::Daemons(address_books(workload, &fleet.daemons))
    };
    let readings: Readings = Arc::default();
    let mut probes = leaving_probes(workload, &fleet);
    for at in [workload.warmup(), workload.duration()] {
        let (readings, engines) = (Arc::clone(&readings), fleet.engines.clone());
        let read = move || lock(&readings).push(fetch_statistics(&engines));
        probes.push((at, Box::new(read)));
    }
    let last_words: Readings = Arc::default();
    for at in reclaim_times(workload) {
        let (readings, engines) = (Arc::clone(&last_words), fleet.engines.clone());
        let read = move || lock(&readings).push(fetch_statistics(&engines));
        probes.push((at, Box::new(read)));
    }
    let records = runtime()?.block_on(run(RunOptions {
        workload: workload.clone(),
        seed,
        routes: vec![Arc::new(Route::new(policy, kind))],
        engines: fleet.engines.clone(),
        probes,
    }));
    let refused = refused_as_not_run(seed, &records);
    let mut statistics = fetch_statistics(&fleet.engines);
    for earlier in lock(&last_words).drain(..).rev() {
        for (now, earlier) in statistics.iter_mut().zip(earlier) {
            *now = now.take().or(earlier);
        }
    }
    let mut figures = FleetFigures::new(&statistics, seed, &refused);
    if let [first, last] = lock(&readings).as_slice() {
        figures.set_memory_mean(first, last);
    }
    Ok(summarize(workload, seed, &records, Some(figures)))
}

/// Statistics of all engines at several times.
type Readings = Arc<Mutex<Vec<Vec<Option<EngineStatistics>>>>>;

fn lock(readings: &Readings) -> MutexGuard<'_, Vec<Vec<Option<EngineStatistics>>>> {
    readings.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Shortly before engines are reclaimed, after which they cannot be asked any more.
fn reclaim_times(workload: &Workload) -> Vec<Duration> {
    let faults = engines::schedule(
        &workload.faults,
        workload.fleet.engines.len(),
        workload.duration(),
    );
    let reclaims = faults.iter().filter_map(|fault| {
        let delay = fault.body["exit_after_ms"].as_u64()?;
        Some(fault.at + Duration::from_millis(delay).saturating_sub(RECLAIM_MARGIN))
    });
    reclaims.collect()
}

/// The host list shows an engine as leaving from the time when it is told to leave.
fn leaving_probes(workload: &Workload, fleet: &Fleet) -> Vec<(Duration, Probe)> {
    let faults = engines::schedule(&workload.faults, fleet.engines.len(), workload.duration());
    let mut leaving = Vec::new();
    let mut probes: Vec<(Duration, Probe)> = Vec::new();
    for fault in faults.into_iter().filter(|f| f.control == "leave") {
        leaving.extend(fault.engines);
        let list = fleet.host_lister();
        let leaving = leaving.clone();
        probes.push((fault.at, Box::new(move || list(&leaving))));
    }
    probes
}
