//! The faults of a run, determined by its seed.

use std::time::Duration;

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::standins::store::StoreMode;
use crate::standins::target::TargetMode;

/// Something that happens to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
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
    /// A target misbehaves for a time.
    Target(usize, TargetMode, Duration),
    /// A key is revoked.
    Revoke,
    /// A new version of the configuration without a difference that callers see.
    NewConfig,
}

impl Fault {
    /// How long it disrupts the store or a gateway's process; `None` if it does neither.
    #[must_use]
    pub fn disturbs(self) -> Option<Duration> {
        match self {
            Self::PauseGateway(_, time) | Self::Store(_, time) => Some(time),
            Self::KillGateway(_) | Self::StopGateway(_) | Self::KillAll | Self::Compact => {
                Some(Duration::ZERO)
            }
            Self::HangUp(_)
            | Self::CrashTarget(_)
            | Self::DrainTarget(_)
            | Self::Target(..)
            | Self::Revoke
            | Self::NewConfig => None,
        }
    }
}

/// When a fault strikes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FaultStep {
    /// Time since the start.
    pub at: Duration,
    /// The fault.
    pub fault: Fault,
}

/// Gateways of a run.
pub const GATEWAYS: usize = 3;

/// Targets of a run: the first half are plain, the others make streams.
pub const TARGETS: usize = 6;

/// The plan of a seed for a run of some length.
#[must_use]
pub fn plan(seed: u64, length: Duration) -> Vec<FaultStep> {
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
    match random.random_range(0..16) {
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
        _ => Fault::NewConfig,
    }
}

fn draw_mode(random: &mut SmallRng) -> TargetMode {
    match random.random_range(0..3) {
        0 => TargetMode::Hangs,
        1 => TargetMode::Sheds,
        _ => TargetMode::BreaksOff,
    }
}
