//! The processes of an experiment: engines, store, host list and daemons.

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
use crate::process::OwnedProcess;
use crate::workload::{FleetShape, Site, Workload};

/// How long a daemon may take until it serves a generation.
const READY_TIMEOUT: Duration = Duration::from_secs(20);

const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The lowest second number of the loopback networks that fleets use. A fleet takes the network of
/// its process id and slot, so that two runs at the same time do not meet.
const FIRST_NETWORK: u32 = 64;

const NETWORKS: u32 = 128;

/// Fleets that one process may run at the same time.
pub const SLOTS: u32 = 8;

/// The name of the engines' deployment.
const DEPLOYMENT: &str = "models";

/// What to start.
#[derive(Debug)]
pub struct FleetOptions<'o> {
    /// The directory of the binaries.
    pub binaries: &'o Path,
    /// Where settings and logs are written.
    pub directory: PathBuf,
    /// Shape, teams, classes and models.
    pub workload: &'o Workload,
    /// The route policy; without one no daemon, store or host list is started.
    pub policy: Option<&'o str>,
    /// Seed of the engines.
    pub seed: u64,
    /// Tells fleets of one process apart.
    pub slot: u32,
}

/// Running processes.
#[derive(Debug)]
pub struct Fleet {
    /// The engines' addresses.
    pub engines: Vec<SocketAddr>,
    /// The daemons' addresses for callers.
    pub daemons: Vec<SocketAddr>,
    /// The daemons' process ids.
    pub daemon_ids: Vec<u32>,
    hosts: Option<SocketAddr>,
    sites: Vec<Site>,
    processes: Vec<OwnedProcess>,
}

impl Fleet {
    /// Starts the processes and waits until each daemon serves generations.
    ///
    /// # Errors
    /// A binary is missing, a process does not start, or a daemon does not serve in time.
    pub fn start(options: &FleetOptions<'_>) -> Result<Self, CommandError> {
        fs::create_dir_all(&options.directory)?;
        let network = FIRST_NETWORK + (std::process::id() * SLOTS + options.slot) % NETWORKS;
        let shape = &options.workload.fleet;
        let mut fleet = Self {
            engines: Vec::new(),
            daemons: Vec::new(),
            daemon_ids: Vec::new(),
            hosts: None,
            sites: shape.engines.clone(),
            processes: Vec::new(),
        };
        for number in 1..=shape.engines.len() {
            let address = address(network, 1, number, 8000)?;
            fleet.start_engine(options, number, address)?;
        }
        if let Some(policy) = options.policy {
            fleet.start_platform(options, network, policy)?;
            for number in 1..=shape.daemons.len() {
                fleet.start_daemon(options, network, number)?;
            }
            fleet.await_daemons(options)?;
        }
        Ok(fleet)
    }

    fn start_engine(
        &mut self,
        options: &FleetOptions<'_>,
        number: usize,
        address: SocketAddr,
    ) -> Result<(), CommandError> {
        let shape = &options.workload.fleet;
        let mut words = engine_words(shape, options.seed * 1_000 + number as u64);
        for model in models(options.workload) {
            words.extend(["--model".to_owned(), model]);
        }
        self.start_stand_in(options, "engine", address, &words)?;
        self.engines.push(address);
        Ok(())
    }

    fn start_platform(
        &mut self,
        options: &FleetOptions<'_>,
        network: u32,
        policy: &str,
    ) -> Result<(), CommandError> {
        let store = address(network, 3, 1, 2379)?;
        let hosts = address(network, 3, 2, 2380)?;
        self.start_stand_in(options, "store", store, &[])?;
        self.start_stand_in(options, "hosts", hosts, &[])?;
        self.hosts = Some(hosts);
        self.list_hosts(&[])?;
        let rules = rules_text(options.workload, policy);
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
        let (process, _) = OwnedProcess::start(&mut command)?;
        self.daemon_ids.push(process.id());
        self.processes.push(process);
        self.daemons.push(address(network, 2, number, 7000)?);
        Ok(())
    }

    fn start_stand_in(
        &mut self,
        options: &FleetOptions<'_>,
        kind: &str,
        address: SocketAddr,
        words: &[String],
    ) -> Result<(), CommandError> {
        let binary = options.binaries.join("mimosagap-standins");
        let mut command = Command::new(&binary);
        command
            .args([kind, "--listen", &address.to_string()])
            .args(words)
            .stdin(Stdio::null())
            .stdout(Stdio::piped());
        let (process, output) = OwnedProcess::start(&mut command)?;
        self.processes.push(process);
        let mut line = String::new();
        if let Some(output) = output {
            BufReader::new(output).read_line(&mut line)?;
        }
        if line.starts_with("listening on ") {
            Ok(())
        } else {
            let cause = format!("{kind} at {address} did not start; see its message above");
            Err(CommandError::Setup(cause))
        }
    }

