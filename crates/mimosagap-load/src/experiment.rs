//! Experiments: runs one workload with several route policies and seeds and compares the results.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::fs;
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::command::{CommandError, address_caches, build_runtime, reject_unknown_arguments};
use crate::engines::{self, EngineStatistics, FleetStatistics, fetch_statistics};
use crate::fleet::{Fleet, FleetOptions, MAX_FLEETS};
use crate::plot;
use crate::process::kill_children_on_signal;
use crate::route::{Route, RouteKind};
use crate::run::{RunOptions, ScheduledAction, run_workload};
use crate::summary::{RunSummary, requests_refused_not_run, summarize};
use crate::workload::Workload;

/// Policy name for runs without daemons, in which the tool sends to the engines in turn.
const DIRECT_POLICY: &str = "direct";

/// Time before the exit of a reclaimed engine at which its statistics are fetched.
const RECLAIM_MARGIN: Duration = Duration::from_millis(300);

const DEFAULT_POLICIES: &str = "forecast,round-robin,least-outstanding,two-choices";

/// One run of an experiment.
#[derive(Debug, Clone)]
#[derive(Serialize, Deserialize)]
pub struct ExperimentRun {
    /// Route policy, or `direct` for a run without daemons.
    pub policy: String,
    /// Variant of the workload; `None` for the plain workload.
    pub variant: Option<String>,
    /// Results of the run.
    pub summary: RunSummary,
}

/// Runs of one workload, as stored in `results.json`.
#[derive(Debug, Clone, Default)]
#[derive(Serialize, Deserialize)]
pub struct ExperimentResults {
    /// Runs in the order in which they were added.
    pub runs: Vec<ExperimentRun>,
}

/// Mean and range of a metric over the seeds.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SeedSpread {
    /// Mean of the values of all seeds.
    pub mean: f64,
    /// Lowest value of any seed.
    pub min: f64,
    /// Highest value of any seed.
    pub max: f64,
}

