//! The reducer and its state.

use std::time::Instant;

use mimosagap_types::prelude::*;

use crate::effect::Effect;
use crate::event::Event;

/// What a reducer knows from its daemon's settings.
#[derive(Debug, Clone)]
pub struct Options {
    /// This daemon.
    pub daemon: DaemonId,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// Seed of the random choices, so that a run can be repeated.
    pub seed: u64,
}

/// The decisions of one daemon.
#[derive(Debug)]
pub struct Core {
    options: Options,
}

impl Core {
    /// A reducer without rules, targets or members.
    #[must_use]
    pub fn new(options: Options) -> Self {
        Self { options }
    }

    /// Takes one event and appends what is to be done to `effects`.
    pub fn reduce(&mut self, _now: Instant, _event: Event, _effects: &mut Vec<Effect>) {
        let _ = &self.options;
    }
}
