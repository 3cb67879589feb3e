//! Steps that start, end and signal processes.

use std::time::Duration;

use super::request::{RequestStep, generation_request, order_request};
use super::{DEFAULT_TEAM, DEFAULT_ZONE, NameList, STEP_LIMIT, ScenarioRunner};
use crate::cluster::{StepResult, TargetKind, TargetOptions, team_rule};

/// Steps that start, end and signal processes. Times are in milliseconds.
#[derive(Debug, goldenscript::Command)]
pub enum ProcessStep {
    /// Sets the seed of engines and load. The environment variable `SCENARIO_SEED` overrides it.
    Seed(u64),
    /// Starts the store, the host list, targets `e1`… and `s1`…, and daemons `d1`…, with rules
    /// that admit the default team, and waits until every daemon serves.
    Cluster {
        /// Daemons.
        #[arg(key)]
        daemons: usize,
        /// Engines.
        #[arg(key)]
        engines: Option<usize>,
        /// Plain services.
        #[arg(key)]
        services: Option<usize>,
        /// Zones, which daemons and targets take in turn.
        #[arg(key)]
        zones: Option<NameList>,
        /// The engines' time for one token.
        #[arg(key)]
        step_ms: Option<u64>,
        /// The engines' memory in tokens.
        #[arg(key)]
        memory: Option<u64>,
    },
    /// Starts a daemon.
    Daemon {
        /// Its name.
        name: String,
        /// Its zone.
        #[arg(key)]
        zone: Option<String>,
    },
    /// Waits until daemons carry out generations and orders.
    Ready(Vec<String>),
    /// Prints how many engines are running.
    RunningEngines,
    /// Demands that this many engines are running at least.
    ExpectEngines(usize),
    /// Kills a daemon or a target.
    Kill(String),
    /// Starts a daemon or a target again after its end.
    Restart(String),
    /// Stops a daemon with SIGSTOP.
    Pause(String),
    /// Continues a daemon with SIGCONT.
    Resume(String),
    /// Sends SIGTERM to a daemon, which drains.
    Terminate(String),
    /// Waits until a process has ended.
    WaitExit {
        /// The daemon or target.
        name: String,
        /// The longest wait.
        #[arg(key)]
        within: Option<u64>,
    },
    /// A step of another kind.
    #[command(other)]
    Other(goldenscript::Command),
}

impl ScenarioRunner {
    pub(super) fn execute_process(&mut self, step: &ProcessStep) -> StepResult<String> {
        let mut output = String::new();
        match step {
            ProcessStep::Seed(seed) => {
                self.seed = seed_override()?.unwrap_or(*seed);
                self.cluster.set_seed(self.seed);
            }
            ProcessStep::Cluster {
                daemons,
                engines,
                services,
                zones,
                step_ms,
                memory,
            } => {
                let counts = (*daemons, engines.unwrap_or(0), services.unwrap_or(0));
                let default = NameList(vec![DEFAULT_ZONE.to_owned()]);
                let zones = zones.as_ref().unwrap_or(&default);
                let options = [("--step-ms", step_ms), ("--memory-tokens", memory)];
                let options: Vec<String> = options
                    .iter()
                    .filter_map(|(name, value)| Some((*name, value.as_ref()?)))
                    .flat_map(|(name, value)| [name.to_owned(), value.to_string()])
                    .collect();
                self.start_cluster(counts, zones, &options)?;
            }
            ProcessStep::Daemon { name, zone } => {
                let zone = zone.as_deref().unwrap_or(DEFAULT_ZONE);
                self.cluster.start_daemon(name, zone)?;
            }
            ProcessStep::Ready(names) => self.wait_ready(names)?,
            ProcessStep::RunningEngines => {
                let count = self.cluster.running_targets(TargetKind::Engine);
                output = format!("{count}\n");
            }
            ProcessStep::ExpectEngines(least) => {
                let count = self.cluster.running_targets(TargetKind::Engine);
                if count < *least {
                    return Err(format!("{count} engines are running, expected {least}"));
                }
            }
            ProcessStep::Kill(name) => self.kill(name)?,
            ProcessStep::Restart(name) => self.restart(name)?,
            ProcessStep::Pause(name) => self.cluster.pause_daemon(name)?,
            ProcessStep::Resume(name) => self.cluster.resume_daemon(name)?,
            ProcessStep::Terminate(name) => self.cluster.terminate_daemon(name)?,
            ProcessStep::WaitExit { name, within } => {
                let limit = within.map_or(STEP_LIMIT, Duration::from_millis);
                self.wait_exit(name, limit)?;
            }
            ProcessStep::Other(command) => {
                let step = RequestStep::try_from(command).map_err(|error| error.to_string())?;
                output = self.execute_request(&step)?;
            }
        }
        Ok(output)
    }

