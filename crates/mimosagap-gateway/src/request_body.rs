//! Reads request bodies whole, within the memory budget for requests.
//!
//! Every piece of a body is copied out of the connection's read buffer, so that tiny chunks keep no
//! larger buffers alive. `mimosagap-routing::request_budget` decides which request gets memory and
//! which one is evicted.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http::HeaderMap;
use http::header;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::request_budget::{
    BudgetDecision, BudgetRefusal, Eviction, RequestHolder, RequestKey,
};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::log::LogEvent;
use crate::state::{Gateway, SharedGateway, millis};

/// Buffer for a body of unknown length until it outgrows it, in bytes. A longer one gets the address
/// space of the longest body allowed at once; only pages that are written to take memory.
const FIRST_BUFFER_BYTES: usize = 16 << 10;

/// Requests whose bodies are being read, which can be told that they are evicted.
#[derive(Default)]
pub struct BodyReaders {
    senders: RefCell<HashMap<RequestKey, oneshot::Sender<Eviction>>>,
}

/// Share of the memory budget that a request holds until this is dropped.
pub struct RequestLease {
    gateway: SharedGateway,
    key: RequestKey,
}

impl Drop for RequestLease {
    fn drop(&mut self) {
        let readers = &self.gateway.body_readers;
        readers.senders.borrow_mut().remove(&self.key);
        let now = self.gateway.now();
        self.gateway
            .with_state(|state| state.request_budget.release(self.key, now));
    }
}

/// A complete body and the memory that it holds.
pub struct HeldBody {
    /// The body.
    pub bytes: Bytes,
    /// Its share of the budget.
    pub lease: RequestLease,
}

/// A request whose body is to be read.
pub struct BodyRequest<'a> {
    /// Attempt id, for log lines.
    pub id: &'a str,
    /// Headers of the request.
    pub headers: &'a HeaderMap,
    /// On whose behalf the body holds memory.
    pub holder: RequestHolder,
    /// Longest body that the configuration allows, in bytes.
    pub max_bytes: usize,
    /// Longest time until the body is complete.
    pub timeout: Duration,
}

/// Reads a body to its end. The rest of a body that is refused is drained within a bound.
pub async fn read_body(
    gateway: &SharedGateway,
    request: BodyRequest<'_>,
    mut body: Incoming,
) -> Result<HeldBody, RefusalReason> {
    let may_drain = !request.headers.contains_key(header::EXPECT);
    let result = match timeout(request.timeout, try_read(gateway, request, &mut body)).await {
        Ok(result) => result,
        Err(_) => Err(RefusalReason::DeadlineBeforeSend),
    };
    if may_drain && result.is_err() && !body.is_end_stream() {
        drain(gateway, body);
    }
    result
}

async fn try_read(
    gateway: &SharedGateway,
    request: BodyRequest<'_>,
    body: &mut Incoming,
) -> Result<HeldBody, RefusalReason> {
    let id = request.id;
    let exact_bytes = body.size_hint().exact();
    let declared_bytes = exact_bytes.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if declared_bytes.is_some_and(|bytes| bytes > request.max_bytes) {
        return Err(RefusalReason::BodyTooLong);
    }
    let now = gateway.now();
    let decision = gateway.with_state(|state| {
        let budget = &mut state.request_budget;
        budget.admit(request.holder, declared_bytes, now)
    });
    let key = apply_decision(gateway, decision, id, 0)?;
    let (sender, mut evicted) = oneshot::channel();
    let readers = &gateway.body_readers;
    readers.senders.borrow_mut().insert(key, sender);
    let lease = RequestLease {
        gateway: Rc::clone(gateway),
        key,
    };
    let first_capacity = declared_bytes.unwrap_or(FIRST_BUFFER_BYTES.min(request.max_bytes));
    let mut bytes = BytesMut::with_capacity(first_capacity);
    loop {
        let frame = tokio::select! {
            biased;
            eviction = &mut evicted => {
                log_eviction(gateway, id, eviction.ok());
                return Err(RefusalReason::RequestMemory);
            }
            frame = body.frame() => frame,
        };
        let frame = match frame {
            Some(Ok(frame)) => frame,
            Some(Err(_)) => return Err(RefusalReason::Malformed),
            None => break,
        };
        // Trailers are not passed on.
        let Some(piece) = frame.data_ref() else {
            continue;
        };
        if bytes.len() + piece.len() > request.max_bytes {
            return Err(RefusalReason::BodyTooLong);
        }
        let now = gateway.now();
        let decision =
            gateway.with_state(|state| state.request_budget.receive(key, piece.len(), now));
        apply_decision(gateway, decision, id, bytes.len())?;
        if bytes.capacity() - bytes.len() < piece.len() {
            bytes.reserve(request.max_bytes - bytes.len());
        }
        bytes.extend_from_slice(piece);
    }
    gateway.with_state(|state| state.request_budget.complete(key));
    readers.senders.borrow_mut().remove(&key);
    Ok(HeldBody {
        bytes: bytes.freeze(),
        lease,
    })
}

