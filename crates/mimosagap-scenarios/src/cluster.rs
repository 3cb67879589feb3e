//! The processes of a scenario: stand-ins, links, daemons and the `mimosagap` command-line tool.
//!
//! A link is a stand-in proxy that can delay, freeze or cut connections. Each target and each
//! daemon's connection to the store has one of its own.

use std::collections::{BTreeMap, BTreeSet};
use std::fs;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use crate::address::HostAddress;
use crate::caller::Endpoint;
use crate::check::{DaemonDrain, LeaveNotice, Outage};
use crate::control;
use crate::poller::RevisionPoller;
use crate::process::{ManagedProcess, binary_directory};

const START_TIMEOUT: Duration = Duration::from_secs(5);
/// How long a link may take to detect that its target exited or was restarted.
const LINK_TIMEOUT: Duration = Duration::from_secs(3);
const TARGET_PORT: u16 = 8_000;
const LINK_CONTROL_PORT: u16 = 8_001;
const CALLER_PORT: u16 = 7_000;
const PEER_PORT: u16 = 7_001;
const ADMIN_PORT: u16 = 7_002;
const STORE_PORT: u16 = 2_379;
const HOST_LIST_PORT: u16 = 2_380;
const FLEET_KEY: &str = "bWltb3NhZ2FwLXRlc3Qta2V5LTAwMQ==";

/// The deployment of all engines.
pub const ENGINE_DEPLOYMENT: &str = "assistant";
/// The model that all engines serve.
pub const MODEL: &str = "quotes";
/// The deployment of all plain services.
pub const SERVICE_DEPLOYMENT: &str = "agenda";

/// The result of a step; the error is a message for the report.
pub type StepResult<T = ()> = Result<T, String>;

/// The kind of a target.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A plain service.
    Service,
}

/// The command line and labels of a target.
#[derive(Debug, Clone)]
pub struct TargetOptions {
    /// The name of the target in the script.
    pub name: String,
    /// The kind, which sets the deployment.
    pub kind: TargetKind,
    /// The zone, from which the region is derived.
    pub zone: String,
    /// Additional command-line arguments of the stand-in.
    pub arguments: Vec<String>,
}

struct Target {
    options: TargetOptions,
    host: HostAddress,
    process: ManagedProcess,
    link_host: HostAddress,
    /// Killed when the target is dropped.
    _link_process: ManagedProcess,
    is_leaving: bool,
    /// Statistics of this target's earlier processes.
    previous_stats: Vec<Value>,
}

impl Target {
    /// The address that daemons and callers use: that of the link.
    fn link_address(&self) -> SocketAddr {
        self.link_host.port(TARGET_PORT)
    }

    fn direct_address(&self) -> SocketAddr {
        self.host.port(TARGET_PORT)
    }
}

