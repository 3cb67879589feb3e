//! Targets for the tests of decisions.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mimosagap_routing::config::EngineLimits;
use mimosagap_routing::placement::StreamNeed;
use mimosagap_routing::targets::{Distance, TargetEntry, TargetKey, Targets};
use mimosagap_types::prelude::*;

/// The time at which the tests begin.
pub const NOW: Duration = Duration::from_secs(1000);

/// A written quote: a long prompt and a long answer.
pub const QUOTE: StreamNeed = StreamNeed {
    prompt: 3000,
    output: 800,
    made: 0,
    rank: 1,
};

/// Memory of the engines of the sites.
pub const MEMORY: u32 = 34_000;

/// The service of all targets here.
pub fn service() -> DeploymentName {
    DeploymentName::new("model")
}

/// An entry as a target writes it.
pub fn entry(number: u16, zone: &str) -> TargetEntry {
    TargetEntry {
        instance: format!("i-{number}"),
        service: service(),
        address: ([10, 0, 0, 1], 8000 + number).into(),
        zone: ZoneName::new(zone),
        slots: 24,
        is_draining: false,
        started_unix_ms: 1,
    }
}

/// The zones `a` and `b` are in one region, `c` in another.
fn regions() -> BTreeMap<ZoneName, RegionName> {
    [("a", "north"), ("b", "north"), ("c", "south")]
        .map(|(zone, region)| (ZoneName::new(zone), RegionName::new(region)))
        .into()
}

/// Engines in the zones named, all near.
pub fn engines(zones: &[&str]) -> (Targets, Vec<TargetKey>) {
    let mut targets = Targets::with_regions(regions());
    targets.set_engines(HashMap::from([(
        service(),
        EngineLimits {
            slots: 24,
            memory_tokens: MEMORY,
            can_move: true,
            tokens_per_event: 4,
            copy_life: Duration::from_secs(5),
        },
    )]));
    let keys = zones
        .iter()
        .zip(0..)
        .map(|(zone, number)| {
            let entry = entry(number, zone);
            targets.put(entry, Distance::Zone, Duration::ZERO).0
        })
        .collect();
    (targets, keys)
}