/// Tells evicted requests, and logs and counts a refusal.
fn apply_decision(
    gateway: &Gateway,
    decision: BudgetDecision,
    id: &str,
    received_bytes: usize,
) -> Result<RequestKey, RefusalReason> {
    for eviction in decision.evictions {
        notify_evicted(gateway, eviction);
    }
    decision.result.map_err(|refusal| {
        if refusal != BudgetRefusal::Evicted {
            log_decision(gateway, id, "refused", refusal.name(), received_bytes, None);
        }
        RefusalReason::RequestMemory
    })
}

/// Tells the task that reads the body of an evicted request.
pub fn notify_evicted(gateway: &Gateway, eviction: Eviction) {
    let sender = gateway
        .body_readers
        .senders
        .borrow_mut()
        .remove(&eviction.key);
    if let Some(sender) = sender {
        // The task may have ended in the meantime.
        let _ = sender.send(eviction);
    }
}

fn log_eviction(gateway: &Gateway, id: &str, eviction: Option<Eviction>) {
    let Some(eviction) = eviction else {
        return;
    };
    let stall_time = gateway.settings.request_memory.budget.stall_time;
    let cause = if eviction.stalled_for >= stall_time {
        "stalled"
    } else {
        "large"
    };
    let received_bytes = eviction.received_bytes;
    log_decision(
        gateway,
        id,
        "evicted",
        cause,
        received_bytes,
        Some(eviction),
    );
}

fn log_decision(
    gateway: &Gateway,
    id: &str,
    action: &'static str,
    cause: &'static str,
    received_bytes: usize,
    eviction: Option<Eviction>,
) {
    gateway
        .metrics
        .request_memory
        .decisions
        .with_label_values(&[action, cause])
        .inc();
    let (used_bytes, capacity_bytes) = gateway.with_state(|state| {
        let budget = &state.request_budget;
        (budget.used_bytes(), budget.limits().capacity_bytes)
    });
    gateway.log.event(&LogEvent::RequestMemory {
        id,
        action,
        cause,
        received_bytes,
        held_bytes: eviction.map_or(0, |eviction| eviction.held_bytes),
        stalled_ms: eviction.map_or(0, |eviction| millis(eviction.stalled_for)),
        used_bytes,
        capacity_bytes,
    });
}

/// Reads and discards the rest of a refused body, so that the caller, which may send everything
/// before it reads, gets the response. Beyond the bound the connection is closed.
fn drain(gateway: &SharedGateway, mut body: Incoming) {
    let limits = gateway.settings.request_memory;
    tokio::task::spawn_local(timeout(limits.drain_time, async move {
        let mut drained_bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            drained_bytes += frame.data_ref().map_or(0, Bytes::len);
            if drained_bytes > limits.drain_bytes {
                break;
            }
        }
    }));
}