impl SeedSpread {
    /// Computes the spread of the values; `None` if there are none.
    #[must_use]
    #[allow(clippy::cast_precision_loss)] // The number of seeds is far below 2^52.
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

/// A metric of a run: its name in tables and plots, and the function that reads it.
pub type Metric = (&'static str, fn(&RunSummary) -> f64);

/// Metrics of the results table, in its row order.
pub const METRICS: [Metric; 22] = [
    ("preemptions", |run| {
        fleet_metric(run, |statistics| to_f64(statistics.preemptions))
    }),
    ("recomputed tokens", |run| {
        fleet_metric(run, |statistics| to_f64(statistics.recomputed_tokens))
    }),
    ("memory mean, %", |run| {
        fleet_metric(run, |statistics| statistics.memory_mean * 100.0)
    }),
    ("memory peak, %", |run| {
        fleet_metric(run, |statistics| statistics.memory_peak * 100.0)
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
    ("gaps over 250 ms", |run| to_f64(run.total.stalls)),
    ("goodput, tokens/s", |run| run.total.goodput),
    ("completed", |run| to_f64(run.total.completed)),
    ("refused", |run| to_f64(run.total.refused.values().sum())),
    ("broken or unfinished", |run| {
        to_f64(run.total.unfinished + run.total.broken.values().sum::<u64>())
    }),
    ("violations", |run| to_f64(run.total.violations)),
    ("started again", |run| {
        fleet_metric(run, |statistics| to_f64(statistics.started_again))
    }),
    ("not run but started", |run| {
        fleet_metric(run, |statistics| to_f64(statistics.not_run_but_started))
    }),
    ("last start after leave, ms", |run| {
        fleet_metric(run, |statistics| {
            to_f64(statistics.last_start_after_leave_ms)
        })
    }),
];

fn fleet_metric(run: &RunSummary, metric: fn(&FleetStatistics) -> f64) -> f64 {
    run.engines.as_ref().map_or(0.0, metric)
}

#[allow(clippy::cast_precision_loss)] // Counts are far below 2^52.
fn to_f64(value: u64) -> f64 {
    value as f64
}

impl ExperimentResults {
    /// Reads the results from a file; empty results if it does not exist.
    ///
    /// # Errors
    /// The file cannot be read or does not hold results.
    pub fn read(path: &Path) -> Result<Self, CommandError> {
        match fs::read_to_string(path) {
            Ok(text) => serde_json::from_str(&text).map_err(|error| {
                let path = path.display();
                CommandError::Setup(format!(
                    "{path} does not hold results: {error}; move the file away"
                ))
            }),
            Err(error) if error.kind() == std::io::ErrorKind::NotFound => Ok(Self::default()),
            Err(error) => Err(CommandError::Setup(format!(
                "{} cannot be read: {error}; the results in it would be lost",
                path.display()
            ))),
        }
    }

    /// Adds a run, and removes an earlier one with the same policy, variant and seed.
    pub fn add(&mut self, run: ExperimentRun) {
        self.runs.retain(|earlier| {
            (&earlier.policy, &earlier.variant, earlier.summary.seed)
                != (&run.policy, &run.variant, run.summary.seed)
        });
        self.runs.push(run);
    }

    /// Computes the spread of a metric over the seeds, by policy.
    #[must_use]
    pub fn spread(&self, metric: fn(&RunSummary) -> f64) -> BTreeMap<&str, SeedSpread> {
        let mut values_by_policy: BTreeMap<&str, Vec<f64>> = BTreeMap::new();
        for run in &self.runs {
            let values = values_by_policy.entry(&run.policy).or_default();
            values.push(metric(&run.summary));
        }
        values_by_policy
            .into_iter()
            .filter_map(|(policy, values)| Some((policy, SeedSpread::new(&values)?)))
            .collect()
    }

    /// Formats a Markdown table with the mean and the range of each metric over the seeds.
    #[must_use]
    pub fn table(&self) -> String {
        let policies: Vec<&str> = self.spread(|_| 0.0).into_keys().collect();
        let mut text = String::new();
        let _ = writeln!(text, "| figure | {} |", policies.join(" | "));
        let _ = writeln!(text, "|---|{}", "---|".repeat(policies.len()));
        for (name, metric) in METRICS {
            let spread = self.spread(metric);
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

/// Runs the `experiment` subcommand.
///
/// # Errors
/// The arguments are invalid, or a process of the fleet does not start.
pub fn run_experiment(mut arguments: pico_args::Arguments) -> Result<(), CommandError> {
    let path: PathBuf = arguments.value_from_str("--workload")?;
    let variant: Option<String> = arguments.opt_value_from_str("--variant")?;
    let policies: Option<String> = arguments.opt_value_from_str("--policies")?;
    let seeds: Option<String> = arguments.opt_value_from_str("--seeds")?;
    let sequential = arguments.contains("--in-turn");
    let binaries: PathBuf = arguments.value_from_str("--binaries")?;
    let directory: PathBuf = arguments.value_from_str("--out")?;
    reject_unknown_arguments(arguments)?;
    let options = ExperimentOptions {
        workload: Workload::read(&path, variant.as_deref())?,
        variant,
        binaries,
        directory,
    };
    kill_children_on_signal()?;
    fs::create_dir_all(&options.directory)?;
    let results_path = options.directory.join("results.json");
    let mut results = ExperimentResults::read(&results_path)?;
    let policies: Vec<&str> = policies
        .as_deref()
        .unwrap_or(DEFAULT_POLICIES)
        .split(',')
        .collect();
    if policies.len() > MAX_FLEETS as usize {
        return Err(CommandError::Arguments(format!(
            "at most {MAX_FLEETS} policies; split the list over several invocations"
        )));
    }
    for seed in parse_seeds(seeds.as_deref().unwrap_or("1,2,3,4,5"))? {
        let summaries = if sequential {
            policies
                .iter()
                .map(|policy| run_policy(&options, policy, seed, 0))
                .collect()
        } else {
            run_policies_concurrently(&options, &policies, seed)
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
    plot::draw_charts(&results, &options.directory.join("figures.svg"))
}

fn parse_seeds(text: &str) -> Result<Vec<u64>, CommandError> {
    text.split(',')
        .map(|seed| {
            let invalid_seed =
                || CommandError::Arguments(format!("seed \"{seed}\" is not a number"));
            seed.parse().map_err(|_| invalid_seed())
        })
        .collect()
}

/// Runs all policies at the same time, so that other load of the machine affects them equally.
fn run_policies_concurrently(
    options: &ExperimentOptions,
    policies: &[&str],
    seed: u64,
) -> Vec<Result<RunSummary, CommandError>> {
    thread::scope(|scope| {
        let threads: Vec<_> = (0..)
            .zip(policies)
            .map(|(slot, policy)| scope.spawn(move || run_policy(options, policy, seed, slot)))
            .collect();
        let join = |thread: thread::ScopedJoinHandle<'_, _>| {
            let panicked = || {
                Err(CommandError::Setup(
                    "a run panicked; see its message above".to_owned(),
                ))
            };
            thread.join().unwrap_or_else(|_| panicked())
        };
        threads.into_iter().map(join).collect()
    })
}

fn run_policy(
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
        policy: (policy != DIRECT_POLICY).then_some(policy),
        seed,
        slot,
    })?;
    let kind = if fleet.daemons.is_empty() {
        RouteKind::Engines(fleet.engines.clone())
    } else {
        RouteKind::Daemons(address_caches(workload, &fleet.daemons))
    };
    let samples: StatisticsSamples = Arc::default();
    let mut scheduled_actions = host_list_updates(workload, &fleet);
    for at in [workload.warmup(), workload.duration()] {
        let (samples, engines) = (Arc::clone(&samples), fleet.engines.clone());
        let action = move || lock_samples(&samples).push(fetch_statistics(&engines));
        scheduled_actions.push((at, Box::new(action)));
    }
    let pre_reclaim_samples: StatisticsSamples = Arc::default();
    for at in pre_reclaim_times(workload) {
        let (samples, engines) = (Arc::clone(&pre_reclaim_samples), fleet.engines.clone());
        let action = move || lock_samples(&samples).push(fetch_statistics(&engines));
        scheduled_actions.push((at, Box::new(action)));
    }
    let records = build_runtime()?.block_on(run_workload(RunOptions {
        workload: workload.clone(),
        seed,
        routes: vec![Arc::new(Route::new(policy, kind))],
        engines: fleet.engines.clone(),
        scheduled_actions,
    }));
    let refused_requests = requests_refused_not_run(seed, &records);
    let mut statistics = fetch_statistics(&fleet.engines);
    for earlier_sample in lock_samples(&pre_reclaim_samples).drain(..).rev() {
        for (final_statistics, earlier_statistics) in statistics.iter_mut().zip(earlier_sample) {
            *final_statistics = final_statistics.take().or(earlier_statistics);
        }
    }
    let mut totals = FleetStatistics::new(&statistics, seed, &refused_requests);
    if let [first, last] = lock_samples(&samples).as_slice() {
        totals.set_mean_memory(first, last);
    }
    Ok(summarize(workload, seed, &records, Some(totals)))
}

/// Samples of the statistics of all engines, in the order in which they were taken.
type StatisticsSamples = Arc<Mutex<Vec<Vec<Option<EngineStatistics>>>>>;

fn lock_samples(samples: &StatisticsSamples) -> MutexGuard<'_, Vec<Vec<Option<EngineStatistics>>>> {
    samples.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns the times shortly before engines are reclaimed. A reclaimed engine exits, so its
/// statistics have to be fetched before.
fn pre_reclaim_times(workload: &Workload) -> Vec<Duration> {
    let faults = engines::schedule_faults(
        &workload.faults,
        workload.fleet.engines.len(),
        workload.duration(),
    );
    let reclaim_times = faults.iter().filter_map(|fault| {
        let delay = fault.body["exit_after_ms"].as_u64()?;
        Some(fault.at + Duration::from_millis(delay).saturating_sub(RECLAIM_MARGIN))
    });
    reclaim_times.collect()
}

/// Schedules an update of the host list for each leave fault, which marks all engines that have had
/// the leave notice by then as leaving.
fn host_list_updates(workload: &Workload, fleet: &Fleet) -> Vec<(Duration, ScheduledAction)> {
    let faults =
        engines::schedule_faults(&workload.faults, fleet.engines.len(), workload.duration());
    let mut leaving = Vec::new();
    let mut updates: Vec<(Duration, ScheduledAction)> = Vec::new();
    for fault in faults.into_iter().filter(|fault| fault.control == "leave") {
        leaving.extend(fault.engines);
        let publish = fleet.host_list_publisher();
        let leaving = leaving.clone();
        updates.push((fault.at, Box::new(move || publish(&leaving))));
    }
    updates
}
