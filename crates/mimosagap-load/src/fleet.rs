//! Starts the processes of an experiment: simulated engines, store, host list and daemons.

use std::fs::{self, File};
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use mimosagap_rules::RulesDelta;
use mimosagap_store::StoreClient;
use mimosagap_store::rules::{ApplyOptions, ApplyOutcome};
use mimosagap_types::prelude::{RequestDigest, RulesRevision};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::command::CommandError;
use crate::plan::team_token;
use crate::process::ChildProcess;
use crate::workload::{FleetConfig, ProcessLocation, Workload};

/// Timeout for a daemon to serve its first generation.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

/// Timeout of a call to a daemon, the store or the host list.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Lowest second octet of the loopback networks that fleets use. Each fleet derives its network
/// from the process id and its slot, so that concurrent runs use different addresses.
const FIRST_NETWORK_OCTET: u32 = 64;

/// Number of loopback networks over which fleets are spread.
const NETWORK_COUNT: u32 = 128;

/// Maximum number of fleets that one process runs at the same time.
pub const MAX_FLEETS: u32 = 8;

/// Name of the deployment of all engines.
const DEPLOYMENT: &str = "models";

/// Options for starting a fleet.
#[derive(Debug)]
pub struct FleetOptions<'o> {
    /// Directory of the binaries.
    pub binaries: &'o Path,
    /// Directory for settings, rules and logs.
    pub directory: PathBuf,
    /// Workload, which gives the fleet configuration, teams, classes and models.
    pub workload: &'o Workload,
    /// Route policy; `None` starts the engines only, without daemons, store and host list.
    pub policy: Option<&'o str>,
    /// Seed from which each engine derives its own.
    pub seed: u64,
    /// Number of the fleet within this process, from 0 and below [`MAX_FLEETS`].
    pub slot: u32,
}

/// Running processes, which are killed when the fleet is dropped.
#[derive(Debug)]
pub struct Fleet {
    /// Addresses of the engines.
    pub engines: Vec<SocketAddr>,
    /// Addresses of the daemons for callers.
    pub daemons: Vec<SocketAddr>,
    /// Process ids of the daemons.
    pub daemon_ids: Vec<u32>,
    host_list: Option<SocketAddr>,
    engine_locations: Vec<ProcessLocation>,
    processes: Vec<ChildProcess>,
}

impl Fleet {
    /// Starts the processes and waits until each daemon serves a generation.
    ///
    /// # Errors
    /// A binary is missing, a process does not start, or a daemon serves no generation within 20 s.
    pub fn start(options: &FleetOptions<'_>) -> Result<Self, CommandError> {
        fs::create_dir_all(&options.directory)?;
        let network =
            FIRST_NETWORK_OCTET + (std::process::id() * MAX_FLEETS + options.slot) % NETWORK_COUNT;
        let config = &options.workload.fleet;
        let mut fleet = Self {
            engines: Vec::new(),
            daemons: Vec::new(),
            daemon_ids: Vec::new(),
            host_list: None,
            engine_locations: config.engines.clone(),
            processes: Vec::new(),
        };
        for number in 1..=config.engines.len() {
            let address = loopback_address(network, 1, number, 8000)?;
            fleet.start_engine(options, number, address)?;
        }
        if let Some(policy) = options.policy {
            fleet.start_store_and_host_list(options, network, policy)?;
            for number in 1..=config.daemons.len() {
                fleet.start_daemon(options, network, number)?;
            }
            fleet.wait_for_daemons(options)?;
        }
        Ok(fleet)
    }

    fn start_engine(
        &mut self,
        options: &FleetOptions<'_>,
        number: usize,
        address: SocketAddr,
    ) -> Result<(), CommandError> {
        let config = &options.workload.fleet;
        let mut arguments = engine_arguments(config, options.seed * 1_000 + number as u64);
        for model in model_names(options.workload) {
            arguments.extend(["--model".to_owned(), model]);
        }
        self.start_stand_in(options, "engine", address, &arguments)?;
        self.engines.push(address);
        Ok(())
    }

    /// Starts the store and the host list, publishes the engines and applies the rules.
    fn start_store_and_host_list(
        &mut self,
        options: &FleetOptions<'_>,
        network: u32,
        policy: &str,
    ) -> Result<(), CommandError> {
        let store = loopback_address(network, 3, 1, 2379)?;
        let host_list = loopback_address(network, 3, 2, 2380)?;
        self.start_stand_in(options, "store", store, &[])?;
        self.start_stand_in(options, "hosts", host_list, &[])?;
        self.host_list = Some(host_list);
        self.publish_host_list(&[])?;
        let rules = experiment_rules(options.workload, policy);
        fs::write(options.directory.join("rules.txt"), &rules)?;
        apply_rules(store, rules)
    }