/// The link between one daemon and the store.
struct StoreLink {
    host: HostAddress,
    /// Killed when the link is dropped.
    _process: ManagedProcess,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DaemonState {
    Running,
    Paused,
    Draining,
    Exited,
}

struct Daemon {
    host: HostAddress,
    store_link: StoreLink,
    zone: String,
    process: ManagedProcess,
    state: DaemonState,
    /// The number of the run, from 1; a restart adds 1.
    incarnation: u32,
}

/// All processes of one scenario. They are killed when this value is dropped.
pub struct Cluster {
    directory: PathBuf,
    seed: u64,
    store: Option<(HostAddress, ManagedProcess)>,
    host_list: Option<(HostAddress, ManagedProcess)>,
    targets: BTreeMap<String, Target>,
    daemons: BTreeMap<String, Daemon>,
    rules: Vec<String>,
    host_list_lag: Duration,
    /// Polls the daemons' rules revisions.
    pub revision_poller: RevisionPoller,
    /// Leave notices that targets were given.
    pub leave_notices: Vec<LeaveNotice>,
    /// Graceful shutdowns of daemons.
    pub drains: Vec<DaemonDrain>,
    /// Periods in which an endpoint, a daemon or a target, may break connections.
    pub outages: Vec<Outage>,
    /// Periods in which a fault of the store was injected.
    pub store_outages: Vec<Outage>,
}

/// The bearer token of a team in all scenarios.
#[must_use]
pub fn team_token(team: &str) -> String {
    format!("token-of-{team}")
}

/// The rule line that admits a team with its token.
#[must_use]
pub fn team_rule(team: &str) -> String {
    let digest = Sha256::digest(team_token(team).as_bytes());
    format!("team {team} token sha256:{digest:x} # manager: team of the scenario")
}

fn region_of(zone: &str) -> &str {
    zone.trim_end_matches(|c: char| c.is_ascii_digit())
}

fn error_text(error: &io::Error) -> String {
    error.to_string()
}

impl Cluster {
    /// A cluster without processes.
    ///
    /// # Errors
    /// The log directory cannot be created.
    pub fn new(name: &str) -> StepResult<Self> {
        let directory = binary_directory()
            .join("scenario-logs")
            .join(format!("{name}-{}", std::process::id()));
        fs::create_dir_all(&directory).map_err(|error| error_text(&error))?;
        Ok(Self {
            directory,
            seed: 1,
            store: None,
            host_list: None,
            targets: BTreeMap::new(),
            daemons: BTreeMap::new(),
            rules: Vec::new(),
            host_list_lag: Duration::ZERO,
            revision_poller: RevisionPoller::default(),
            leave_notices: Vec::new(),
            drains: Vec::new(),
            outages: Vec::new(),
            store_outages: Vec::new(),
        })
    }

    /// Sets the seed of engines that are started later.
    pub fn set_seed(&mut self, seed: u64) {
        self.seed = seed;
    }

    /// The directory of logs, settings and rules files.
    #[must_use]
    pub fn directory(&self) -> &Path {
        &self.directory
    }

    fn start(&self, name: &str, binary: &str, arguments: &[String]) -> StepResult<ManagedProcess> {
        ManagedProcess::start(name, binary, arguments, &self.directory)
            .map_err(|error| error_text(&error))
    }

    fn start_stand_in(
        &self,
        name: &str,
        subcommand: &str,
        listen: SocketAddr,
        options: &[String],
    ) -> StepResult<ManagedProcess> {
        let mut arguments = vec![
            subcommand.to_owned(),
            "--listen".to_owned(),
            listen.to_string(),
        ];
        arguments.extend_from_slice(options);
        let mut process = self.start(name, "mimosagap-standins", &arguments)?;
        process
            .wait_for_log("listening on", START_TIMEOUT)
            .map_err(|error| error_text(&error))?;
        Ok(process)
    }

    /// Starts the stand-in of the store.
    ///
    /// # Errors
    /// The process does not become ready within 5 s.
    pub fn start_store(&mut self, options: &[String]) -> StepResult {
        let host = HostAddress::new().map_err(|error| error_text(&error))?;
        let process = self.start_stand_in("store", "store", host.port(STORE_PORT), options)?;
        self.store = Some((host, process));
        Ok(())
    }

    /// Starts the stand-in of the host list.
    ///
    /// # Errors
    /// The process does not become ready within 5 s.
    pub fn start_host_list(&mut self) -> StepResult {
        let host = HostAddress::new().map_err(|error| error_text(&error))?;
        let process = self.start_stand_in("hosts", "hosts", host.port(HOST_LIST_PORT), &[])?;
        self.host_list = Some((host, process));
        Ok(())
    }

    /// The address of the store.
    ///
    /// # Errors
    /// It was not started.
    pub fn store_address(&self) -> StepResult<SocketAddr> {
        let (host, _) = self.store.as_ref().ok_or("start the store first")?;
        Ok(host.port(STORE_PORT))
    }

    /// The address of the host list.
    ///
    /// # Errors
    /// It was not started.
    pub fn host_list_address(&self) -> StepResult<SocketAddr> {
        let (host, _) = self.host_list.as_ref().ok_or("start the host list first")?;
        Ok(host.port(HOST_LIST_PORT))
    }

