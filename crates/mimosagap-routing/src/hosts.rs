//! The hosts of the fleet as registered in the store.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::store_revision::StoreRevision;

/// Time after the end of a store outage for which a host stays listed whose record vanished around
/// the outage. Its lease may have expired only because it could not be renewed.
pub const OUTAGE_GRACE: Duration = Duration::from_secs(3);

/// The record that a host registers in the store.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostRecord {
    /// Where callers connect.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Where other hosts send load reports and requests.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// The availability zone of the host.
    pub zone: ZoneName,
    /// The region of that zone.
    pub region: RegionName,
    /// Resources of the host, by which readers and placers are chosen.
    pub capacity: HostCapacity,
    /// Names of the features of the host's build that others rely on. Earlier builds list none.
    #[serde(default)]
    pub features: Vec<String>,
}

impl HostRecord {
    /// Whether the host's build has a feature.
    #[must_use]
    pub fn has_feature(&self, name: &str) -> bool {
        self.features.iter().any(|feature| feature == name)
    }
}

/// Resources of a host. The greatest capacity, compared field by field, takes the shared duties.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct HostCapacity {
    /// CPU quota in thousandths of a core.
    #[serde(rename = "processor_permille")]
    pub cpu_millicores: u32,
    /// Bandwidth of the network link in Mbit/s.
    pub link_mbps: u32,
}

#[derive(Debug, Clone)]
struct HostEntry {
    record: HostRecord,
    /// The store revision that wrote the record; a host that registers anew has a later one.
    revision: StoreRevision,
    removed_at: Option<Duration>,
    /// Whether nothing was heard from the host for long.
    is_silent: bool,
}

/// All known hosts by name.
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    entries: BTreeMap<String, HostEntry>,
}

impl HostTable {
    /// Inserts or replaces the record of a host, which a store revision wrote.
    pub fn upsert(&mut self, name: &str, record: HostRecord, revision: StoreRevision) {
        // A record that is read again does not prove that the host runs.
        let is_silent = self.entries.get(name).is_some_and(|entry| entry.is_silent);
        let entry = HostEntry {
            record,
            revision,
            removed_at: None,
            is_silent,
        };
        self.entries.insert(name.to_owned(), entry);
    }

    /// Records that the store no longer lists a host, which counts as removed from `removed_at` on.
    pub fn mark_removed(&mut self, name: &str, removed_at: Duration) {
        if let Some(entry) = self.entries.get_mut(name) {
            entry.removed_at.get_or_insert(removed_at);
        }
    }

    /// Drops the hosts whose time of removal has passed.
    pub fn purge_removed(&mut self, now: Duration) {
        self.entries
            .retain(|_, entry| entry.removed_at.is_none_or(|at| at > now));
    }

    /// Names and records of all hosts that were not purged.
    pub fn live(&self) -> impl Iterator<Item = (&str, &HostRecord)> {
        self.entries
            .iter()
            .map(|(name, entry)| (name.as_str(), &entry.record))
    }

    /// Replaces the names of the silent hosts. Returns the names of those for which that changed, with
    /// whether they are silent now.
    pub fn set_silent(&mut self, silent: &BTreeSet<String>) -> Vec<(String, bool)> {
        let mut changed = Vec::new();
        for (name, entry) in &mut self.entries {
            let is_silent = silent.contains(name);
            if std::mem::replace(&mut entry.is_silent, is_silent) != is_silent {
                changed.push((name.clone(), is_silent));
            }
        }
        changed
    }

    /// Names and records of all hosts that were not purged and are not silent.
    pub fn heard(&self) -> impl Iterator<Item = (&str, &HostRecord)> {
        self.entries
            .iter()
            .filter(|(_, entry)| !entry.is_silent)
            .map(|(name, entry)| (name.as_str(), &entry.record))
    }

    /// Names and records of all hosts that the store lists, those registered longest first. Hosts
    /// whose record vanished are left out, also while they stay listed for their grace period.
    pub fn by_registration(&self) -> impl Iterator<Item = (&str, &HostRecord)> {
        let listed = self.entries.iter();
        let mut listed: Vec<_> = listed
            .filter(|(_, entry)| entry.removed_at.is_none())
            .collect();
        listed.sort_by_key(|(_, entry)| entry.revision);
        listed
            .into_iter()
            .map(|(name, entry)| (name.as_str(), &entry.record))
    }

    /// Number of hosts that were not purged.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Number of hosts of a region that were not purged.
    #[must_use]
    pub fn count_in_region(&self, region: &RegionName) -> usize {
        self.live()
            .filter(|(_, record)| record.region == *region)
            .count()
    }

    /// Whether no host is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}
