//! Admits software versions in the store, before any stream begins there.

use std::collections::HashSet;
use std::time::Duration;

use mimosagap_platform::store::StoreCall;
use mimosagap_routing::hashing::stable_hash;
use mimosagap_routing::keeper_selection::is_keeper;
use mimosagap_routing::store_revision::StoreEra;
use mimosagap_routing::version_registry::{RegistryStep, ServiceVersion};
use mimosagap_types::prelude::*;
use tokio::time::timeout;

use crate::log::LogEvent;
use crate::state::{Gateway, SharedGateway};
use crate::store::{StoreClient, StoreError};
use crate::store_era::call_store;

/// Key prefix of the admitted versions.
pub const VERSIONS_PREFIX: &str = "mimosagap/versions/";

/// Key of the era for which the store lists all versions.
pub const VERSIONS_ERA_KEY: &str = "mimosagap/versions-era";

/// Common prefix of all keys on versions.
pub const ALL_VERSIONS_PREFIX: &str = "mimosagap/versions";

/// How often a version that waits is looked at; its wait ends early when other engines become
/// unavailable.
const PENDING_INTERVAL: Duration = Duration::from_millis(100);

/// How often the versions are compared with the engines if nothing changes.
const IDLE_INTERVAL: Duration = Duration::from_secs(20);

/// Time for which the other hosts leave a step to the host that has been registered longest, and
/// the time over which they then spread.
const DEPUTY_DELAY: Duration = Duration::from_millis(300);
const DEPUTY_SPREAD_MS: u64 = 400;

fn version_key((service, version): &ServiceVersion) -> String {
    let id = stable_hash(&[service.as_str().as_bytes(), version.as_str().as_bytes()]);
    format!("{VERSIONS_PREFIX}{id:016x}")
}

/// Admits and retires versions until the process ends.
pub async fn maintain_versions(gateway: SharedGateway, client: StoreClient) {
    let mut mixed_services = HashSet::new();
    loop {
        let store_changed = gateway.store_changed.notified();
        let now = gateway.now();
        let steps = gateway.with_state(|state| state.targets.update_versions(now));
        record_mixed_services(&gateway, &mut mixed_services);
        let mut has_failed = false;
        match record_era(&gateway, &client).await {
            Ok(()) => {
                for step in steps {
                    has_failed |= take_step(&gateway, &client, step).await.is_err();
                }
            }
            // Versions beside no era would count as those of an earlier release.
            Err(_) => has_failed = true,
        }
        let is_pending = gateway.with_state(|state| {
            state.targets.versions().has_pending() || state.version_history.is_record_missing()
        });
        if has_failed || is_pending {
            tokio::time::sleep(PENDING_INTERVAL).await;
        } else {
            let _ = timeout(IDLE_INTERVAL, store_changed).await;
        }
    }
}

/// Records the running streams of services that have become mixed, which began while there was one
/// version.
fn record_mixed_services(gateway: &Gateway, known: &mut HashSet<DeploymentName>) {
    gateway.with_state(|state| {
        let versions = state.targets.versions();
        let is_complete = state.version_history.is_complete();
        let recorded = versions.services().filter(|service| {
            // Without all versions, no service is known to have one only.
            !is_complete || versions.is_mixed(service)
        });
        let mixed: HashSet<DeploymentName> = recorded.cloned().collect();
        for service in mixed.difference(known) {
            state.stream_origins.record_all(service);
        }
        *known = mixed;
    });
    if gateway.with_state(|state| state.stream_origins.has_writes()) {
        gateway.records_due.notify_one();
    }
}

fn is_leader(gateway: &Gateway) -> bool {
    gateway.with_state(|state| is_keeper(&state.hosts, None, &gateway.settings.host))
}

/// Whether it is up to this host to take a step that is due since `due_at`. If not, the next look
/// finds it taken, or this host's turn has come.
fn is_own_turn(gateway: &Gateway, due_at: Duration) -> bool {
    let spread = Duration::from_millis(gateway.host_hash % DEPUTY_SPREAD_MS);
    is_leader(gateway) || gateway.now() >= due_at + DEPUTY_DELAY + spread
}

/// Records in the store for which era it lists all versions, if that is due.
async fn record_era(gateway: &SharedGateway, client: &StoreClient) -> Result<(), StoreError> {
    let now = gateway.now();
    let mut is_relisted = false;
    let due = gateway.with_state(|state| {
        let era = state.store_era.current();
        let has_pending = state.targets.versions().has_pending();
        let was_complete = state.version_history.is_complete();
        let due = state.version_history.update(era, has_pending, now);
        is_relisted = state.version_history.is_complete() && !was_complete;
        due
    });
    if is_relisted {
        log_history(gateway);
    }
    let Some((era, _)) = due.filter(|(_, due_at)| is_own_turn(gateway, *due_at)) else {
        return Ok(());
    };
    let value = serde_json::to_vec(&era).unwrap_or_default();
    let put = StoreCall::put(VERSIONS_ERA_KEY.to_owned(), value, 0);
    call_store(gateway, client, &put).await?;
    note_recorded_era(gateway, Some(era));
    Ok(())
}