    fn start_daemon(
        &mut self,
        options: &FleetOptions<'_>,
        network: u32,
        number: usize,
    ) -> Result<(), CommandError> {
        let settings = daemon_settings(options.workload, network, number)?;
        let path = options.directory.join(format!("daemon-{number}.json"));
        fs::write(&path, settings.to_string())?;
        let log = File::create(options.directory.join(format!("daemon-{number}.log")))?;
        let binary = options.binaries.join("mimosagapd");
        let mut command = Command::new(&binary);
        command
            .arg("--settings")
            .arg(&path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log);
        let (process, _) = ChildProcess::start(&mut command)?;
        self.daemon_ids.push(process.id());
        self.processes.push(process);
        self.daemons
            .push(loopback_address(network, 2, number, 7000)?);
        Ok(())
    }

    fn start_stand_in(
        &mut self,
        options: &FleetOptions<'_>,
        kind: &str,
        address: SocketAddr,
        arguments: &[String],
    ) -> Result<(), CommandError> {
        let binary = options.binaries.join("mimosagap-standins");
        let mut command = Command::new(&binary);
        command
            .args([kind, "--listen", &address.to_string()])
            .args(arguments)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        let (process, output) = ChildProcess::start(&mut command)?;
        self.processes.push(process);
        let mut line = String::new();
        if let Some(output) = output {
            BufReader::new(output).read_line(&mut line)?;
        }
        if line.starts_with("listening on ") {
            Ok(())
        } else {
            let cause = format!("{kind} at {address} did not start; see its error output above");
            Err(CommandError::Setup(cause))
        }
    }

    /// Publishes the host list, with the engines at the indexes in `leaving` marked as leaving.
    /// Does nothing in a fleet without daemons.
    ///
    /// # Errors
    /// The host list service does not accept the list.
    pub fn publish_host_list(&self, leaving: &[usize]) -> Result<(), CommandError> {
        let Some(host_list) = self.host_list else {
            return Ok(());
        };
        put_host_list(
            host_list,
            &host_list_json(&self.engines, &self.engine_locations, leaving),
        )
    }

    /// Returns a function that does the same as [`Self::publish_host_list`] and can be called from
    /// another thread; it prints errors.
    pub fn host_list_publisher(&self) -> impl Fn(&[usize]) + Send + Clone + 'static {
        let (host_list, engines, locations) = (
            self.host_list,
            self.engines.clone(),
            self.engine_locations.clone(),
        );
        move |leaving: &[usize]| {
            let Some(host_list) = host_list else { return };
            if let Err(error) =
                put_host_list(host_list, &host_list_json(&engines, &locations, leaving))
            {
                eprintln!("{error}");
            }
        }
    }

    fn wait_for_daemons(&self, options: &FleetOptions<'_>) -> Result<(), CommandError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            let mut last_error = String::new();
            while let Err(error) = send_test_generation(*daemon, options.workload) {
                last_error = error;
                if Instant::now() > deadline {
                    let log_directory = options.directory.display();
                    return Err(CommandError::Setup(format!(
                        "daemon {daemon} serves no generation: {last_error}; see its log in {log_directory}"
                    )));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
            drop(last_error);
        }
        Ok(())
    }
}

fn engine_arguments(config: &FleetConfig, seed: u64) -> Vec<String> {
    [
        ("--memory-tokens", config.memory_tokens),
        ("--step-ms", config.step_ms),
        ("--stream-us", config.stream_us),
        ("--prefill-us", config.prefill_us),
        ("--max-streams", u64::from(config.max_streams)),
        ("--seed", seed),
    ]
    .into_iter()
    .flat_map(|(name, value)| [name.to_owned(), value.to_string()])
    .collect()
}

fn model_names(workload: &Workload) -> Vec<String> {
    let mut names: Vec<String> = workload
        .classes
        .iter()
        .map(|class| class.model.clone())
        .collect();
    names.sort_unstable();
    names.dedup();
    names
}

fn host_list_json(
    engines: &[SocketAddr],
    locations: &[ProcessLocation],
    leaving: &[usize],
) -> Value {
    let entries = engines.iter().zip(locations).enumerate();
    entries
        .map(|(index, (address, location))| {
            let state = if leaving.contains(&index) {
                "leaving"
            } else {
                "live"
            };
            json!({
                "targets": [address.to_string()],
                "labels": {
                    "deployment": DEPLOYMENT,
                    "zone": location.zone,
                    "region": location.region,
                    "state": state,
                },
            })
        })
        .collect()
}

