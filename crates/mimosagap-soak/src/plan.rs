//! The faults of a run, determined by its seed.

use std::time::Duration;

use mimosagap_standins::proxy::LinkMode;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use serde::{Deserialize, Serialize};

use crate::standins::store::StoreMode;
use crate::standins::target::TargetMode;

/// Something that happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Fault {
    /// A gateway is killed and started again.
    KillGateway(usize),
    /// A gateway is asked to stop, and started again.
    StopGateway(usize),
    /// A gateway stands still for a time.
    PauseGateway(usize, Duration),
    /// A gateway is told that its settings changed.
    HangUp(usize),
    /// All gateways are killed at the same moment.
    KillAll,
    /// The store misbehaves for a time.
    Store(StoreMode, Duration),
    /// The store drops its history.
    Compact,
    /// A target crashes; another one comes.
    CrashTarget(usize),
    /// A target leaves; another one comes.
    DrainTarget(usize),
    /// A target is taken away a short time after its notice; another one comes.
    TakeTarget(usize, Duration),
    /// A target says in its answers that it leaves, and does; another one comes.
    SaysLeaving(usize),
    /// A target misbehaves for a time.
    Target(usize, TargetMode, Duration),
    /// A key is revoked.
    Revoke,
    /// A new version of the configuration, which adds a route and removes an old one.
    NewConfig,
    /// A link misbehaves for a time.
    Link(LinkPlace, LinkMode, Duration),
}

/// A link of the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum LinkPlace {
    /// From callers to a gateway.
    Callers(usize),
    /// From a gateway to the store.
    Store(usize),
    /// From all gateways to a target.
    Target(usize),
}

impl Fault {
    /// How long it disrupts the store, a gateway's process or the links of either to others; `None`
    /// if it does not.
    #[must_use]
    pub fn disturbs(self) -> Option<Duration> {
        match self {
            Self::PauseGateway(_, time)
            | Self::Store(_, time)
            | Self::Link(LinkPlace::Callers(_) | LinkPlace::Store(_), _, time) => Some(time),
            Self::KillGateway(_) | Self::StopGateway(_) | Self::KillAll | Self::Compact => {
                Some(Duration::ZERO)
            }
            Self::HangUp(_)
            | Self::CrashTarget(_)
            | Self::DrainTarget(_)
            | Self::TakeTarget(..)
            | Self::SaysLeaving(_)
            | Self::Target(..)
            | Self::Link(..)
            | Self::Revoke
            | Self::NewConfig => None,
        }
    }
}

/// When a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct FaultStep {
    /// Time since the start.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Longest time from the notice until a target is taken away.
const MOST_NOTICE: Duration = Duration::from_secs(2);

/// Gateways of a run.
pub const GATEWAYS: usize = 3;

/// Targets of a run: the first half are plain, the others make streams.
pub const TARGETS: usize = 6;

/// What happens in a run: the same plan gives the same faults and requests.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Plan {
    /// Determines the requests.
    pub seed: u64,
    /// How long faults strike.
    pub length: Duration,
    /// The faults.
    pub steps: Vec<FaultStep>,
}

impl Plan {
    /// The plan of a seed for a run of some length.
    #[must_use]
    pub fn new(seed: u64, length: Duration) -> Self {
        let steps = draw_steps(seed, length);
        Self {
            seed,
            length,
            steps,
        }
    }

    /// The same plan without one of its steps.
    #[must_use]
    pub fn without(&self, step: usize) -> Self {
        let mut plan = self.clone();
        plan.steps.remove(step);
        plan
    }
}

fn draw_steps(seed: u64, length: Duration) -> Vec<FaultStep> {
    let mut random = SmallRng::seed_from_u64(seed);
    let millis = u64::try_from(length.as_millis()).unwrap_or(u64::MAX);
    let count = usize::try_from(millis / 900).unwrap_or(1).max(1);
    let mut steps: Vec<FaultStep> = (0..count)
        .map(|_| FaultStep {
            at: Duration::from_millis(random.random_range(0..millis)),
            fault: draw(&mut random),
        })
        .collect();
    steps.sort_by_key(|step| step.at);
    steps
}

fn draw(random: &mut SmallRng) -> Fault {
    let time = Duration::from_millis(random.random_range(300..3000));
    let gateway = random.random_range(0..GATEWAYS);
    let target = random.random_range(0..TARGETS);
    match random.random_range(0..22) {
        0 | 1 => Fault::KillGateway(gateway),
        2 => Fault::StopGateway(gateway),
        3 => Fault::PauseGateway(gateway, time),
        4 => Fault::HangUp(gateway),
        5 => Fault::KillAll,
        6 => Fault::Store(StoreMode::Busy, time),
        7 => Fault::Store(StoreMode::Silent, time),
        8 => Fault::Store(StoreMode::Slow(time / 6), time),
        9 => Fault::Store(StoreMode::LosesAnswers, time),
        10 => Fault::Compact,
        11 => Fault::CrashTarget(target),
        12 => Fault::DrainTarget(target),
        13 => Fault::Target(target, draw_mode(random), time),
        14 => Fault::Revoke,
        15 => Fault::NewConfig,
        16 => Fault::Link(LinkPlace::Callers(gateway), draw_link_mode(random), time),
        17 => Fault::Link(LinkPlace::Store(gateway), draw_link_mode(random), time),
        18 | 19 => Fault::Link(
            LinkPlace::Target(target),
            draw_target_link_mode(random),
            time,
        ),
        20 => Fault::SaysLeaving(target),
        _ => Fault::TakeTarget(target, time.min(MOST_NOTICE)),
    }
}

/// Of links to targets, which may also send bytes that are no answer.
fn draw_target_link_mode(random: &mut SmallRng) -> LinkMode {
    match random.random_range(0..7) {
        0 => LinkMode::FloodHead,
        1 => LinkMode::DripHead,
        _ => draw_link_mode(random),
    }
}

fn draw_link_mode(random: &mut SmallRng) -> LinkMode {
    match random.random_range(0..5) {
        0 => LinkMode::Cut,
        1 => LinkMode::Delay,
        2 => LinkMode::Freeze,
        3 => LinkMode::SilenceExisting,
        _ => LinkMode::OneWay,
    }
}

fn draw_mode(random: &mut SmallRng) -> TargetMode {
    match random.random_range(0..7) {
        0 => TargetMode::Hangs,
        6 => TargetMode::HangsOften,
        1 => TargetMode::Sheds,
        2 => TargetMode::Pauses,
        3 => TargetMode::FloodsBody,
        4 => TargetMode::DripsBody,
        _ => TargetMode::BreaksOff,
    }
}