    /// Starts a target behind a link of its own, and adds it to the host list.
    ///
    /// # Errors
    /// A process does not become ready within 5 s, or the host list does not respond.
    pub fn start_target(&mut self, options: TargetOptions) -> StepResult {
        let host = HostAddress::new().map_err(|error| error_text(&error))?;
        let link_host = HostAddress::new().map_err(|error| error_text(&error))?;
        let process = self.start_target_process(&options, &host)?;
        let link_name = format!("link-{}", options.name);
        let to = host.port(TARGET_PORT);
        let link_process = self.start_link(&link_name, &link_host, TARGET_PORT, to)?;
        let target = Target {
            options,
            host,
            process,
            link_host,
            _link_process: link_process,
            is_leaving: false,
            previous_stats: Vec::new(),
        };
        self.targets.insert(target.options.name.clone(), target);
        self.publish_hosts()
    }

    fn start_target_process(
        &self,
        options: &TargetOptions,
        host: &HostAddress,
    ) -> StepResult<ManagedProcess> {
        let mut arguments = options.arguments.clone();
        let subcommand = match options.kind {
            TargetKind::Engine => {
                let seed = self.seed.to_string();
                arguments.extend(["--model", MODEL, "--seed", &seed].map(str::to_owned));
                "engine"
            }
            TargetKind::Service => "service",
        };
        self.start_stand_in(
            &options.name,
            subcommand,
            host.port(TARGET_PORT),
            &arguments,
        )
    }

    /// Replaces the content of the host list by the current targets.
    fn publish_hosts(&self) -> StepResult {
        let entries: Vec<Value> = self
            .targets
            .values()
            .map(|target| {
                let deployment = match target.options.kind {
                    TargetKind::Engine => ENGINE_DEPLOYMENT,
                    TargetKind::Service => SERVICE_DEPLOYMENT,
                };
                let state = if target.is_leaving { "leaving" } else { "live" };
                json!({
                    "targets": [target.link_address().to_string()],
                    "labels": {
                        "deployment": deployment,
                        "zone": target.options.zone,
                        "region": region_of(&target.options.zone),
                        "state": state,
                    },
                })
            })
            .collect();
        let address = self.host_list_address()?;
        control::put(address, "/control/hosts", &Value::Array(entries))
    }

    /// Sets the time after which the host list shows a change.
    ///
    /// # Errors
    /// It does not respond.
    pub fn set_host_list_lag(&mut self, ms: u64) -> StepResult {
        let address = self.host_list_address()?;
        self.host_list_lag = Duration::from_millis(ms);
        control::post(address, "/control/lag", &json!({ "ms": ms }))
    }

    fn target(&self, name: &str) -> StepResult<&Target> {
        self.targets
            .get(name)
            .ok_or_else(|| format!("no target {name}; start it first"))
    }

    fn target_mut(&mut self, name: &str) -> StepResult<&mut Target> {
        self.targets
            .get_mut(name)
            .ok_or_else(|| format!("no target {name}; start it first"))
    }

    /// Sends a control request to a target, past its link.
    ///
    /// # Errors
    /// It does not respond.
    pub fn control_target(&self, name: &str, path: &str, body: &Value) -> StepResult {
        control::post(self.target(name)?.direct_address(), path, body)
    }

    /// Sets the mode of the link to a target, or of a daemon's link to the store.
    ///
    /// # Errors
    /// The name is unknown, or the link does not respond.
    pub fn set_link(&mut self, name: &str, mode: &str, delay_ms: u64) -> StepResult {
        let body = json!({"mode": mode, "delay_ms": delay_ms});
        if let Some(daemon) = self.daemons.get(name) {
            let address = daemon.store_link.host.port(LINK_CONTROL_PORT);
            return control::post(address, "/control/mode", &body);
        }
        let address = self.target(name)?.link_host.port(LINK_CONTROL_PORT);
        // Callers that use the target as an endpoint may see broken connections during the fault.
        end_outage(&mut self.outages, name);
        if mode != "pass" {
            self.outages.push(Outage::begin(name));
        }
        control::post(address, "/control/mode", &body)
    }

