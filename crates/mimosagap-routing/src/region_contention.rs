//! In which regions restricted requests lack capacity.
//!
//! Requests that may be served in one region only compete there with unrestricted ones, which could
//! be served elsewhere. On a busy day the engines of a small region are full of unrestricted
//! generations of its own callers, while engines of other regions are idle. Hosts therefore note
//! where restricted requests wait or were refused, and unrestricted generations avoid these regions
//! for a while. The note is a hint in memory: a host that starts learns it from the next notice.

use std::collections::HashMap;
use std::time::Duration;

use mimosagap_types::prelude::*;

/// Time for which unrestricted generations avoid a region after a restricted request waited or was
/// refused there.
pub const CONTENTION_TTL: Duration = Duration::from_secs(5);

/// Interval of notices about one region from all hosts together, apart from those that are sent at
/// the same moment. At 320 hosts a notice costs the sender about 6 KB, as a third of them get it.
pub const NOTICE_INTERVAL: Duration = Duration::from_secs(2);

#[derive(Debug, Clone, Copy)]
struct ContentionRecord {
    noted_at: Duration,
    /// When a notice was last sent or received.
    noticed_at: Duration,
}

/// Regions in which restricted requests of a service lack capacity.
#[derive(Debug, Clone, Default)]
pub struct RegionContention {
    records: HashMap<(DeploymentName, RegionName), ContentionRecord>,
}

impl RegionContention {
    /// Records that a restricted request waits or was refused. Returns whether the hosts of the
    /// region are to be told.
    pub fn record(&mut self, service: &DeploymentName, region: &RegionName, now: Duration) -> bool {
        self.purge(now);
        let key = (service.clone(), region.clone());
        let Some(record) = self.records.get_mut(&key) else {
            self.record_notice(service, region, now);
            return true;
        };
        record.noted_at = now;
        let is_due = now >= record.noticed_at + NOTICE_INTERVAL;
        if is_due {
            record.noticed_at = now;
        }
        is_due
    }

    /// Records the notice of another host.
    pub fn record_notice(&mut self, service: &DeploymentName, region: &RegionName, now: Duration) {
        self.purge(now);
        let record = ContentionRecord {
            noted_at: now,
            noticed_at: now,
        };
        let key = (service.clone(), region.clone());
        self.records.insert(key, record);
    }

    /// Whether restricted requests of a service lacked capacity in a region lately.
    #[must_use]
    pub fn is_contended(
        &self,
        service: &DeploymentName,
        region: &RegionName,
        now: Duration,
    ) -> bool {
        if self.records.is_empty() {
            return false;
        }
        let record = self.records.get(&(service.clone(), region.clone()));
        record.is_some_and(|record| now < record.noted_at + CONTENTION_TTL)
    }

    fn purge(&mut self, now: Duration) {
        self.records
            .retain(|_, record| now < record.noted_at + CONTENTION_TTL);
    }
}
