//! Plans: the faults of a run and when each is injected, drawn from a seed.
//!
//! A plan is stored as JSON, with the names of these fields and variants.

use std::time::Duration;

use mimosagap_standins::proxy::LinkMode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::standins::store::StoreMode;
use crate::standins::target::TargetMode;

/// A fault, or another event that the fleet must withstand. Gateways and targets are named by their
/// index.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Fault {
    /// Kills a gateway and starts it again.
    KillGateway(usize),
    /// Sends SIGTERM to a gateway and starts it again after it exits.
    StopGateway(usize),
    /// Suspends the process of a gateway for a duration.
    PauseGateway(usize, Duration),
    /// Sends SIGHUP to a gateway, which reloads its settings.
    HangUp(usize),
    /// Kills all gateways at the same moment.
    KillAll,
    /// Changes how the store behaves for a duration.
    Store(StoreMode, Duration),
    /// The store is away for a duration and comes back from a copy that was this old when it went.
    RestoreStore {
        /// Age of the copy.
        age: Duration,
        /// How long the store is away.
        away: Duration,
    },
    /// Compacts the store, which drops its history of changes.
    Compact,
    /// Crashes a target and starts another in its place.
    CrashTarget(usize),
    /// Drains a target and starts another in its place.
    DrainTarget(usize),
    /// Drains a target and stops it after this duration, even if it still has work. Another is
    /// started in its place.
    TakeTarget(usize, Duration),
    /// A target announces its draining in its responses only and stops later; another is started in
    /// its place.
    SaysLeaving(usize),
    /// Drains a target, and starts one with another version of the software in its place.
    UpgradeTarget {
        /// Index of the target.
        target: usize,
        /// Number of the new version.
        version: u8,
        /// Time until the old one is stopped, even if it still has work.
        notice: Duration,
    },
    /// Another writer leaves an odd entry among those of the targets, or in place of one for a
    /// duration. The number selects the entry from [`ODD_ENTRIES`].
    OddEntry {
        /// Index of the odd entry.
        entry: usize,
        /// The target whose entry is overwritten; `None` for a key of its own.
        target: Option<usize>,
        /// Time until the target writes its entry again.
        duration: Duration,
    },
    /// Changes how a target behaves for a duration.
    Target(usize, TargetMode, Duration),
    /// Revokes an API key.
    Revoke,
    /// Writes a new version of the configuration, which adds a route and removes an old one.
    NewConfig,
    /// Clients send requests with a part of a prompt that crashes each target which answers them,
    /// for a duration. The number selects the part from [`CRASHING_PARTS`].
    CrashingPart(usize, Duration),
    /// A client sends one request, the content of which crashes each target that answers it, again
    /// and again for a duration.
    CrashingRequest(Duration),
    /// Cuts the first gateways off from all targets for a duration, as the mode says. Clients, the
    /// store and the other gateways still reach them.
    IsolateGateways(LinkMode, Duration),
    /// Injects a fault into a link for a duration.
    Link(FleetLink, LinkMode, Duration),
}

/// A network link of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum FleetLink {
    /// From the clients to a gateway.
    Callers(usize),
    /// From a gateway to the store.
    Store(usize),
    /// From all gateways to a target.
    Target(usize),
}

impl Fault {
    /// How long the fault disrupts the store, the process of a gateway, or a link of either; `None`
    /// if it disrupts none of them.
    #[must_use]
    pub fn disruption_time(self) -> Option<Duration> {
        match self {
            Self::PauseGateway(_, duration)
            | Self::Store(_, duration)
            | Self::RestoreStore { away: duration, .. }
            | Self::Link(FleetLink::Callers(_) | FleetLink::Store(_), _, duration) => {
                Some(duration)
            }
            Self::KillGateway(_) | Self::StopGateway(_) | Self::KillAll | Self::Compact => {
                Some(Duration::ZERO)
            }
            Self::HangUp(_)
            | Self::CrashTarget(_)
            | Self::DrainTarget(_)
            | Self::TakeTarget(..)
            | Self::UpgradeTarget { .. }
            | Self::OddEntry { .. }
            | Self::SaysLeaving(_)
            | Self::Target(..)
            | Self::IsolateGateways(..)
            | Self::Link(..)
            | Self::Revoke
            | Self::NewConfig
            | Self::CrashingPart(..)
            | Self::CrashingRequest(_) => None,
        }
    }
}

