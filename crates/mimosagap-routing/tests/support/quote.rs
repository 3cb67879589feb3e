//! A written quote that looks for an engine.

use std::time::Duration;

use mimosagap_routing::placement::PlacementOptions;
use mimosagap_types::prelude::*;

use crate::support::QUOTE;

/// A quote of the zone `a` that waits for as long as it takes, at a host that hears of all loads.
pub fn quote_options<'a>(
    service: &'a DeploymentName,
    home_zone: &'a ZoneName,
) -> PlacementOptions<'a> {
    PlacementOptions {
        service,
        demand: QUOTE,
        home_zone,
        max_queue_time: Duration::MAX,
        restart_time: None,
        cost_jitter: Duration::ZERO,
        remote_partition_host: None,
    }
}
