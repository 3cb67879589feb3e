//! Registers this host in the store: its record under a lease, and its records of crashes.

use std::rc::Rc;
use std::time::Duration;

use mimosagap_platform::settings::{HostSettings, PLACES_CONTRACT};
use mimosagap_platform::store::{StoreCall, StoreStatusError};
use mimosagap_routing::credit_lending::LOAN_FEATURE;
use mimosagap_routing::host_liveness::LIVENESS_FEATURE;
use mimosagap_routing::hosts::{HostCapacity, HostRecord};
use mimosagap_routing::residency::RESIDENCY_FEATURE;

use crate::lease::{HeldLease, grant_lease, renew_lease};
use crate::log::LogEvent;
use crate::state::{Gateway, STORE_UNREACHABLE, SharedGateway};
use crate::store::{StoreClient, StoreError};
use crate::store_era::call_store;
use crate::store_sync::{HOSTS_PREFIX, failure_backoff};
use crate::suspicion::{RECORD_TTL, SuspicionRecord};

/// Time to live of this host's record. A host that is killed stays listed for this long.
const HOST_LEASE_TTL: Duration = Duration::from_secs(6);

/// Interval of lease renewals; the record survives one lost renewal.
const LEASE_RENEWAL_INTERVAL: Duration = Duration::from_millis(2700);

/// Interval of lease renewals during an outage of the store, so that its end is detected even if
/// this host's readers do not report it.
const OUTAGE_RENEWAL_INTERVAL: Duration = Duration::from_secs(4);

/// What other hosts may rely on. Reports of idle hosts cost traffic, so they are sent only where
/// the rules on zones and addresses are in force.
fn features(settings: &HostSettings) -> Vec<String> {
    let liveness = settings
        .has_contract(PLACES_CONTRACT)
        .then_some(LIVENESS_FEATURE);
    let features = [RESIDENCY_FEATURE, LOAN_FEATURE]
        .into_iter()
        .chain(liveness);
    features.map(str::to_owned).collect()
}

/// Keeps this host's record in the store until the process stops, and writes pending records.
pub async fn maintain_registration(gateway: SharedGateway, client: StoreClient) {
    let settings = &gateway.settings;
    let record = HostRecord {
        caller_address: settings.caller_address,
        peer_address: std::net::SocketAddr::new(settings.ip, settings.peer_port),
        zone: settings.zone.clone(),
        region: settings.region.clone(),
        capacity: HostCapacity {
            cpu_millicores: settings.cpu_millicores,
            link_mbps: settings.link_mbps,
        },
        features: features(settings),
    };
    let value = serde_json::to_vec(&record).unwrap_or_default();
    let key = format!("{HOSTS_PREFIX}{}", settings.host);
    let mut lease: Option<HeldLease> = None;
    let mut consecutive_failures = 0;
    loop {
        // A lease of an earlier era is gone, and its id may be another host's by now.
        lease = lease.filter(|lease| lease.is_current(&gateway));
        if gateway.is_stopping() {
            if let Some(HeldLease { id, .. }) = lease {
                // The lease expires by itself if the call fails.
                let _ = call_store(&gateway, &client, &StoreCall::RevokeLease { lease: id }).await;
            }
            return;
        }
        match keep_record(&gateway, &client, lease, &key, &value).await {
            Ok(renewed_lease) => {
                lease = Some(renewed_lease);
                consecutive_failures = 0;
                write_suspicions(&gateway, &client).await;
                let wakeup = gateway.registration_wakeup.notified();
                let _ = tokio::time::timeout(LEASE_RENEWAL_INTERVAL, wakeup).await;
            }
            Err(error) => {
                if matches!(
                    error,
                    StoreError::Rejected(StoreStatusError::NotFound) | StoreError::NewEra
                ) {
                    lease = None;
                    continue;
                }
                consecutive_failures += 1;
                tokio::time::sleep(failure_backoff(&gateway, consecutive_failures)).await;
                let _ =
                    tokio::time::timeout(OUTAGE_RENEWAL_INTERVAL, store_recovers(&gateway)).await;
            }
        }
    }
}

/// Waits until the store is reachable, as far as this host knows.
async fn store_recovers(gateway: &SharedGateway) {
    loop {
        let store_changed = gateway.store_changed.notified();
        if gateway.with_state(|state| state.store_recovered_at) != Some(STORE_UNREACHABLE) {
            return;
        }
        store_changed.await;
    }
}

/// Renews the lease of this host's record, or takes a lease and writes the record.
async fn keep_record(
    gateway: &SharedGateway,
    client: &StoreClient,
    lease: Option<HeldLease>,
    key: &str,
    value: &[u8],
) -> Result<HeldLease, StoreError> {
    if let Some(lease) = lease {
        renew_lease(gateway, client, lease).await?;
        return Ok(lease);
    }
    let lease = grant_lease(gateway, client, HOST_LEASE_TTL).await?;
    let put = StoreCall::put(key.to_owned(), value.to_vec(), lease.id);
    call_store(gateway, client, &put).await?;
    if lease.is_current(gateway) {
        Ok(lease)
    } else {
        Err(StoreError::NewEra)
    }
}

async fn write_suspicions(gateway: &Rc<Gateway>, client: &StoreClient) {
    let records = std::mem::take(&mut *gateway.suspicions.pending_records.borrow_mut());
    if records.is_empty() {
        return;
    }
    let result = try_write_suspicions(gateway, client, &records).await;
    if let Err(error) = result {
        gateway.log.event(&LogEvent::Trouble {
            what: "records of crashes cannot be written to the store; the next renewal retries",
            cause: error.to_string(),
        });
        let mut pending = gateway.suspicions.pending_records.borrow_mut();
        pending.extend(records);
    }
}

async fn try_write_suspicions(
    gateway: &SharedGateway,
    client: &StoreClient,
    records: &[SuspicionRecord],
) -> Result<(), StoreError> {
    let lease = grant_lease(gateway, client, RECORD_TTL).await?;
    for record in records {
        let put = StoreCall::put(record.key.clone(), record.value.clone(), lease.id);
        call_store(gateway, client, &put).await?;
    }
    Ok(())
}
