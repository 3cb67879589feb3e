//! Leases.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::counters::CallKind;
use crate::error::CallError;
use crate::wire::Int64;

/// The store's number of a lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct LeaseId(pub u64);

/// What lease to ask for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantOptions {
    ttl: Duration,
}

impl GrantOptions {
    /// A lease that lapses `ttl` (in whole seconds) after its last renewal.
    #[must_use]
    pub fn new(ttl: Duration) -> Self {
        Self { ttl }
    }
}

/// A new lease.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct GrantOutcome {
    /// Its number.
    pub lease: LeaseId,
    /// The time to live that the store grants, which may differ from the one asked for.
    pub ttl: Duration,
}

/// The answer to a renewal.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeepAliveOutcome {
    /// The lease lives on.
    Renewed {
        /// From the time at which the store renewed it.
        ttl: Duration,
    },
    /// The lease lapsed before; its records are gone.
    Expired,
}

/// The answer to the end of a lease.
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
struct LeaseAnswer {
    #[serde(rename = "ID", default)]
    id: Int64,
    #[serde(rename = "TTL", default)]
    ttl: Int64,
}

/// The gateway wraps the answers of streaming calls.
#[derive(Debug)]
#[derive(Deserialize)]
struct StreamAnswer {
    #[serde(default)]
    result: LeaseAnswer,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct RevokeAnswer {}

impl StoreClient {
    /// Asks for a new lease.
    ///
    /// # Errors
    /// See [`CallError`]; a lease whose grant has an unknown fate holds nothing and lapses.
    pub fn grant(&self, options: GrantOptions) -> Result<GrantOutcome, CallError> {
        let request = GrantRequest {
            ttl: Int64(options.ttl.as_secs().max(1)),
            id: Int64(0),
        };
        let answer: LeaseAnswer = self.call(CallKind::Grant, &request)?;
        Ok(GrantOutcome {
            lease: LeaseId(answer.id.0),
            ttl: Duration::from_secs(answer.ttl.0),
        })
    }

    /// Renews a lease.
    ///
    /// # Errors
    /// See [`CallError`].
    pub fn keep_alive(&self, lease: LeaseId) -> Result<KeepAliveOutcome, CallError> {
        let request = LeaseRequest { id: Int64(lease.0) };
        let answer: StreamAnswer = self.call(CallKind::KeepAlive, &request)?;
        Ok(match answer.result.ttl.0 {
            0 => KeepAliveOutcome::Expired,
            ttl => KeepAliveOutcome::Renewed {
                ttl: Duration::from_secs(ttl),
            },
        })
    }

    /// Ends a lease and with it all records under it.
    ///
    /// # Errors
    /// See [`CallError`].
    pub fn revoke(&self, lease: LeaseId) -> Result<RevokeOutcome, CallError> {
        let request = LeaseRequest { id: Int64(lease.0) };
        let _: RevokeAnswer = self.call(CallKind::Revoke, &request)?;
        Ok(RevokeOutcome)
    }
}