    pub(super) fn start_cluster(
        &mut self,
        counts: (usize, usize, usize),
        zones: &NameList,
        engine_options: &[String],
    ) -> StepResult {
        let (daemons, engines, services) = counts;
        let zone = |number: usize| zones.0[number % zones.0.len()].clone();
        self.cluster.start_store(&[])?;
        self.cluster.start_host_list()?;
        let kinds = [
            ("e", TargetKind::Engine, engines),
            ("s", TargetKind::Service, services),
        ];
        for (prefix, kind, count) in kinds {
            for number in 0..count {
                let options = match kind {
                    TargetKind::Engine => engine_options.to_vec(),
                    TargetKind::Service => Vec::new(),
                };
                self.cluster.start_target(TargetOptions {
                    name: format!("{prefix}{}", number + 1),
                    kind,
                    zone: zone(number),
                    options,
                })?;
            }
        }
        if daemons == 0 {
            return Ok(());
        }
        self.cluster.add_rule(&team_rule(DEFAULT_TEAM));
        self.cluster
            .add_rule("address lifetime 1 s # manager: short drains in tests");
        self.apply()?;
        for number in 0..daemons {
            let name = format!("d{}", number + 1);
            self.cluster.start_daemon(&name, &zone(number))?;
        }
        let names = self.cluster.daemon_names();
        self.wait_ready(&names)
    }

    /// Sends small requests through each daemon until they are carried out.
    pub(super) fn wait_ready(&mut self, daemons: &[String]) -> StepResult {
        let engines = self.cluster.running_targets(TargetKind::Engine);
        let services = self.cluster.running_targets(TargetKind::Service);
        for daemon in daemons {
            let via = NameList(vec![daemon.clone()]);
            if engines > 0 {
                self.probe(daemon, &via, true)?;
            }
            if services > 0 {
                self.probe(daemon, &via, false)?;
            }
        }
        Ok(())
    }

    pub(super) fn probe(&mut self, daemon: &str, via: &NameList, generation: bool) -> StepResult {
        let patience = u64::try_from(STEP_LIMIT.as_millis()).unwrap_or_default();
        self.wait(&format!("{daemon} serves"), STEP_LIMIT, |runner| {
            runner.probes += 1;
            let name = format!("probe-{}", runner.probes);
            let caller = runner.caller(via, None, patience)?;
            if generation {
                runner.start_generation(caller, generation_request(&name, 1))?;
            } else {
                runner.start_order(caller, order_request(&name, &name))?;
            }
            runner.join(&name, STEP_LIMIT)?;
            let is_complete = runner.record(&name)?.complete;
            Ok(is_complete.then_some(()))
        })
    }

    pub(super) fn kill(&mut self, name: &str) -> StepResult {
        if self.is_daemon(name) {
            self.cluster.kill_daemon(name)
        } else {
            self.cluster.kill_target(name)
        }
    }

    pub(super) fn restart(&mut self, name: &str) -> StepResult {
        if self.is_daemon(name) {
            self.cluster.restart_daemon(name)
        } else {
            self.cluster.restart_target(name)
        }
    }

    pub(super) fn wait_exit(&mut self, name: &str, limit: Duration) -> StepResult {
        if self.is_daemon(name) {
            self.cluster.wait_for_daemon_exit(name, limit)
        } else {
            self.cluster.wait_for_target_exit(name, limit)
        }
    }

    pub(super) fn is_daemon(&self, name: &str) -> bool {
        self.cluster
            .daemon_names()
            .iter()
            .any(|daemon| daemon == name)
    }
}

fn seed_override() -> StepResult<Option<u64>> {
    match std::env::var("SCENARIO_SEED") {
        Ok(text) => match text.parse() {
            Ok(seed) => Ok(Some(seed)),
            Err(_) => Err(format!("SCENARIO_SEED {text:?} is not a number")),
        },
        Err(_) => Ok(None),
    }
}
