//! A written quote that looks for an engine.

use std::time::Duration;

use mimosagap_routing::placement::PlaceOptions;
use mimosagap_types::prelude::*;

use crate::support::QUOTE;

/// A quote of the zone `a` that waits for as long as it takes, at a host that hears of all loads.
pub fn quote_options<'a>(service: &'a DeploymentName, home: &'a ZoneName) -> PlaceOptions<'a> {
    PlaceOptions {
        service,
        need: QUOTE,
        home,
        patience: Duration::MAX,
        repeatable_for: None,
        spread: Duration::ZERO,
        far_host: None,
    }
}
