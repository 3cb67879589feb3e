//! The list of daemon addresses that callers may use.

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use mimosagap_core::Member;
use mimosagap_types::prelude::*;
use rand::seq::SliceRandom;
use serde_json::json;

use super::response::{CallerResponse, json_response};
use crate::shared::SharedState;

/// Maximum number of addresses in one response.
const MAX_ADDRESSES: usize = 32;

/// Handles `GET /v1/addresses?zone=Z`. Without a zone, the daemon's own zone applies.
pub fn list_addresses(shared: &SharedState, request: &Request<Incoming>) -> CallerResponse {
    let query = request.uri().query().unwrap_or_default();
    let zone = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("zone="))
        .map_or_else(|| shared.settings.location.zone.clone(), ZoneName::new);
    let mut members = live_members(shared);
    members.shuffle(&mut rand::rng());
    sort_by_locality(&mut members, &zone, &shared.settings.location.region);
    members.truncate(MAX_ADDRESSES);
    let addresses: Vec<_> = members
        .iter()
        .map(|member| {
            json!({
                "address": member.caller_address,
                "zone": member.zone,
                "region": member.region,
            })
        })
        .collect();
    let lifetime_ms = shared.view.rules().address_lifetime().as_millis();
    let lifetime_ms = u64::try_from(lifetime_ms).unwrap_or(u64::MAX);
    json_response(
        StatusCode::OK,
        &json!({"addresses": addresses, "lifetime_ms": lifetime_ms}),
    )
}

/// Returns the members that are not leaving. Unless it drains, this daemon is included, also before
/// its own membership record is known.
fn live_members(shared: &SharedState) -> Vec<Member> {
    let settings = &shared.settings;
    let mut members = shared.control.members();
    members.retain(|member| member.id != shared.daemon_id && !member.leaving);
    // The record of an earlier process at this address remains until its lease expires.
    members.retain(|member| member.caller_address != settings.listen.callers);
    if !shared.view.is_draining() {
        members.push(Member {
            id: shared.daemon_id.clone(),
            caller_address: settings.listen.callers,
            peer_address: settings.listen.peers,
            admin_address: settings.listen.admin,
            zone: settings.location.zone.clone(),
            region: settings.location.region.clone(),
            leaving: false,
        });
    }
    members
}

/// Sorts members of the same zone first, then those of the same region. The sort is stable, so the
/// random order within each group remains.
fn sort_by_locality(members: &mut [Member], zone: &ZoneName, own_region: &RegionName) {
    let region = members
        .iter()
        .find(|member| member.zone == *zone)
        .map_or_else(|| own_region.clone(), |member| member.region.clone());
    members.sort_by_key(|member| (member.zone != *zone, member.region != region));
}
