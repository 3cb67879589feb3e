//! The watch on the control records of the store: an initial read, then changes, and a fresh read
//! after each break.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use mimosagap_core::Member;
use mimosagap_store::lenders::LenderRecord;
use mimosagap_store::members::MemberRecord;
use mimosagap_store::rules::DeltaRecord;
use mimosagap_store::{
    Change, KeyValue, RangeOptions, RangeOutcome, StoreClient, WatchBatch, WatchError,
    WatchOptions, keys,
};
use mimosagap_types::prelude::*;
use tokio::sync::mpsc;

use super::backoff::RetryBackoff;
use super::context::ControlContext;
use super::slots::SlotHolder;
use super::{rules, slot_balancer, suspects};

const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
/// A watch that lasted longer than this resets the backoff.
const HEALTHY_WATCH_DURATION: Duration = Duration::from_secs(5);
const MAX_QUEUED_UPDATES: usize = 64;

enum WatchUpdate {
    Read(RangeOutcome),
    Changes(WatchBatch),
    Broken(WatchError),
}

pub(super) fn start(context: &Arc<ControlContext>) {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_UPDATES);
    let client = context.store.client().clone();
    let spawned = thread::Builder::new()
        .name("store-watch".to_owned())
        .spawn(move || run_watch(&client, &sender));
    if let Err(error) = spawned {
        log::error!("event=watch_not_started cause={error}; raise the limit of threads");
    }
    tokio::spawn(apply_updates(Arc::clone(context), receiver));
}

/// Reads and watches the records until the receiver is dropped. Blocks, so it needs its own thread.
fn run_watch(client: &StoreClient, updates: &mpsc::Sender<WatchUpdate>) {
    let mut backoff = RetryBackoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
    while !updates.is_closed() {
        let started_at = Instant::now();
        let error = watch_until_error(client, updates);
        if let Some(error) = error
            && updates.blocking_send(WatchUpdate::Broken(error)).is_err()
        {
            return;
        }
        if started_at.elapsed() > HEALTHY_WATCH_DURATION {
            backoff.reset();
        }
        thread::sleep(backoff.next_delay());
    }
}

/// Reads the records once, then watches them until an error. Returns `None` once the receiver is
/// dropped.
fn watch_until_error(
    client: &StoreClient,
    updates: &mpsc::Sender<WatchUpdate>,
) -> Option<WatchError> {
    let read = match client.range(RangeOptions::with_prefix(keys::CONTROL_PREFIX)) {
        Ok(read) => read,
        Err(error) => return Some(WatchError::Call(error)),
    };
    let options = WatchOptions::new(keys::CONTROL_PREFIX, read.revision + 1);
    updates.blocking_send(WatchUpdate::Read(read)).ok()?;
    let mut watch = match client.watch(&options) {
        Ok(watch) => watch,
        Err(error) => return Some(error),
    };
    loop {
        match watch.next_batch() {
            Ok(batch) => updates.blocking_send(WatchUpdate::Changes(batch)).ok()?,
            Err(error) => return Some(error),
        }
    }
}

async fn apply_updates(context: Arc<ControlContext>, mut updates: mpsc::Receiver<WatchUpdate>) {
    let mut needs_rules_text = false;
    loop {
        let update = tokio::select! {
            update = updates.recv() => update,
            () = context.stopping() => return,
        };
        let Some(update) = update else {
            return;
        };
        match update {
            WatchUpdate::Read(read) => {
                apply_read(&context, &read);
                needs_rules_text = true;
                context.is_watching.store(true, Ordering::SeqCst);
            }
            WatchUpdate::Changes(batch) => needs_rules_text |= apply_changes(&context, &batch),
            WatchUpdate::Broken(error) => {
                context.counters.watch_breaks.add(1);
                // The read after the break requests the text again.
                needs_rules_text = false;
                if context.is_watching.swap(false, Ordering::SeqCst) {
                    log::warn!("event=watch_broken cause={error:?}");
                }
            }
        }
        if needs_rules_text {
            // A failure is retried with the next batch; the store sends one every second.
            needs_rules_text = !rules::load_stored_text(&context).await;
        }
        context.report_member_changes();
        context.store.report_reachable();
    }
}