    /// Gives a target the leave notice and marks it as leaving in the host list.
    ///
    /// # Errors
    /// The target or the host list does not respond.
    pub fn leave_target(&mut self, name: &str) -> StepResult {
        self.control_target(name, "/control/leave", &json!({}))?;
        let target = self.target_mut(name)?;
        target.is_leaving = true;
        let lag = match target.options.kind {
            TargetKind::Engine => Duration::ZERO,
            TargetKind::Service => self.host_list_lag,
        };
        let notice = LeaveNotice::new(name, lag);
        self.leave_notices.push(notice);
        self.publish_hosts()
    }

    /// The statistics of a target; those of a service include its ledger of executed orders.
    ///
    /// # Errors
    /// It does not respond.
    pub fn target_stats(&self, name: &str) -> StepResult<Value> {
        let target = self.target(name)?;
        let address = target.direct_address();
        let mut stats = control::get(address, "/control/stats")?;
        if target.options.kind == TargetKind::Service {
            stats["ledger"] = control::get(address, "/control/ledger")?;
        }
        Ok(stats)
    }

    /// Kills a target and waits until its link refuses connections.
    ///
    /// # Errors
    /// The operating system rejects the signal.
    pub fn kill_target(&mut self, name: &str) -> StepResult {
        let stats = self.target_stats(name);
        let target = self.target_mut(name)?;
        target.previous_stats.extend(stats);
        target.process.kill().map_err(|error| error_text(&error))?;
        let link_address = target.link_address();
        // The link detects that the target exited at the first connection that it cannot relay.
        poll_until(LINK_TIMEOUT, || TcpStream::connect(link_address).is_err())
            .map_err(|error| format!("the link to {name} still accepts connections: {error}"))
    }

    /// Restarts a target that has exited, at the same address.
    ///
    /// # Errors
    /// It is running, or does not become ready within 5 s.
    pub fn restart_target(&mut self, name: &str) -> StepResult {
        let target = self.target_mut(name)?;
        if target.process.is_running() {
            return Err(format!("{name} is running; kill it first"));
        }
        let target = self.target(name)?;
        // The log of the earlier process already contains the line that reports readiness.
        fs::write(self.directory.join(format!("{name}.log")), "")
            .map_err(|error| error_text(&error))?;
        let process = self.start_target_process(&target.options, &target.host)?;
        let target = self.target_mut(name)?;
        target.process = process;
        let link_address = target.link_address();
        poll_until(LINK_TIMEOUT, || TcpStream::connect(link_address).is_ok())
            .map_err(|error| format!("the link to {name} still refuses connections: {error}"))
    }

    /// Waits until a target's process has exited by itself.
    ///
    /// # Errors
    /// `timeout` passes first.
    pub fn wait_for_target_exit(&mut self, name: &str, timeout: Duration) -> StepResult {
        let target = self.target_mut(name)?;
        let exit = target.process.wait_for_exit(timeout);
        exit.map(|_| ()).map_err(|error| error_text(&error))
    }

    /// The number of running targets of a kind.
    pub fn running_targets(&mut self, kind: TargetKind) -> usize {
        let targets = self.targets.values_mut();
        targets
            .filter(|target| target.options.kind == kind)
            .filter_map(|target| target.process.is_running().then_some(()))
            .count()
    }

