//! Acquires and releases lender slots, so that the active daemons hold equal shares.

use std::sync::Arc;
use std::time::{Duration, Instant};

use mimosagap_core::Event;
use mimosagap_store::keys::LENDER_SLOTS;
use mimosagap_store::lenders::{AcquireSlotOptions, AcquireSlotOutcome, ReleaseSlotOptions};
use mimosagap_types::prelude::*;

use super::backoff::jitter;
use super::context::ControlContext;
use super::membership::{MemberLease, report_held_slots};
use super::slots::SlotHolder;

const BALANCE_PERIOD: Duration = Duration::from_millis(500);
/// Additional delay for each rank in a slot's order, so that hundreds of daemons do not all try to
/// write the same free slot.
const RANK_DELAY: Duration = Duration::from_millis(250);
const MAX_RANK: u32 = 10;
/// Gives daemons that start together time to see each other before one acquires all slots.
const START_DELAY: Duration = Duration::from_secs(1);
/// An excess must last this long before slots are released. A shorter one comes from members that
/// are just joining or leaving.
const EXCESS_DELAY: Duration = Duration::from_secs(2);
const MAX_CHANGES_PER_ROUND: usize = 4;
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);

pub(super) fn start(context: &Arc<ControlContext>) {
    tokio::spawn(run(Arc::clone(context)));
}

async fn run(context: Arc<ControlContext>) {
    if !context.sleep(jitter(START_DELAY)).await {
        return;
    }
    let mut excess_since = None;
    while context.sleep(jitter(BALANCE_PERIOD)).await {
        let lease = *context.lease();
        let now = context.now();
        let Some(lease) = lease.filter(|lease| now < lease.valid_until) else {
            continue;
        };
        if context.store.is_available() {
            balance_slots(&context, lease, &mut excess_since).await;
        }
    }
}

async fn balance_slots(
    context: &Arc<ControlContext>,
    lease: MemberLease,
    excess_since: &mut Option<Instant>,
) {
    let now = context.now();
    let own_id = &context.options.daemon_id;
    let daemons = context.fleet().slot_candidates();
    let held_slots = context.slots().held_slots(own_id, lease.id);
    let share = if daemons.contains(own_id) {
        usize::from(LENDER_SLOTS).div_ceil(daemons.len())
    } else {
        0
    };
    if held_slots.len() > share {
        let since = *excess_since.get_or_insert(now);
        if share == 0 || now >= since + EXCESS_DELAY {
            release_excess(context, held_slots, share, &daemons).await;
        }
        return;
    }
    *excess_since = None;
    let free_slots = context.slots().free_slots(now);
    let due_slots = free_slots
        .into_iter()
        .filter(|(slot, free_for)| *free_for >= acquire_delay(*slot, own_id, &daemons));
    let vacant_count = (share - held_slots.len()).min(MAX_CHANGES_PER_ROUND);
    for (slot, _) in due_slots.take(vacant_count) {
        acquire_slot(context, lease, slot).await;
    }
}

/// Returns how long a slot must be free before this daemon acquires it.
fn acquire_delay(slot: u16, own_id: &DaemonId, daemons: &[DaemonId]) -> Duration {
    RANK_DELAY * rendezvous_rank(slot, own_id, daemons).min(MAX_RANK)
}

/// Returns the daemon's rank in the slot's order by rendezvous hashing; 0 is first.
fn rendezvous_rank(slot: u16, own_id: &DaemonId, daemons: &[DaemonId]) -> u32 {
    let weight =
        |daemon: &DaemonId| RequestDigest::of(&[&slot.to_be_bytes(), daemon.as_str().as_bytes()]);
    let own_weight = weight(own_id);
    let lower_count = daemons
        .iter()
        .filter(|daemon| weight(daemon) < own_weight)
        .count();
    u32::try_from(lower_count).unwrap_or(u32::MAX)
}

async fn acquire_slot(context: &Arc<ControlContext>, lease: MemberLease, slot: u16) {
    let options = AcquireSlotOptions {
        slot,
        daemon: context.options.daemon_id.clone(),
        lease: lease.id,
        retry_timeout: WRITE_TIMEOUT,
    };
    let outcome = context
        .store
        .call(move |client| client.acquire_slot(&options))
        .await;
    if let Ok(AcquireSlotOutcome::Acquired { fence }) = outcome {
        let holder = SlotHolder {
            daemon: context.options.daemon_id.clone(),
            lease: Some(lease.id),
            fence,
        };
        context.slots().record_acquired(slot, holder, context.now());
        context.counters.slots_taken.add(1);
        report_slot_changes(context);
    }
}

/// Releases the slots above this daemon's share, those of the highest rank first. It stops granting
/// credit before the slots become free, because their next holder only waits for credit granted
/// until then.
async fn release_excess(
    context: &Arc<ControlContext>,
    mut held_slots: Vec<u16>,
    share: usize,
    daemons: &[DaemonId],
) {
    let own_id = &context.options.daemon_id;
    held_slots.sort_by_key(|slot| std::cmp::Reverse(rendezvous_rank(*slot, own_id, daemons)));
    let excess = held_slots.len() - share;
    held_slots.truncate(excess.min(MAX_CHANGES_PER_ROUND));
    let fences: Vec<(u16, u64)> = {
        let mut slots = context.slots();
        let fences = held_slots
            .iter()
            .filter_map(|slot| Some((*slot, slots.begin_release(*slot)?)));
        fences.collect()
    };
    report_slot_changes(context);
    for (slot, fence) in fences {
        let options = ReleaseSlotOptions { slot, fence };
        let result = context
            .store
            .call(move |client| client.release_slot(options))
            .await;
        if result.is_ok() {
            context.slots().record_released(slot, fence, context.now());
            context.counters.slots_released.add(1);
        } else {
            context.slots().abort_release(slot);
        }
    }
    report_slot_changes(context);
}

/// Reports the holders of all slots and the slots that this daemon holds.
pub(super) fn report_slot_changes(context: &ControlContext) {
    let holders = context.slots().holders();
    context.send(Event::SlotHoldersChanged(holders));
    report_held_slots(context);
}
