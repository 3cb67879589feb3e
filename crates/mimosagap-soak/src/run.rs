//! One run of the soak.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use serde_json::{Value, json};
use tokio::net::TcpListener;

use crate::caller::{CallerContext, HOST, KEYS, call, call_until_over};
use crate::ledger::{CallKind, RunLedger};
use crate::plan::{Fault, FaultStep, GATEWAYS, TARGETS, plan};
use crate::process::GatewayProcess;
use crate::standins::store::{StoreMode, StoreStandin};
use crate::standins::target::{TargetMode, TargetStandin};

/// Callers of a run.
const CALLERS: u64 = 12;

/// The fleet must serve again this long after the last fault.
const RECOVERY: Duration = Duration::from_secs(8);

/// Requests that test whether the fleet serves again, and how many of them must be served.
const PROBES: (u32, u32) = (40, 36);

/// Time for a target that leaves before it ends.
const DRAIN_TIME: Duration = Duration::from_secs(4);

/// How a run is made.
#[derive(Debug, Clone)]
pub struct Options {
    /// Determines the faults and the requests.
    pub seed: u64,
    /// How long faults strike.
    pub length: Duration,
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
    /// Broken promises.
    pub violations: Vec<String>,
}

struct Fleet {
    ledger: Rc<RunLedger>,
    store: Rc<StoreStandin>,
    gateways: Vec<GatewayProcess>,
    targets: Vec<Rc<TargetStandin>>,
    next_target: u64,
    version: u64,
    /// What has to be undone, and when.
    pending: Vec<(Instant, Undo)>,
}

enum Undo {
    Store,
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
    let callers: Vec<SocketAddr> = fleet.gateways.iter().map(|one| one.callers).collect();
    let context = Rc::new(CallerContext::new(Rc::clone(&fleet.ledger), callers));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let tasks: Vec<_> = (0..CALLERS)
        .map(|number| {
            let seed = options.seed.wrapping_mul(1000).wrapping_add(number);
            tokio::task::spawn_local(call_until_over(Rc::clone(&context), seed))
        })
        .collect();
    fleet
        .strike(&plan(options.seed, options.length), options.length)
        .await?;
    fleet.heal().await?;
    context.is_over.set(true);
    for task in tasks {
        // A caller that panicked shows in the counts.
        let _ = task.await;
    }
    fleet.check_recovery(&context, options.seed).await;
    let (sent, served) = fleet.ledger.counts();
    Ok(Outcome {
        sent,
        served,
        violations: fleet.ledger.violations(),
    })
}

impl Fleet {
    async fn start(options: &Options) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let store = Rc::new(StoreStandin::default());
        store.serve(listener);
        let mut fleet = Self {
            ledger: Rc::default(),
            store,
            gateways: Vec::new(),
            targets: Vec::new(),
            next_target: 0,
            version: 0,
            pending: Vec::new(),
        };
        for number in 0..TARGETS {
            let target = fleet.new_target(number).await?;
            fleet.targets.push(target);
        }
        fleet.write_config(&KEYS);
        for number in 0..GATEWAYS {
            let port = options.base_port;
            let gateway =
                GatewayProcess::start(&options.program, &options.folder, number, port, address)?;
            fleet.gateways.push(gateway);
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
        TargetStandin::start(instance, service, &self.ledger, &self.store).await
    }

    fn write_config(&mut self, keys: &[&str]) {
        self.version += 1;
        let route = |prefix: &str, kind: &str, service: &str, attempts: u32| {
            json!({
                "name": kind, "hostname": HOST, "path_prefix": prefix, "route_kind": kind,
                "timeout_ms": 3500, "target_latency_ms": 300, "priority": 1, "service": service,
                "max_attempts": attempts, "target_gap_ms": 200,
            })
        };
        let config: Value = json!({
            "version": self.version,
            "routes": [
                route("/safe/", "safe", "plain", 2),
                route("/once/", "unsafe", "plain", 1),
                route("/stream/", "streaming", "model", 1),
            ],
            "services": [
                {"name": "plain"},
                {"name": "model", "engine": {"slots": 8, "kv_capacity": 30000, "stride": 1}},
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
            Fault::KillGateway(number) => self.gateways[number].kill(),
            Fault::StopGateway(number) => self.gateways[number].signal(Signal::TERM),
            Fault::HangUp(number) => self.gateways[number].signal(Signal::HUP),
            Fault::PauseGateway(number, time) => {
                self.gateways[number].signal(Signal::STOP);
                self.pending.push((now + time, Undo::Resume(number)));
            }
            Fault::KillAll => self.gateways.iter_mut().for_each(GatewayProcess::kill),
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
                Undo::Resume(number) => self.gateways[number].signal(Signal::CONT),
                Undo::Leave(target) => target.leave(&self.store),
            }
        }
    }

    fn restart_ended(&mut self) -> std::io::Result<()> {
        for gateway in &mut self.gateways {
            if gateway.has_ended() {
                gateway.start_again()?;
            }
        }
        Ok(())
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
            let is_served = call(context, &mut random, &mut None, kind, KEYS[0]).await;
            served += u32::from(is_served);
        }
        if served < least {
            let text = format!("{served} of {probes} requests are served after the faults");
            self.ledger.violation(text);
        }
    }
}