fn note_recorded_era(gateway: &Gateway, recorded: Option<StoreEra>) {
    let now = gateway.now();
    let is_changed = gateway.with_state(|state| {
        let current = state.store_era.current();
        state.version_history.note_recorded(recorded, current, now)
    });
    if is_changed {
        log_history(gateway);
    }
}

fn log_history(gateway: &Gateway) {
    let (is_complete, recorded, era) = gateway.with_state(|state| {
        let history = &state.version_history;
        let era = state.store_era.current();
        (history.is_complete(), history.recorded(), era)
    });
    gateway.log.event(&LogEvent::VersionHistory {
        is_complete,
        recorded_era: recorded.map(|era| era.0),
        era: era.0,
    });
}

/// Applies the key [`VERSIONS_ERA_KEY`]; without a value the store does not hold it.
pub fn apply_recorded_era(gateway: &Gateway, value: Option<&[u8]>) {
    match value.map(serde_json::from_slice).transpose() {
        Ok(recorded) => note_recorded_era(gateway, recorded),
        Err(error) => gateway.log.event(&LogEvent::Trouble {
            what: "the era for which the store lists all versions cannot be decoded",
            cause: error.to_string(),
        }),
    }
}

async fn take_step(
    gateway: &SharedGateway,
    client: &StoreClient,
    step: RegistryStep,
) -> Result<(), StoreError> {
    match step {
        RegistryStep::Store(version, due_at) => {
            if !is_own_turn(gateway, due_at) {
                return Ok(());
            }
            let value = serde_json::to_vec(&version).unwrap_or_default();
            let put = StoreCall::put(version_key(&version), value, 0);
            call_store(gateway, client, &put).await?;
            admit(gateway, &version, "own");
        }
        RegistryStep::Retire(version) => {
            gateway.log.event(&LogEvent::VersionRetired {
                service: version.0.as_str(),
                version: version.1.as_str(),
            });
            if is_leader(gateway) {
                let remove = StoreCall::Write {
                    puts: Vec::new(),
                    removals: vec![version_key(&version)],
                    lease: 0,
                };
                call_store(gateway, client, &remove).await?;
            }
        }
    }
    Ok(())
}

fn admit(gateway: &SharedGateway, version: &ServiceVersion, source: &str) {
    let now = gateway.now();
    let is_new =
        gateway.with_state(|state| state.targets.versions_mut().admit(version.clone(), now));
    if is_new {
        gateway.log.event(&LogEvent::VersionAdmitted {
            service: version.0.as_str(),
            version: version.1.as_str(),
            source,
        });
        gateway.capacity_freed.notify_waiters();
    }
}

/// Applies a key of the store under [`VERSIONS_PREFIX`]; without a value it was removed.
pub fn apply_version(gateway: &SharedGateway, key: &str, value: Option<&[u8]>) {
    let Some(value) = value else {
        note_removed(gateway, key);
        return;
    };
    match serde_json::from_slice::<(DeploymentName, SoftwareVersion)>(value) {
        Ok(version) => admit(gateway, &version, "store"),
        Err(error) => gateway.log.event(&LogEvent::Trouble {
            what: "an admitted version cannot be decoded",
            cause: error.to_string(),
        }),
    }
}

/// Notes that a host removed a version from the store.
fn note_removed(gateway: &Gateway, key: &str) {
    let now = gateway.now();
    gateway.with_state(|state| {
        let versions = state.targets.versions_mut();
        let removed = versions
            .stored()
            .find(|version| version_key(version) == key);
        if let Some(version) = removed {
            versions.note_missing(&version, now);
        }
    });
}

/// Notes the versions that a full read of the store did not list.
pub fn note_unlisted(gateway: &Gateway, is_listed: impl Fn(&str) -> bool) {
    let now = gateway.now();
    gateway.with_state(|state| {
        let versions = state.targets.versions_mut();
        let lost: Vec<ServiceVersion> = versions
            .stored()
            .filter(|version| !is_listed(&version_key(version)))
            .collect();
        for version in &lost {
            versions.note_lost(version, now);
        }
    });
    if !is_listed(VERSIONS_ERA_KEY) {
        note_recorded_era(gateway, None);
    }
}
