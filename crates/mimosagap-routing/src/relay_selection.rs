//! Which other host is asked to serve a request that this host cannot send to a target.
//!
//! Many hosts may be cut off at once, so a host remembers which others served and which declined.
//! Several that serve share the load; now and then another one is tried, so that they become known.

use std::collections::HashMap;
use std::time::Duration;

use mimosagap_types::prelude::*;
use rand::Rng;

use crate::hosts::HostTable;
use crate::residency::{PermittedHost, ResidencyPolicy};

/// Time for which a host that declined or failed is not asked.
const DECLINE_TIME: Duration = Duration::from_secs(2);

/// Time for which a host that served is preferred.
const PREFERENCE_TIME: Duration = Duration::from_secs(3);

/// Probability with which a host is chosen that is not among those that served.
const EXPLORATION: f64 = 0.2;

#[derive(Debug, Clone, Copy, Default)]
struct RelayRecord {
    served_at: Option<Duration>,
    declined_at: Option<Duration>,
}

/// Which hosts served requests of this one lately, and which declined.
#[derive(Debug, Clone, Default)]
pub struct RelaySelector {
    records: HashMap<String, RelayRecord>,
}

impl RelaySelector {
    /// Records that a host served a request.
    pub fn record_served(&mut self, name: &str, now: Duration) {
        let record = RelayRecord {
            served_at: Some(now),
            declined_at: None,
        };
        self.records.insert(name.to_owned(), record);
    }

    /// Records that a host declined a request, or could not be reached.
    pub fn record_declined(&mut self, name: &str, now: Duration) {
        let record = RelayRecord {
            served_at: None,
            declined_at: Some(now),
        };
        self.records.insert(name.to_owned(), record);
    }

    /// Chooses a host other than `own_host`, which is in `region`, and those in `tried` to which `policy` permits to send
    /// the request; `None` if there is none or all of them declined lately. Hosts of the same region
    /// go first.
    pub fn choose(
        &self,
        hosts: &HostTable,
        (own_host, region): (&str, &RegionName),
        tried: &[String],
        policy: &ResidencyPolicy,
        now: Duration,
        rng: &mut impl Rng,
    ) -> Option<PermittedHost> {
        let is_recent = |at: Option<Duration>, time: Duration| {
            at.is_some_and(|at| now.saturating_sub(at) < time)
        };
        let record = |name: &str| self.records.get(name).copied().unwrap_or_default();
        let candidates: Vec<_> = hosts
            .live()
            .filter(|(name, _)| *name != own_host && !tried.iter().any(|other| other == name))
            .filter(|(name, _)| !is_recent(record(name).declined_at, DECLINE_TIME))
            .filter(|(_, record)| policy.allows_host(record))
            .collect();
        let served: Vec<_> = candidates
            .iter()
            .copied()
            .filter(|(name, _)| is_recent(record(name).served_at, PREFERENCE_TIME))
            .collect();
        let explores = tried.is_empty() && rng.random_bool(EXPLORATION);
        let preferred = if served.is_empty() || explores {
            let near = candidates
                .iter()
                .copied()
                .filter(|(_, record)| record.region == *region);
            let near: Vec<_> = near.collect();
            if near.is_empty() { candidates } else { near }
        } else {
            served
        };
        if preferred.is_empty() {
            return None;
        }
        let (name, record) = preferred[rng.random_range(0..preferred.len())];
        policy.permit_host(name, record)
    }
}
