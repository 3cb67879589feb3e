//! Distinguishes a crashed target from a failed connection.

use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::prompt::describe_parts;
use mimosagap_routing::quarantine::CrashFingerprint;
use mimosagap_routing::targets::{TargetKey, TargetOutcome};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::load_reservation::record_outcome;
use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::state::SharedGateway;

/// A target that accepts no connection within this time after one failed counts as crashed.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Probes a target after its connection failed while it may have been executing `request`, for which
/// it had sent `events` events. If the target has crashed, the request is recorded as a suspect for
/// the quarantine.
pub fn probe_after_failure(
    gateway: &SharedGateway,
    key: TargetKey,
    request: &RoutedRequest,
    events: u32,
) {
    let now = gateway.now();
    let entry = gateway.with_state(|state| {
        let target = state.targets.get(key)?;
        (!target.is_leaving(now)).then(|| target.entry.clone())
    });
    let Some(entry) = entry else {
        return;
    };
    let gateway = Rc::clone(gateway);
    let id = request.head.attempt_id.clone();
    let fingerprint = request.fingerprint;
    let parts = describe_parts(&request.head.prompt_parts);
    tokio::task::spawn_local(async move {
        let probe = timeout(PROBE_TIMEOUT, TcpStream::connect(entry.address)).await;
        if matches!(probe, Ok(Ok(_))) {
            return;
        }
        record_outcome(&gateway, key, TargetOutcome::Unreachable);
        let crash = CrashFingerprint::new(&entry.instance, entry.started_unix_ms);
        let now = gateway.now();
        if gateway.with_state(|state| state.quarantine.record_crash(fingerprint, crash, now)) {
            gateway.log.event(&LogEvent::TargetCrashed {
                target: &entry.instance,
                id: &id,
                request: fingerprint.to_string(),
                parts,
                events,
            });
            let record = format!("{:016x}/{:016x}", fingerprint.0, crash.0);
            gateway.pending_suspects.borrow_mut().push(record);
            gateway.registration_wakeup.notify_one();
        }
    });
}
