//! Which host places the generations of a region.
//!
//! Load pattern: dozens of hosts place prompts on the same engines by loads that are some ten
//! milliseconds old, so that whatever looks free is chosen by many hosts at once: an engine that had
//! just been listed got seven prompts within 81 ms. One host of each region decides for all hosts
//! of the region, one after the other, and counts each decision before it hears of the request. A
//! host decides by itself on engines of other regions: a question there takes as long as half of a
//! prompt.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::hashing::stable_hash;
use crate::hosts::{HostRecord, HostTable};

/// A host that did not answer is not asked again for this long.
const AVOID: Duration = Duration::from_secs(2);

/// Chooses the placers that one host asks.
#[derive(Debug, Clone, Default)]
pub struct PlacerSelector {
    failed: HashMap<String, Duration>,
}

impl PlacerSelector {
    /// A placer did not answer.
    pub fn record_failure(&mut self, host: &str, now: Duration) {
        self.failed.retain(|_, at| now < *at + AVOID);
        self.failed.insert(host.to_owned(), now);
    }

    /// The placer of a region: the same for all hosts that reach it. The strongest host, and
    /// among equal ones seldom the reader of a zone.
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
            .filter(|(name, _)| self.failed.get(*name).is_none_or(|at| now >= *at + AVOID))
            .min_by_key(|(name, record)| {
                let mark = stable_hash(&[b"placer", name.as_bytes()]);
                (Reverse(record.capacity), mark)
            })
    }
}
