//! Selects the host that keeps the rate limit of a target, its keeper.
//!
//! All hosts must agree on the keeper, or two keepers grant the whole rate. It is the host of the
//! target's region that has been registered longest: a host that joins takes over nothing, and a
//! host that was restarted, or whose lease ended, registers anew and comes last.
//!
//! A keeper is gone from the list six seconds after its power is lost, and a host may be cut off
//! from its keeper. In both cases the next host in line, the deputy, grants [`DEPUTY_FRACTION`] of
//! the rate. The same holds for a keeper that cannot prove that the store still lists it, since its
//! successor may have taken over. So two sides of a cut together stay within one and a half times
//! the rate.

use std::collections::HashMap;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::hosts::{HostRecord, HostTable};

/// Fraction of the rate that a host grants which may not be the only one to grant.
pub const DEPUTY_FRACTION: f64 = 0.5;

/// Time since the last contact with the store after which a keeper grants [`DEPUTY_FRACTION`]. A
/// successor takes over 3.3 s after the last renewal of the keeper's lease at the earliest.
pub const MAX_PROOF_AGE: Duration = Duration::from_secs(3);

/// Asks without a response in a row after which the deputy is asked. One lost datagram more or less
/// must not switch to the deputy, which grants in addition to the keeper.
const MAX_FAILURES: u32 = 2;

/// Time for which the deputy is asked before the keeper is tried again.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(1);

/// Selects the keepers that one host asks.
#[derive(Debug, Clone, Default)]
pub struct KeeperSelector {
    /// Failures in a row of each host, and when the last one was.
    failures: HashMap<String, (u32, Duration)>,
}

/// Hosts that may keep the limits of the targets of a region, the keeper first.
fn candidates<'a>(
    hosts: &'a HostTable,
    region: Option<&RegionName>,
) -> Vec<(&'a str, &'a HostRecord)> {
    let mut all: Vec<_> = hosts.by_registration().collect();
    if all.is_empty() {
        // After an outage of the store, all records may have vanished for some seconds.
        all = hosts.live().collect();
    }
    let is_regional = |(_, record): &(&str, &HostRecord)| Some(&record.region) == region;
    // Without a host of the region, hosts of other regions keep the limit.
    if all.iter().any(is_regional) {
        all.retain(is_regional);
    }
    all
}

/// Position of a host among those that may keep the limits of a region's targets, 0 for the keeper;
/// `None` if it is not among them.
#[must_use]
pub fn duty_rank(hosts: &HostTable, region: Option<&RegionName>, host_name: &str) -> Option<usize> {
    let mut candidates = candidates(hosts, region).into_iter();
    candidates.position(|(name, _)| name == host_name)
}

/// Whether the store lists a host as the keeper of the targets of a region, as far as this host
/// knows.
#[must_use]
pub fn is_keeper(hosts: &HostTable, region: Option<&RegionName>, host_name: &str) -> bool {
    let is_listed = hosts.by_registration().any(|(name, _)| name == host_name);
    let first = candidates(hosts, region).first().copied();
    is_listed && first.is_some_and(|(name, _)| name == host_name)
}

/// Fraction of the rate of a region's targets that a host may grant: the whole rate if the list of
/// the store, read `proof_age` ago, shows it as the keeper. `None` means that it never read it.
#[must_use]
pub fn rate_fraction(
    hosts: &HostTable,
    region: Option<&RegionName>,
    host_name: &str,
    proof_age: Option<Duration>,
) -> f64 {
    let is_proved = proof_age.is_some_and(|age| age <= MAX_PROOF_AGE);
    if is_proved && is_keeper(hosts, region, host_name) {
        1.0
    } else {
        DEPUTY_FRACTION
    }
}

impl KeeperSelector {
    /// Records that a host did not respond to an ask.
    pub fn record_failure(&mut self, host_name: &str, now: Duration) {
        let entry = self.failures.entry(host_name.to_owned());
        let (count, failed_at) = entry.or_insert((0, now));
        *count += 1;
        *failed_at = now;
    }

    /// Records that a host responded to an ask.
    pub fn record_response(&mut self, host_name: &str) {
        self.failures.remove(host_name);
    }

    /// The host to ask for a permit: the keeper, or the first host after it that responds. `None`
    /// if none is known.
    #[must_use]
    pub fn select<'a>(
        &self,
        hosts: &'a HostTable,
        region: Option<&RegionName>,
        now: Duration,
    ) -> Option<(&'a str, &'a HostRecord)> {
        self.select_among(usize::MAX, hosts, region, now)
    }

    /// The host to ask for a permit among the first `count` in line; `None` if none of them responds.
    #[must_use]
    pub fn select_among<'a>(
        &self,
        count: usize,
        hosts: &'a HostTable,
        region: Option<&RegionName>,
        now: Duration,
    ) -> Option<(&'a str, &'a HostRecord)> {
        let mut candidates = candidates(hosts, region).into_iter().take(count);
        candidates.find(|(name, _)| {
            self.failures.get(*name).is_none_or(|(count, failed_at)| {
                *count < MAX_FAILURES || now >= *failed_at + FAILURE_COOLDOWN
            })
        })
    }
}