    /// Starts a daemon with a link of its own to the store.
    ///
    /// # Errors
    /// It does not accept connections within 5 s.
    pub fn start_daemon(&mut self, name: &str, zone: &str) -> StepResult {
        let host = HostAddress::new().map_err(|error| error_text(&error))?;
        let store_link = self.start_store_link(name)?;
        let store = store_link.host.port(STORE_PORT);
        let process = self.start_daemon_process(name, zone, &host, store, 1)?;
        let daemon = Daemon {
            host,
            store_link,
            zone: zone.to_owned(),
            process,
            state: DaemonState::Running,
            incarnation: 1,
        };
        self.daemons.insert(name.to_owned(), daemon);
        self.poll_revisions(name)
    }

    fn start_store_link(&self, daemon: &str) -> StepResult<StoreLink> {
        let host = HostAddress::new().map_err(|error| error_text(&error))?;
        let name = format!("link-store-{daemon}");
        let process = self.start_link(&name, &host, STORE_PORT, self.store_address()?)?;
        Ok(StoreLink {
            host,
            _process: process,
        })
    }

    fn start_link(
        &self,
        name: &str,
        host: &HostAddress,
        port: u16,
        to: SocketAddr,
    ) -> StepResult<ManagedProcess> {
        let options = [
            "--to".to_owned(),
            to.to_string(),
            "--control".to_owned(),
            host.port(LINK_CONTROL_PORT).to_string(),
        ];
        self.start_stand_in(name, "proxy", host.port(port), &options)
    }

    fn poll_revisions(&mut self, name: &str) -> StepResult {
        let daemon = self.daemon(name)?;
        let run_label = format!("{name}#{}", daemon.incarnation);
        let address = daemon.host.port(ADMIN_PORT);
        self.revision_poller.start_polling(&run_label, address);
        Ok(())
    }

    fn start_daemon_process(
        &self,
        name: &str,
        zone: &str,
        host: &HostAddress,
        store: SocketAddr,
        incarnation: u32,
    ) -> StepResult<ManagedProcess> {
        let path = self.directory.join(format!("{name}.json"));
        let settings = self.daemon_settings(name, zone, host, store)?;
        fs::write(&path, settings.to_string()).map_err(|error| error_text(&error))?;
        let arguments = ["--settings".to_owned(), path.display().to_string()];
        let log = format!("{name}-{incarnation}");
        let mut process = self.start(&log, "mimosagapd", &arguments)?;
        wait_for_port(&mut process, host.port(CALLER_PORT))?;
        Ok(process)
    }

    fn daemon_settings(
        &self,
        name: &str,
        zone: &str,
        host: &HostAddress,
        store: SocketAddr,
    ) -> StepResult<Value> {
        let peers: Vec<String> = self
            .daemons
            .iter()
            .filter(|(other, _)| *other != name)
            .map(|(_, daemon)| daemon.host.port(PEER_PORT).to_string())
            .collect();
        Ok(json!({
            "location": {"zone": zone, "region": region_of(zone)},
            "listen": {
                "callers": host.port(CALLER_PORT),
                "peers": host.port(PEER_PORT),
                "admin": host.port(ADMIN_PORT),
            },
            "store": {"address": store, "timeout_ms": 500},
            "host_list": self.host_list_address()?,
            "peers": peers,
            "fleet_keys": [FLEET_KEY],
            "deployments": [
                {"name": ENGINE_DEPLOYMENT, "kind": "engine", "models": [MODEL],
                 "checks_fencing": true},
                {"name": SERVICE_DEPLOYMENT, "kind": "service", "repeatable": ["GET /visits"],
                 "first_byte_timeout_ms": 3_000},
            ],
        }))
    }

    fn daemon(&self, name: &str) -> StepResult<&Daemon> {
        self.daemons
            .get(name)
            .ok_or_else(|| format!("no daemon {name}; start it first"))
    }

    fn daemon_mut(&mut self, name: &str) -> StepResult<&mut Daemon> {
        self.daemons
            .get_mut(name)
            .ok_or_else(|| format!("no daemon {name}; start it first"))
    }

    /// The names of all daemons, running or not.
    #[must_use]
    pub fn daemon_names(&self) -> Vec<String> {
        self.daemons.keys().cloned().collect()
    }

