//! Admits software versions in the store, before any stream begins there.

use std::collections::HashSet;
use std::time::Duration;

use mimosagap_platform::store::StoreCall;
use mimosagap_routing::hashing::stable_hash;
use mimosagap_routing::keeper_selection::is_keeper;
use mimosagap_routing::version_registry::{RegistryStep, ServiceVersion};
use mimosagap_types::prelude::*;
use tokio::time::timeout;

use crate::log::LogEvent;
use crate::state::{Gateway, SharedGateway};
use crate::store::{StoreClient, StoreError};
use crate::store_era::call_store;

/// Key prefix of the admitted versions.
pub const VERSIONS_PREFIX: &str = "mimosagap/versions/";

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
        for step in steps {
            has_failed |= take_step(&gateway, &client, step).await.is_err();
        }
        let is_pending = gateway.with_state(|state| state.targets.versions().has_pending());
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
        let mixed = state.targets.versions().mixed_services();
        let mixed: HashSet<DeploymentName> = mixed.cloned().collect();
        for service in mixed.difference(known) {
            state.stream_origins.record_all(service);
        }
        *known = mixed;
    });
    if gateway.with_state(|state| state.stream_origins.has_writes()) {
        gateway.records_due.notify_one();
    }
}

async fn take_step(
    gateway: &SharedGateway,
    client: &StoreClient,
    step: RegistryStep,
) -> Result<(), StoreError> {
    let now = gateway.now();
    let is_leader =
        gateway.with_state(|state| is_keeper(&state.hosts, None, &gateway.settings.host));
    let spread = Duration::from_millis(gateway.host_hash % DEPUTY_SPREAD_MS);
    match step {
        RegistryStep::Store(version, due_at) => {
            if !is_leader && now < due_at + DEPUTY_DELAY + spread {
                // The next look finds it stored, or this host's turn has come.
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
            if is_leader {
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
        note_missing(gateway, |version| version_key(version) == key);
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

/// Notes that the store does not hold certain versions.
pub fn note_missing(gateway: &Gateway, is_missing: impl Fn(&ServiceVersion) -> bool) {
    let now = gateway.now();
    gateway.with_state(|state| {
        let versions = state.targets.versions_mut();
        let missing: Vec<ServiceVersion> = versions.stored().filter(is_missing).collect();
        for version in &missing {
            versions.note_missing(version, now);
        }
    });
}

/// Notes the versions that a full read of the store did not list.
pub fn note_unlisted(gateway: &Gateway, is_listed: impl Fn(&str) -> bool) {
    note_missing(gateway, |version| !is_listed(&version_key(version)));
}
