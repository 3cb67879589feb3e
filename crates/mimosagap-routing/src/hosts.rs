//! The hosts of the fleet, as the store lists them.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

/// A host whose record vanished around an outage of the store stays listed for this long after
/// the store is back, because its lease may have lapsed unnoticed.
pub const OUTAGE_GRACE: Duration = Duration::from_secs(3);

/// What a host publishes of itself.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct HostRecord {
    /// Where callers connect.
    #[serde(rename = "callers")]
    pub caller_address: SocketAddr,
    /// Where other hosts send their load.
    #[serde(rename = "peers")]
    pub peer_address: SocketAddr,
    /// Its zone.
    pub zone: ZoneName,
    /// Its region.
    pub region: RegionName,
    /// What it can do for others.
    pub capacity: HostCapacity,
}

/// What a host may use; the greater one does more for others.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct HostCapacity {
    /// Share of a processor, in thousandths of a core.
    #[serde(rename = "processor_permille")]
    pub cpu_millicores: u32,
    /// Link in Mbit/s.
    pub link_mbps: u32,
}

#[derive(Debug, Clone)]
struct HostState {
    record: HostRecord,
    gone_at: Option<Duration>,
}

/// All hosts by name.
#[derive(Debug, Clone, Default)]
pub struct HostTable {
    states: BTreeMap<String, HostState>,
}

impl HostTable {
    /// A host wrote its record.
    pub fn upsert(&mut self, name: &str, record: HostRecord) {
        let state = HostState {
            record,
            gone_at: None,
        };
        self.states.insert(name.to_owned(), state);
    }

    /// A record vanished. It counts as gone from `gone_at` on.
    pub fn mark_removed(&mut self, name: &str, gone_at: Duration) {
        if let Some(state) = self.states.get_mut(name) {
            state.gone_at.get_or_insert(gone_at);
        }
    }

    /// Forgets hosts that are gone.
    pub fn purge_removed(&mut self, now: Duration) {
        self.states
            .retain(|_, state| state.gone_at.is_none_or(|at| at > now));
    }

    /// The hosts that take part.
    pub fn live(&self) -> impl Iterator<Item = (&str, &HostRecord)> {
        self.states
            .iter()
            .map(|(name, state)| (name.as_str(), &state.record))
    }

    /// How many take part.
    #[must_use]
    pub fn len(&self) -> usize {
        self.states.len()
    }

    /// How many take part in a region.
    #[must_use]
    pub fn count_in_region(&self, region: &RegionName) -> usize {
        self.live()
            .filter(|(_, record)| record.region == *region)
            .count()
    }

    /// Whether none is known.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }
}