    /// The address on which callers reach a daemon, or a target through its link.
    ///
    /// # Errors
    /// There is no such process.
    pub fn endpoint(&self, name: &str) -> StepResult<Endpoint> {
        let address = match self.daemons.get(name) {
            Some(daemon) => daemon.host.port(CALLER_PORT),
            None => self.target(name)?.link_address(),
        };
        Ok(Endpoint {
            name: name.to_owned(),
            address,
        })
    }

    /// Kills a daemon with SIGKILL.
    ///
    /// # Errors
    /// The operating system rejects the signal.
    pub fn kill_daemon(&mut self, name: &str) -> StepResult {
        self.outages.push(Outage::begin(name));
        let daemon = self.daemon_mut(name)?;
        daemon.state = DaemonState::Exited;
        daemon.process.kill().map_err(|error| error_text(&error))?;
        let run_label = format!("{name}#{}", daemon.incarnation);
        self.revision_poller.stop_polling(&run_label);
        Ok(())
    }

    /// Restarts a daemon that has exited, at the same address. The new run has a label of its own.
    ///
    /// # Errors
    /// It is running, or does not accept connections within 5 s.
    pub fn restart_daemon(&mut self, name: &str) -> StepResult {
        let daemon = self.daemon_mut(name)?;
        if daemon.process.is_running() {
            return Err(format!("{name} is running; kill or terminate it first"));
        }
        daemon.incarnation += 1;
        let daemon = self.daemon(name)?;
        let store = daemon.store_link.host.port(STORE_PORT);
        let process =
            self.start_daemon_process(name, &daemon.zone, &daemon.host, store, daemon.incarnation)?;
        let daemon = self.daemon_mut(name)?;
        daemon.process = process;
        daemon.state = DaemonState::Running;
        end_outage(&mut self.outages, name);
        self.poll_revisions(name)
    }

    /// Suspends a daemon with SIGSTOP.
    ///
    /// # Errors
    /// The process no longer exists.
    pub fn pause_daemon(&mut self, name: &str) -> StepResult {
        self.outages.push(Outage::begin(name));
        let daemon = self.daemon_mut(name)?;
        daemon.state = DaemonState::Paused;
        daemon.process.pause().map_err(|error| error_text(&error))
    }

    /// Continues a suspended daemon with SIGCONT.
    ///
    /// # Errors
    /// The process no longer exists.
    pub fn resume_daemon(&mut self, name: &str) -> StepResult {
        let daemon = self.daemon_mut(name)?;
        daemon.state = DaemonState::Running;
        daemon
            .process
            .resume()
            .map_err(|error| error_text(&error))?;
        end_outage(&mut self.outages, name);
        Ok(())
    }

    /// Sends SIGTERM to a daemon, which then drains.
    ///
    /// # Errors
    /// The process no longer exists.
    pub fn terminate_daemon(&mut self, name: &str) -> StepResult {
        let daemon = self.daemon_mut(name)?;
        daemon.state = DaemonState::Draining;
        daemon
            .process
            .terminate()
            .map_err(|error| error_text(&error))?;
        self.drains.push(DaemonDrain::begin(name));
        Ok(())
    }

    /// Waits until a draining daemon has exited, and requires exit code 0.
    ///
    /// # Errors
    /// `timeout` passes first, or the exit code is not 0.
    pub fn wait_for_daemon_exit(&mut self, name: &str, timeout: Duration) -> StepResult {
        let daemon = self.daemon_mut(name)?;
        let exit = daemon.process.wait_for_exit(timeout);
        let status = exit.map_err(|error| error_text(&error))?;
        daemon.state = DaemonState::Exited;
        let run_label = format!("{name}#{}", daemon.incarnation);
        self.revision_poller.stop_polling(&run_label);
        for drain in &mut self.drains {
            if drain.daemon == name {
                drain.end.get_or_insert_with(Instant::now);
            }
        }
        if status.success() {
            Ok(())
        } else {
            Err(format!("{name} exited with {status}"))
        }
    }