/// A fault and when it is injected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultStep {
    /// Time since the start of the injection.
    pub at: Duration,
    /// The fault to inject.
    pub fault: Fault,
}

/// Longest time from the start of draining until a target is stopped by [`Fault::TakeTarget`].
const MAX_DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// Gateways in the fleet of a plan that does not state their number.
pub const GATEWAY_COUNT: usize = 3;

/// Clients of a drawn plan that resume their streams.
const DRAWN_RESUMING_CLIENTS: usize = 3;

/// Limits, in thousandths of a request per second, that a drawn fault lets a target name.
const DRAWN_RATE_LIMITS: std::ops::Range<u32> = 1500..12_000;

/// Odd entries: the id in the key and the value, in which `@` stands for a hundred thousand opening
/// brackets.
pub const ODD_ENTRIES: [(&str, &str); 6] = [
    ("odd-nested", "@"),
    (
        "odd-field",
        r#"{"service":"model","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":8,"state":"ready","more":@"#,
    ),
    (
        "odd-number",
        r#"{"service":"model","address":"127.0.0.1:9","zone":"z1","version":"v1","slots":1e999,"state":"ready"}"#,
    ),
    (
        "odd-port",
        r#"{"service":"model","address":"127.0.0.1:70000","zone":"z1","version":"v1","slots":8,"state":"ready"}"#,
    ),
    (
        "odd-version",
        r#"{"service":"model","address":"127.0.0.1:9","zone":"z1","version":7,"slots":8,"state":"ready"}"#,
    ),
    ("odd id&#", "no entry"),
];

/// Parts of prompts that crash targets.
pub const CRASHING_PARTS: [&str; 3] = ["dead0001", "dead0002", "dead0003"];

/// The only part in the prompt of the request that [`Fault::CrashingRequest`] repeats.
pub const CRASHING_REQUEST_PART: &str = "dead0009";

/// When [`FaultPlan::with_crashing_part`] starts to send requests with the part. The time before is
/// what sound requests are compared with.
const CRASH_SERIES_START: Duration = Duration::from_secs(6);

/// For how long a drawn fault lets clients send requests with a crashing part.
const CRASH_SERIES_TIME: Duration = Duration::from_secs(10);

/// When the targets of [`FaultPlan::with_rate_limits`] name their limits.
const LIMIT_START: Duration = Duration::from_millis(500);

/// For how long a drawn fault lets a target name a limit. The check needs 8 s.
const DRAWN_LIMIT_TIME: Duration = Duration::from_secs(11);

/// Plain targets in the fleet; the others are model engines, which stream.
pub const PLAIN_TARGET_COUNT: usize = 3;

/// Engines of [`FaultPlan::with_versions`], the clients that resume its streams, the time between two
/// upgrades, and from the notice of an engine until it is stopped.
const VERSION_ENGINES: usize = 8;
const RESUMING_CLIENTS: usize = 64;
const UPGRADE_INTERVAL: Duration = Duration::from_millis(200);
const DRAIN_NOTICE: Duration = Duration::from_secs(2);

/// Targets in the fleet of a plan that does not state the number of engines.
pub const TARGET_COUNT: usize = 6;

/// The input of a run: the same plan gives the same faults and requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultPlan {
    /// Determines the requests of the clients.
    pub seed: u64,
    /// How long faults are injected; the recovery of the fleet comes after it.
    pub length: Duration,
    /// The faults, in the order of their times.
    pub steps: Vec<FaultStep>,
    /// Gateways in the fleet.
    #[serde(default = "default_gateway_count")]
    pub gateway_count: usize,
    /// Engines in the fleet, whose indexes follow those of the plain targets.
    #[serde(default = "default_engine_count")]
    pub engine_count: usize,
    /// Clients that resume streams which break, for as long as faults are injected.
    #[serde(default)]
    pub resuming_clients: usize,
    /// Gateways, from the first on, that [`Fault::IsolateGateways`] cuts off. With any, each gateway
    /// is in a region of its own.
    #[serde(default)]
    pub isolated_gateways: usize,
}

