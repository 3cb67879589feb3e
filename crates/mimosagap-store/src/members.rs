//! Membership records of daemons.

use std::net::SocketAddr;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::error::CallError;
use crate::keys;
use crate::kv::{PutOptions, PutOutcome};
use crate::lease::LeaseId;

/// Membership record of a daemon, written by the daemon itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct MemberRecord {
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other daemons.
    pub peer_address: SocketAddr,
    /// Address of the administration API.
    pub admin_address: SocketAddr,
    /// Zone of the daemon's host.
    pub zone: ZoneName,
    /// Region of that zone.
    pub region: RegionName,
    /// Whether the daemon is shutting down.
    pub leaving: bool,
}

impl MemberRecord {
    /// Decodes the value of a record; `None` if it is malformed.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

impl StoreClient {
    /// Writes the membership record of the daemon `id`, attached to its lease.
    ///
    /// # Errors
    /// See [`CallError`]; the write may be repeated.
    ///
    /// # Panics
    /// Never: the record has a JSON representation.
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