fn parse_member(record: &KeyValue) -> Option<Member> {
    let id = record.key.strip_prefix(keys::DAEMONS_PREFIX)?;
    let parsed = MemberRecord::parse(&record.value)?;
    Some(Member {
        id: DaemonId::new(id),
        caller_address: parsed.caller_address,
        peer_address: parsed.peer_address,
        admin_address: parsed.admin_address,
        zone: parsed.zone,
        region: parsed.region,
        leaving: parsed.leaving,
    })
}

fn parse_slot(record: &KeyValue) -> Option<(u16, SlotHolder)> {
    let slot = parse_slot_key(&record.key)?;
    let holder = SlotHolder {
        daemon: LenderRecord::parse(&record.value)?.daemon,
        lease: record.lease,
        fence: record.create_revision,
    };
    Some((slot, holder))
}

fn parse_slot_key(key: &str) -> Option<u16> {
    key.strip_prefix(keys::LENDERS_PREFIX)?.parse().ok()
}

fn apply_read(context: &Arc<ControlContext>, read: &RangeOutcome) {
    let members = read.entries.iter().filter_map(parse_member);
    context.fleet().replace_stored(members);
    ensure_own_record(context);
    let slots: Vec<_> = read.entries.iter().filter_map(parse_slot).collect();
    context.slots().replace_holders(&slots, context.now());
    slot_balancer::report_slot_changes(context);
    suspects::apply_all_records(context, &read.entries);
    for entry in &read.entries {
        apply_delta(context, entry);
    }
}

/// Applies a batch of changes. Returns whether it announced a delta that could not be activated, so
/// that the full text is needed.
fn apply_changes(context: &Arc<ControlContext>, batch: &WatchBatch) -> bool {
    let mut needs_rules_text = false;
    let mut slots_changed = false;
    let mut changed_suspects = Vec::new();
    let mut own_record_deleted = false;
    let own_key = keys::daemon(&context.options.daemon_id);
    for change in &batch.changes {
        match change {
            Change::Put(record) => {
                if let Some(member) = parse_member(record) {
                    context.fleet().insert_stored(member);
                } else if let Some((slot, holder)) = parse_slot(record) {
                    context
                        .slots()
                        .set_holder(slot, Some(holder), context.now());
                    slots_changed = true;
                } else if record.key.starts_with(keys::RULES_DELTA_PREFIX) {
                    needs_rules_text |= !apply_delta(context, record);
                } else {
                    changed_suspects.extend(suspects::parse_record(record));
                }
            }
            Change::Delete { key } => {
                if let Some(id) = key.strip_prefix(keys::DAEMONS_PREFIX) {
                    context.fleet().remove(&DaemonId::new(id));
                    own_record_deleted |= *key == own_key;
                } else if let Some(slot) = parse_slot_key(key) {
                    context.slots().set_holder(slot, None, context.now());
                    slots_changed = true;
                } else {
                    changed_suspects.extend(suspects::parse_deleted_key(key));
                }
            }
        }
    }
    if own_record_deleted {
        ensure_own_record(context);
    }
    if slots_changed {
        slot_balancer::report_slot_changes(context);
    }
    if !changed_suspects.is_empty() {
        suspects::apply_records(context, changed_suspects);
    }
    needs_rules_text
}

/// Requests a new write of this daemon's membership record if the store has lost it.
fn ensure_own_record(context: &ControlContext) {
    let is_stored = context.fleet().is_stored(&context.options.daemon_id);
    if !is_stored && context.lease().is_some() {
        context.refresh_member_record();
    }
}

/// Applies a delta record; other records are ignored and return `true`. Returns whether the delta's
/// revision, or a later one, is active now.
fn apply_delta(context: &Arc<ControlContext>, entry: &KeyValue) -> bool {
    if !entry.key.starts_with(keys::RULES_DELTA_PREFIX) {
        return true;
    }
    let Some(record) = DeltaRecord::parse(&entry.value) else {
        return false;
    };
    if let Some(delta) = record.to_delta() {
        rules::adopt_delta(context, delta);
    }
    context.rules().revision() >= record.revision
}
