//! Steps that start, stop and signal processes.

use std::time::Duration;

use super::request::{RequestStep, generation_request, order_request};
use super::{DEFAULT_TEAM, DEFAULT_ZONE, NameList, STEP_TIMEOUT, ScenarioRunner};
use crate::cluster::{StepResult, TargetKind, TargetOptions, team_rule};

/// Steps that start, stop and signal processes. Times are in milliseconds.
#[derive(Debug, goldenscript::Command)]
pub enum ProcessStep {
    /// Sets the random seed of engines and load. The environment variable `SCENARIO_SEED` overrides
    /// it.
    Seed(u64),
    /// Starts the store, the host list, targets `e1`… and `s1`…, and daemons `d1`…, with rules
    /// that admit the default team, and waits until every daemon serves.
    Cluster {
        /// The number of daemons.
        #[arg(key)]
        daemons: usize,
        /// The number of engines.
        #[arg(key)]
        engines: Option<usize>,
        /// The number of plain services.
        #[arg(key)]
        services: Option<usize>,
        /// Zones, assigned round-robin to daemons, engines and services.
        #[arg(key)]
        zones: Option<NameList>,
        /// The engines' base time per decoding step.
        #[arg(key)]
        step_ms: Option<u64>,
        /// The engines' KV cache capacity, in tokens.
        #[arg(key)]
        memory: Option<u64>,
    },
    /// Starts a daemon.
    Daemon {
        /// The name of the daemon.
        name: String,
        /// The zone; `norte-a1` by default.
        #[arg(key)]
        zone: Option<String>,
    },
    /// Waits until the named daemons serve generations and orders.
    Ready(Vec<String>),
    /// Prints the number of running engines.
    RunningEngines,
    /// Requires that at least this many engines are running.
    ExpectEngines(usize),
    /// Kills a daemon or a target.
    Kill(String),
    /// Restarts a daemon or a target that has exited.
    Restart(String),
    /// Suspends a daemon with SIGSTOP.
    Pause(String),
    /// Continues a suspended daemon with SIGCONT.
    Resume(String),
    /// Sends SIGTERM to a daemon, which drains.
    Terminate(String),
    /// Waits until a process has exited.
    WaitExit {
        /// The name of the daemon or target.
        name: String,
        /// The timeout; 15 s by default.
        #[arg(key)]
        within: Option<u64>,
    },
    /// A command of [`RequestStep`], [`FaultStep`](super::FaultStep) or
    /// [`RulesStep`](super::RulesStep).
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
                let default_zones = NameList(vec![DEFAULT_ZONE.to_owned()]);
                let zones = zones.as_ref().unwrap_or(&default_zones);
                let engine_options = [("--step-ms", step_ms), ("--memory-tokens", memory)];
                let engine_arguments: Vec<String> = engine_options
                    .iter()
                    .filter_map(|(name, value)| Some((*name, value.as_ref()?)))
                    .flat_map(|(name, value)| [name.to_owned(), value.to_string()])
                    .collect();
                self.start_cluster(counts, zones, &engine_arguments)?;
            }
            ProcessStep::Daemon { name, zone } => {
                let zone = zone.as_deref().unwrap_or(DEFAULT_ZONE);
                self.cluster.start_daemon(name, zone)?;
            }
            ProcessStep::Ready(names) => self.wait_until_ready(names)?,
            ProcessStep::RunningEngines => {
                let count = self.cluster.running_targets(TargetKind::Engine);
                output = format!("{count}\n");
            }
            ProcessStep::ExpectEngines(least) => {
                let count = self.cluster.running_targets(TargetKind::Engine);
                if count < *least {
                    return Err(format!(
                        "{count} engines are running, expected at least {least}"
                    ));
                }
            }
            ProcessStep::Kill(name) => self.kill(name)?,
            ProcessStep::Restart(name) => self.restart(name)?,
            ProcessStep::Pause(name) => self.cluster.pause_daemon(name)?,
            ProcessStep::Resume(name) => self.cluster.resume_daemon(name)?,
            ProcessStep::Terminate(name) => self.cluster.terminate_daemon(name)?,
            ProcessStep::WaitExit { name, within } => {
                let timeout = within.map_or(STEP_TIMEOUT, Duration::from_millis);
                self.wait_for_exit(name, timeout)?;
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
        engine_arguments: &[String],
    ) -> StepResult {
        let (daemons, engines, services) = counts;
        let zone = |index: usize| zones.0[index % zones.0.len()].clone();
        self.cluster.start_store(&[])?;
        self.cluster.start_host_list()?;
        let kinds = [
            ("e", TargetKind::Engine, engines),
            ("s", TargetKind::Service, services),
        ];
        for (prefix, kind, count) in kinds {
            for index in 0..count {
                let arguments = match kind {
                    TargetKind::Engine => engine_arguments.to_vec(),
                    TargetKind::Service => Vec::new(),
                };
                self.cluster.start_target(TargetOptions {
                    name: format!("{prefix}{}", index + 1),
                    kind,
                    zone: zone(index),
                    arguments,
                })?;
            }
        }
        if daemons == 0 {
            return Ok(());
        }
        self.cluster.add_rule(&team_rule(DEFAULT_TEAM));
        self.cluster
            .add_rule("address lifetime 1 s # manager: short drains in tests");
        self.apply_rules()?;
        for index in 0..daemons {
            let name = format!("d{}", index + 1);
            self.cluster.start_daemon(&name, &zone(index))?;
        }
        let names = self.cluster.daemon_names();
        self.wait_until_ready(&names)
    }

    /// Sends small requests through each daemon until they are served.
    pub(super) fn wait_until_ready(&mut self, daemons: &[String]) -> StepResult {
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

    /// Sends one-token generations or orders through a daemon until one completes.
    pub(super) fn probe(
        &mut self,
        daemon: &str,
        via: &NameList,
        is_generation: bool,
    ) -> StepResult {
        let retry_timeout_ms = u64::try_from(STEP_TIMEOUT.as_millis()).unwrap_or_default();
        self.wait_until(
            &format!("{daemon} serves a request"),
            STEP_TIMEOUT,
            |runner| {
                runner.probe_count += 1;
                let name = format!("probe-{}", runner.probe_count);
                let caller = runner.caller(via, None, retry_timeout_ms)?;
                if is_generation {
                    runner.start_generation(caller, generation_request(&name, 1))?;
                } else {
                    runner.start_order(caller, order_request(&name, &name))?;
                }
                runner.wait_for_tasks(&name, STEP_TIMEOUT)?;
                let is_complete = runner.record(&name)?.is_complete;
                Ok(is_complete.then_some(()))
            },
        )
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

    pub(super) fn wait_for_exit(&mut self, name: &str, timeout: Duration) -> StepResult {
        if self.is_daemon(name) {
            self.cluster.wait_for_daemon_exit(name, timeout)
        } else {
            self.cluster.wait_for_target_exit(name, timeout)
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
            Err(_) => Err(format!(
                "SCENARIO_SEED is {text:?}; set it to an unsigned 64-bit integer"
            )),
        },
        Err(_) => Ok(None),
    }
}
