//! The scenario language: its steps and their execution.

mod fault;
mod process;
mod request;
mod rules;

use std::collections::{BTreeMap, BTreeSet};
use std::error::Error;
use std::str::FromStr;
use std::time::{Duration, Instant};

use goldenscript::{Context, Runner};
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

use crate::check::{AppliedRules, Evidence, check};
use crate::cluster::{Cluster, StepResult};
use crate::record::{Journal, RequestRecord};

pub use fault::FaultStep;
pub use process::ProcessStep;
pub use request::RequestStep;
pub use rules::RulesStep;

const POLL: Duration = Duration::from_millis(10);
/// The longest wait of a step that names no limit.
const STEP_LIMIT: Duration = Duration::from_secs(15);
/// The longest wait for requests that are open at the end of a script.
const END_LIMIT: Duration = Duration::from_secs(40);
const DEFAULT_ZONE: &str = "norte-a1";
const DEFAULT_TEAM: &str = "tapada";
const LOG_TAIL_LINES: usize = 40;

/// Names separated by commas.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct NameList(pub Vec<String>);

impl FromStr for NameList {
    type Err = std::convert::Infallible;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let names = text.split(',').filter(|name| !name.is_empty());
        Ok(Self(names.map(str::to_owned).collect()))
    }
}

type Tasks = BTreeMap<String, Vec<JoinHandle<()>>>;

/// Runs one scenario.
pub struct ScenarioRunner {
    cluster: Cluster,
    journal: Journal,
    tasks: Tasks,
    applied: Vec<AppliedRules>,
    is_finished: bool,
    seed: u64,
    probes: u64,
    // Dropped last, after the tasks' handles.
    runtime: Runtime,
}

impl ScenarioRunner {
    /// A runner without processes.
    ///
    /// # Errors
    /// If the directory for logs or the runtime cannot be created.
    pub fn new(name: &str) -> StepResult<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .map_err(|error| error.to_string())?;
        Ok(Self {
            cluster: Cluster::new(name)?,
            journal: Journal::new(),
            tasks: Tasks::new(),
            applied: Vec::new(),
            is_finished: false,
            seed: 1,
            probes: 0,
            runtime,
        })
    }

    /// What to print when the scenario failed: seed, trace and the ends of the logs.
    #[must_use]
    pub fn failure_report(&self) -> String {
        format!(
            "seed {}\n{}{}",
            self.seed,
            self.journal.trace_text(),
            self.cluster.log_tails(LOG_TAIL_LINES)
        )
    }

    /// Removes logs and settings; called after a success.
    pub fn remove_logs(&self) {
        // Logs that stay are only untidy.
        let _ = std::fs::remove_dir_all(self.cluster.directory());
    }

    /// Waits until the tasks of a request or load have ended.
    pub(super) fn join(&mut self, name: &str, limit: Duration) -> StepResult {
        let tasks = self.tasks.remove(name);
        let tasks = tasks.ok_or_else(|| format!("no request {name} is open"))?;
        self.runtime.block_on(async {
            let end = tokio::time::Instant::now() + limit;
            for task in tasks {
                match tokio::time::timeout_at(end, task).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => return Err(format!("the caller of {name}: {error}")),
                    Err(_) => return Err(format!("{name} did not end within {limit:?}")),
                }
            }
            Ok(())
        })
    }

    pub(super) fn wait<T>(
        &mut self,
        what: &str,
        limit: Duration,
        mut poll: impl FnMut(&mut Self) -> StepResult<Option<T>>,
    ) -> StepResult<T> {
        let start = Instant::now();
        loop {
            if let Some(value) = poll(self)? {
                return Ok(value);
            }
            if start.elapsed() > limit {
                return Err(format!("{what}: not within {limit:?}"));
            }
            std::thread::sleep(POLL);
        }
    }

    pub(super) fn record(&self, name: &str) -> StepResult<RequestRecord> {
        self.journal
            .request(name)
            .ok_or_else(|| format!("no request {name} was sent"))
    }

    /// Waits for all requests and checks the invariants. A second call does nothing.
    ///
    /// # Errors
    /// All violations, one a line.
    pub fn finish(&mut self) -> StepResult {
        if std::mem::replace(&mut self.is_finished, true) {
            return Ok(());
        }
        let names: BTreeSet<String> = self.tasks.keys().cloned().collect();
        for name in names {
            if let Err(error) = self.join(&name, END_LIMIT) {
                self.journal.trace(error);
            }
        }
        let evidence = Evidence {
            requests: self.journal.requests(),
            targets: self.cluster.collect_stats(),
            departures: self.cluster.departures.clone(),
            drains: self.cluster.drains.clone(),
            outages: self.cluster.outages.clone(),
            store_outages: self.cluster.store_outages.clone(),
            applied: self.applied.clone(),
            samples: self.cluster.observer.samples(),
            running: self.cluster.running_daemons(),
        };
        let violations = check(&evidence);
        if violations.is_empty() {
            return Ok(());
        }
        let lines = violations.iter().map(|violation| format!("{violation}\n"));
        Err(lines.collect())
    }
}

impl Runner for ScenarioRunner {
    type Command = ProcessStep;

    fn run(&mut self, step: &ProcessStep, _: &Context) -> Result<String, Box<dyn Error>> {
        self.journal.trace(match step {
            ProcessStep::Other(command) => format!("> {command}"),
            step => format!("> {step:?}"),
        });
        let result = self.execute_process(step);
        if let Err(error) = &result {
            self.journal.trace(format!("failed: {error}"));
        }
        Ok(result?)
    }

    fn end_script(&mut self) -> Result<(), Box<dyn Error>> {
        Ok(self.finish()?)
    }
}

/// Runs a script and compares its output with the expected one in the script.
///
/// # Errors
/// What failed, followed by the seed, the trace and the ends of all logs.
pub fn run_scenario(name: &str, input: &str) -> StepResult {
    let mut runner = ScenarioRunner::new(name)?;
    let result = goldenscript::generate(&mut runner, input);
    let failure = match result {
        Ok(output) if output == input => {
            runner.remove_logs();
            return Ok(());
        }
        Ok(output) => format!("the output differs from the script's; it is now:\n{output}"),
        Err(error) => error.to_string(),
    };
    let violations = runner.finish().err().unwrap_or_default();
    let report = runner.failure_report();
    Err(format!("scenario {name}: {failure}\n{violations}{report}"))
}

/// Understands every step of a script without carrying it out.
struct StepReader;

impl Runner for StepReader {
    type Command = ProcessStep;

    fn run(&mut self, step: &ProcessStep, _: &Context) -> Result<String, Box<dyn Error>> {
        if let ProcessStep::Other(command) = step
            && let RequestStep::Other(command) = RequestStep::try_from(command)?
            && let FaultStep::Other(command) = FaultStep::try_from(&command)?
        {
            RulesStep::try_from(&command)?;
        }
        Ok(String::new())
    }
}

/// Checks that every step of a script is understood.
///
/// # Errors
/// Names the first step that is not.
pub fn check_script(input: &str) -> StepResult {
    let result = goldenscript::generate(&mut StepReader, input);
    result.map(|_| ()).map_err(|error| error.to_string())
}
