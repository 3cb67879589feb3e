//! Which daemons a caller may use.

use hyper::body::Incoming;
use hyper::{Request, StatusCode};
use mimosagap_core::Member;
use mimosagap_types::prelude::*;
use rand::seq::SliceRandom;
use serde_json::json;

use super::answer::{Answer, json_answer};
use crate::shared::SharedState;

/// Most addresses in one answer.
const MAX_ADDRESSES: usize = 32;

/// Answers `GET /v1/addresses?zone=Z`.
pub fn answer(shared: &SharedState, request: &Request<Incoming>) -> Answer {
    let query = request.uri().query().unwrap_or_default();
    let zone = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("zone="))
        .map_or_else(|| shared.settings.location.zone.clone(), ZoneName::new);
    let mut members = live_members(shared);
    members.shuffle(&mut rand::rng());
    sort_by_distance(&mut members, &zone, &shared.settings.location.region);
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
    let lifetime = shared.view.rules().address_lifetime().as_millis();
    let lifetime = u64::try_from(lifetime).unwrap_or(u64::MAX);
    json_answer(
        StatusCode::OK,
        &json!({"addresses": addresses, "lifetime_ms": lifetime}),
    )
}

/// The members which are not leaving; this daemon is one even before its record is known.
fn live_members(shared: &SharedState) -> Vec<Member> {
    let settings = &shared.settings;
    let mut members = shared.control.members();
    members.retain(|member| member.id != shared.daemon_id && !member.leaving);
    // The record of an earlier process at this address may outlive it by the lease's time.
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

/// The same zone first, then the same region; in random order within each.
fn sort_by_distance(members: &mut [Member], zone: &ZoneName, own_region: &RegionName) {
    let region = members
        .iter()
        .find(|member| member.zone == *zone)
        .map_or_else(|| own_region.clone(), |member| member.region.clone());
    members.sort_by_key(|member| (member.zone != *zone, member.region != region));
}
