//! Zones that operators have evacuated, as one host knows them.
//!
//! Load pattern: operators take a zone out of service before work on it, while requests that run
//! there end by themselves. Without the evacuation hosts keep choosing the targets of the zone,
//! which are the cheapest ones for the callers nearby and the emptiest ones for all others once the
//! first of them have ended.
//!
//! The keys of the operators in the store decide. A store that comes back from an older copy may
//! lack a key that operators wrote, so that an evacuation known from an earlier era holds until the
//! key is written again or [`RESTORE_HOLD`] has passed. It ends only by a state of the store that
//! was confirmed after that time, so that it also holds while the store is down.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::store_revision::StoreEra;

/// Time in which operators write their keys again after the store came back from an older copy.
pub const RESTORE_HOLD: Duration = Duration::from_secs(10);

/// Most zones of which another host can report an evacuation. Bounds what a malformed datagram
/// occupies; the largest fleets have a tenth of that.
const MAX_REPORTED_ZONES: usize = 64;

/// How an evacuation changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EvacuationChange {
    /// The zone receives nothing new from now on.
    Started,
    /// The store lacks the key since it came back from an older copy; the evacuation holds.
    Held,
    /// The zone is back in service.
    Ended,
}

impl EvacuationChange {
    /// Stable name for logs and metrics.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Held => "held",
            Self::Ended => "ended",
        }
    }
}

/// A zone whose evacuation changed.
pub type ZoneChange = (ZoneName, EvacuationChange);

/// What this host knows of one evacuation.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Evacuation {
    /// The era in which the store last showed the key.
    era: StoreEra,
    /// Time until which it holds although the store lacks the key; `None` while the store has it.
    held_until: Option<Duration>,
}

/// The evacuated zones.
#[derive(Debug, Clone, Default)]
pub struct Evacuations {
    by_zone: BTreeMap<ZoneName, Evacuation>,
}

impl Evacuations {
    /// Records that the store has the key of a zone in an era.
    pub fn record_key(&mut self, zone: &ZoneName, era: StoreEra) -> Option<EvacuationChange> {
        let evacuation = Evacuation {
            era,
            held_until: None,
        };
        let replaced = self.by_zone.insert(zone.clone(), evacuation);
        replaced.is_none().then_some(EvacuationChange::Started)
    }

    /// Records that the key of a zone was removed from the store.
    pub fn record_removal(&mut self, zone: &ZoneName) -> Option<EvacuationChange> {
        let removed = self.by_zone.remove(zone);
        removed.map(|_| EvacuationChange::Ended)
    }

    /// Compares the evacuations with the keys that a full read of the store listed in an era.
    pub fn record_listing(
        &mut self,
        listed_zones: &BTreeSet<ZoneName>,
        era: StoreEra,
        now: Duration,
    ) -> Vec<ZoneChange> {
        let mut changes = Vec::new();
        self.by_zone.retain(|zone, evacuation| {
            if listed_zones.contains(zone) || evacuation.held_until.is_some() {
                return true;
            }
            let is_lost = evacuation.era < era;
            let change = if is_lost {
                evacuation.held_until = Some(now + RESTORE_HOLD);
                EvacuationChange::Held
            } else {
                EvacuationChange::Ended
            };
            changes.push((zone.clone(), change));
            is_lost
        });
        changes
    }

    /// Ends the evacuations that were held for long enough, if the state of the store was confirmed
    /// after that.
    pub fn end_holds(&mut self, confirmed_at: Option<Duration>) -> Vec<ZoneChange> {
        let mut changes = Vec::new();
        self.by_zone.retain(|zone, evacuation| {
            let is_over = evacuation
                .held_until
                .zip(confirmed_at)
                .is_some_and(|(until, confirmed_at)| confirmed_at >= until);
            if is_over {
                changes.push((zone.clone(), EvacuationChange::Ended));
            }
            !is_over
        });
        changes
    }

    /// Records that another host holds an evacuation for this much longer. A host that started after
    /// the store came back from a copy cannot know it otherwise.
    pub fn record_report(
        &mut self,
        zone: &ZoneName,
        remaining: Duration,
        era: StoreEra,
        now: Duration,
    ) -> Option<EvacuationChange> {
        if self.by_zone.contains_key(zone) || self.by_zone.len() >= MAX_REPORTED_ZONES {
            return None;
        }
        let evacuation = Evacuation {
            era,
            held_until: Some(now + remaining.min(RESTORE_HOLD)),
        };
        self.by_zone.insert(zone.clone(), evacuation);
        Some(EvacuationChange::Held)
    }

    /// The evacuations that hold although the store lacks their keys, with the remaining time.
    #[must_use]
    pub fn held(&self, now: Duration) -> Vec<(ZoneName, Duration)> {
        let held = self.by_zone.iter().filter_map(|(zone, evacuation)| {
            let remaining = evacuation.held_until?.saturating_sub(now);
            (!remaining.is_zero()).then(|| (zone.clone(), remaining))
        });
        held.collect()
    }

    /// The evacuated zones.
    #[must_use]
    pub fn zones(&self) -> BTreeSet<ZoneName> {
        self.by_zone.keys().cloned().collect()
    }
}

/// Whether the knowledge of evacuations is recent enough to keep the operators' bound. A host whose
/// state is older may miss an evacuation.
#[must_use]
pub fn is_current(confirmation_age: Option<Duration>, bound: Duration) -> bool {
    confirmation_age.is_some_and(|age| age < bound)
}
