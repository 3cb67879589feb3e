//! The holders of the lender slots, as the store's records show them.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use mimosagap_store::LeaseId;
use mimosagap_store::keys::LENDER_SLOTS;
use mimosagap_types::prelude::*;

#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SlotHolder {
    pub(super) daemon: DaemonId,
    pub(super) lease: Option<LeaseId>,
    /// The record's create revision, used as fencing token.
    pub(super) fence: u64,
}

#[derive(Debug, Clone, Default)]
struct SlotEntry {
    holder: Option<SlotHolder>,
    free_since: Option<Instant>,
}

/// The holders of all slots, and the slots that this daemon is releasing.
#[derive(Debug)]
pub(super) struct SlotTable {
    slots: Vec<SlotEntry>,
    releasing: HashSet<u16>,
}

impl Default for SlotTable {
    fn default() -> Self {
        Self {
            slots: vec![SlotEntry::default(); usize::from(LENDER_SLOTS)],
            releasing: HashSet::new(),
        }
    }
}

impl SlotTable {
    /// Sets the holder of one slot, or frees it. A number out of range is ignored.
    pub(super) fn set_holder(&mut self, slot: u16, holder: Option<SlotHolder>, now: Instant) {
        if let Some(slot) = self.slots.get_mut(usize::from(slot)) {
            slot.free_since = match (&holder, slot.free_since) {
                (Some(_), _) => None,
                (None, since) => since.or(Some(now)),
            };
            slot.holder = holder;
        }
    }

    /// Records a slot that this daemon acquired, unless the watch has shown a later holder.
    pub(super) fn record_acquired(&mut self, slot: u16, holder: SlotHolder, now: Instant) {
        let known_slot = self.slots.get(usize::from(slot));
        let current_holder = known_slot.and_then(|slot| slot.holder.as_ref());
        if current_holder.is_none_or(|current| current.fence <= holder.fence) {
            self.set_holder(slot, Some(holder), now);
        }
    }

    /// Records that this daemon released a slot, unless the watch has shown a later holder.
    pub(super) fn record_released(&mut self, slot: u16, fence: u64, now: Instant) {
        self.releasing.remove(&slot);
        let known_slot = self.slots.get(usize::from(slot));
        let holder = known_slot.and_then(|slot| slot.holder.as_ref());
        if holder.is_some_and(|holder| holder.fence == fence) {
            self.set_holder(slot, None, now);
        }
    }

    /// Replaces the holders of all slots.
    pub(super) fn replace_holders(&mut self, holders: &[(u16, SlotHolder)], now: Instant) {
        for slot in 0..LENDER_SLOTS {
            let listed_holder = holders.iter().find(|(number, _)| *number == slot);
            self.set_holder(slot, listed_holder.map(|(_, holder)| holder.clone()), now);
        }
    }

    /// Returns the holder of each slot, by slot number; `None` for a free slot.
    pub(super) fn holders(&self) -> Vec<Option<DaemonId>> {
        let holder = |slot: &SlotEntry| slot.holder.as_ref().map(|holder| holder.daemon.clone());
        self.slots.iter().map(holder).collect()
    }

    /// Returns the slots that a daemon holds under a lease, without those being released.
    pub(super) fn held_slots(&self, daemon: &DaemonId, lease: LeaseId) -> Vec<u16> {
        self.numbered_slots()
            .filter(|(number, slot)| {
                let holder = slot.holder.as_ref();
                let is_held = holder
                    .is_some_and(|holder| holder.daemon == *daemon && holder.lease == Some(lease));
                is_held && !self.releasing.contains(number)
            })
            .map(|(number, _)| number)
            .collect()
    }

    /// Returns the free slots, each with the time that it has been free.
    pub(super) fn free_slots(&self, now: Instant) -> Vec<(u16, Duration)> {
        self.numbered_slots()
            .filter_map(|(number, slot)| {
                let since = slot.free_since?;
                Some((number, now.saturating_duration_since(since)))
            })
            .collect()
    }

    /// Marks a slot as being released and returns its fencing token; `None` if it has no holder.
    pub(super) fn begin_release(&mut self, slot: u16) -> Option<u64> {
        let fence = self.slots.get(usize::from(slot))?.holder.as_ref()?.fence;
        self.releasing.insert(slot);
        Some(fence)
    }

    /// Marks a slot as held again after its release failed.
    pub(super) fn abort_release(&mut self, slot: u16) {
        self.releasing.remove(&slot);
    }

    fn numbered_slots(&self) -> impl Iterator<Item = (u16, &SlotEntry)> {
        (0..).zip(&self.slots)
    }
}
