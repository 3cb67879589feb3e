//! Placement options for a long generation.

use std::time::Duration;

use mimosagap_routing::placement::PlacementOptions;
use mimosagap_routing::residency::UNRESTRICTED;
use mimosagap_types::prelude::*;

use crate::support::LONG_GENERATION;

/// Options with an unlimited queue time and all engines of other regions, without jitter or
/// restart.
pub fn long_generation_options<'a>(
    service: &'a DeploymentName,
    home_zone: &'a ZoneName,
) -> PlacementOptions<'a> {
    PlacementOptions {
        service,
        version: None,
        demand: LONG_GENERATION,
        home_zone,
        max_queue_time: Duration::MAX,
        restart_time: None,
        cost_jitter: Duration::ZERO,
        remote_partition_host: None,
        residency: &UNRESTRICTED,
    }
}
