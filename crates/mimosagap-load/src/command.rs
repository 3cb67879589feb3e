//! Subcommands of the tool and their errors.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use crate::engines::{FleetStatistics, fetch_statistics};
use crate::route::{AddressCache, Route, RouteKind};
use crate::run::{RunOptions, run_workload};
use crate::summary::{requests_refused_not_run, summarize};
use crate::workload::{Workload, WorkloadError};

/// Usage text, printed with every argument error.
pub const USAGE: &str = "\
usage:
  mimosagap-load run --workload FILE [--variant NAME] [--seed N] [--json]
      [--daemon IP:PORT]... [--engine IP:PORT]...
    Without --daemon the load goes to the engines; with it the engines serve statistics and faults.
  mimosagap-load experiment --workload FILE [--variant NAME] --binaries DIR --out DIR
      [--policies forecast,round-robin,least-outstanding,two-choices,direct] [--seeds 1,2,3,4,5]
      [--in-turn]
    The policies run side by side, or with --in-turn one after the other.
    Runs are added to DIR/results.json; the table and the plot cover all runs in it.
  mimosagap-load bench --binaries DIR --out DIR [--seconds N] [--seed N]
      [--levels STREAMS:STEP_MS,...]
";

/// Error of a subcommand.
#[derive(Debug)]
pub enum CommandError {
    /// The command line is invalid.
    Arguments(String),
    /// The workload file is unusable.
    Workload(WorkloadError),
    /// An I/O error of a process, a file or the async runtime.
    Io(std::io::Error),
    /// A process of the fleet, or a step of the setup, failed.
    Setup(String),
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Arguments(cause) => write!(f, "{cause}\n{USAGE}"),
            Self::Workload(error) => error.fmt(f),
            Self::Io(error) => error.fmt(f),
            Self::Setup(cause) => f.write_str(cause),
        }
    }
}

impl std::error::Error for CommandError {}

impl From<pico_args::Error> for CommandError {
    fn from(error: pico_args::Error) -> Self {
        Self::Arguments(error.to_string())
    }
}

impl From<WorkloadError> for CommandError {
    fn from(error: WorkloadError) -> Self {
        Self::Workload(error)
    }
}

impl From<std::io::Error> for CommandError {
    fn from(error: std::io::Error) -> Self {
        Self::Io(error)
    }
}

/// Fails if unparsed arguments remain.
///
/// # Errors
/// The first argument that no option has consumed.
pub fn reject_unknown_arguments(arguments: pico_args::Arguments) -> Result<(), CommandError> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(argument) => {
            let cause = format!("unknown argument {}", argument.to_string_lossy());
            Err(CommandError::Arguments(cause))
        }
    }
}

/// Builds the async runtime of the callers. It has two threads, which leaves the other cores to the
/// measured processes.
///
/// # Errors
/// The operating system cannot start a thread.
pub fn build_runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.worker_threads(2).enable_all().build()?)
}

/// Runs the `run` subcommand.
///
/// # Errors
/// The arguments are invalid, or the workload is unusable.
pub fn run_command(mut arguments: pico_args::Arguments) -> Result<(), CommandError> {
    let path: PathBuf = arguments.value_from_str("--workload")?;
    let variant: Option<String> = arguments.opt_value_from_str("--variant")?;
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let json = arguments.contains("--json");
    let daemons: Vec<SocketAddr> = arguments.values_from_str("--daemon")?;
    let engines: Vec<SocketAddr> = arguments.values_from_str("--engine")?;
    reject_unknown_arguments(arguments)?;
    let workload = Workload::read(&path, variant.as_deref())?;
    let kind = if daemons.is_empty() {
        RouteKind::Engines(engines.clone())
    } else {
        RouteKind::Daemons(address_caches(&workload, &daemons))
    };
    let options = RunOptions {
        workload: workload.clone(),
        seed,
        routes: vec![Arc::new(Route::new("run", kind))],
        engines: engines.clone(),
        scheduled_actions: Vec::new(),
    };
    let records = build_runtime()?.block_on(run_workload(options));
    let refused_requests = requests_refused_not_run(seed, &records);
    let statistics = (!engines.is_empty())
        .then(|| FleetStatistics::new(&fetch_statistics(&engines), seed, &refused_requests));
    let summary = summarize(&workload, seed, &records, statistics);
    if json {
        let text = serde_json::to_string_pretty(&summary).map_err(std::io::Error::from)?;
        println!("{text}");
    } else {
        println!("{summary}");
    }
    Ok(())
}

/// Creates an address cache, as one simulated caller has it, for each zone with a daemon.
#[must_use]
pub fn address_caches(workload: &Workload, daemons: &[SocketAddr]) -> Vec<AddressCache> {
    let mut zones: Vec<&str> = workload
        .fleet
        .daemons
        .iter()
        .map(|location| location.zone.as_str())
        .collect();
    zones.sort_unstable();
    zones.dedup();
    if zones.is_empty() {
        zones.push("");
    }
    zones
        .into_iter()
        .map(|zone| AddressCache::new(zone, daemons.to_vec()))
        .collect()
}
