//! Leases: the store deletes the records attached to a lease that is not renewed in time.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::counters::CallKind;
use crate::error::CallError;
use crate::wire::Int64;

/// Id of a lease, assigned by the store.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// Lease to request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantOptions {
    ttl: Duration,
}

impl GrantOptions {
    /// Lease that expires `ttl` after its last renewal. The TTL is cut to whole seconds, at least
    /// one.
    #[must_use]
    pub fn new(ttl: Duration) -> Self {
        Self { ttl }
    }
}

/// A lease that the store granted. It expires unless it is renewed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantOutcome {
    /// Id of the lease.
    pub lease: LeaseId,
    /// TTL granted by the store; may differ from the requested one.
    pub ttl: Duration,
}

/// Result of a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepAliveOutcome {
    /// The lease was renewed.
    Renewed {
        /// TTL, counted from the store's renewal.
        ttl: Duration,
    },
    /// The lease had already expired; its records are deleted.
    Expired,
}

/// Result of a revocation, which carries no data.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevokeOutcome;

#[derive(Debug)]
#[derive(Serialize)]
struct GrantRequest {
    #[serde(rename = "TTL")]
    ttl: Int64,
    #[serde(rename = "ID")]
    id: Int64,
}

#[derive(Debug)]
#[derive(Serialize)]
struct LeaseRequest {
    #[serde(rename = "ID")]
    id: Int64,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
struct LeaseResponse {
    #[serde(rename = "ID", default)]
    id: Int64,
    #[serde(rename = "TTL", default)]
    ttl: Int64,
}

/// The JSON gateway wraps the responses of streaming calls in a `result` field.
#[derive(Debug)]
#[derive(Deserialize)]
struct StreamResponse {
    #[serde(default)]
    result: LeaseResponse,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RevokeResponse {}

impl StoreClient {
    /// Requests a new lease.
    ///
    /// # Errors
    /// See [`CallError`]; a lease that was granted although the call failed has no records and
    /// expires.
    pub fn grant(&self, options: GrantOptions) -> Result<GrantOutcome, CallError> {
        let request = GrantRequest {
            ttl: Int64(options.ttl.as_secs().max(1)),
            id: Int64(0),
        };
        let response: LeaseResponse = self.call(CallKind::Grant, &request)?;
        Ok(GrantOutcome {
            lease: LeaseId(response.id.0),
            ttl: Duration::from_secs(response.ttl.0),
        })
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// See [`CallError`].
    pub fn keep_alive(&self, lease: LeaseId) -> Result<KeepAliveOutcome, CallError> {
        let request = LeaseRequest { id: Int64(lease.0) };
        let response: StreamResponse = self.call(CallKind::KeepAlive, &request)?;
        Ok(match response.result.ttl.0 {
            0 => KeepAliveOutcome::Expired,
            ttl => KeepAliveOutcome::Renewed {
                ttl: Duration::from_secs(ttl),
            },
        })
    }

    /// Revokes a lease, which deletes all records attached to it.
    ///
    /// # Errors
    /// See [`CallError`].
    pub fn revoke(&self, lease: LeaseId) -> Result<RevokeOutcome, CallError> {
        let request = LeaseRequest { id: Int64(lease.0) };
        let _: RevokeResponse = self.call(CallKind::Revoke, &request)?;
        Ok(RevokeOutcome)
    }
}
