//! One run of the soak.

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

use crate::checker::{CallKind, FailedRequest, RunLedger};
use crate::client::{CallPlan, CallerContext, HOST, KEYS, call, call_until_over};
use crate::plan::{Fault, FaultStep, GATEWAYS, LinkPlace, Plan, TARGETS};
use crate::process::GatewayProcess;
use crate::standins::store::{StoreMode, StoreStandin};
use crate::standins::target::{TargetMode, TargetShared, TargetStandin};

/// Callers of a run.
const CALLERS: u64 = 12;

/// The fleet must serve again this long after the last fault.
const RECOVERY: Duration = Duration::from_secs(8);

/// Requests that test whether the fleet serves again, and how many of them must be served.
const PROBES: (u32, u32) = (40, 36);

/// Time for a target that leaves before it ends.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// Time for which a target says in its answers that it leaves, before it does.
const SAYING_TIME: Duration = Duration::from_secs(6);

/// Routes of earlier versions that a configuration keeps.
const KEPT_ROUTES: u64 = 3;

/// What a delayed link adds in each direction.
const LINK_DELAY: Duration = Duration::from_millis(300);

/// Time without requests before the resources of gateways are looked at.
const IDLE: Duration = Duration::from_secs(1);

/// Descriptors of an idle gateway: listeners and runtime, the store, the other gateways, and a few
/// kept connections for each target and caller.
const MOST_DESCRIPTORS: usize = 120;

/// Memory of a gateway in bytes, from the two-year target.
const MOST_MEMORY: u64 = 64 << 20;

/// Time from SIGTERM until a gateway must have ended, from its settings.
const STOP_TIME: Duration = Duration::from_secs(4);

/// An answer that a gateway sent before it was killed reaches its caller within this time: the delay
/// of its link, and as long on a busy machine.
const ANSWER_WAY: Duration = Duration::from_millis(600);

/// A gateway hands its log lines over at least this often, with room for a busy machine.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// How a run is made.
#[derive(Debug, Clone)]
pub struct Options {
    /// The faults and the requests.
    pub plan: Plan,
    /// The gateway's program.
    pub program: PathBuf,
    /// Where settings and logs are written.
    pub folder: PathBuf,
    /// First of the ports of the gateways.
    pub base_port: u16,
}

/// What a run showed.
#[derive(Debug, Clone)]
pub struct Outcome {
    /// Requests that callers sent.
    pub sent: usize,
    /// Requests that were served.
    pub served: usize,
    /// Streams that were handed over while their first target still ran them.
    pub handovers: usize,
    /// Broken promises.
    pub violations: Vec<String>,
}

struct Fleet {
    ledger: Rc<RunLedger>,
    shared: Rc<TargetShared>,
    store: Rc<StoreStandin>,
    gateways: Vec<GatewayHost>,
    context: Option<Rc<CallerContext>>,
    /// Which gateways were killed and when they ran last, which loses the last lines of their logs.
    kills: Vec<(usize, Instant)>,
    targets: Vec<Rc<TargetStandin>>,
    next_target: u64,
    /// What has to be undone, and when.
    pending: Vec<(Instant, Undo)>,
}

/// A gateway and the links to and from it.
struct GatewayHost {
    process: GatewayProcess,
    callers: LinkProxy,
    store: LinkProxy,
    paused_at: Option<Instant>,
}

impl GatewayHost {
    /// Kills the process. Returns when it ran last.
    fn kill(&mut self, now: Instant) -> Instant {
        self.process.kill();
        self.paused_at.take().unwrap_or(now)
    }
}

enum Undo {
    Store,
    Link(LinkPlace),
    Target(usize),
    Resume(usize),
    Leave(Rc<TargetStandin>),
}

