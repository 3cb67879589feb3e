//! The watch on the control records: an initial read, then changes, then a fresh read after every
//! break.

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

use super::backoff::Backoff;
use super::shared::Control;
use super::slots::SlotHolder;
use super::{lenders, rules, suspects};

const FIRST_RETRY: Duration = Duration::from_millis(200);
const LAST_RETRY: Duration = Duration::from_secs(2);
/// A watch that lived longer was healthy, so the next one starts without much delay.
const HEALTHY_AFTER: Duration = Duration::from_secs(5);
const MAX_UPDATES: usize = 64;

enum Update {
    Read(RangeOutcome),
    Changes(WatchBatch),
    Broken(WatchError),
}

pub(super) fn start(control: &Arc<Control>) {
    let (sender, receiver) = mpsc::channel(MAX_UPDATES);
    let client = control.store.client().clone();
    let spawned = thread::Builder::new()
        .name("store-watch".to_owned())
        .spawn(move || follow(&client, &sender));
    if let Err(error) = spawned {
        log::error!("event=watch_not_started cause={error}; raise the limit of threads");
    }
    tokio::spawn(apply_all(Arc::clone(control), receiver));
}

/// Reads and watches until the receiver is gone.
fn follow(client: &StoreClient, updates: &mpsc::Sender<Update>) {
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY);
    while !updates.is_closed() {
        let started = Instant::now();
        let error = follow_once(client, updates);
        if let Some(error) = error
            && updates.blocking_send(Update::Broken(error)).is_err()
        {
            return;
        }
        if started.elapsed() > HEALTHY_AFTER {
            backoff.reset();
        }
        thread::sleep(backoff.next_wait());
    }
}

/// `None` once the receiver is gone.
fn follow_once(client: &StoreClient, updates: &mpsc::Sender<Update>) -> Option<WatchError> {
    let read = match client.range(RangeOptions::with_prefix(keys::CONTROL_PREFIX)) {
        Ok(read) => read,
        Err(error) => return Some(WatchError::Call(error)),
    };
    let options = WatchOptions::new(keys::CONTROL_PREFIX, read.revision + 1);
    updates.blocking_send(Update::Read(read)).ok()?;
    let mut watch = match client.watch(&options) {
        Ok(watch) => watch,
        Err(error) => return Some(error),
    };
    loop {
        match watch.next_batch() {
            Ok(batch) => updates.blocking_send(Update::Changes(batch)).ok()?,
            Err(error) => return Some(error),
        }
    }
}

async fn apply_all(control: Arc<Control>, mut updates: mpsc::Receiver<Update>) {
    let mut is_text_wanted = false;
    loop {
        let update = tokio::select! {
            update = updates.recv() => update,
            () = control.stopping() => return,
        };
        let Some(update) = update else {
            return;
        };
        match update {
            Update::Read(read) => {
                apply_read(&control, &read);
                is_text_wanted = true;
                control.is_watching.store(true, Ordering::SeqCst);
            }
            Update::Changes(batch) => is_text_wanted |= apply_changes(&control, &batch),
            Update::Broken(error) => {
                control.counters.watch_breaks.add(1);
                // The read after the break asks for the text again.
                is_text_wanted = false;
                if control.is_watching.swap(false, Ordering::SeqCst) {
                    log::warn!("event=watch_broken cause={error:?}");
                }
            }
        }
        if is_text_wanted {
            // After a failure the next batch tries again; the store sends one each second.
            is_text_wanted = !rules::read_text(&control).await;
        }
        control.members_changed();
        control.store.report();
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
    let slot = slot_of(&record.key)?;
    let holder = SlotHolder {
        daemon: LenderRecord::parse(&record.value)?.daemon,
        lease: record.lease,
        fence: record.create_revision,
    };
    Some((slot, holder))
}

fn slot_of(key: &str) -> Option<u16> {
    key.strip_prefix(keys::LENDERS_PREFIX)?.parse().ok()
}

fn apply_read(control: &Arc<Control>, read: &RangeOutcome) {
    let members = read.entries.iter().filter_map(parse_member);
    control.fleet().store_all(members);
    check_own_record(control);
    let slots: Vec<_> = read.entries.iter().filter_map(parse_slot).collect();
    control.slots().set_all(&slots, control.now());
    lenders::changed(control);
    suspects::stored_all(control, &read.entries);
    for entry in &read.entries {
        apply_delta(control, entry);
    }
}

/// Returns whether a delta was announced that could not be adopted, so that the text is needed.
fn apply_changes(control: &Arc<Control>, batch: &WatchBatch) -> bool {
    let mut is_text_wanted = false;
    let mut slots_changed = false;
    let mut suspects = Vec::new();
    let mut own_changed = false;
    let own_key = keys::daemon(&control.options.daemon_id);
    for change in &batch.changes {
        match change {
            Change::Put(record) => {
                if let Some(member) = parse_member(record) {
                    control.fleet().store(member);
                } else if let Some((slot, holder)) = parse_slot(record) {
                    control.slots().set(slot, Some(holder), control.now());
                    slots_changed = true;
                } else if record.key.starts_with(keys::RULES_DELTA_PREFIX) {
                    is_text_wanted |= !apply_delta(control, record);
                } else {
                    suspects.extend(suspects::parse(record));
                }
            }
            Change::Delete { key } => {
                if let Some(id) = key.strip_prefix(keys::DAEMONS_PREFIX) {
                    control.fleet().remove(&DaemonId::new(id));
                    own_changed |= *key == own_key;
                } else if let Some(slot) = slot_of(key) {
                    control.slots().set(slot, None, control.now());
                    slots_changed = true;
                } else {
                    suspects.extend(suspects::parse_deleted(key));
                }
            }
        }
    }
    if own_changed {
        check_own_record(control);
    }
    if slots_changed {
        lenders::changed(control);
    }
    if !suspects.is_empty() {
        suspects::stored(control, suspects);
    }
    is_text_wanted
}

/// Writes the own record again if the store lost it.
fn check_own_record(control: &Control) {
    let is_stored = control.fleet().is_stored(&control.options.daemon_id);
    if !is_stored && control.lease().is_some() {
        control.membership_stale();
    }
}

/// Returns whether the delta's revision, or a later one, is in force now.
fn apply_delta(control: &Arc<Control>, entry: &KeyValue) -> bool {
    if !entry.key.starts_with(keys::RULES_DELTA_PREFIX) {
        return true;
    }
    let Some(record) = DeltaRecord::parse(&entry.value) else {
        return false;
    };
    if let Some(delta) = record.to_delta() {
        rules::adopt_delta(control, delta);
    }
    control.rules().revision() >= record.revision
}
