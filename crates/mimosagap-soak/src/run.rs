//! One run of the soak: starts the fleet and the clients, injects the faults of a plan, lets the
//! fleet recover, and checks what clients, targets and logs recorded.

use std::collections::HashMap;
use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use mimosagap_explain::{FailureCause, LogRecord, LogSet};
use mimosagap_standins::proxy::{LinkMode, LinkProxy};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::checker::{FailedRequest, InvariantChecker, RequestKind};
use crate::client::{
    API_KEYS, CLIENTS_PER_GATEWAY, ClientContext, MAX_CLIENTS, ROUTE_HOSTNAME, RequestSpec,
    run_client, run_crashing_client, run_repeating_client, run_resuming_client, send_request,
};
use crate::crash_check::CrashOutcome;
use crate::isolation_check::IsolationOutcome;
use crate::plan::{
    CRASHING_PARTS, Fault, FaultPlan, FaultStep, FleetLink, ODD_ENTRIES, PLAIN_TARGET_COUNT,
};
use crate::process::{GatewayPlace, GatewayProcess, zone_name};
use crate::rate_check::RateUsage;
use crate::standins::store::{StoreMode, StoreStandin};
use crate::standins::target::{
    ENGINE_SERVICE, PLAIN_SERVICE, TargetContext, TargetMode, TargetPlace, TargetStandin,
};
use crate::version_check::VersionOutcome;

/// Number of the software version of all targets at the start.
const FIRST_VERSION: u8 = 1;

/// A fleet of more gateways than this has three regions.
const MAX_GATEWAYS_OF_ONE_REGION: usize = 16;

/// Regions of a large fleet, each with one zone.
const REGION_COUNT: usize = 3;

/// Time for a gateway of a large fleet to start and read the store.
const START_TIME_PER_GATEWAY: Duration = Duration::from_millis(30);

/// The fleet must serve requests as before this long after the last fault.
const RECOVERY_TIME: Duration = Duration::from_secs(8);

/// Requests that are sent after the recovery, and how many of them must succeed.
const RECOVERY_PROBES: (u32, u32) = (40, 36);

/// Time from the draining or crash of a target until it is stopped and removed from the store.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Time from the crash of a target under a request until another one takes its place, and until its
/// registration expires.
const CRASH_RESTART_TIME: Duration = Duration::from_millis(1500);
const CRASH_LEASE_TIME: Duration = Duration::from_secs(3);

/// Time for which a target announces its draining in its responses before it stops.
const ANNOUNCE_TIME: Duration = Duration::from_secs(6);

/// Each version of the configuration keeps the routes that this many versions before it added.
const RETAINED_ROUTES: u64 = 3;

/// Delay that a slow link adds in each direction.
const LINK_DELAY: Duration = Duration::from_millis(300);

/// Time without requests before the resources of the gateways are checked.
const IDLE_TIME: Duration = Duration::from_secs(1);

/// Limit on the file descriptors of an idle gateway: listeners and runtime, the store, the other
/// gateways, and a few idle connections for each target and client.
const MAX_DESCRIPTORS: usize = 120;

/// Limit on the peak resident memory of a gateway, the `memory_mb` of its settings.
const MAX_MEMORY_BYTES: u64 = 64 << 20;

/// A gateway must exit this long after SIGTERM, the `grace_period_s` of its settings.
const SHUTDOWN_LIMIT: Duration = Duration::from_secs(4);

/// A response that a gateway sent before it was killed reaches its client within this time: the
/// delay of its link, and as long again for a busy machine.
const RESPONSE_TRANSIT_TIME: Duration = Duration::from_millis(600);

/// A gateway writes its buffered log lines at least this often, with a margin for a busy machine.
const LOG_FLUSH_INTERVAL: Duration = Duration::from_secs(1);

/// The options of a run.
#[derive(Debug, Clone)]
pub struct RunOptions {
    /// Determines the faults and the requests.
    pub plan: FaultPlan,
    /// The executable of the gateway.
    pub program: PathBuf,
    /// The executable of another build, which all gateways run at first. Each is upgraded at its
    /// first restart, so that both builds run side by side.
    pub earlier_program: Option<PathBuf>,
    /// Where settings and logs are written.
    pub directory: PathBuf,
    /// First port of the first gateway; each gateway after it has the next ten ports.
    pub base_port: u16,
}