/// Makes a run.
///
/// # Errors
/// If the processes or listeners cannot be started.
pub async fn run(options: &Options) -> std::io::Result<Outcome> {
    std::fs::create_dir_all(&options.folder)?;
    let mut fleet = Fleet::start(options).await?;
    let links = fleet.gateways.iter().map(|one| one.callers.address());
    let context = Rc::new(CallerContext::new(
        Rc::clone(&fleet.ledger),
        links.collect(),
    ));
    fleet.context = Some(Rc::clone(&context));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let Plan {
        seed,
        length,
        steps,
    } = &options.plan;
    let tasks: Vec<_> = (0..CALLERS)
        .map(|number| {
            let seed = seed.wrapping_mul(1000).wrapping_add(number);
            tokio::task::spawn_local(call_until_over(Rc::clone(&context), seed))
        })
        .collect();
    fleet.strike(steps, *length).await?;
    fleet.heal().await?;
    context.is_over.set(true);
    for task in tasks {
        // A caller that panicked shows in the counts.
        let _ = task.await;
    }
    fleet.check_recovery(&context, *seed).await;
    fleet.ledger.check_repeats();
    tokio::time::sleep(IDLE).await;
    fleet.check_resources();
    fleet.stop_all().await;
    let handovers = fleet.check_logs()?;
    let (sent, served) = fleet.ledger.counts();
    Ok(Outcome {
        sent,
        served,
        handovers,
        violations: fleet.ledger.violations(),
    })
}

