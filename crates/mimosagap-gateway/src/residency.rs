//! Restrictions of requests to regions: which one is in force, its log lines, and notices of regions
//! in which restricted requests lack capacity.
//!
//! The decision is in `mimosagap_routing::residency`. The configuration may change while a request
//! waits, so the policy is looked up again for each choice of a target or a host.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_routing::config::FleetConfig;
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::residency::{
    AllowedRegions, PermittedHost, PermittedTarget, RESIDENCY_FEATURE, ResidencyPolicy,
};
use mimosagap_routing::targets::TargetKey;
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::log::LogEvent;
use crate::peers::{PeerMessage, SMALL_FLEET_HOSTS};
use crate::request::RoutedRequest;
use crate::state::{Gateway, SharedGateway};

/// Tells the hosts of a region that restricted requests lack capacity there.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
pub struct ContentionNotice {
    service: DeploymentName,
    region: RegionName,
}

/// The restriction in force by the configuration and, if the request was relayed, by the host that
/// relays it. A route or team that was removed keeps the list that it had.
fn regions_in_force(config: Option<&Arc<FleetConfig>>, request: &RoutedRequest) -> AllowedRegions {
    let route = config
        .and_then(|config| config.route(&request.route.hostname, &request.path))
        .unwrap_or(&request.route);
    // The key of a restricted team restricts its requests on public routes, too.
    let key = request.head.api_key.as_deref();
    let team = config
        .zip(key)
        .and_then(|(config, key)| config.team_by_key(key))
        .or(request.team.as_ref());
    let of_route = route.allowed_regions.intersection(&request.relayed_regions);
    match team {
        Some(team) => of_route.intersection(&team.allowed_regions),
        None => of_route,
    }
}

/// Where a request may be served now. A stream that has begun keeps the restriction with which it
/// began in addition to the one in force.
pub fn policy(gateway: &Gateway, request: &RoutedRequest) -> ResidencyPolicy {
    let in_force = regions_in_force(gateway.config().as_ref(), request);
    let lists = [Some(&in_force), request.began_with.get()];
    let zone_regions = &gateway.settings.zone_regions;
    ResidencyPolicy::new(lists.into_iter().flatten(), |region| {
        zone_regions.values().any(|known| known == region)
    })
}

/// The restriction with which a stream begins that is sent now.
pub fn initial_regions(gateway: &Gateway, request: &RoutedRequest) -> AllowedRegions {
    regions_in_force(gateway.config().as_ref(), request)
}

/// Permits to send a request to a target now; `None` if it is in a region that is not allowed.
pub fn permit_target(
    gateway: &Gateway,
    request: &RoutedRequest,
    key: TargetKey,
) -> Option<PermittedTarget> {
    let policy = policy(gateway, request);
    gateway.with_state(|state| policy.permit_target(&state.targets, key))
}

/// Whether the regions that a restricted request may use have no target left while it waits.
pub fn has_lost_targets(gateway: &Gateway, request: &RoutedRequest, max_wait: Duration) -> bool {
    let policy = policy(gateway, request);
    let now = gateway.now();
    let service = &request.service;
    policy.is_restricted()
        && !gateway.with_state(|state| policy.has_target(&state.targets, service, max_wait, now))
}

/// Permits a send again after a wait in which the configuration may have changed, and logs the
/// decision for a restricted request.
pub fn confirm_target(gateway: &Gateway, request: &RoutedRequest, target: PermittedTarget) -> bool {
    let policy = policy(gateway, request);
    let key = target.key();
    let is_permitted = gateway
        .with_state(|state| policy.permit_target(&state.targets, key))
        .is_some();
    let result = if is_permitted { "sent" } else { "denied" };
    log_target(gateway, request, &policy, result, key);
    is_permitted
}

/// Logs that a target of a restricted request was chosen or denied.
pub fn log_target(
    gateway: &Gateway,
    request: &RoutedRequest,
    policy: &ResidencyPolicy,
    result: &str,
    key: TargetKey,
) {
    if policy.is_restricted() {
        let region = gateway.with_state(|state| state.targets.region_of(key).cloned());
        let region = region.as_ref().map_or("", RegionName::as_str);
        log_decision(
            gateway,
            request,
            policy,
            result,
            &gateway.instance(key),
            region,
        );
    }
}

