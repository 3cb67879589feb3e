//! Keeps the membership lease alive, and writes the membership record under it. The lender slots of
//! this daemon are attached to the same lease.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use mimosagap_core::Event;
use mimosagap_store::members::MemberRecord;
use mimosagap_store::{CallError, GrantOptions, KeepAliveOutcome, LeaseId};

use super::backoff::RetryBackoff;
use super::context::ControlContext;

const LEASE_TTL: Duration = Duration::from_secs(10);
const RENEWAL_PERIOD: Duration = Duration::from_secs(3);
/// Subtracted from the TTL, so that this daemon stops trusting the lease before the store ends it:
/// the two clocks may differ.
const SAFETY_MARGIN: Duration = Duration::from_secs(2);
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(200);
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);
const STOP_TIMEOUT: Duration = Duration::from_secs(1);

/// The membership lease of this daemon.
#[derive(Debug, Clone, Copy)]
pub(super) struct MemberLease {
    pub(super) id: LeaseId,
    /// The monotonic time until which this daemon may rely on the lease.
    pub(super) valid_until: Instant,
}

pub(super) fn start(context: &Arc<ControlContext>) {
    tokio::spawn(run(Arc::clone(context)));
}

/// Waits until the lease is revoked and the last results are written, up to `STOP_TIMEOUT`.
pub(super) async fn wait_until_stopped(context: &ControlContext) {
    let (mut lease_released, mut results_flushed) = (
        context.lease_released.subscribe(),
        context.results_flushed.subscribe(),
    );
    let both_done = async {
        let _ = lease_released.wait_for(|released| *released).await;
        let _ = results_flushed.wait_for(|flushed| *flushed).await;
    };
    let _ = tokio::time::timeout(STOP_TIMEOUT, both_done).await;
}

async fn run(context: Arc<ControlContext>) {
    let mut backoff = RetryBackoff::new(INITIAL_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut is_renewed = false;
    loop {
        let delay = match renew(&context).await {
            Ok(()) => {
                backoff.reset();
                is_renewed = true;
                RENEWAL_PERIOD
            }
            Err(error) => {
                if std::mem::take(&mut is_renewed) {
                    log::warn!("event=lease_not_renewed cause={error:?}");
                }
                backoff.next_delay()
            }
        };
        context.report_member_changes();
        tokio::select! {
            () = tokio::time::sleep(delay) => {}
            () = context.renewal_wakeup.notified(), if is_renewed => {}
            () = context.stopping() => break,
        }
    }
    let lease = context.lease().take();
    if let Some(lease) = lease {
        let _ = context
            .store
            .call(move |client| client.revoke(lease.id))
            .await;
    }
    context.lease_released.send_replace(true);
}

async fn renew(context: &Arc<ControlContext>) -> Result<(), CallError> {
    let requested_at = context.now();
    let current_lease = *context.lease();
    let lease = match current_lease {
        Some(lease) => keep_alive(context, lease.id).await?,
        None => None,
    };
    let (id, ttl) = match lease {
        Some(renewed) => renewed,
        None => grant_lease(context).await?,
    };
    if context.member_record_stale.swap(false, Ordering::SeqCst) {
        put_member_record(context, id).await.inspect_err(|_| {
            context.member_record_stale.store(true, Ordering::SeqCst);
        })?;
    }
    let valid_until = requested_at + ttl.saturating_sub(SAFETY_MARGIN);
    *context.lease() = Some(MemberLease { id, valid_until });
    context.counters.lease_renewals.add(1);
    report_held_slots(context);
    Ok(())
}

/// Renews the lease and returns its id and TTL; `None` if it expired before.
async fn keep_alive(
    context: &Arc<ControlContext>,
    id: LeaseId,
) -> Result<Option<(LeaseId, Duration)>, CallError> {
    let outcome = context
        .store
        .call(move |client| client.keep_alive(id))
        .await?;
    match outcome {
        KeepAliveOutcome::Renewed { ttl } => Ok(Some((id, ttl))),
        KeepAliveOutcome::Expired => {
            context.counters.lease_losses.add(1);
            log::warn!("event=lease_lapsed");
            *context.lease() = None;
            report_held_slots(context);
            Ok(None)
        }
    }
}

async fn grant_lease(context: &Arc<ControlContext>) -> Result<(LeaseId, Duration), CallError> {
    let granted = context
        .store
        .call(|client| client.grant(GrantOptions::new(LEASE_TTL)))
        .await?;
    context.member_record_stale.store(true, Ordering::SeqCst);
    Ok((granted.lease, granted.ttl))
}

async fn put_member_record(context: &Arc<ControlContext>, lease: LeaseId) -> Result<(), CallError> {
    let member = context.member();
    let record = MemberRecord {
        caller_address: member.caller_address,
        peer_address: member.peer_address,
        admin_address: member.admin_address,
        zone: member.zone,
        region: member.region,
        leaving: member.leaving,
    };
    let put_member =
        move |client: &mimosagap_store::StoreClient| client.put_member(&member.id, &record, lease);
    context.store.call(put_member).await.map(|_| ())
}

/// Reports the slots that this daemon holds under its lease, and until when; none without a lease.
pub(super) fn report_held_slots(context: &ControlContext) {
    let lease = *context.lease();
    let slots = match &lease {
        Some(lease) => context
            .slots()
            .held_slots(&context.options.daemon_id, lease.id),
        None => Vec::new(),
    };
    let until = lease.map_or_else(|| context.now(), |lease| lease.valid_until);
    context.send(Event::LenderSlotsHeld { slots, until });
}