    /// The labels of all running daemons' runs. These must have the newest rules at the end.
    #[must_use]
    pub fn running_daemons(&self) -> BTreeSet<String> {
        let running = self.daemons.iter();
        running
            .filter(|(_, daemon)| daemon.state == DaemonState::Running)
            .map(|(name, daemon)| format!("{name}#{}", daemon.incarnation))
            .collect()
    }

    /// Injects a fault into the store, or removes it with kind `none`.
    ///
    /// # Errors
    /// The store does not respond.
    pub fn set_store_fault(&mut self, fault: &Value) -> StepResult {
        control::post(self.store_address()?, "/control/fault", fault)?;
        end_outage(&mut self.store_outages, "store");
        if fault["kind"] != json!("none") {
            self.store_outages.push(Outage::begin("store"));
        }
        Ok(())
    }

    /// The number of calls that the store's fault affected.
    ///
    /// # Errors
    /// The store does not respond.
    pub fn store_fault_hits(&self) -> StepResult<u64> {
        let fault = control::get(self.store_address()?, "/control/fault")?;
        Ok(fault["hits"].as_u64().unwrap_or_default())
    }

    /// Adds a line to the rules file without applying it.
    pub fn add_rule(&mut self, line: &str) {
        self.rules.push(line.to_owned());
    }

    /// Runs two operators who apply the rules file concurrently on top of the same revision, each
    /// with a line of their own. A line that is accepted is added to the rules file.
    ///
    /// # Errors
    /// The store does not respond.
    pub fn apply_concurrently(&mut self, lines: [&str; 2]) -> StepResult<Vec<StepResult>> {
        let base_revision = self.stored_revision()?;
        let cluster: &Self = self;
        let results: Vec<StepResult> = std::thread::scope(|scope| {
            let operators: Vec<_> = (1..)
                .zip(lines)
                .map(|(number, line): (u32, _)| {
                    let mut rules = cluster.rules.clone();
                    rules.push(line.to_owned());
                    let file = format!("operator-{number}.txt");
                    scope.spawn(move || cluster.apply_file(&file, base_revision, &rules))
                })
                .collect();
            let joined = operators
                .into_iter()
                .map(std::thread::ScopedJoinHandle::join);
            joined
                .map(|result| {
                    result.unwrap_or_else(|_| {
                        Err("the thread that runs the tool panicked".to_owned())
                    })
                })
                .collect()
        });
        let accepted = lines
            .iter()
            .zip(&results)
            .filter(|(_, result)| result.is_ok());
        self.rules
            .extend(accepted.map(|(line, _)| (*line).to_owned()));
        Ok(results)
    }

    /// Writes the rules file and applies it with the `mimosagap` tool on top of the stored
    /// revision.
    ///
    /// # Errors
    /// The tool fails; the text is its output.
    pub fn apply_rules(&self) -> StepResult {
        self.apply_file("rules.txt", self.stored_revision()?, &self.rules)
    }

    fn apply_file(&self, file: &str, base_revision: u64, rules: &[String]) -> StepResult {
        let path = self.directory.join(file);
        let mut content = rules.join("\n") + "\n";
        if base_revision > 0 {
            content.insert_str(0, &format!("# revision {base_revision}\n"));
        }
        fs::write(&path, content).map_err(|error| error_text(&error))?;
        let store = self.store_address()?.to_string();
        let path = path.display().to_string();
        self.run_tool(&["rules", "apply", &path, "--store", &store])
            .map(|_| ())
    }

    /// Runs the `mimosagap` tool and returns its output.
    ///
    /// # Errors
    /// The tool is not built, or fails; the text holds its output.
    pub fn run_tool(&self, arguments: &[&str]) -> StepResult<String> {
        let path = binary_directory().join("mimosagap");
        let output = Command::new(&path)
            .args(arguments)
            .output()
            .map_err(|error| {
                format!(
                    "{} did not start: {error}; run ./test to build it",
                    path.display()
                )
            })?;
        let mut text = String::from_utf8_lossy(&output.stdout).into_owned();
        text.push_str(&String::from_utf8_lossy(&output.stderr));
        if output.status.success() {
            Ok(text)
        } else {
            Err(format!("mimosagap {}: {text}", arguments.join(" ")))
        }
    }

