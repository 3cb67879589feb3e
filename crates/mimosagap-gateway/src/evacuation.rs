//! Applies the evacuations that the store shows, and passes on those that the store lost.

use std::collections::{BTreeSet, HashSet};
use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_platform::names;
use mimosagap_routing::evacuation::{EvacuationChange, is_current};
use mimosagap_routing::store_revision::StoreEra;
use mimosagap_types::prelude::*;

use crate::log::LogEvent;
use crate::peers::PeerMessage;
use crate::state::{Gateway, SharedGateway, millis};

/// How this host learned of a change.
#[derive(Debug, Clone, Copy)]
enum ChangeSource {
    Store,
    Host,
}

impl ChangeSource {
    fn name(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Host => "host",
        }
    }
}

/// Applies a change of the key of a zone.
pub fn apply_key(gateway: &Gateway, zone: ZoneName, is_present: bool, era: StoreEra) {
    let now = gateway.now();
    let change = gateway.with_state(|state| {
        if !is_present {
            state.unknown_evacuations.remove(&zone);
            return state.evacuations.record_removal(&zone);
        }
        if state.targets.has_zone(&zone) {
            return state.evacuations.record_key(&zone, era);
        }
        if state.unknown_evacuations.insert(zone.clone()) {
            let age = state.config.confirmation_age(now);
            log_change(gateway, &zone, "unknown_zone", ChangeSource::Store, age);
        }
        None
    });
    if let Some(change) = change {
        apply_changes(gateway, vec![(zone, change)], ChangeSource::Store);
    }
}

/// Compares the evacuations with the keys of a full read of the store.
pub fn apply_listing(gateway: &Gateway, keys: &HashSet<String>, era: StoreEra) {
    let now = gateway.now();
    let listed_zones: BTreeSet<ZoneName> = keys
        .iter()
        .filter_map(|key| names::evacuated_zone(key))
        .collect();
    let changes = gateway.with_state(|state| {
        let evacuations = &mut state.evacuations;
        evacuations.record_listing(&listed_zones, era, now)
    });
    apply_changes(gateway, changes, ChangeSource::Store);
}

/// Ends the evacuations that were held for long enough after the store lost their keys.
pub fn end_holds(gateway: &Gateway) {
    let now = gateway.now();
    let changes = gateway.with_state(|state| {
        let age = state.config.confirmation_age(now);
        let confirmed_at = age.map(|age| now.saturating_sub(age));
        state.evacuations.end_holds(confirmed_at)
    });
    apply_changes(gateway, changes, ChangeSource::Store);
}

/// Applies the evacuations that another host holds.
pub fn apply_report(gateway: &Gateway, zones: &[(ZoneName, Duration)]) {
    let now = gateway.now();
    let changes = gateway.with_state(|state| {
        let era = state.store_era.current();
        let mut changes = Vec::new();
        for (zone, remaining) in zones {
            if state.targets.has_zone(zone)
                && let Some(change) = state.evacuations.record_report(zone, *remaining, era, now)
            {
                changes.push((zone.clone(), change));
            }
        }
        changes
    });
    apply_changes(gateway, changes, ChangeSource::Host);
}

/// Tells a host that was listed just now, and may have just started, the evacuations that the store
/// lost. All hosts are listed again after the store came back, so a message to all of them for each
/// would be one for each pair of hosts.
pub fn announce_held(gateway: &SharedGateway, peer_address: SocketAddr) {
    let now = gateway.now();
    let held = gateway.with_state(|state| state.evacuations.held(now));
    let Some(socket) = gateway.placer_rpc.socket().filter(|_| !held.is_empty()) else {
        return;
    };
    let Some(bytes) = PeerMessage::HeldEvacuations(held).encode() else {
        return;
    };
    tokio::task::spawn_local(async move {
        // Each of the other hosts sends the same.
        let _ = socket.send_to(&bytes, peer_address).await;
    });
}

/// Excludes the targets of the evacuated zones, and logs what changed.
fn apply_changes(
    gateway: &Gateway,
    changes: Vec<(ZoneName, EvacuationChange)>,
    source: ChangeSource,
) {
    if changes.is_empty() {
        return;
    }
    let now = gateway.now();
    let age = gateway.with_state(|state| {
        let zones = state.evacuations.zones();
        let count = i64::try_from(zones.len()).unwrap_or(i64::MAX);
        gateway.metrics.exclusions.evacuated_zones.set(count);
        state.targets.set_evacuated_zones(zones, now);
        state.config.confirmation_age(now)
    });
    for (zone, change) in changes {
        log_change(gateway, &zone, change.name(), source, age);
    }
    // Waiting requests are refused if no target is left, or sent if a zone is back.
    gateway.capacity_freed.notify_waiters();
}

fn log_change(
    gateway: &Gateway,
    zone: &ZoneName,
    change: &str,
    source: ChangeSource,
    config_age: Option<Duration>,
) {
    let changes = &gateway.metrics.exclusions.evacuation_changes;
    changes.with_label_values(&[change]).inc();
    gateway.log.event(&LogEvent::ZoneEvacuation {
        zone: zone.as_str(),
        change,
        source: source.name(),
        config_age_ms: millis(config_age.unwrap_or_else(|| gateway.now())),
        is_current: is_current(config_age, gateway.settings.bounds.evacuation),
    });
}