    /// Puts the host list, with the engines at these positions as leaving.
    ///
    /// # Errors
    /// The host list does not answer.
    pub fn list_hosts(&self, leaving: &[usize]) -> Result<(), CommandError> {
        let Some(hosts) = self.hosts else {
            return Ok(());
        };
        put_hosts(hosts, &host_list(&self.engines, &self.sites, leaving))
    }

    /// What [`Self::list_hosts`] does, to be called later from another thread.
    pub fn host_lister(&self) -> impl Fn(&[usize]) + Send + Clone + 'static {
        let (hosts, engines, sites) = (self.hosts, self.engines.clone(), self.sites.clone());
        move |leaving: &[usize]| {
            let Some(hosts) = hosts else { return };
            if let Err(error) = put_hosts(hosts, &host_list(&engines, &sites, leaving)) {
                eprintln!("{error}");
            }
        }
    }

    fn await_daemons(&self, options: &FleetOptions<'_>) -> Result<(), CommandError> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for daemon in &self.daemons {
            let mut cause = String::new();
            while let Err(found) = probe(*daemon, options.workload) {
                cause = found;
                if Instant::now() > deadline {
                    let log = options.directory.display();
                    return Err(CommandError::Setup(format!(
                        "daemon {daemon} serves no generation: {cause}; see its log in {log}"
                    )));
                }
                std::thread::sleep(Duration::from_millis(100));
            }
            drop(cause);
        }
        Ok(())
    }
}

fn engine_words(shape: &FleetShape, seed: u64) -> Vec<String> {
    [
        ("--memory-tokens", shape.memory_tokens),
        ("--step-ms", shape.step_ms),
        ("--stream-us", shape.stream_us),
        ("--prefill-us", shape.prefill_us),
        ("--max-streams", u64::from(shape.max_streams)),
        ("--seed", seed),
    ]
    .into_iter()
    .flat_map(|(name, value)| [name.to_owned(), value.to_string()])
    .collect()
}

fn models(workload: &Workload) -> Vec<String> {
    let mut models: Vec<String> = workload
        .classes
        .iter()
        .map(|class| class.model.clone())
        .collect();
    models.sort_unstable();
    models.dedup();
    models
}

fn host_list(engines: &[SocketAddr], sites: &[Site], leaving: &[usize]) -> Value {
    let entries = engines.iter().zip(sites).enumerate();
    entries
        .map(|(number, (address, site))| {
            let state = if leaving.contains(&number) {
                "leaving"
            } else {
                "live"
            };
            json!({
                "targets": [address.to_string()],
                "labels": {
                    "deployment": DEPLOYMENT,
                    "zone": site.zone,
                    "region": site.region,
                    "state": state,
                },
            })
        })
        .collect()
}

fn put_hosts(hosts: SocketAddr, list: &Value) -> Result<(), CommandError> {
    let url = format!("http://{hosts}/control/hosts");
    let result = agent().put(url).send_json(list);
    result
        .map(drop)
        .map_err(|error| CommandError::Setup(format!("host list at {hosts}: {error}")))
}

/// Runs one short generation.
fn probe(daemon: SocketAddr, workload: &Workload) -> Result<(), String> {
    let mix = &workload.classes[0];
    let team = mix.teams.keys().next().map_or("", String::as_str);
    let body = json!({
        "model": mix.model,
        "input": "probe",
        "metadata": {"class": mix.name, "output_tokens": "1", "request": "probe"},
    });
    let result = agent()
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
            "the store at {store} is not empty"
        ))),
        Err(error) => Err(CommandError::Setup(error.to_string())),
    }
}

/// The rules file of an experiment.
#[must_use]
pub fn rules_text(workload: &Workload, policy: &str) -> String {
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
    for model in models(workload) {
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
    let shape = &workload.fleet;
    let site = &shape.daemons[number - 1];
    let others = (1..=shape.daemons.len()).filter(|other| *other != number);
    let peers: Result<Vec<String>, CommandError> = others
        .map(|other| Ok(address(network, 2, other, 7001)?.to_string()))
        .collect();
    Ok(json!({
        "location": {"zone": site.zone, "region": site.region},
        "listen": {
            "callers": address(network, 2, number, 7000)?,
            "peers": address(network, 2, number, 7001)?,
            "admin": address(network, 2, number, 7002)?,
        },
        "store": {"address": address(network, 3, 1, 2379)?, "timeout_ms": 500},
        "host_list": address(network, 3, 2, 2380)?,
        "peers": peers?,
        "fleet_keys": [STANDARD.encode("mimosagap-experiment-key")],
        "deployments": [{
            "name": DEPLOYMENT,
            "kind": "engine",
            "models": models(workload),
            "checks_fencing": true,
        }],
    }))
}

fn address(network: u32, group: u32, number: usize, port: u16) -> Result<SocketAddr, CommandError> {
    format!("127.{network}.{group}.{number}:{port}")
        .parse()
        .map_err(|_| CommandError::Setup("a fleet has at most 255 processes of a kind".to_owned()))
}

fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(CALL_TIMEOUT))
        .build()
        .new_agent()
}
