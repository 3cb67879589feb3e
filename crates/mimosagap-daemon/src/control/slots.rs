//! The lender slots as the store's records show them.

use std::collections::HashSet;
use std::time::{Duration, Instant};

use mimosagap_store::LeaseId;
use mimosagap_store::keys::LENDER_SLOTS;
use mimosagap_types::prelude::*;

/// The holder of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct SlotHolder {
    pub(super) daemon: DaemonId,
    pub(super) lease: Option<LeaseId>,
    /// The record's create revision.
    pub(super) fence: u64,
}

#[derive(Debug, Clone, Default)]
struct Slot {
    holder: Option<SlotHolder>,
    free_since: Option<Instant>,
}

/// All slots.
#[derive(Debug)]
pub(super) struct SlotTable {
    slots: Vec<Slot>,
    releasing: HashSet<u16>,
}

impl Default for SlotTable {
    fn default() -> Self {
        Self {
            slots: vec![Slot::default(); usize::from(LENDER_SLOTS)],
            releasing: HashSet::new(),
        }
    }
}

impl SlotTable {
    /// Takes over the holder of one slot; a number without a slot is ignored.
    pub(super) fn set(&mut self, slot: u16, holder: Option<SlotHolder>, now: Instant) {
        if let Some(slot) = self.slots.get_mut(usize::from(slot)) {
            slot.free_since = match (&holder, slot.free_since) {
                (Some(_), _) => None,
                (None, since) => since.or(Some(now)),
            };
            slot.holder = holder;
        }
    }

    /// Takes over a slot that this daemon took, unless the watch has shown a later holder.
    pub(super) fn note_taken(&mut self, slot: u16, holder: SlotHolder, now: Instant) {
        let known = self.slots.get(usize::from(slot));
        let known_fence = known.and_then(|slot| slot.holder.as_ref());
        if known_fence.is_none_or(|known| known.fence <= holder.fence) {
            self.set(slot, Some(holder), now);
        }
    }

    /// Takes over that a slot was given up, unless the watch has shown a later holder.
    pub(super) fn note_released(&mut self, slot: u16, fence: u64, now: Instant) {
        self.releasing.remove(&slot);
        let known = self.slots.get(usize::from(slot));
        let holder = known.and_then(|slot| slot.holder.as_ref());
        if holder.is_some_and(|holder| holder.fence == fence) {
            self.set(slot, None, now);
        }
    }

    /// Takes over all slots.
    pub(super) fn set_all(&mut self, holders: &[(u16, SlotHolder)], now: Instant) {
        for slot in 0..LENDER_SLOTS {
            let found = holders.iter().find(|(number, _)| *number == slot);
            self.set(slot, found.map(|(_, holder)| holder.clone()), now);
        }
    }

    /// The holders of all slots.
    pub(super) fn holders(&self) -> Vec<Option<DaemonId>> {
        let holder = |slot: &Slot| slot.holder.as_ref().map(|holder| holder.daemon.clone());
        self.slots.iter().map(holder).collect()
    }

    /// The slots that a daemon holds under a lease and is not giving up.
    pub(super) fn held(&self, daemon: &DaemonId, lease: LeaseId) -> Vec<u16> {
        self.numbered()
            .filter(|(number, slot)| {
                let holder = slot.holder.as_ref();
                let own = holder
                    .is_some_and(|holder| holder.daemon == *daemon && holder.lease == Some(lease));
                own && !self.releasing.contains(number)
            })
            .map(|(number, _)| number)
            .collect()
    }

    /// The slots without a holder, each with the time since when.
    pub(super) fn free(&self, now: Instant) -> Vec<(u16, Duration)> {
        self.numbered()
            .filter_map(|(number, slot)| {
                let since = slot.free_since?;
                Some((number, now.saturating_duration_since(since)))
            })
            .collect()
    }

    /// Marks a slot as being given up and returns its fencing number.
    pub(super) fn begin_release(&mut self, slot: u16) -> Option<u64> {
        let fence = self.slots.get(usize::from(slot))?.holder.as_ref()?.fence;
        self.releasing.insert(slot);
        Some(fence)
    }

    /// Takes over that a slot could not be given up.
    pub(super) fn abort_release(&mut self, slot: u16) {
        self.releasing.remove(&slot);
    }

    fn numbered(&self) -> impl Iterator<Item = (u16, &Slot)> {
        (0..).zip(&self.slots)
    }
}
