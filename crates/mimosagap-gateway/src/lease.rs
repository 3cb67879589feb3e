//! Leases of this host in the store.

use std::time::Duration;

use mimosagap_platform::store::{self, StoreCall};
use mimosagap_routing::store_revision::StoreEra;

use crate::state::{Gateway, SharedGateway};
use crate::store::{StoreClient, StoreError};
use crate::store_era::call_store;

/// A lease that the store granted in an era. In another era its id may be another host's.
#[derive(Debug, Clone, Copy)]
pub struct HeldLease {
    /// Id of the lease.
    pub id: u64,
    era: StoreEra,
}

impl HeldLease {
    /// Whether the store is still in the era that granted the lease.
    pub fn is_current(&self, gateway: &Gateway) -> bool {
        self.era == gateway.with_state(|state| state.store_era.current())
    }
}

/// Takes a new lease.
pub async fn grant_lease(
    gateway: &SharedGateway,
    client: &StoreClient,
    ttl: Duration,
) -> Result<HeldLease, StoreError> {
    let body = call_store(gateway, client, &StoreCall::GrantLease { ttl }).await?;
    Ok(HeldLease {
        id: store::decode_lease(&body).map_err(StoreError::Decode)?,
        era: gateway.with_state(|state| state.store_era.current()),
    })
}

/// Renews a lease.
pub async fn renew_lease(
    gateway: &SharedGateway,
    client: &StoreClient,
    lease: HeldLease,
) -> Result<(), StoreError> {
    call_store(gateway, client, &StoreCall::KeepAlive { lease: lease.id }).await?;
    if lease.is_current(gateway) {
        Ok(())
    } else {
        Err(StoreError::NewEra)
    }
}
