//! Memory that is kept for generations on engines that leave.
//!
//! Load pattern: two of four engines of a zone are taken away two seconds after their notice. Their
//! generations can only be copied to the other two in time, which new prompts went on filling
//! meanwhile: copies were refused until the engines had ended.

use std::collections::HashMap;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::targets::Targets;

/// Memory is kept for this long after the notice; then the engine has ended, or its generations are
/// elsewhere.
const KEPT: Duration = Duration::from_millis(2500);

/// Part of the memory in use at an engine that leaves which is kept for its generations. Others end
/// in time, and those that are being copied count at their next engine already.
const MOVED_PART: f64 = 0.5;

#[derive(Debug, Clone, Copy, Default)]
struct ZoneState {
    leaving_tokens: u32,
    engines: u32,
}

/// What is kept at each engine of a zone.
#[derive(Debug, Clone, Default)]
pub struct EvacuationReserve<'a> {
    zones: HashMap<&'a ZoneName, ZoneState>,
}

impl<'a> EvacuationReserve<'a> {
    /// The reserves for the engines of a service.
    #[must_use]
    pub fn new(targets: &'a Targets, service: &DeploymentName, now: Duration) -> Self {
        let mut zones: HashMap<&ZoneName, ZoneState> = HashMap::new();
        for (_, target) in targets.of_service(service) {
            let state = zones.entry(&target.entry.zone).or_default();
            if target.is_usable(now) {
                state.engines += 1;
            }
            let has_notice = |since| now < since + KEPT;
            if target.leaving_since.is_some_and(has_notice) {
                let load = target.load(now);
                let unread: u32 = load.unread.iter().sum();
                state.leaving_tokens += load.tokens.saturating_sub(unread);
            }
        }
        Self { zones }
    }

    /// Tokens that are kept at each engine of a zone.
    #[must_use]
    pub fn tokens(&self, zone: &ZoneName) -> f64 {
        self.zones.get(zone).map_or(0.0, |state| {
            MOVED_PART * f64::from(state.leaving_tokens) / f64::from(state.engines.max(1))
        })
    }
}