/// The result of a run.
#[derive(Debug, Clone)]
pub struct RunOutcome {
    /// Requests that clients sent.
    pub sent: usize,
    /// Requests that succeeded.
    pub served: usize,
    /// Streams that were migrated to another target while the first one was still executing them.
    pub live_migrations: usize,
    /// How far the rate limits of targets were used, of those that held long enough undisturbed.
    pub rate_usages: Vec<RateUsage>,
    /// How the series of requests with a crashing part went.
    pub crash_outcomes: Vec<CrashOutcome>,
    /// How streams fared beside engines of other software versions.
    pub version_outcome: VersionOutcome,
    /// Targets that gateways took for crashed, counted once for each request.
    pub reported_crashes: usize,
    /// How requests fared at gateways that were cut off from all targets, and at the others.
    pub isolation_outcome: IsolationOutcome,
    /// Requests that a target executed and that got no complete response, whatever the cause.
    pub cut_requests: Vec<String>,
    /// Violated guarantees, in the order in which they were found.
    pub violations: Vec<String>,
}

/// The processes and stand-ins of a run, and the faults to be reverted.
struct SoakFleet {
    checker: Rc<InvariantChecker>,
    target_context: Rc<TargetContext>,
    store: Rc<StoreStandin>,
    gateways: Vec<ProxiedGateway>,
    /// `None` until the clients are started.
    client_context: Option<Rc<ClientContext>>,
    /// Which gateways were killed and when they last ran: the last lines of their logs are lost.
    kills: Vec<(usize, Instant)>,
    targets: Vec<Rc<TargetStandin>>,
    /// The number of the software version of the target at each index.
    target_versions: Vec<u8>,
    /// The number in the name of the last target that was started.
    last_target_number: u64,
    region_count: usize,
    /// The executable that restarted gateways run.
    program: PathBuf,
    /// Faults that have to be reverted, and when.
    pending_reverts: Vec<(Instant, FaultRevert)>,
    /// Targets that crashed under a request and are to be replaced, and when.
    pending_restarts: Vec<(Instant, usize)>,
}

/// A gateway process and the proxies that inject faults into its links.
struct ProxiedGateway {
    process: GatewayProcess,
    client_proxy: LinkProxy,
    store_proxy: LinkProxy,
    /// When the process was suspended; `None` while it is not.
    suspended_at: Option<Instant>,
    /// Whether the process was killed or asked to stop.
    is_ending: bool,
}

impl ProxiedGateway {
    /// Kills the process. Returns when it last ran, which is before `now` if it is suspended.
    fn kill(&mut self, now: Instant) -> Instant {
        self.process.kill();
        self.is_ending = true;
        self.suspended_at.take().unwrap_or(now)
    }
}

/// What the logs of a run count.
struct LogCounts {
    /// Streams that were migrated while their first target was executing them.
    live_migrations: usize,
    /// Targets that gateways took for crashed, once for each request.
    reported_crashes: usize,
}

enum FaultRevert {
    Store,
    /// The store comes back from a copy of this age.
    RestoreStore(Duration),
    Link(FleetLink),
    /// The isolated gateways reach the targets again.
    ReconnectGateways,
    Target(usize),
    ResumeGateway(usize),
    RemoveTarget(Rc<TargetStandin>),
    RegisterTarget(Rc<TargetStandin>),
}

