//! Which hosts a caller is told to use.
//!
//! Load pattern: callers of one zone ask, keep the answer and pick from it at random. A list of
//! their own zone keeps traffic between regions low; a zone with a single host left would take all
//! of its callers, so the list then grows to the region and to the whole fleet.

use std::net::SocketAddr;

use mimosagap_types::prelude::*;

use crate::hosts::HostTable;

/// Most addresses in one answer; callers read no more.
pub const MAX_ADDRESSES: usize = 64;

/// A list with fewer hosts than this is widened, so that a caller has somewhere else to go.
const MIN_ADDRESSES: usize = 2;

/// The addresses for callers of a zone, leaving out `avoid`.
#[must_use]
pub fn host_addresses(
    hosts: &HostTable,
    zone: Option<&ZoneName>,
    region: Option<&RegionName>,
    avoid: Option<&str>,
) -> Vec<SocketAddr> {
    let open: Vec<_> = hosts
        .live()
        .filter(|(name, _)| Some(*name) != avoid)
        .map(|(_, record)| record)
        .collect();
    let in_zone = open
        .iter()
        .filter(|record| zone == Some(&record.zone))
        .map(|record| record.caller_address);
    let in_region = open
        .iter()
        .filter(|record| region == Some(&record.region))
        .map(|record| record.caller_address);
    let anywhere = open.iter().map(|record| record.caller_address);
    let mut list: Vec<SocketAddr> = in_zone.collect();
    if list.len() < MIN_ADDRESSES {
        list = in_region.collect();
    }
    if list.len() < MIN_ADDRESSES {
        list = anywhere.collect();
    }
    list.truncate(MAX_ADDRESSES);
    list
}
