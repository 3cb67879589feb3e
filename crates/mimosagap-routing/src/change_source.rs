//! Selects where a host gets the changes of the store from.
//!
//! Every host of a large fleet follows the same keys, which change many times a second, and calls
//! of the store are limited and charged. One reader per region therefore watches the store, and the
//! other hosts of the region poll that reader; with one reader per zone, the readers made half of
//! all calls of 195 hosts on a calm day. In a zone without the reader, one relay polls the reader
//! and serves its zone, so that each change crosses between two zones once. If the reader or a
//! relay fails, a few other hosts replace it in a fixed order. A host calls the store itself only
//! if all of them fail, and rarely if the store fails too, because an outage would otherwise cause
//! one call per host and second.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::hashing::stable_hash;
use crate::hosts::{HostRecord, HostTable};

/// Number of hosts of a region that may be its reader. If a store rejects a third of all hosts, it
/// rejects all of these in one case of 81.
const READERS_PER_REGION: usize = 4;

/// Number of hosts of a zone without the reader that may be its relay.
const RELAYS_PER_ZONE: usize = 2;

/// Time for which a reader that did not respond is not polled.
const UNRESPONSIVE_COOLDOWN: Duration = Duration::from_secs(3);

/// Time for which a reader that has no fresh changes is not polled. Its response takes
/// milliseconds, and it has changes again as soon as the store is back.
const STALE_COOLDOWN: Duration = Duration::from_millis(600);

/// Delay between calls of the store by a host whose readers all fail, if the store fails too. It is
/// shorter than the time within which a host has to confirm its configuration.
const STORE_RETRY_DELAY: Duration = Duration::from_secs(3);

/// Time without a response of the store after which a reader's changes are of no use, because it
/// may have lost contact: two waits of its watch and a slow response.
pub const READER_STALE_AFTER: Duration = Duration::from_millis(2500);

/// Maximum bytes per second that one host reads from its reader while large configurations follow
/// each other quickly: a twelfth of a link of 10 Mbit/s.
const MAX_BYTES_PER_SECOND: f64 = 100_000.0;

/// Maximum delay before the next poll, which also confirms that no key was revoked. A few such
/// delays on the way from the store stay well below the time for which a confirmation counts.
const MAX_POLL_DELAY: Duration = Duration::from_millis(400);

/// The delay between a response of this many bytes and the next poll of a reader.
///
/// The delay is capped: with a configuration of several hundred kilobytes, an uncapped one left
/// hosts without a confirmation for four seconds, so that they refused all requests with keys
/// although the store was available.
#[must_use]
pub fn poll_delay(response_bytes: usize) -> Duration {
    let response_bytes = f64::from(u32::try_from(response_bytes).unwrap_or(u32::MAX));
    Duration::from_secs_f64(response_bytes / MAX_BYTES_PER_SECOND).min(MAX_POLL_DELAY)
}

/// Where a host gets changes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ChangeSource {
    /// From the store.
    Store,
    /// From a reader or relay.
    Reader(ReaderHost),
}

/// A host that passes changes of the store on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ReaderHost {
    /// Name of the host.
    pub name: String,
    /// Address of its listener for peers.
    pub address: SocketAddr,
    /// Whether it failed recently, as all other candidates did, so that polling it is not urgent.
    pub recently_failed: bool,
}

/// Why a reader returned no changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReaderFailure {
    /// It did not respond, or its response could not be decoded.
    Unresponsive,
    /// It had no response of the store within [`READER_STALE_AFTER`].
    Stale,
}

impl ReaderFailure {
    fn cooldown(self) -> Duration {
        match self {
            Self::Unresponsive => UNRESPONSIVE_COOLDOWN,
            Self::Stale => STALE_COOLDOWN,
        }
    }
}

/// Selects the change source of one host.
#[derive(Debug, Clone, Default)]
pub struct SourceSelector {
    /// End of the cooldown by reader.
    cooldowns: HashMap<String, Duration>,
    store_failed_at: Option<Duration>,
}

impl SourceSelector {
    /// Records that a reader returned no changes.
    pub fn record_reader_failure(
        &mut self,
        host_name: &str,
        failure: ReaderFailure,
        now: Duration,
    ) {
        self.cooldowns.retain(|_, until| now < *until);
        self.cooldowns
            .insert(host_name.to_owned(), now + failure.cooldown());
    }

    /// Records that the store did not respond to this host.
    pub fn record_store_failure(&mut self, now: Duration) {
        self.store_failed_at = Some(now);
    }

    /// Records that the store responded to this host.
    pub fn record_store_success(&mut self) {
        self.store_failed_at = None;
    }

    /// Returns the source that the host `own_name` of `region` polls next.
    #[must_use]
    pub fn select(
        &self,
        hosts: &HostTable,
        own_name: &str,
        region: &RegionName,
        now: Duration,
    ) -> ChangeSource {
        // The greatest capacity comes first, because a reader sends every change to all others.
        // Hosts of equal capacity are ordered by a hash, so that the first host of a region by name
        // does not get every shared duty.
        let mut ranked_hosts: Vec<(&str, &HostRecord)> = hosts
            .live()
            .filter(|(_, record)| record.region == *region)
            .collect();
        ranked_hosts.sort_by_cached_key(|(name, record)| {
            (Reverse(record.capacity), stable_hash(&[name.as_bytes()]))
        });
        let own_rank = ranked_hosts.iter().position(|(name, _)| *name == own_name);
        let is_reader = own_rank.is_some_and(|rank| rank < READERS_PER_REGION);
        let has_failed = |name: &str| self.cooldowns.get(name).is_some_and(|until| now < *until);
        let readers = ranked_hosts.iter().take(READERS_PER_REGION);
        let mut candidates: Vec<&(&str, &HostRecord)> = readers.clone().collect();
        let reader_zone = readers
            .clone()
            .find(|(name, _)| !has_failed(name))
            .map(|(_, record)| &record.zone);
        if let Some(rank) = own_rank.filter(|_| !is_reader) {
            let own_zone = &ranked_hosts[rank].1.zone;
            // Only hosts of a higher rank are candidates, so that no two hosts poll each other.
            let relays = ranked_hosts[..rank]
                .iter()
                .filter(|(_, record)| record.zone == *own_zone);
            if reader_zone.is_some_and(|zone| zone != own_zone) {
                candidates.splice(0..0, relays.take(RELAYS_PER_ZONE));
            }
        }
        let may_call_store = is_reader
            || self
                .store_failed_at
                .is_none_or(|at| now >= at + STORE_RETRY_DELAY);
        let healthy_host = candidates.iter().find(|(name, _)| !has_failed(name));
        match healthy_host.or(candidates.first()) {
            Some((name, record))
                if *name != own_name && (healthy_host.is_some() || !may_call_store) =>
            {
                ChangeSource::Reader(ReaderHost {
                    name: (*name).to_owned(),
                    address: record.peer_address,
                    recently_failed: healthy_host.is_none(),
                })
            }
            _ => ChangeSource::Store,
        }
    }
}