/// Runs a plan and checks the guarantees. It must be called within a `LocalSet`.
///
/// # Errors
/// If the processes or listeners cannot be started, or a log cannot be read.
pub async fn run_soak(options: &RunOptions) -> std::io::Result<RunOutcome> {
    std::fs::create_dir_all(&options.directory)?;
    let mut fleet = SoakFleet::start(options).await?;
    let addresses = fleet
        .gateways
        .iter()
        .map(|gateway| gateway.client_proxy.address());
    let context = Rc::new(ClientContext::new(
        Rc::clone(&fleet.checker),
        addresses.collect(),
    ));
    fleet.client_context = Some(Rc::clone(&context));
    let FaultPlan {
        seed,
        length,
        steps,
        gateway_count,
        resuming_clients,
        ..
    } = &options.plan;
    let start_time = START_TIME_PER_GATEWAY * u32::try_from(*gateway_count).unwrap_or(u32::MAX);
    tokio::time::sleep(start_time.max(Duration::from_secs(1))).await;
    let client_count = (CLIENTS_PER_GATEWAY * gateway_count).min(MAX_CLIENTS) as u64;
    let client_seed = |number: u64| seed.wrapping_mul(1000).wrapping_add(number);
    let mut tasks: Vec<_> = (0..client_count)
        .map(|number| {
            tokio::task::spawn_local(run_client(Rc::clone(&context), client_seed(number)))
        })
        .collect();
    tasks.extend((0..*resuming_clients as u64).map(|number| {
        let client = run_resuming_client(
            Rc::clone(&context),
            Rc::clone(&fleet.target_context),
            client_seed(client_count + number),
        );
        tokio::task::spawn_local(client)
    }));
    fleet.inject_faults(steps, *length).await?;
    fleet.recover().await?;
    context.is_stopping.set(true);
    for task in tasks {
        // A client that panicked shows in the request counts.
        let _ = task.await;
    }
    fleet.check_recovery(&context, *seed).await;
    fleet.checker.check_retry_budget();
    let crash_outcomes = fleet.checker.crash_outcomes();
    for violation in crash_outcomes
        .iter()
        .filter_map(CrashOutcome::sound_violation)
    {
        fleet.checker.record_violation(violation);
    }
    let isolation_outcome = fleet.checker.isolation_outcome();
    if let Some(violation) = isolation_outcome.violation() {
        fleet.checker.record_violation(violation);
    }
    let version_outcome = fleet.checker.version_outcome();
    for violation in version_outcome.violations() {
        fleet.checker.record_violation(violation);
    }
    tokio::time::sleep(IDLE_TIME).await;
    fleet.check_resources();
    fleet.stop_gateways().await;
    let LogCounts {
        live_migrations,
        reported_crashes,
    } = fleet.check_logs()?;
    let (sent, served) = fleet.checker.request_counts();
    Ok(RunOutcome {
        sent,
        served,
        live_migrations,
        rate_usages: fleet.checker.rate_usages(),
        crash_outcomes,
        version_outcome,
        reported_crashes,
        isolation_outcome,
        cut_requests: fleet.checker.cut_requests(),
        violations: fleet.checker.violations(),
    })
}

/// Removes and returns the entries whose time has come, in their order.
pub(crate) fn take_due<T>(pending: &mut Vec<(Instant, T)>, now: Instant) -> Vec<T> {
    let (due, later): (Vec<_>, Vec<_>) = std::mem::take(pending)
        .into_iter()
        .partition(|(at, _)| *at <= now);
    *pending = later;
    due.into_iter().map(|(_, entry)| entry).collect()
}

fn region_count(plan: &FaultPlan) -> usize {
    let gateway_count = plan.gateway_count;
    if plan.isolated_gateways > 0 {
        // The hosts of a region read the store through one of them, and so learn its detours.
        gateway_count
    } else if gateway_count > MAX_GATEWAYS_OF_ONE_REGION {
        REGION_COUNT
    } else {
        1
    }
}

