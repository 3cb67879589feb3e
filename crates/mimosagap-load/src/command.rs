//! The tool's subcommands.

use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;

use crate::engines::{FleetFigures, fetch_statistics};
use crate::route::{AddressBook, Route, RouteKind};
use crate::run::{RunOptions, run};
use crate::summary::{refused_as_not_run, summarize};
use crate::workload::{Workload, WorkloadError};

/// The usage text.
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

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The command line is wrong.
    Arguments(String),
    /// The workload cannot be used.
    Workload(WorkloadError),
    /// A process, a file or the runtime failed.
    Io(std::io::Error),
    /// A process or a peer did not do what was needed.
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

/// Fails if arguments are left over.
///
/// # Errors
/// An argument that no option took.
pub fn finish(arguments: pico_args::Arguments) -> Result<(), CommandError> {
    match arguments.finish().first() {
        None => Ok(()),
        Some(rest) => {
            let cause = format!("unknown argument {}", rest.to_string_lossy());
            Err(CommandError::Arguments(cause))
        }
    }
}

/// A runtime for the callers. Two threads, so that the tool leaves the machine to what it measures.
///
/// # Errors
/// The operating system gives no thread.
pub fn runtime() -> Result<tokio::runtime::Runtime, CommandError> {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    Ok(builder.worker_threads(2).enable_all().build()?)
}

/// Carries out `run`.
///
/// # Errors
/// A wrong command line, or a workload that cannot be used.
pub fn run_command(mut arguments: pico_args::Arguments) -> Result<(), CommandError> {
    let path: PathBuf = arguments.value_from_str("--workload")?;
    let variant: Option<String> = arguments.opt_value_from_str("--variant")?;
    let seed: u64 = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let json = arguments.contains("--json");
    let daemons: Vec<SocketAddr> = arguments.values_from_str("--daemon")?;
    let engines: Vec<SocketAddr> = arguments.values_from_str("--engine")?;
    finish(arguments)?;
    let workload = Workload::read(&path, variant.as_deref())?;
    let kind = if daemons.is_empty() {
        RouteKind::Engines(engines.clone())
    } else {
        RouteKind::Daemons(address_books(&workload, &daemons))
    };
    let options = RunOptions {
        workload: workload.clone(),
        seed,
        routes: vec![Arc::new(Route::new("run", kind))],
        engines: engines.clone(),
        probes: Vec::new(),
    };
    let records = runtime()?.block_on(run(options));
    let refused = refused_as_not_run(seed, &records);
    let figures = (!engines.is_empty())
        .then(|| FleetFigures::new(&fetch_statistics(&engines), seed, &refused));
    let summary = summarize(&workload, seed, &records, figures);
    if json {
        let text = serde_json::to_string_pretty(&summary).map_err(std::io::Error::from)?;
        println!("{text}");
    } else {
        println!("{summary}");
    }
    Ok(())
}

/// One caller program in each zone that has a daemon.
#[must_use]
pub fn address_books(workload: &Workload, daemons: &[SocketAddr]) -> Vec<AddressBook> {
    let mut zones: Vec<&str> = workload
        .fleet
        .daemons
        .iter()
        .map(|site| site.zone.as_str())
        .collect();
    zones.sort_unstable();
    zones.dedup();
    if zones.is_empty() {
        zones.push("");
    }
    zones
        .into_iter()
        .map(|zone| AddressBook::new(zone, daemons.to_vec()))
        .collect()
}
