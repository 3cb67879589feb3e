//! The membership record and the lease under which it and the lender slots live.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use mimosagap_core::Event;
use mimosagap_store::members::MemberRecord;
use mimosagap_store::{CallError, GrantOptions, KeepAliveOutcome, LeaseId};

use super::backoff::Backoff;
use super::shared::Control;

const TTL: Duration = Duration::from_secs(10);
const RENEWAL_PERIOD: Duration = Duration::from_secs(3);
/// Taken off the TTL for the difference between the two clocks.
const SAFETY_MARGIN: Duration = Duration::from_secs(2);
const FIRST_RETRY: Duration = Duration::from_millis(200);
const LAST_RETRY: Duration = Duration::from_secs(2);
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// The lease of this daemon.
#[derive(Debug, Clone, Copy)]
pub(super) struct HeldLease {
    pub(super) id: LeaseId,
    /// Until when it may be trusted, by the monotonic clock.
    pub(super) until: Instant,
}

pub(super) fn start(control: &Arc<Control>) {
    tokio::spawn(run(Arc::clone(control)));
}

/// Waits until the lease is given up and the last results are written.
pub(super) async fn stopped(control: &Control) {
    let (mut lease, mut results) = (
        control.lease_gone.subscribe(),
        control.results_gone.subscribe(),
    );
    let both = async {
        let _ = lease.wait_for(|gone| *gone).await;
        let _ = results.wait_for(|gone| *gone).await;
    };
    let _ = tokio::time::timeout(STOP_TIMEOUT, both).await;
}

async fn run(control: Arc<Control>) {
    let mut backoff = Backoff::new(FIRST_RETRY, LAST_RETRY);
    let mut is_renewed = false;
    loop {
        let wait = match renew(&control).await {
            Ok(()) => {
                backoff.reset();
                is_renewed = true;
                RENEWAL_PERIOD
            }
            Err(error) => {
                if std::mem::take(&mut is_renewed) {
                    log::warn!("event=lease_not_renewed cause={error:?}");
                }
                backoff.next_wait()
            }
        };
        control.members_changed();
        tokio::select! {
            () = tokio::time::sleep(wait) => {}
            () = control.member_wake.notified(), if is_renewed => {}
            () = control.stopping() => break,
        }
    }
    let lease = control.lease().take();
    if let Some(lease) = lease {
        let _ = control
            .store
            .call(move |client| client.revoke(lease.id))
            .await;
    }
    control.lease_gone.send_replace(true);
}

async fn renew(control: &Arc<Control>) -> Result<(), CallError> {
    let before = control.now();
    let held = *control.lease();
    let lease = match held {
        Some(held) => keep_alive(control, held.id).await?,
        None => None,
    };
    let (id, ttl) = match lease {
        Some(renewed) => renewed,
        None => join(control).await?,
    };
    if control.member_dirty.swap(false, Ordering::SeqCst) {
        put_record(control, id).await.inspect_err(|_| {
            control.member_dirty.store(true, Ordering::SeqCst);
        })?;
    }
    let until = before + ttl.saturating_sub(SAFETY_MARGIN);
    *control.lease() = Some(HeldLease { id, until });
    control.counters.lease_renewals.add(1);
    report_slots(control);
    Ok(())
}

/// `None` if the lease lapsed.
async fn keep_alive(
    control: &Arc<Control>,
    id: LeaseId,
) -> Result<Option<(LeaseId, Duration)>, CallError> {
    let outcome = control
        .store
        .call(move |client| client.keep_alive(id))
        .await?;
    match outcome {
        KeepAliveOutcome::Renewed { ttl } => Ok(Some((id, ttl))),
        KeepAliveOutcome::Expired => {
            control.counters.lease_losses.add(1);
            log::warn!("event=lease_lapsed");
            *control.lease() = None;
            report_slots(control);
            Ok(None)
        }
    }
}

async fn join(control: &Arc<Control>) -> Result<(LeaseId, Duration), CallError> {
    let granted = control
        .store
        .call(|client| client.grant(GrantOptions::new(TTL)))
        .await?;
    control.member_dirty.store(true, Ordering::SeqCst);
    Ok((granted.lease, granted.ttl))
}

async fn put_record(control: &Arc<Control>, lease: LeaseId) -> Result<(), CallError> {
    let member = control.member();
    let record = MemberRecord {
        caller_address: member.caller_address,
        peer_address: member.peer_address,
        admin_address: member.admin_address,
        zone: member.zone,
        region: member.region,
        leaving: member.leaving,
    };
    let put =
        move |client: &mimosagap_store::StoreClient| client.put_member(&member.id, &record, lease);
    control.store.call(put).await.map(|_| ())
}

/// Reports the slots held under the lease.
pub(super) fn report_slots(control: &Control) {
    let lease = *control.lease();
    let slots = match &lease {
        Some(lease) => control.slots().held(&control.options.daemon, lease.id),
        None => Vec::new(),
    };
    let until = lease.map_or_else(|| control.now(), |lease| lease.until);
    control.send(Event::LenderSlotsHeld { slots, until });
}