impl Default for FaultPlan {
    fn default() -> Self {
        Self {
            seed: 0,
            length: Duration::ZERO,
            steps: Vec::new(),
            gateway_count: GATEWAY_COUNT,
            engine_count: default_engine_count(),
            resuming_clients: 0,
            isolated_gateways: 0,
        }
    }
}

fn default_engine_count() -> usize {
    TARGET_COUNT - PLAIN_TARGET_COUNT
}

fn default_gateway_count() -> usize {
    GATEWAY_COUNT
}

impl FaultPlan {
    /// The plan that a seed determines for a run of this length with [`GATEWAY_COUNT`] gateways.
    #[must_use]
    pub fn new(seed: u64, length: Duration) -> Self {
        Self::with_gateways(seed, length, GATEWAY_COUNT)
    }

    /// The plan that a seed determines for a run of this length with a number of gateways.
    #[must_use]
    pub fn with_gateways(seed: u64, length: Duration, gateway_count: usize) -> Self {
        let steps = draw_steps(seed, length, gateway_count);
        Self {
            seed,
            length,
            steps,
            gateway_count,
            resuming_clients: DRAWN_RESUMING_CLIENTS,
            ..Self::default()
        }
    }

    /// A plan without other faults in which a plain service names a limit, in thousandths of a
    /// request per second, and an engine half of it, for the whole run.
    #[must_use]
    pub fn with_rate_limits(
        seed: u64,
        length: Duration,
        gateway_count: usize,
        millirequests: u32,
    ) -> Self {
        let limit = |target, millirequests| FaultStep {
            at: LIMIT_START,
            fault: Fault::Target(target, TargetMode::LimitsRate(millirequests), length),
        };
        Self {
            seed,
            length,
            steps: vec![
                limit(0, millirequests),
                limit(TARGET_COUNT / 2, millirequests / 2),
            ],
            gateway_count,
            ..Self::default()
        }
    }

    /// A plan without other faults in which requests with one part crash the targets that answer
    /// them, from [`CRASH_SERIES_START`] until the end.
    #[must_use]
    pub fn with_crashing_part(seed: u64, length: Duration, gateway_count: usize) -> Self {
        let duration = length.saturating_sub(CRASH_SERIES_START);
        Self {
            seed,
            length,
            steps: vec![FaultStep {
                at: CRASH_SERIES_START,
                fault: Fault::CrashingPart(0, duration),
            }],
            gateway_count,
            ..Self::default()
        }
    }

    /// A plan in which half of the engines get another version of the software, all gateways are
    /// killed, and all engines get a third version before the gateways are killed again, while
    /// clients resume the streams that broke.
    #[must_use]
    pub fn with_versions(seed: u64, length: Duration, gateway_count: usize) -> Self {
        let engines = PLAIN_TARGET_COUNT..PLAIN_TARGET_COUNT + VERSION_ENGINES;
        let upgrade = |at: Duration, target, version| FaultStep {
            at,
            fault: Fault::UpgradeTarget {
                target,
                version,
                notice: DRAIN_NOTICE,
            },
        };
        let kill = |at| FaultStep {
            at,
            fault: Fault::KillAll,
        };
        let (first, second) = (length / 8, length * 5 / 8);
        let pause = UPGRADE_INTERVAL;
        let mut steps = vec![kill(length / 4), kill(second + DRAIN_NOTICE)];
        steps.extend(
            (0..)
                .zip(engines.clone().step_by(2))
                .map(|(number, target)| upgrade(first + pause * number, target, 2)),
        );
        steps.extend(
            (0..)
                .zip(engines)
                .map(|(number, target)| upgrade(second + pause * number, target, 3)),
        );
        steps.sort_by_key(|step| step.at);
        Self {
            seed,
            length,
            steps,
            gateway_count,
            engine_count: VERSION_ENGINES,
            resuming_clients: RESUMING_CLIENTS,
            ..Self::default()
        }
    }

    /// The same plan without the step at an index, to find a smaller plan that still fails.
    #[must_use]
    pub fn without_step(&self, step: usize) -> Self {
        let mut plan = self.clone();
        plan.steps.remove(step);
        plan
    }
}

