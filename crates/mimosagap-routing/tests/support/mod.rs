//! Engines and requests shared by the tests.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use mimosagap_routing::cold_rate::ColdClaim;
use mimosagap_routing::config::EngineSpec;
use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::targets::{Locality, TargetEntry, TargetKey, TargetTable};
use mimosagap_types::prelude::*;

/// The current time at the start of a test.
pub const NOW: Duration = Duration::from_secs(1000);

/// A generation with a long prompt and a long response.
pub const LONG_GENERATION: GenerationDemand = GenerationDemand {
    prompt_tokens: 3000,
    expected_tokens: 800,
    generated_tokens: 0,
    priority_level: 1,
};

/// KV capacity of all engines.
pub const KV_CAPACITY_TOKENS: u32 = 34_000;

/// The service of all targets.
pub fn service() -> DeploymentName {
    DeploymentName::new("model")
}

/// The store entry of target `number` in a zone.
pub fn entry(number: u16, zone: &str) -> TargetEntry {
    TargetEntry {
        instance: format!("i-{number}"),
        service: service(),
        address: ([10, 0, 0, 1], 8000 + number).into(),
        zone: ZoneName::new(zone),
        version: SoftwareVersion::new("v1"),
        slots: 24,
        is_draining: false,
        started_unix_ms: 1,
        cold: ColdClaim::Unstated,
    }
}

/// The zones `a` and `b` are in one region, `c` in another.
fn regions() -> BTreeMap<ZoneName, RegionName> {
    [("a", "north"), ("b", "north"), ("c", "south")]
        .map(|(zone, region)| (ZoneName::new(zone), RegionName::new(region)))
        .into()
}

/// A table for engines of one version in these regions.
pub fn empty_table(regions: BTreeMap<ZoneName, RegionName>) -> TargetTable {
    let mut targets = TargetTable::with_regions(regions);
    targets.set_engine_specs(HashMap::from([(
        service(),
        EngineSpec {
            slots: 24,
            kv_capacity_tokens: KV_CAPACITY_TOKENS,
            supports_migration: true,
            tokens_per_event: 4,
            kv_copy_ttl: Duration::from_secs(5),
        },
    )]));
    let version = SoftwareVersion::new("v1");
    let versions = targets.versions_mut();
    versions.admit((service(), version), Duration::ZERO);
    targets
}

/// A table with one idle engine per zone name, all with the locality of the same zone.
pub fn engines(zones: &[&str]) -> (TargetTable, Vec<TargetKey>) {
    let mut targets = empty_table(regions());
    let keys = zones
        .iter()
        .zip(0..)
        .map(|(zone, number)| {
            let entry = entry(number, zone);
            targets.upsert(entry, Locality::SameZone, Duration::ZERO).0
        })
        .collect();
    (targets, keys)
}
