//! Takes and gives up lender slots, so that the live daemons hold equal shares.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosagap_core::Event;
use mimosagap_store::keys::LENDER_SLOTS;
use mimosagap_store::lenders::{AcquireSlotOptions, AcquireSlotOutcome, ReleaseSlotOptions};
use mimosagap_types::prelude::*;

use super::backoff::jitter;
use super::membership::{HeldLease, report_slots};
use super::shared::Control;
use super::slots::SlotHolder;

const PERIOD: Duration = Duration::from_millis(500);
/// Each daemon further down in a slot's order waits longer, so that hundreds of daemons do not
/// write for one free slot.
const RANK_DELAY: Duration = Duration::from_millis(250);
const MAX_RANK: u32 = 10;
/// Daemons that start together learn of each other before one takes all slots.
const START_DELAY: Duration = Duration::from_secs(1);
/// An excess that lasts shorter comes from members that are just joining or leaving.
const EXCESS_DELAY: Duration = Duration::from_secs(2);
const MAX_CHANGES: usize = 4;
const PATIENCE: Duration = Duration::from_secs(1);

pub(super) fn start(control: &Arc<Control>) {
    tokio::spawn(run(Arc::clone(control)));
}

async fn run(control: Arc<Control>) {
    if !control.sleep(jitter(START_DELAY)).await {
        return;
    }
    let mut excess_since = None;
    while control.sleep(jitter(PERIOD)).await {
        let lease = *control.lease();
        let now = control.now();
        let Some(lease) = lease.filter(|lease| now < lease.until) else {
            continue;
        };
        if control.store.is_available() {
            balance(&control, lease, &mut excess_since).await;
        }
    }
}

async fn balance(control: &Arc<Control>, lease: HeldLease, excess_since: &mut Option<Instant>) {
    let now = control.now();
    let own = &control.options.daemon;
    let daemons = control.fleet().lenders();
    let held = control.slots().held(own, lease.id);
    let share = if daemons.contains(own) {
        usize::from(LENDER_SLOTS).div_ceil(daemons.len())
    } else {
        0
    };
    if held.len() > share {
        let since = *excess_since.get_or_insert(now);
        if share == 0 || now >= since + EXCESS_DELAY {
            release_excess(control, held, share, &daemons).await;
        }
        return;
    }
    *excess_since = None;
    let free = control.slots().free(now);
    let due = free
        .into_iter()
        .filter(|(slot, time)| *time >= delay(*slot, own, &daemons));
    let room = (share - held.len()).min(MAX_CHANGES);
    for (slot, _) in due.take(room) {
        take(control, lease, slot).await;
    }
}

/// How long a slot is free before this daemon takes it.
fn delay(slot: u16, own: &DaemonId, daemons: &[DaemonId]) -> Duration {
    RANK_DELAY * rank(slot, own, daemons).min(MAX_RANK)
}

/// The daemon's place in the slot's order, by rendezvous hashing.
fn rank(slot: u16, own: &DaemonId, daemons: &[DaemonId]) -> u32 {
    let weight =
        |daemon: &DaemonId| RequestDigest::of(&[&slot.to_be_bytes(), daemon.as_str().as_bytes()]);
    let own = weight(own);
    let before = daemons.iter().filter(|daemon| weight(daemon) < own).count();
    u32::try_from(before).unwrap_or(u32::MAX)
}

async fn take(control: &Arc<Control>, lease: HeldLease, slot: u16) {
    let options = AcquireSlotOptions {
        slot,
        daemon: control.options.daemon.clone(),
        lease: lease.id,
        retry_timeout: PATIENCE,
    };
    let outcome = control
        .store
        .call(move |client| client.acquire_slot(&options))
        .await;
    if let Ok(AcquireSlotOutcome::Acquired { fence }) = outcome {
        let holder = SlotHolder {
            daemon: control.options.daemon.clone(),
            lease: Some(lease.id),
            fence,
        };
        control.slots().note_taken(slot, holder, control.now());
        control.counters.slots_taken.add(1);
        changed(control);
    }
}

/// Stops lending before the slots become free: their next holder waits only for credit that was
/// granted before.
async fn release_excess(
    control: &Arc<Control>,
    mut held: Vec<u16>,
    share: usize,
    daemons: &[DaemonId],
) {
    let own = &control.options.daemon;
    held.sort_by_key(|slot| std::cmp::Reverse(rank(*slot, own, daemons)));
    let excess = held.len() - share;
    held.truncate(excess.min(MAX_CHANGES));
    let fences: Vec<(u16, u64)> = {
        let mut slots = control.slots();
        let fences = held
            .iter()
            .filter_map(|slot| Some((*slot, slots.begin_release(*slot)?)));
        fences.collect()
    };
    changed(control);
    for (slot, fence) in fences {
        let options = ReleaseSlotOptions { slot, fence };
        let result = control
            .store
            .call(move |client| client.release_slot(options))
            .await;
        if result.is_ok() {
            control.slots().note_released(slot, fence, control.now());
            control.counters.slots_released.add(1);
        } else {
            control.slots().abort_release(slot);
        }
    }
    changed(control);
}

/// Reports the holders of all slots and the slots of this daemon.
pub(super) fn changed(control: &Control) {
    let holders = control.slots().holders();
    control.send(Event::SlotHoldersChanged(holders));
    report_slots(control);
}