/// Draws one fault for each 900 ms of the run, at random times.
fn draw_steps(seed: u64, length: Duration, gateway_count: usize) -> Vec<FaultStep> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let millis = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let count = usize::try_from(millis / 900).unwrap_or(1).max(1);
    let mut steps: Vec<FaultStep> = (0..count)
        .map(|_| FaultStep {
            at: Duration::from_millis(rng.random_range(0..millis)),
            fault: draw_fault(&mut rng, gateway_count),
        })
        .collect();
    steps.sort_by_key(|step| step.at);
    steps
}

fn draw_fault(rng: &mut SmallRng, gateway_count: usize) -> Fault {
    let duration = Duration::from_millis(rng.random_range(300..3000));
    let gateway = rng.random_range(0..gateway_count);
    let target = rng.random_range(0..TARGET_COUNT);
    match rng.random_range(0..29) {
        0 | 1 => Fault::KillGateway(gateway),
        2 => Fault::StopGateway(gateway),
        3 => Fault::PauseGateway(gateway, duration),
        4 => Fault::HangUp(gateway),
        5 => Fault::KillAll,
        6 => Fault::Store(StoreMode::Busy, duration),
        7 => Fault::Store(StoreMode::Silent, duration),
        8 => Fault::Store(StoreMode::Slow(duration / 6), duration),
        9 => Fault::Store(StoreMode::LosesAnswers, duration),
        10 => Fault::Compact,
        11 => Fault::CrashTarget(target),
        12 => Fault::DrainTarget(target),
        13 => Fault::Target(target, draw_target_mode(rng), duration),
        14 => Fault::Revoke,
        15 => Fault::NewConfig,
        16 => Fault::Link(FleetLink::Callers(gateway), draw_link_mode(rng), duration),
        17 => Fault::Link(FleetLink::Store(gateway), draw_link_mode(rng), duration),
        18 | 19 => Fault::Link(
            FleetLink::Target(target),
            draw_target_link_mode(rng),
            duration,
        ),
        20 => Fault::SaysLeaving(target),
        21 | 22 => Fault::Target(
            target,
            TargetMode::LimitsRate(rng.random_range(DRAWN_RATE_LIMITS)),
            DRAWN_LIMIT_TIME,
        ),
        24 => Fault::RestoreStore {
            age: duration * 3,
            away: duration / 2,
        },
        25 | 26 => Fault::UpgradeTarget {
            target,
            version: rng.random_range(1..4),
            notice: duration,
        },
        27 => Fault::OddEntry {
            entry: rng.random_range(0..ODD_ENTRIES.len()),
            target: rng.random_range(0..3).eq(&0).then_some(target),
            duration,
        },
        23 => Fault::CrashingPart(rng.random_range(0..CRASHING_PARTS.len()), CRASH_SERIES_TIME),
        _ => Fault::TakeTarget(target, duration.min(MAX_DRAIN_NOTICE)),
    }
}

/// Draws a fault of a link to a target, which may also send endless response heads.
fn draw_target_link_mode(rng: &mut SmallRng) -> LinkMode {
    match rng.random_range(0..9) {
        0 => LinkMode::FloodHead,
        1 => LinkMode::DripHead,
        2 | 3 => LinkMode::RepeatRefusals,
        _ => draw_link_mode(rng),
    }
}

fn draw_link_mode(rng: &mut SmallRng) -> LinkMode {
    match rng.random_range(0..5) {
        0 => LinkMode::Cut,
        1 => LinkMode::Delay,
        2 => LinkMode::Freeze,
        3 => LinkMode::SilenceExisting,
        _ => LinkMode::OneWay,
    }
}

fn draw_target_mode(rng: &mut SmallRng) -> TargetMode {
    match rng.random_range(0..7) {
        0 => TargetMode::Hangs,
        6 => TargetMode::HangsOften,
        1 => TargetMode::Sheds,
        2 => TargetMode::Pauses,
        3 => TargetMode::FloodsBody,
        4 => TargetMode::DripsBody,
        _ => TargetMode::BreaksOff,
    }
}