impl Fleet {
    async fn start(options: &Options) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = Rc::new(StoreStandin::default());
        store.serve(listener);
        let shared: Rc<TargetShared> = Rc::default();
        let mut fleet = Self {
            ledger: Rc::clone(&shared.ledger),
            shared,
            store,
            gateways: Vec::new(),
            context: None,
            kills: Vec::new(),
            targets: Vec::new(),
            next_target: 0,
            pending: Vec::new(),
        };
        for number in 0..TARGETS {
            let target = fleet.new_target(number).await?;
            fleet.targets.push(target);
        }
        fleet.write_config(&KEYS);
        for number in 0..GATEWAYS {
            let port = options.base_port;
            let store = LinkProxy::start(address).await?;
            let process = GatewayProcess::start(
                &options.program,
                &options.folder,
                number,
                port,
                store.address(),
            )?;
            let callers = LinkProxy::start(process.callers).await?;
            fleet.gateways.push(GatewayHost {
                process,
                callers,
                store,
                paused_at: None,
            });
        }
        Ok(fleet)
    }

    async fn new_target(&mut self, number: usize) -> std::io::Result<Rc<TargetStandin>> {
        self.next_target += 1;
        let service = if number < TARGETS / 2 {
            "plain"
        } else {
            "model"
        };
        let instance = format!("i-{}", self.next_target);
        TargetStandin::start(instance, service, &self.shared, &self.store).await
    }

    fn write_config(&mut self, keys: &[&str]) {
        self.ledger.wrote_version();
        let version = self.ledger.newest_version();
        let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({
                "name": prefix, "hostname": HOST, "path_prefix": prefix, "route_kind": kind,
                "timeout_ms": 3500, "target_latency_ms": 300, "priority": 1, "service": service,
                "max_attempts": attempts, "target_gap_ms": 200,
            })
        };
        let mut routes = vec![
            route("/safe/", "safe", "plain", 2),
            route("/once/", "unsafe", "plain", 1),
            route("/stream/", "streaming", "model", 1),
        ];
        let added = version.saturating_sub(KEPT_ROUTES).max(1)..=version;
        routes.extend(added.map(|version| route(&format!("/v{version}/"), "safe", "plain", 2)));
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
            "tenants": [{"name": "team", "api_keys": keys}],
        });
        self.store.put("op/config", &config);
    }

    /// Lets the faults of a plan strike.
    async fn strike(&mut self, steps: &[FaultStep], length: Duration) -> std::io::Result<()> {
        let begun = Instant::now();
        let mut steps = steps.iter().peekable();
        while begun.elapsed() < length {
            self.store.expire();
            self.undo_due(Instant::now());
            self.restart_ended()?;
            while let Some(step) = steps.next_if(|step| step.at <= begun.elapsed()) {
                self.inject(step.fault).await?;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    async fn inject(&mut self, fault: Fault) -> std::io::Result<()> {
        let now = Instant::now();
        if let Some(time) = fault.disturbs() {
            self.ledger.disturbed(now + time);
        }
        match fault {
            Fault::KillGateway(number) => {
                let ran_last = self.gateways[number].kill(now);
                self.ledger.forgets(number);
                self.kills.push((number, ran_last));
            }
            Fault::StopGateway(number) => self.gateways[number].process.signal(Signal::TERM),
            Fault::HangUp(number) => self.gateways[number].process.signal(Signal::HUP),
            Fault::PauseGateway(number, time) => {
                self.gateways[number].process.signal(Signal::STOP);
                self.gateways[number].paused_at.get_or_insert(now);
                self.ledger.forgets(number);
                self.pending.push((now + time, Undo::Resume(number)));
            }
            Fault::KillAll => {
                for (number, gateway) in self.gateways.iter_mut().enumerate() {
                    self.kills.push((number, gateway.kill(now)));
                    self.ledger.forgets(number);
                }
            }
            Fault::Link(place, mode, time) => {
                if let LinkPlace::Target(number) = place {
                    let target = &self.targets[number].instance;
                    self.ledger.is_unheard(target, time);
                }
                self.link(place).set_mode(mode, LINK_DELAY);
                self.pending.push((now + time, Undo::Link(place)));
            }
            Fault::Store(mode, time) => {
                self.store.set_mode(mode);
                self.pending.push((now + time, Undo::Store));
            }
            Fault::Compact => self.store.compact(),
            Fault::CrashTarget(number) => {
                self.targets[number].crash();
                let gone = Rc::clone(&self.targets[number]);
                self.pending.push((now + DRAIN_TIME, Undo::Leave(gone)));
                self.targets[number] = self.new_target(number).await?;
            }
            Fault::DrainTarget(number) => {
                self.targets[number].drain(&self.store, &self.ledger);
                let gone = Rc::clone(&self.targets[number]);
                self.pending.push((now + DRAIN_TIME, Undo::Leave(gone)));
                self.targets[number] = self.new_target(number).await?;
            }
            Fault::TakeTarget(number, time) => {
                self.targets[number].drain(&self.store, &self.ledger);
                let gone = Rc::clone(&self.targets[number]);
                self.pending.push((now + time, Undo::Leave(gone)));
                self.targets[number] = self.new_target(number).await?;
            }
            Fault::SaysLeaving(number) => {
                self.targets[number].set_mode(TargetMode::SaysLeaving);
                let gone = Rc::clone(&self.targets[number]);
                self.pending.push((now + SAYING_TIME, Undo::Leave(gone)));
                self.targets[number] = self.new_target(number).await?;
            }
            Fault::Target(number, mode, time) => {
                self.targets[number].set_mode(mode);
                self.pending.push((now + time, Undo::Target(number)));
            }
            Fault::Revoke => {
                self.write_config(&KEYS[..1]);
                self.ledger.revoked(KEYS[1]);
            }
            Fault::NewConfig => {
                let keys = if self.ledger.is_revoked(KEYS[1]) {
                    1
                } else {
                    2
                };
                self.write_config(&KEYS[..keys]);
            }
        }
        Ok(())
    }

    fn undo_due(&mut self, now: Instant) {
        let (due, later) = std::mem::take(&mut self.pending)
            .into_iter()
            .partition(|(at, _)| *at <= now);
        self.pending = later;
        let due: Vec<(Instant, Undo)> = due;
        for (_, undo) in due {
            match undo {
                Undo::Store => self.store.set_mode(StoreMode::Well),
                Undo::Target(number) => self.targets[number].set_mode(TargetMode::Well),
                Undo::Resume(number) => {
                    self.gateways[number].process.signal(Signal::CONT);
                    self.gateways[number].paused_at = None;
                    self.ledger.forgets(number);
                }
                Undo::Link(place) => self.link(place).set_mode(LinkMode::Pass, Duration::ZERO),
                Undo::Leave(target) => target.leave(&self.store),
            }
        }
    }

    fn restart_ended(&mut self) -> std::io::Result<()> {
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            if gateway.process.has_ended() {
                gateway.process.start_again()?;
                self.ledger.forgets(number);
                if let Some(context) = &self.context {
                    context.lives.borrow_mut()[number] += 1;
                }
            }
        }
        Ok(())
    }

    fn link(&self, place: LinkPlace) -> &LinkProxy {
        match place {
            LinkPlace::Callers(number) => &self.gateways[number].callers,
            LinkPlace::Store(number) => &self.gateways[number].store,
            LinkPlace::Target(number) => &self.targets[number].link,
        }
    }

    /// Undoes everything and gives the fleet its time to recover.
    async fn heal(&mut self) -> std::io::Result<()> {
        for (at, _) in &mut self.pending {
            *at = Instant::now();
        }
        let until = Instant::now() + RECOVERY;
        while Instant::now() < until {
            self.store.expire();
            self.undo_due(Instant::now());
            self.restart_ended()?;
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        Ok(())
    }

    /// Tests whether the fleet serves as before.
    async fn check_recovery(&self, context: &CallerContext, seed: u64) {
        let mut random = SmallRng::seed_from_u64(seed);
        let (probes, least) = PROBES;
        let mut served = 0;
        for number in 0..probes {
            let kind = if number % 4 == 0 {
                CallKind::Stream
            } else {
                CallKind::Once
            };
            self.store.expire();
            let plan = CallPlan {
                kind,
                key: KEYS[0],
                leaves: false,
            };
            let is_served = call(context, &mut random, &mut None, plan).await;
            served += u32::from(is_served);
        }
        if served < least {
            let text = format!("{served} of {probes} requests are served after the faults");
            self.ledger.violation(text);
        }
    }

    /// Checks that idle gateways hold no more than the fleet's links need.
    fn check_resources(&self) {
        for (number, gateway) in self.gateways.iter().enumerate() {
            let Some(held) = gateway.process.held() else {
                continue;
            };
            if held.descriptors > MOST_DESCRIPTORS || held.peak_memory > MOST_MEMORY {
                let text = format!("idle gateway {number} holds {held:?}");
                self.ledger.violation(text);
            }
        }
    }

    /// Stops all gateways, so that their logs are whole.
    async fn stop_all(&mut self) {
        for gateway in &self.gateways {
            gateway.process.signal(Signal::TERM);
        }
        let until = Instant::now() + STOP_TIME;
        while Instant::now() < until && !self.gateways.iter_mut().all(|one| one.process.has_ended())
        {
            self.store.expire();
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        for (number, gateway) in self.gateways.iter_mut().enumerate() {
            if !gateway.process.has_ended() {
                let text = format!("gateway {number} did not end after SIGTERM");
                self.ledger.violation(text);
                gateway.process.kill();
            }
        }
    }

    /// Checks that the logs name one cause for each failed request.
    /// Returns how many streams were handed over while they ran.
    fn check_logs(&self) -> std::io::Result<usize> {
        let mut logs = LogSet::default();
        for (number, gateway) in self.gateways.iter().enumerate() {
            let log = BufReader::new(File::open(gateway.process.log())?);
            logs.read_log(&format!("gateway-{number}"), log)?;
        }
        let is_handover =
            |record: &&LogRecord| record.event == "handover" && record.fields["is_running"] == true;
        let handovers = logs.records().iter().filter(is_handover).count();
        let left_out = logs
            .records()
            .iter()
            .filter(|record| record.event == "lines_left_out");
        let left_out: u64 = left_out
            .filter_map(|record| record.number_field("count"))
            .sum();
        let was_lost = |failed: &FailedRequest| {
            let mut kills = self.kills.iter();
            let at = failed.answered_at;
            kills.any(|(number, kill)| {
                failed.gateway == Some(*number)
                    && *kill + ANSWER_WAY >= at
                    && *kill < at + LOG_INTERVAL
            })
        };
        let mut without = Vec::new();
        for failed in self.ledger.failures() {
            let id = failed.id.clone();
            let causes = logs.records().iter().filter(|record| {
                record.id() == Some(id.as_str()) && FailureCause::of(record).is_some()
            });
            match causes.count() {
                0 if was_lost(&failed) => {}
                0 => without.push(id),
                1 => {}
                count => {
                    let text = format!("the logs name {count} causes of failed request {id}");
                    self.ledger.violation(text);
                }
            }
        }
        if without.len() as u64 > left_out {
            let text = format!(
                "the logs left out {left_out} lines and name no cause of failed requests {without:?}"
            );
            self.ledger.violation(text);
        }
        Ok(handovers)
    }
}