    /// The revision of the rules in the store; 0 if there are none.
    ///
    /// # Errors
    /// The store does not respond.
    pub fn stored_revision(&self) -> StepResult<u64> {
        let dump = control::get(self.store_address()?, "/control/dump")?;
        let Some(record) = dump["keys"]["mg/rules/text"]["value"].as_str() else {
            return Ok(0);
        };
        let record: Value = serde_json::from_str(record).map_err(|error| error.to_string())?;
        Ok(record["revision"].as_u64().unwrap_or_default())
    }

    /// How often the services have executed an order.
    #[must_use]
    pub fn executions(&self, key: &str) -> u64 {
        let services = self
            .targets
            .iter()
            .filter(|(_, target)| target.options.kind == TargetKind::Service);
        services
            .flat_map(|(name, target)| {
                target
                    .previous_stats
                    .iter()
                    .cloned()
                    .chain(self.target_stats(name))
            })
            .filter_map(|stats| stats["ledger"][key].as_u64())
            .sum()
    }

    /// The statistics of all targets including their earlier processes, and the targets without
    /// any.
    #[must_use]
    pub fn collect_target_stats(&self) -> TargetStats {
        let mut target_stats = TargetStats::default();
        for (name, target) in &self.targets {
            let current = self.target_stats(name);
            if current.is_err() && target.previous_stats.is_empty() {
                target_stats.missing.push(name.clone());
            }
            let stats = target.previous_stats.iter().cloned().chain(current);
            target_stats
                .stats
                .insert(name.clone(), (target.options.kind, stats.collect()));
        }
        target_stats
    }

    /// The last `lines` lines of every log, for a failure report.
    #[must_use]
    pub fn log_tails(&self, lines: usize) -> String {
        let mut report = String::new();
        let Ok(entries) = fs::read_dir(&self.directory) else {
            return report;
        };
        let mut paths: Vec<PathBuf> = entries.flatten().map(|entry| entry.path()).collect();
        paths.sort();
        for path in paths
            .iter()
            .filter(|path| path.extension().is_some_and(|e| e == "log"))
        {
            let log = fs::read_to_string(path).unwrap_or_default();
            let all_lines: Vec<&str> = log.lines().collect();
            let tail = &all_lines[all_lines.len().saturating_sub(lines)..];
            report.push_str("--- ");
            report.push_str(&path.display().to_string());
            report.push('\n');
            report.push_str(&tail.join("\n"));
            report.push('\n');
        }
        report
    }
}

/// Statistics of the targets at the end of a scenario.
#[derive(Debug, Default)]
pub struct TargetStats {
    /// Statistics by target, one value for each process.
    pub stats: BTreeMap<String, (TargetKind, Vec<Value>)>,
    /// Targets without any statistics.
    pub missing: Vec<String>,
}

fn end_outage(outages: &mut [Outage], name: &str) {
    for outage in outages.iter_mut().filter(|outage| outage.name == name) {
        outage.end.get_or_insert_with(Instant::now);
    }
}

fn poll_until(timeout: Duration, mut condition: impl FnMut() -> bool) -> StepResult {
    let start = Instant::now();
    while !condition() {
        if start.elapsed() > timeout {
            return Err(format!("no change within {timeout:?}"));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}

fn wait_for_port(process: &mut ManagedProcess, address: SocketAddr) -> StepResult {
    let start = Instant::now();
    while TcpStream::connect(address).is_err() {
        if !process.is_running() || start.elapsed() > START_TIMEOUT {
            let log = process.read_log();
            return Err(format!(
                "no process listens on {address}; the log is:\n{log}"
            ));
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    Ok(())
}
