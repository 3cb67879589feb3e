//! Selects the host that places the generations of a region.
//!
//! Dozens of hosts place prompts on the same engines by load reports that are some ten milliseconds
//! old, so many of them choose the same idle engine: a newly listed engine got seven prompts within
//! 81 ms. One host of each region, the placer, therefore decides for all hosts of the region, one
//! request after the other, and counts each decision before the load is reported. For engines of
//! other regions a host decides by itself, because asking there takes as long as half a prefill.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::hashing::stable_hash;
use crate::hosts::{HostRecord, HostTable};

/// Time for which a placer that did not respond is not asked.
const FAILURE_COOLDOWN: Duration = Duration::from_secs(2);

/// Selects the placer that one host asks.
#[derive(Debug, Clone, Default)]
pub struct PlacerSelector {
    failed_at: HashMap<String, Duration>,
}

impl PlacerSelector {
    /// Records that a placer did not respond.
    pub fn record_failure(&mut self, host_name: &str, now: Duration) {
        self.failed_at.retain(|_, at| now < *at + FAILURE_COOLDOWN);
        self.failed_at.insert(host_name.to_owned(), now);
    }

    /// Returns the placer of a region: the host with the greatest capacity that did not fail
    /// recently.
    ///
    /// Hosts of equal capacity are ordered by a hash other than that of the readers, so that one
    /// host rarely has both duties. `None` means that the region has no such host.
    #[must_use]
    pub fn select<'a>(
        &self,
        hosts: &'a HostTable,
        region: &RegionName,
        now: Duration,
    ) -> Option<(&'a str, &'a HostRecord)> {
        hosts
            .live()
            .filter(|(_, record)| record.region == *region)
            .filter(|(name, _)| {
                self.failed_at
                    .get(*name)
                    .is_none_or(|at| now >= *at + FAILURE_COOLDOWN)
            })
            .min_by_key(|(name, record)| {
                let hash = stable_hash(&[b"placer", name.as_bytes()]);
                (Reverse(record.capacity), hash)
            })
    }
}
