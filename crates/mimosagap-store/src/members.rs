//! Membership records of daemons.

use std::net::SocketAddr;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::error::CallError;
use crate::keys;
use crate::kv::{PutOptions, PutOutcome};
use crate::lease::LeaseId;

/// A daemon as its own record describes it.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where daemons connect.
    pub peer_address: SocketAddr,
    /// Where the administration API listens.
    pub admin_address: SocketAddr,
    /// The daemon's zone.
    pub zone: ZoneName,
    /// The daemon's region.
    pub region: RegionName,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
}

impl MemberRecord {
    /// Reads a record's value.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

impl StoreClient {
    /// Writes the caller's own membership record under its lease.
    ///
    /// # Errors
    /// See [`CallError`]; writing the record again is harmless.
    ///
    /// # Panics
    /// Never: the record can be written as JSON.
    pub fn put_member(
        &self,
        id: &DaemonId,
        record: &MemberRecord,
        lease: LeaseId,
    ) -> Result<PutOutcome, CallError> {
        let value = serde_json::to_vec(record).expect("a member has only types that JSON can hold");
        self.put(PutOptions::new(&keys::daemon(id), value).with_lease(Some(lease)))
    }
}
