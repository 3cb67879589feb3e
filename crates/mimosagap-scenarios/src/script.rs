//! The scenario language: parses and executes the steps of a script.
//!
//! The steps are split over four enums. Each enum passes the commands that it does not define to the
//! next one.

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

use crate::check::{AppliedRules, CheckInput, check_invariants};
use crate::cluster::{Cluster, StepResult};
use crate::record::{RequestRecord, ScenarioRecorder};

pub use fault::FaultStep;
pub use process::ProcessStep;
pub use request::RequestStep;
pub use rules::RulesStep;

const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The timeout of a step that sets none.
const STEP_TIMEOUT: Duration = Duration::from_secs(15);
/// The timeout for requests that are open when a script ends or waits for them.
const COMPLETION_TIMEOUT: Duration = Duration::from_secs(40);
const DEFAULT_ZONE: &str = "norte-a1";
const DEFAULT_TEAM: &str = "tapada";
const LOG_TAIL_LINES: usize = 40;

/// A list of names, separated by commas in scripts.
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
    recorder: ScenarioRecorder,
    tasks: Tasks,
    applied_rules: Vec<AppliedRules>,
    is_finished: bool,
    seed: u64,
    probe_count: u64,
    // The last field, so that it is dropped after the handles of its tasks.
    runtime: Runtime,
}

impl ScenarioRunner {
    /// A runner without processes.
    ///
    /// # Errors
    /// The log directory or the runtime cannot be created.
    pub fn new(name: &str) -> StepResult<Self> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .map_err(|error| error.to_string())?;
        Ok(Self {
            cluster: Cluster::new(name)?,
            recorder: ScenarioRecorder::new(),
            tasks: Tasks::new(),
            applied_rules: Vec::new(),
            is_finished: false,
            seed: 1,
            probe_count: 0,
            runtime,
        })
    }

    /// The report of a failed scenario: seed, trace and the last lines of all logs.
    #[must_use]
    pub fn failure_report(&self) -> String {
        format!(
            "seed {}\n{}{}",
            self.seed,
            self.recorder.format_trace(),
            self.cluster.log_tails(LOG_TAIL_LINES)
        )
    }

    /// Removes the directory of logs and settings, which is needed only after a failure.
    pub fn remove_logs(&self) {
        // A directory that cannot be removed does no harm.
        let _ = std::fs::remove_dir_all(self.cluster.directory());
    }

    /// Waits until the tasks of a request or load have completed.
    pub(super) fn wait_for_tasks(&mut self, name: &str, timeout: Duration) -> StepResult {
        let tasks = self.tasks.remove(name);
        let tasks =
            tasks.ok_or_else(|| format!("no request or load {name} is open; start it first"))?;
        self.runtime.block_on(async {
            let deadline = tokio::time::Instant::now() + timeout;
            for task in tasks {
                match tokio::time::timeout_at(deadline, task).await {
                    Ok(Ok(())) => {}
                    Ok(Err(error)) => return Err(format!("the caller of {name} failed: {error}")),
                    Err(_) => return Err(format!("{name} was not complete within {timeout:?}")),
                }
            }
            Ok(())
        })
    }

    /// Polls until `poll` returns a value.
    pub(super) fn wait_until<T>(
        &mut self,
        condition: &str,
        timeout: Duration,
        mut poll: impl FnMut(&mut Self) -> StepResult<Option<T>>,
    ) -> StepResult<T> {
        let start = Instant::now();
        loop {
            if let Some(value) = poll(self)? {
                return Ok(value);
            }
            if start.elapsed() > timeout {
                return Err(format!("not within {timeout:?}: {condition}"));
            }
            std::thread::sleep(POLL_INTERVAL);
        }
    }

    pub(super) fn record(&self, name: &str) -> StepResult<RequestRecord> {
        self.recorder
            .request(name)
            .ok_or_else(|| format!("no request {name} was sent; send it first"))
    }

    /// Waits for all open requests and checks the invariants. A second call does nothing.
    ///
    /// # Errors
    /// An invariant is violated; the text holds one violation per line.
    pub fn finish(&mut self) -> StepResult {
        if std::mem::replace(&mut self.is_finished, true) {
            return Ok(());
        }
        let names: BTreeSet<String> = self.tasks.keys().cloned().collect();
        for name in names {
            if let Err(error) = self.wait_for_tasks(&name, COMPLETION_TIMEOUT) {
                self.recorder.trace(error);
            }
        }
        let input = CheckInput {
            requests: self.recorder.requests(),
            target_stats: self.cluster.collect_target_stats(),
            leave_notices: self.cluster.leave_notices.clone(),
            drains: self.cluster.drains.clone(),
            outages: self.cluster.outages.clone(),
            store_outages: self.cluster.store_outages.clone(),
            applied_rules: self.applied_rules.clone(),
            revision_samples: self.cluster.revision_poller.samples(),
            running_daemons: self.cluster.running_daemons(),
        };
        let violations = check_invariants(&input);
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
        self.recorder.trace(match step {
            ProcessStep::Other(command) => format!("> {command}"),
            step => format!("> {step:?}"),
        });
        let result = self.execute_process(step);
        if let Err(error) = &result {
            self.recorder.trace(format!("failed: {error}"));
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
/// A step fails, the output differs or an invariant is violated. The text says which, followed by
/// the seed, the trace and the last lines of all logs.
pub fn run_scenario(name: &str, input: &str) -> StepResult {
    let mut runner = ScenarioRunner::new(name)?;
    let result = goldenscript::generate(&mut runner, input);
    let failure = match result {
        Ok(output) if output == input => {
            runner.remove_logs();
            return Ok(());
        }
        Ok(output) => {
            format!("the output differs from the expected one; the actual output is:\n{output}")
        }
        Err(error) => error.to_string(),
    };
    let violations = runner.finish().err().unwrap_or_default();
    let report = runner.failure_report();
    Err(format!("scenario {name}: {failure}\n{violations}{report}"))
}

/// Parses the steps of a script without executing them.
struct StepValidator;

impl Runner for StepValidator {
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

/// Checks that every step of a script can be parsed.
///
/// # Errors
/// A step cannot be parsed; the text names the first one.
pub fn validate_script(input: &str) -> StepResult {
    let result = goldenscript::generate(&mut StepValidator, input);
    result.map(|_| ()).map_err(|error| error.to_string())
}