impl SoakFleet {
    async fn start(options: &RunOptions) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let store_address = listener.local_addr()?;
        let store = Rc::new(StoreStandin::default());
        store.serve(listener);
        let target_context: Rc<TargetContext> = Rc::default();
        let isolated_gateways = options.plan.isolated_gateways;
        let mut detoured_store_address = store_address;
        if isolated_gateways > 0 {
            target_context.detours.enable();
            let listener = TcpListener::bind("127.0.0.1:0").await?;
            detoured_store_address = listener.local_addr()?;
            store.serve_detoured(listener, &target_context);
        }
        target_context
            .checker
            .set_isolated_gateways(isolated_gateways);
        let mut fleet = Self {
            checker: Rc::clone(&target_context.checker),
            target_context,
            store,
            gateways: Vec::new(),
            client_context: None,
            kills: Vec::new(),
            targets: Vec::new(),
            target_versions: Vec::new(),
            last_target_number: 0,
            region_count: region_count(&options.plan),
            program: options.program.clone(),
            pending_reverts: Vec::new(),
            pending_restarts: Vec::new(),
        };
        for index in 0..PLAIN_TARGET_COUNT + options.plan.engine_count {
            fleet.target_versions.push(FIRST_VERSION);
            let target = fleet.start_target(index).await?;
            fleet.targets.push(target);
        }
        fleet.write_config(&API_KEYS);
        for index in 0..options.plan.gateway_count {
            let port = options.base_port;
            let store_proxy = LinkProxy::start(if index < isolated_gateways {
                detoured_store_address
            } else {
                store_address
            })
            .await?;
            let process = GatewayProcess::start(
                options.earlier_program.as_ref().unwrap_or(&options.program),
                &options.directory,
                GatewayPlace {
                    index,
                    region_count: fleet.region_count,
                },
                port,
                store_proxy.address(),
            )?;
            let client_proxy = LinkProxy::start(process.client_address).await?;
            fleet.gateways.push(ProxiedGateway {
                process,
                client_proxy,
                store_proxy,
                suspended_at: None,
                is_ending: false,
            });
        }
        Ok(fleet)
    }

    /// Starts the target that takes the place at an index, under a new name.
    async fn start_target(&mut self, index: usize) -> std::io::Result<Rc<TargetStandin>> {
        self.last_target_number += 1;
        let service = if index < PLAIN_TARGET_COUNT {
            PLAIN_SERVICE
        } else {
            ENGINE_SERVICE
        };
        let instance_id = format!("i-{}", self.last_target_number);
        let place = TargetPlace {
            service,
            zone: zone_name(index % self.region_count),
            version: format!("v{}", self.target_versions[index]),
        };
        TargetStandin::start(instance_id, place, &self.target_context, &self.store).await
    }

    /// Writes the next version of the configuration, which adds the route `/vN/` for version N.
    fn write_config(&mut self, api_keys: &[&str]) {
        self.checker.record_config_write();
        let version = self.checker.newest_config_version();
        let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({
                "name": prefix, "hostname": ROUTE_HOSTNAME, "path_prefix": prefix, "route_kind": kind,
                "timeout_ms": 3500, "target_latency_ms": 300, "priority": 1, "service": service,
                "max_attempts": attempts, "target_gap_ms": 200, "resumable": prefix == "/resumable/",
            })
        };
        let mut routes = vec![
            route("/safe/", "safe", "plain", 2),
            route("/once/", "unsafe", "plain", 1),
            route("/stream/", "streaming", "model", 1),
            route("/resumable/", "streaming", "model", 2),
        ];
        let added_versions = version.saturating_sub(RETAINED_ROUTES).max(1)..=version;
        routes.extend(
            added_versions.map(|version| route(&format!("/v{version}/"), "safe", "plain", 2)),
        );
        let config: Value = json!({
            "version": version,
            "routes": routes,
            "services": [
                {"name": "plain"},
                {"name": "model", "engine": {
                    "slots": 8, "kv_capacity": 30000, "stride": 4, "moves": true, "handle_ttl_s": 5.0,
                }},
            ],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "idle_timeout_ms": 15000},
            "tenants": [{"name": "team", "api_keys": api_keys}],
        });
        self.store.put("op/config", &config);
    }

    /// Injects the faults of a plan at their times, and reverts those that are due.
    async fn inject_faults(
        &mut self,
        steps: &[FaultStep],
        length: Duration,
    ) -> std::io::Result<()> {
        let started_at = Instant::now();
        let mut steps = steps.iter().peekable();
        while started_at.elapsed() < length {
            self.store.expire_leases();
            self.revert_due(Instant::now());
            self.restart_exited()?;
            self.restart_crashed().await?;
            while let Some(step) = steps.next_if(|step| step.at <= started_at.elapsed()) {
                self.inject_fault(step.fault).await?;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn inject_fault(&mut self, fault: Fault) -> std::io::Result<()> {
        let now = Instant::now();
        if let Some(duration) = fault.disruption_time() {
            self.checker.record_disruption(now + duration);
        }
        match fault {
            Fault::KillGateway(index) => {
                let last_ran_at = self.gateways[index].kill(now);
                self.checker.clear_gateway_state(index);
                self.kills.push((index, last_ran_at));
            }
            Fault::StopGateway(index) => {
                self.gateways[index].is_ending = true;
                self.gateways[index].process.send_signal(Signal::TERM);
            }
            Fault::HangUp(index) => self.gateways[index].process.send_signal(Signal::HUP),
            Fault::PauseGateway(index, duration) => {
                self.gateways[index].process.send_signal(Signal::STOP);
                self.gateways[index].suspended_at.get_or_insert(now);
                self.checker.clear_gateway_state(index);
                self.pending_reverts
                    .push((now + duration, FaultRevert::ResumeGateway(index)));
            }
            Fault::KillAll => {
                for (index, gateway) in self.gateways.iter_mut().enumerate() {
                    self.kills.push((index, gateway.kill(now)));
                    self.checker.clear_gateway_state(index);
                }
            }
            Fault::IsolateGateways(mode, duration) => self.isolate_gateways(mode, now, duration),
            Fault::Link(link, mode, duration) => {
                if let FleetLink::Target(index) = link {
                    let instance_id = &self.targets[index].instance_id;
                    self.checker.record_unreachable(instance_id, duration);
                }
                self.link_proxy(link).set_mode(mode, LINK_DELAY);
                self.pending_reverts
                    .push((now + duration, FaultRevert::Link(link)));
            }
            Fault::Store(mode, duration) => {
                self.store.set_mode(mode);
                self.pending_reverts
                    .push((now + duration, FaultRevert::Store));
            }
            Fault::RestoreStore { age, away } => {
                self.store.set_mode(StoreMode::Busy);
                self.pending_reverts
                    .push((now + away, FaultRevert::RestoreStore(age + away)));
            }
            Fault::Compact => self.store.compact(),
            Fault::CrashTarget(index) => {
                self.targets[index].crash(&self.target_context);
                self.replace_target(index, DRAIN_TIME).await?;
            }
            Fault::DrainTarget(index) => self.drain_target(index, DRAIN_TIME).await?,
            Fault::TakeTarget(index, notice) => self.drain_target(index, notice).await?,
            Fault::UpgradeTarget {
                target,
                version,
                notice,
            } => {
                self.target_versions[target] = version;
                self.drain_target(target, notice).await?;
            }
            Fault::OddEntry {
                entry,
                target,
                duration,
            } => self.write_odd_entry(entry, target, now + duration),
            Fault::SaysLeaving(index) => {
                self.targets[index].set_mode(TargetMode::SaysLeaving);
                self.replace_target(index, ANNOUNCE_TIME).await?;
            }
            Fault::Target(index, mode, duration) => {
                self.targets[index].set_mode(mode);
                self.pending_reverts
                    .push((now + duration, FaultRevert::Target(index)));
            }
            Fault::CrashingPart(number, duration) => self.start_crash_series(number, duration),
            Fault::CrashingRequest(duration) => {
                if let Some(context) = &self.client_context {
                    let client = run_repeating_client(Rc::clone(context), duration);
                    tokio::task::spawn_local(client);
                }
            }
            Fault::Revoke => {
                self.write_config(&API_KEYS[..1]);
                self.checker.record_revocation(API_KEYS[1]);
            }
            Fault::NewConfig => {
                let is_revoked = self.checker.is_revoked(API_KEYS[1]);
                self.write_config(&API_KEYS[..if is_revoked { 1 } else { 2 }]);
            }
        }
        Ok(())
    }

    /// Cuts the gateways that reach the targets by detours off from all of them.
    fn isolate_gateways(&mut self, mode: LinkMode, now: Instant, duration: Duration) {
        self.target_context.detours.set_mode(Some(mode));
        self.checker.record_isolation(duration);
        self.pending_reverts
            .push((now + duration, FaultRevert::ReconnectGateways));
    }

    /// Writes an odd entry, in place of that of a target until `until` if there is one.
    fn write_odd_entry(&mut self, entry: usize, target: Option<usize>, until: Instant) {
        let (id, text) = ODD_ENTRIES[entry % ODD_ENTRIES.len()];
        let value = text.replace('@', &"[".repeat(100_000)).into_bytes();
        let Some(target) = target.map(|index| &self.targets[index]) else {
            self.store.put_bytes(&format!("servers/{id}"), value);
            return;
        };
        target.overwrite_registration(&self.store, value);
        let revert = FaultRevert::RegisterTarget(Rc::clone(target));
        self.pending_reverts.push((until, revert));
    }

    /// Drains a target and replaces it.
    async fn drain_target(&mut self, index: usize, notice: Duration) -> std::io::Result<()> {
        self.targets[index].drain(&self.store, &self.target_context);
        self.replace_target(index, notice).await
    }

    /// Starts another target in the place of one that is removed after a time.
    async fn replace_target(
        &mut self,
        index: usize,
        removed_after: Duration,
    ) -> std::io::Result<()> {
        let replaced_target = Rc::clone(&self.targets[index]);
        self.pending_reverts.push((
            Instant::now() + removed_after,
            FaultRevert::RemoveTarget(replaced_target),
        ));
        self.targets[index] = self.start_target(index).await?;
        Ok(())
    }

    /// Starts a client whose requests share a crashing part.
    fn start_crash_series(&self, number: usize, duration: Duration) {
        let part = CRASHING_PARTS[number % CRASHING_PARTS.len()];
        self.target_context.crashing_parts.borrow_mut().push(part);
        if let Some(context) = &self.client_context {
            let client = run_crashing_client(Rc::clone(context), part, duration, number as u64);
            tokio::task::spawn_local(client);
        }
    }

    /// Reverts the faults whose time has come.
    fn revert_due(&mut self, now: Instant) {
        for revert in take_due(&mut self.pending_reverts, now) {
            match revert {
                FaultRevert::Store => self.store.set_mode(StoreMode::Well),
                FaultRevert::RestoreStore(age) => {
                    self.store.restore(age);
                    self.store.set_mode(StoreMode::Well);
                }
                FaultRevert::Target(index) => {
                    let target = &self.targets[index];
                    target.set_mode(TargetMode::Well);
                    self.checker.end_rate_limit(&target.instance_id);
                }
                FaultRevert::ResumeGateway(index) => {
                    self.gateways[index].process.send_signal(Signal::CONT);
                    self.gateways[index].suspended_at = None;
                    self.checker.clear_gateway_state(index);
                }
                FaultRevert::ReconnectGateways => self.target_context.detours.set_mode(None),
                FaultRevert::Link(link) => self
                    .link_proxy(link)
                    .set_mode(LinkMode::Pass, Duration::ZERO),
                FaultRevert::RemoveTarget(target) => target.deregister(&self.store),
                FaultRevert::RegisterTarget(target) => target.register_again(&self.store),
            }
        }
    }

    /// Starts gateways again whose process has exited.
    fn restart_exited(&mut self) -> std::io::Result<()> {
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            if gateway.process.has_exited() {
                if !std::mem::take(&mut gateway.is_ending) {
                    let text = format!("gateway {index} ended by itself");
                    self.checker.record_violation(text);
                }
                gateway.process.set_program(&self.program);
                gateway.process.spawn()?;
                self.checker.clear_gateway_state(index);
                if let Some(context) = &self.client_context {
                    context.restart_counts.borrow_mut()[index] += 1;
                }
            }
        }
        Ok(())
    }

    fn link_proxy(&self, link: FleetLink) -> &LinkProxy {
        match link {
            FleetLink::Callers(index) => &self.gateways[index].client_proxy,
            FleetLink::Store(index) => &self.gateways[index].store_proxy,
            FleetLink::Target(index) => &self.targets[index].proxy,
        }
    }

    /// Reverts all faults and waits for [`RECOVERY_TIME`].
    async fn recover(&mut self) -> std::io::Result<()> {
        for (at, _) in &mut self.pending_reverts {
            *at = Instant::now();
        }
        let until = Instant::now() + RECOVERY_TIME;
        while Instant::now() < until {
            self.store.expire_leases();
            self.revert_due(Instant::now());
            self.restart_exited()?;
            self.restart_crashed().await?;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Starts another target in place of each one that crashed under a request some time ago.
    async fn restart_crashed(&mut self) -> std::io::Result<()> {
        let now = Instant::now();
        for index in 0..self.targets.len() {
            let is_pending = self
                .pending_restarts
                .iter()
                .any(|(_, other)| *other == index);
            if self.targets[index].has_crashed() && !is_pending {
                self.pending_restarts
                    .push((now + CRASH_RESTART_TIME, index));
                let crashed = Rc::clone(&self.targets[index]);
                let revert = FaultRevert::RemoveTarget(crashed);
                self.pending_reverts.push((now + CRASH_LEASE_TIME, revert));
            }
        }
        for index in take_due(&mut self.pending_restarts, now) {
            // Another fault may have replaced it meanwhile.
            if self.targets[index].has_crashed() {
                self.targets[index] = self.start_target(index).await?;
            }
        }
        Ok(())
    }

    /// Checks that the fleet serves requests as before the faults.
    async fn check_recovery(&self, context: &ClientContext, seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let (probes, required) = RECOVERY_PROBES;
        let mut served = 0;
        for probe in 0..probes {
            let kind = if probe % 4 == 0 {
                RequestKind::Stream
            } else {
                RequestKind::AtMostOnce
            };
            self.store.expire_leases();
            let spec = RequestSpec {
                kind,
                api_key: API_KEYS[0],
                disconnects: false,
                crashing_part: None,
            };
            let is_served = send_request(context, &mut rng, &mut None, spec).await;
            served += u32::from(is_served);
        }
        for index in 0..self.gateways.len() {
            if !self
                .store
                .has_key(&format!("mimosagap/hosts/gateway-{index}"))
            {
                let text = format!("gateway {index} is not registered after the recovery");
                self.checker.record_violation(text);
            }
        }
        if served < required {
            let text = format!(
                "only {served} of {probes} requests succeeded after the recovery, at least \
                 {required} must"
            );
            self.checker.record_violation(text);
        }
    }

    /// Checks that idle gateways use no more descriptors and memory than they need.
    fn check_resources(&self) {
        for (index, gateway) in self.gateways.iter().enumerate() {
            let Some(usage) = gateway.process.resource_usage() else {
                continue;
            };
            if usage.descriptors > MAX_DESCRIPTORS || usage.peak_memory_bytes > MAX_MEMORY_BYTES {
                let text = format!("idle gateway {index} exceeds its limits: {usage:?}");
                self.checker.record_violation(text);
            }
        }
    }

    /// Stops all gateways, so that their logs are complete. Those that do not exit in time are
    /// killed.
    async fn stop_gateways(&mut self) {
        for gateway in &self.gateways {
            gateway.process.send_signal(Signal::TERM);
        }
        let until = Instant::now() + SHUTDOWN_LIMIT;
        while Instant::now() < until
            && !self
                .gateways
                .iter_mut()
                .all(|gateway| gateway.process.has_exited())
        {
            self.store.expire_leases();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        for (index, gateway) in self.gateways.iter_mut().enumerate() {
            if !gateway.process.has_exited() {
                let text =
                    format!("gateway {index} did not exit within {SHUTDOWN_LIMIT:?} after SIGTERM");
                self.checker.record_violation(text);
                gateway.process.kill();
            }
        }
    }

    /// Checks that the logs name exactly one cause for each failed request. A missing cause is
    /// accepted if the gateway was killed before it wrote the line, or if the logs report as many
    /// lines as left out. Returns what the logs count.
    fn check_logs(&self) -> std::io::Result<LogCounts> {
        let mut logs = LogSet::default();
        for (index, gateway) in self.gateways.iter().enumerate() {
            let log_reader = BufReader::new(File::open(gateway.process.log_path())?);
            logs.read_log(&format!("gateway-{index}"), log_reader)?;
        }
        let is_live_migration =
            |record: &&LogRecord| record.event == "handover" && record.fields["is_running"] == true;
        let live_migrations = logs.records().iter().filter(is_live_migration).count();
        let omission_records = logs
            .records()
            .iter()
            .filter(|record| record.event == "lines_left_out");
        let omitted_lines: u64 = omission_records
            .filter_map(|record| record.number_field("count"))
            .sum();
        let is_cause_lost = |failed: &FailedRequest| {
            let mut kills = self.kills.iter();
            let responded_at = failed.responded_at;
            kills.any(|(index, last_ran_at)| {
                failed.gateway == Some(*index)
                    && *last_ran_at + RESPONSE_TRANSIT_TIME >= responded_at
                    && *last_ran_at < responded_at + LOG_FLUSH_INTERVAL
            })
        };
        let mut cause_counts: HashMap<&str, u32> = HashMap::new();
        for record in logs.records() {
            if let Some(id) = record.id()
                && FailureCause::of(record).is_some()
            {
                *cause_counts.entry(id).or_default() += 1;
            }
        }
        let mut unexplained_ids = Vec::new();
        for failed in self.checker.failed_requests() {
            let id = failed.id.clone();
            match cause_counts.get(id.as_str()).copied().unwrap_or(0) {
                0 if is_cause_lost(&failed) => {}
                0 => unexplained_ids.push(id),
                1 => {}
                count => {
                    let text = format!(
                        "the logs name {count} causes of failed request {id} instead of one"
                    );
                    self.checker.record_violation(text);
                }
            }
        }
        if unexplained_ids.len() as u64 > omitted_lines {
            let text = format!(
                "the logs name no cause of failed requests {unexplained_ids:?} and report only \
                 {omitted_lines} lines as left out"
            );
            self.checker.record_violation(text);
        }
        let crashes = logs.records().iter();
        let reported_crashes = crashes.filter(|record| record.event == "target_crashed");
        Ok(LogCounts {
            live_migrations,
            reported_crashes: reported_crashes.count(),
        })
    }
}
