//! The store's return from an older copy of its data, which the era in its responses shows.
//!
//! What the copy lacks is written again by those who wrote it, and meanwhile this host goes by what
//! it knows: the configuration in force stays, and targets that ended stay removed.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use mimosagap_platform::names;
use mimosagap_platform::store::{StoreCall, StoreChange};
use mimosagap_routing::hosts::HostRecord;
use mimosagap_routing::store_revision::{EraObservation, StoreEra};
use rand::seq::SliceRandom;

use crate::change_feed::fetch_config;
use crate::log::LogEvent;
use crate::mirror::KEPT_VALUE_REVISION;
use crate::state::{Gateway, SharedGateway};
use crate::store::{StoreClient, StoreError};
use crate::store_sync::{HOSTS_PREFIX, apply_config, apply_target};

/// Time after the store came back from a copy for which a target stays removed although the copy
/// lists it. By then the entry of a target that ended has lost its lease, after three heartbeats.
const RESTORED_ENTRY_TIME: Duration = Duration::from_secs(5);

/// Other hosts that are asked for a newer configuration than the store shows.
const MAX_CONFIG_SOURCES: usize = 3;

/// Calls the store and notes the era that it names.
pub async fn call_store(
    gateway: &SharedGateway,
    client: &StoreClient,
    call: &StoreCall,
) -> Result<Bytes, StoreError> {
    let requested_at = gateway.now();
    let reply = client.call(call).await;
    if let Some(error) = reply.era_error {
        gateway.log.event(&LogEvent::Trouble {
            what: "the era of the store cannot be read and is taken as unchanged",
            cause: error.to_string(),
        });
    }
    match observe_era(gateway, reply.era, requested_at) {
        EraObservation::Outdated => Err(StoreError::OutdatedEra),
        _ => reply.result,
    }
}

/// Notes the era in a response to a request sent at `requested_at`. In a new era this host
/// registers again and asks others for a newer configuration than the store shows.
pub fn observe_era(
    gateway: &SharedGateway,
    era: Option<StoreEra>,
    requested_at: Duration,
) -> EraObservation {
    let now = gateway.now();
    let observation = gateway.with_state(|state| state.store_era.observe(era, requested_at, now));
    let (EraObservation::Changed { previous }, Some(era)) = (observation, era) else {
        return observation;
    };
    gateway.log.event(&LogEvent::StoreEra {
        era: era.0,
        previous: previous.0,
    });
    gateway.with_state(|state| {
        state.store_restored_at = Some(now);
        // Entries that the copy lacks are written again shortly, as after an outage.
        state.store_recovered_at = Some(now);
    });
    gateway.suspicions.rewrite_records(now);
    gateway.with_state(|state| state.stream_origins.mark_all_dirty());
    gateway.records_due.notify_one();
    gateway.registration_wakeup.notify_one();
    let peers = gateway.with_state(|state| {
        let peers = state.hosts.live();
        let peers = peers.filter(|(name, _)| *name != gateway.settings.host);
        peers.map(|(_, record)| record.clone()).collect()
    });
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move { adopt_newer_config(&gateway, peers, era).await });
    observation
}

/// The other hosts among the items of a full read.
pub fn listed_peers(gateway: &Gateway, items: &[StoreChange]) -> Vec<HostRecord> {
    let peers = items.iter().filter_map(|item| {
        let name = item.key.strip_prefix(HOSTS_PREFIX)?;
        let record = serde_json::from_slice(item.value.as_deref()?).ok()?;
        (name != gateway.settings.host).then_some(record)
    });
    peers.collect()
}

/// Asks a few hosts, those of the own region first, for their configuration and takes the newest
/// one, if it is newer than the one in force here.
pub async fn adopt_newer_config(
    gateway: &SharedGateway,
    mut peers: Vec<HostRecord>,
    era: StoreEra,
) {
    gateway.with_state(|state| peers.shuffle(&mut state.rng));
    peers.sort_by_key(|record| record.region != gateway.settings.region);
    for record in peers.iter().take(MAX_CONFIG_SOURCES) {
        let Some(value) = fetch_config(record.peer_address).await else {
            continue;
        };
        let kept = StoreChange {
            key: names::CONFIG_KEY.to_owned(),
            revision: KEPT_VALUE_REVISION,
            value: Some(value.to_vec()),
        };
        let version_before = gateway.config().map(|config| config.version);
        apply_config(gateway, &kept, era);
        if gateway.config().map(|config| config.version) != version_before {
            gateway.with_state(|state| state.mirror.keep_value(names::CONFIG_KEY, value.to_vec()));
        }
    }
}

/// Whether an entry is that of a target which ended before the store came back from a copy.
pub fn is_restored_entry(gateway: &Gateway, instance: &str, started_unix_ms: u64) -> bool {
    let now = gateway.now();
    gateway
        .with_state(|state| {
            let restored_at = state
                .store_restored_at
                .filter(|at| now < *at + RESTORED_ENTRY_TIME)?;
            let target = state.targets.get(state.targets.find_instance(instance)?)?;
            let is_same_process = target.entry.started_unix_ms == started_unix_ms;
            let was_removed = target.removed_at.is_some_and(|at| at <= restored_at);
            Some(is_same_process && was_removed)
        })
        .unwrap_or(false)
}

/// Takes the entries that the copy of the store showed again and that the store still lists when the
/// leases of ended targets have expired: their targets live.
pub fn recheck_restored_entries(gateway: &SharedGateway) {
    let now = gateway.now();
    let due: Vec<(String, Vec<u8>)> = gateway.with_state(|state| {
        let is_due = state
            .store_restored_at
            .is_none_or(|at| now >= at + RESTORED_ENTRY_TIME);
        if is_due {
            std::mem::take(&mut state.restored_entries)
                .into_iter()
                .collect()
        } else {
            Vec::new()
        }
    });
    for (instance, value) in due {
        let key = format!("{}{instance}", names::TARGETS_PREFIX);
        if gateway.with_state(|state| state.mirror.value(&key).is_some()) {
            apply_target(gateway, &instance, Some(&value));
        }
    }
}
