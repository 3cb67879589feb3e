//! Distinguishes a crashed target from a failed connection.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_routing::prompt::describe_parts;
use mimosagap_routing::quarantine::{CrashFingerprint, CrashReport, RequestTraits};
use mimosagap_routing::targets::{TargetKey, TargetOutcome};
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::load_reservation::record_outcome;
use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::state::SharedGateway;
use crate::suspicion;

/// A target that accepts no connection within this time after one failed counts as unreachable.
const PROBE_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a connection of a probe must last to show that the target runs.
const PROBE_HOLD: Duration = Duration::from_millis(50);

/// Other targets that are tried before a failure counts as that of the host's own links.
const CONTROL_PROBES: usize = 2;

/// How far a target was with a request when its connection failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AnswerProgress {
    /// Number of events that the target had sent.
    pub events: u32,
    /// Whether the answer went on for long enough to prove that the request is sound.
    pub is_proved: bool,
}

impl AnswerProgress {
    /// No answer had begun.
    pub const NONE: Self = Self {
        events: 0,
        is_proved: false,
    };
}

/// How a target reacts to a connection attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeResult {
    Alive,
    Refused,
    Silent,
}

/// Connects to a target and sees whether the connection lasts. A process that ends closes its
/// connections one after the other and may still accept one, so a short connection is followed by
/// another attempt.
async fn probe(address: SocketAddr) -> ProbeResult {
    match connect(address).await {
        Err(result) => result,
        Ok(stream) => {
            let ended = timeout(PROBE_HOLD, stream.readable()).await;
            if ended.is_err() {
                return ProbeResult::Alive;
            }
            connect(address)
                .await
                .map_or_else(|result| result, |_| ProbeResult::Alive)
        }
    }
}

async fn connect(address: SocketAddr) -> Result<TcpStream, ProbeResult> {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Ok(stream)) => Ok(stream),
        Ok(Err(error))
            if matches!(
                error.kind(),
                ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
            ) =>
        {
            Err(ProbeResult::Refused)
        }
        Ok(Err(_)) | Err(_) => Err(ProbeResult::Silent),
    }
}

/// Whether a target other than `failed` accepts a connection, or this host knows no other.
async fn reaches_other_target(gateway: &SharedGateway, failed: TargetKey) -> bool {
    let now = gateway.now();
    let others: Vec<SocketAddr> = gateway.with_state(|state| {
        let others = state.targets.iter();
        others
            .filter(|(key, target)| *key != failed && target.is_available(now))
            .map(|(_, target)| target.entry.address)
            .collect()
    });
    let is_only_target = others.is_empty();
    for address in others.into_iter().take(CONTROL_PROBES) {
        if connect(address).await.is_ok() {
            return true;
        }
    }
    is_only_target
}

/// Probes a target after its connection failed while it may have been executing `request`. If the
/// target has crashed, the request is suspected, unless its answer proved it sound.
pub fn probe_after_failure(
    gateway: &SharedGateway,
    key: TargetKey,
    request: &RoutedRequest,
    progress: AnswerProgress,
) {
    let failed_at = gateway.now();
    let entry = gateway.with_state(|state| {
        let target = state.targets.get(key)?;
        (!target.is_leaving(failed_at)).then(|| target.entry.clone())
    });
    let Some(entry) = entry else {
        return;
    };
    let gateway = Rc::clone(gateway);
    let id = request.head.attempt_id.clone();
    let traits = request.traits.clone();
    let parts = describe_parts(&request.head.prompt_parts);
    tokio::task::spawn_local(async move {
        let is_refused = match probe(entry.address).await {
            ProbeResult::Alive => return,
            ProbeResult::Refused => true,
            ProbeResult::Silent => false,
        };
        // A host that is cut off from all targets finds each of them crashed.
        if !reaches_other_target(&gateway, key).await {
            record_outcome(&gateway, key, TargetOutcome::Unreachable);
            return;
        }
        record_outcome(&gateway, key, TargetOutcome::Unreachable);
        gateway.log.event(&LogEvent::TargetCrashed {
            target: &entry.instance,
            id: &id,
            request: traits.fingerprint.to_string(),
            parts,
            events: progress.events,
        });
        if progress.is_proved {
            return;
        }
        // A host that refuses connections runs, and its target ended. One that is silent may be cut
        // off, suspended or without power, which says nothing about parts of prompts.
        let suspect = if is_refused {
            traits
        } else {
            RequestTraits::new(traits.fingerprint, &[])
        };
        let report = CrashReport {
            crash: CrashFingerprint::new(&entry.instance, entry.started_unix_ms),
            request: suspect,
            has_begun: progress.events > 0,
        };
        suspicion::report_crash(&gateway, report, failed_at);
    });
}
