//! Selects the host addresses that are returned to a caller.
//!
//! Callers keep the list that they get and pick hosts from it at random. The list holds the hosts
//! of the caller's zone, which keeps traffic between regions low. In a zone with a single host left
//! that host would get all callers, so a list of fewer than two hosts is widened to the region and
//! then to the whole fleet. If routes of the looked-up name are restricted to some regions, the list
//! is widened to the hosts of these regions, and to the whole fleet only if there is none: a host of
//! a region that is neither allowed nor the caller's would have to send each request on. Hosts that
//! are silent are left out, see [`host_liveness`](crate::host_liveness).

use std::net::SocketAddr;

use mimosagap_types::prelude::*;

use crate::hosts::HostTable;
use crate::residency::AllowedRegions;

/// Maximum number of addresses in one response; callers ignore further ones.
pub const MAX_ADDRESSES: usize = 64;

/// A shorter list is widened, so that a caller can fail over to another host.
const MIN_ADDRESSES: usize = 2;

/// Returns the addresses for callers of `zone`, without the host named `excluded_host`.
///
/// A `zone` or `region` of `None` is unknown and matches no host. `preferred_regions` are those that
/// the routes of the looked-up name allow.
#[must_use]
pub fn host_addresses(
    hosts: &HostTable,
    zone: Option<&ZoneName>,
    region: Option<&RegionName>,
    excluded_host: Option<&str>,
    preferred_regions: &AllowedRegions,
) -> Vec<SocketAddr> {
    let candidates: Vec<_> = hosts
        .heard()
        .filter(|(name, _)| Some(*name) != excluded_host)
        .map(|(_, record)| record)
        .collect();
    let in_zone = candidates
        .iter()
        .filter(|record| zone == Some(&record.zone))
        .map(|record| record.caller_address);
    let in_region = candidates
        .iter()
        .filter(|record| region == Some(&record.region))
        .map(|record| record.caller_address);
    let in_preferred = candidates
        .iter()
        .filter(|record| {
            region == Some(&record.region) || preferred_regions.contains(Some(&record.region))
        })
        .map(|record| record.caller_address);
    let in_fleet = candidates.iter().map(|record| record.caller_address);
    let mut addresses: Vec<SocketAddr> = in_zone.collect();
    if addresses.len() < MIN_ADDRESSES {
        addresses = in_region.collect();
    }
    if addresses.len() < MIN_ADDRESSES {
        addresses = in_preferred.collect();
    }
    if addresses.is_empty() {
        addresses = in_fleet.collect();
    }
    addresses.truncate(MAX_ADDRESSES);
    addresses
}