/// Logs that a restricted request is handed to another host.
pub fn log_relay(
    gateway: &Gateway,
    request: &RoutedRequest,
    policy: &ResidencyPolicy,
    host: &PermittedHost,
) {
    if policy.is_restricted() {
        let region = gateway.with_state(|state| {
            let mut hosts = state.hosts.live();
            let record = hosts.find(|(name, _)| *name == host.name());
            record.map(|(_, record)| record.region.clone())
        });
        let region = region.as_ref().map_or("", RegionName::as_str);
        log_decision(gateway, request, policy, "relayed", host.name(), region);
    }
}

/// Logs the refusal of a restricted request, with its regions. Returns the policy of the request.
pub fn note_refusal(
    gateway: &Gateway,
    request: &RoutedRequest,
    reason: RefusalReason,
) -> ResidencyPolicy {
    let policy = policy(gateway, request);
    if policy.is_restricted() {
        log_decision(gateway, request, &policy, reason.name(), "", "");
    }
    policy
}

fn log_decision(
    gateway: &Gateway,
    request: &RoutedRequest,
    policy: &ResidencyPolicy,
    result: &str,
    target: &str,
    region: &str,
) {
    let decisions = &gateway.metrics.residency_decisions;
    decisions.with_label_values(&[result]).inc();
    let (config_version, _) = gateway.config_version_and_age();
    gateway.log.event(&LogEvent::Residency {
        id: &request.head.attempt_id,
        service: request.service.as_str(),
        regions: policy.named().to_string(),
        result,
        target,
        region,
        config_version,
    });
}

/// Logs the names in lists of regions that no zone of the settings is in, each once.
pub fn log_unknown_regions(gateway: &Gateway, config: &FleetConfig) {
    let zone_regions = &gateway.settings.zone_regions;
    let mut logged: Vec<&RegionName> = Vec::new();
    for (list, regions) in config.region_lists() {
        for region in regions.names() {
            let is_known = zone_regions.values().any(|known| known == region);
            if !is_known && !logged.contains(&region) {
                logged.push(region);
                gateway.log.event(&LogEvent::RegionUnknown {
                    version: config.version,
                    region: region.as_str(),
                    list: &list,
                });
            }
        }
    }
}

/// Records that a generation waits or was refused for lack of capacity. If it is restricted, the
/// hosts of its regions are told, so that unrestricted generations avoid them.
pub fn note_contention(gateway: &SharedGateway, request: &RoutedRequest, policy: &ResidencyPolicy) {
    let now = gateway.now();
    let service = &request.service;
    for region in policy.allowed().names() {
        let is_notice_due = gateway.with_state(|state| {
            let contention = state.targets.contention_mut();
            contention.record(service, region, now)
        });
        if is_notice_due {
            let gateway = Rc::clone(gateway);
            let notice = ContentionNotice {
                service: service.clone(),
                region: region.clone(),
            };
            tokio::task::spawn_local(async move { send_notice(&gateway, notice).await });
        }
    }
}

/// Sends a notice to the hosts of its region, in a small fleet to all. Hosts of other regions seldom
/// send to its engines, and those of earlier builds cannot read the notice.
async fn send_notice(gateway: &SharedGateway, notice: ContentionNotice) {
    let own_host = &gateway.settings.host;
    let peers: Vec<SocketAddr> = gateway.with_state(|state| {
        let is_small_fleet = state.hosts.len() <= SMALL_FLEET_HOSTS;
        let hosts = state.hosts.live().filter(|(name, record)| {
            name != own_host
                && record.has_feature(RESIDENCY_FEATURE)
                && (is_small_fleet || record.region == notice.region)
        });
        hosts.map(|(_, record)| record.peer_address).collect()
    });
    let Some(socket) = gateway.placer_rpc.socket() else {
        return;
    };
    let Some(bytes) = PeerMessage::ContentionNotice(notice).encode() else {
        return;
    };
    for peer in peers {
        // A lost notice is repeated while requests lack capacity.
        let _ = socket.send_to(&bytes, peer).await;
    }
}

/// Applies the notice of another host.
pub fn apply_notice(gateway: &Gateway, notice: &ContentionNotice) {
    let now = gateway.now();
    gateway.with_state(|state| {
        let contention = state.targets.contention_mut();
        contention.record_notice(&notice.service, &notice.region, now);
    });
}