fn put_host_list(host_list: SocketAddr, entries: &Value) -> Result<(), CommandError> {
    let url = format!("http://{host_list}/control/hosts");
    let result = http_agent().put(url).send_json(entries);
    result.map(drop).map_err(|error| {
        CommandError::Setup(format!(
            "cannot publish the host list at {host_list}: {error}"
        ))
    })
}

/// Sends a generation of one token.
fn send_test_generation(daemon: SocketAddr, workload: &Workload) -> Result<(), String> {
    let class = &workload.classes[0];
    let team = class.teams.keys().next().map_or("", String::as_str);
    let body = json!({
        "model": class.model,
        "input": "probe",
        "metadata": {"class": class.name, "output_tokens": "1", "request": "probe"},
    });
    let result = http_agent()
        .post(format!("http://{daemon}/v1/responses"))
        .header("authorization", format!("Bearer {}", team_token(team)))
        .send_json(&body);
    result.map(drop).map_err(|error| error.to_string())
}

fn apply_rules(store: SocketAddr, text: String) -> Result<(), CommandError> {
    let client = StoreClient::new(mimosagap_store::StoreOptions {
        address: store,
        timeout: CALL_TIMEOUT,
    });
    let base = RulesRevision::default();
    let delta = RulesDelta::between(base, "", &text);
    let options = ApplyOptions {
        base_mod_revision: 0,
        base,
        text,
        delta: serde_json::to_string(&delta).map_err(std::io::Error::from)?,
    };
    match client.apply_rules(&options) {
        Ok(ApplyOutcome::Applied(_)) => Ok(()),
        Ok(_) => Err(CommandError::Setup(format!(
            "the store at {store} already holds rules; start with an empty store"
        ))),
        Err(error) => Err(CommandError::Setup(error.to_string())),
    }
}

/// Generates the rules file of an experiment: teams, classes, the route policy of each model and
/// the further rules of the workload.
#[must_use]
pub fn experiment_rules(workload: &Workload, policy: &str) -> String {
    let mut lines = Vec::new();
    let mut teams: Vec<&String> = workload
        .classes
        .iter()
        .flat_map(|c| c.teams.keys())
        .collect();
    teams.sort_unstable();
    teams.dedup();
    for team in teams {
        let digest = RequestDigest(Sha256::digest(team_token(team)).into());
        lines.push(format!(
            "team {team} token sha256:{digest} # manager: takes part in the experiment"
        ));
    }
    for class in &workload.classes {
        let (name, priority) = (&class.name, &class.priority);
        lines.push(format!(
            "class {name} priority {priority} # crew lead: as in the workload file"
        ));
    }
    for model in model_names(workload) {
        lines.push(format!(
            "route {model} policy {policy} # manager: the policy under test"
        ));
    }
    lines.extend(workload.fleet.rules.iter().cloned());
    lines.push(String::new());
    lines.join("\n")
}

fn daemon_settings(
    workload: &Workload,
    network: u32,
    number: usize,
) -> Result<Value, CommandError> {
    let config = &workload.fleet;
    let location = &config.daemons[number - 1];
    let others = (1..=config.daemons.len()).filter(|other| *other != number);
    let peers: Result<Vec<String>, CommandError> = others
        .map(|other| Ok(loopback_address(network, 2, other, 7001)?.to_string()))
        .collect();
    Ok(json!({
        "location": {"zone": location.zone, "region": location.region},
        "listen": {
            "callers": loopback_address(network, 2, number, 7000)?,
            "peers": loopback_address(network, 2, number, 7001)?,
            "admin": loopback_address(network, 2, number, 7002)?,
        },
        "store": {"address": loopback_address(network, 3, 1, 2379)?, "timeout_ms": 500},
        "host_list": loopback_address(network, 3, 2, 2380)?,
        "peers": peers?,
        "fleet_keys": [STANDARD.encode("mimosagap-experiment-key")],
        "deployments": [{
            "name": DEPLOYMENT,
            "kind": "engine",
            "models": model_names(workload),
            "checks_fencing": true,
        }],
    }))
}

fn loopback_address(
    network: u32,
    group: u32,
    number: usize,
    port: u16,
) -> Result<SocketAddr, CommandError> {
    format!("127.{network}.{group}.{number}:{port}")
        .parse()
        .map_err(|_| {
            CommandError::Setup(
                "a fleet has at most 255 processes of each kind; reduce the workload's fleet"
                    .to_owned(),
            )
        })
}

fn http_agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent()
}
