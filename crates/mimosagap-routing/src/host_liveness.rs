//! Which hosts are silent, so that callers are not given their addresses.
//!
//! Load pattern: a host is killed or loses power while the store is unavailable or pauses leases. Its
//! record stays, every lookup lists its address, and callers wait for connections that nobody
//! accepts. Hosts send each other load reports, and an empty one when they have nothing to report,
//! see [`LIVENESS_INTERVAL`]. A host from which nothing arrived for [`SILENCE_TIME`] is left out,
//! whatever the store says, until something arrives again.
//!
//! A host that receives no datagrams leaves none out: its own link is the likelier fault. And
//! a host that did not run for a while first gives the others time to be heard. Hosts of an earlier
//! build are silent when idle; their records say so, and they are not judged.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use crate::hosts::HostTable;

/// Feature in the record of a host that also sends load reports when it has nothing to report.
pub const LIVENESS_FEATURE: &str = "liveness";

/// Time after the last load report to a group of hosts after which an empty one is sent. With 39
/// bytes each, headers included, an idle host among 320 sends 6.2 KB/s.
pub const LIVENESS_INTERVAL: Duration = Duration::from_secs(2);

/// Time without a datagram after which a host counts as silent: three intervals. The platform
/// allows eight seconds.
pub const SILENCE_TIME: Duration = Duration::from_secs(6);

/// Time in which every running host is heard, also with a lost datagram. A host that was just listed
/// is not judged before, nor is any after this host did not run.
pub const GRACE_TIME: Duration = Duration::from_millis(4500);

/// Time between two ticks from which this host did not run meanwhile.
const MAX_TICK_GAP: Duration = Duration::from_millis(1500);

/// Addresses that are remembered. Bounds the memory where hosts get new addresses at each start; a
/// forgotten host counts as just listed.
const MAX_ADDRESSES: usize = 4096;

/// When this host last heard from each other one.
#[derive(Debug, Clone)]
pub struct HostLiveness {
    heard_at: HashMap<SocketAddr, Duration>,
    /// When a datagram of any host last arrived.
    last_heard_at: Option<Duration>,
    /// Since when this host has run without a gap.
    running_since: Duration,
    last_tick_at: Duration,
}

impl HostLiveness {
    /// Creates the state of a process that started now.
    #[must_use]
    pub fn new(now: Duration) -> Self {
        Self {
            heard_at: HashMap::new(),
            last_heard_at: None,
            running_since: now,
            last_tick_at: now,
        }
    }

    /// Records a datagram from a host of the fleet.
    pub fn record_datagram(&mut self, sender: SocketAddr, now: Duration) {
        if self.heard_at.len() >= MAX_ADDRESSES {
            self.heard_at.clear();
        }
        self.heard_at.insert(sender, now);
        self.last_heard_at = Some(now);
    }

    /// Records that the store lists a host. One that was heard or listed before has to be heard
    /// again: a store that comes back from an older copy lists hosts that ended.
    pub fn record_listed(&mut self, address: SocketAddr, now: Duration) {
        let assumed_at = now.saturating_sub(SILENCE_TIME.saturating_sub(GRACE_TIME));
        self.heard_at.entry(address).or_insert(assumed_at);
    }

    /// Records that this process runs. Called several times a second.
    pub fn record_tick(&mut self, now: Duration) {
        if now.saturating_sub(self.last_tick_at) > MAX_TICK_GAP {
            self.running_since = now;
        }
        self.last_tick_at = now;
    }

    /// Time since something was heard from a host; `None` if nothing ever was.
    #[must_use]
    pub fn silence(&self, address: SocketAddr, now: Duration) -> Option<Duration> {
        let heard_at = self.heard_at.get(&address)?;
        Some(now.saturating_sub(*heard_at))
    }

    /// Names of the hosts that are silent.
    #[must_use]
    pub fn silent_hosts(
        &self,
        hosts: &HostTable,
        own_host: &str,
        now: Duration,
    ) -> BTreeSet<String> {
        let hears_somebody = self
            .last_heard_at
            .is_some_and(|at| now.saturating_sub(at) < SILENCE_TIME);
        if !hears_somebody || now.saturating_sub(self.running_since) < GRACE_TIME {
            return BTreeSet::new();
        }
        let is_silent = |address| {
            let silence = self.silence(address, now);
            silence.is_some_and(|silence| silence >= SILENCE_TIME)
        };
        hosts
            .live()
            .filter(|(name, record)| *name != own_host && record.has_feature(LIVENESS_FEATURE))
            .filter(|(_, record)| is_silent(record.peer_address))
            .map(|(name, _)| name.to_owned())
            .collect()
    }
}
