//! Connections that clients opened, within the bounds on their number and on the time of heads.
//!
//! `mimosagap-routing::connection_bound` decides which connection is closed.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io::{self, IoSlice};
use std::net::IpAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use mimosagap_routing::connection_bound::{
    ConnectionKey, ConnectionPhase, ConnectionState, connection_to_close, is_unread_excess,
};
use mimosagap_types::prelude::*;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::Notify;

use crate::listeners::ListenerKind;
use crate::log::LogEvent;
use crate::request_body;
use crate::response::{IncompleteStream, ResponseBody};
use crate::state::{Gateway, SharedGateway, millis};

/// Interval at which heads that take too long and responses that nobody reads are looked for.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Limit on heads until a configuration sets one.
const DEFAULT_HEAD_TIMEOUT: Duration = Duration::from_secs(3);

/// What a connection is doing. Shared with response bodies, which have to be `Send`.
#[derive(Debug)]
pub struct ConnectionActivity {
    clock: SystemClock,
    /// Requests and responses under way.
    exchanges: AtomicU32,
    has_partial_head: AtomicBool,
    had_request: AtomicBool,
    /// When the phase began, in milliseconds since boot.
    since_ms: AtomicU64,
    /// Since when the client has taken nothing of a response, in milliseconds since boot; 0 if it
    /// takes it.
    blocked_since_ms: AtomicU64,
    closed: Notify,
}

impl ConnectionActivity {
    fn new(clock: SystemClock) -> Arc<Self> {
        Arc::new(Self {
            clock,
            exchanges: AtomicU32::new(0),
            has_partial_head: AtomicBool::new(false),
            had_request: AtomicBool::new(false),
            since_ms: AtomicU64::new(millis(clock.since_boot())),
            blocked_since_ms: AtomicU64::new(0),
            closed: Notify::new(),
        })
    }

    fn start_phase(&self) {
        let now_ms = millis(self.clock.since_boot());
        self.since_ms.store(now_ms, Ordering::Relaxed);
    }

    fn is_busy(&self) -> bool {
        self.exchanges.load(Ordering::Relaxed) > 0
    }

    fn record_read(&self) {
        if !self.is_busy() && !self.has_partial_head.swap(true, Ordering::Relaxed) {
            self.start_phase();
        }
    }

    fn blocked_for(&self, now: Duration) -> Duration {
        match self.blocked_since_ms.load(Ordering::Relaxed) {
            0 => Duration::ZERO,
            since_ms => now.saturating_sub(Duration::from_millis(since_ms)),
        }
    }

    /// Records that the client does not take more bytes of a response.
    fn record_blocked(&self) {
        if self.blocked_since_ms.load(Ordering::Relaxed) == 0 {
            let now_ms = millis(self.clock.since_boot());
            self.blocked_since_ms.store(now_ms, Ordering::Relaxed);
        }
    }

    /// Records that the client took bytes of a response, which may outlast its exchange.
    fn record_write(&self) {
        self.blocked_since_ms.store(0, Ordering::Relaxed);
        if !self.is_busy() && !self.has_partial_head.load(Ordering::Relaxed) {
            self.start_phase();
        }
    }

    fn state(&self, key: ConnectionKey) -> ConnectionState {
        let phase = if self.is_busy() {
            ConnectionPhase::Busy
        } else if self.has_partial_head.load(Ordering::Relaxed) {
            ConnectionPhase::ReceivingHead
        } else if self.had_request.load(Ordering::Relaxed) {
            ConnectionPhase::Idle
        } else {
            ConnectionPhase::Silent
        };
        ConnectionState {
            key,
            phase,
            since: Duration::from_millis(self.since_ms.load(Ordering::Relaxed)),
        }
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.closed.notified().await;
    }
}

/// Marks a request and its response as under way until it is dropped.
#[derive(Debug)]
pub struct ExchangeGuard(Arc<ConnectionActivity>);

impl ExchangeGuard {
    /// Begins with the head of a request.
    pub fn new(activity: &Arc<ConnectionActivity>) -> Self {
        activity.exchanges.fetch_add(1, Ordering::Relaxed);
        activity.has_partial_head.store(false, Ordering::Relaxed);
        activity.had_request.store(true, Ordering::Relaxed);
        Self(Arc::clone(activity))
    }
}

impl Drop for ExchangeGuard {
    fn drop(&mut self) {
        self.0.exchanges.fetch_sub(1, Ordering::Relaxed);
        self.0.start_phase();
    }
}

/// Response body that keeps its exchange under way until it is sent.
pub struct GuardedBody {
    body: ResponseBody,
    _exchange: ExchangeGuard,
}

impl GuardedBody {
    /// Joins a body and its exchange.
    pub fn new(body: ResponseBody, exchange: ExchangeGuard) -> Self {
        Self {
            body,
            _exchange: exchange,
        }
    }
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = IncompleteStream;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, IncompleteStream>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

/// TCP stream that reports to a [`ConnectionActivity`].
#[derive(Debug)]
pub struct ObservedStream {
    stream: TcpStream,
    activity: Arc<ConnectionActivity>,
}

impl ObservedStream {
    /// Wraps a stream.
    pub fn new(stream: TcpStream, activity: Arc<ConnectionActivity>) -> Self {
        Self { stream, activity }
    }

    fn observe_write(&self, result: Poll<io::Result<usize>>) -> Poll<io::Result<usize>> {
        match &result {
            Poll::Ready(Ok(1..)) => self.activity.record_write(),
            Poll::Pending => self.activity.record_blocked(),
            Poll::Ready(_) => {}
        }
        result
    }
}

impl AsyncRead for ObservedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let filled_before = buffer.filled().len();
        let result = Pin::new(&mut self.stream).poll_read(context, buffer);
        if buffer.filled().len() > filled_before {
            self.activity.record_read();
        }
        result
    }
}

impl AsyncWrite for ObservedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observe_write(result)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.observe_write(result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

struct OpenConnection {
    kind: ListenerKind,
    peer: IpAddr,
    activity: Arc<ConnectionActivity>,
}

/// Open connections of all listeners.
#[derive(Default)]
pub struct ConnectionTable {
    connections: RefCell<HashMap<ConnectionKey, OpenConnection>>,
    next_key: Cell<u64>,
}

impl ConnectionTable {
    /// Number of connections of a kind.
    pub fn count(&self, kind: ListenerKind) -> usize {
        let connections = self.connections.borrow();
        connections
            .values()
            .filter(|open| open.kind == kind)
            .count()
    }

    fn remove(&self, key: ConnectionKey) -> Option<OpenConnection> {
        self.connections.borrow_mut().remove(&key)
    }
}

/// An admitted connection, which is counted until this is dropped.
pub struct ConnectionSlot {
    gateway: SharedGateway,
    key: ConnectionKey,
    kind: ListenerKind,
    /// What the connection is doing.
    pub activity: Arc<ConnectionActivity>,
}

impl Drop for ConnectionSlot {
    fn drop(&mut self) {
        self.gateway.client_connections.remove(self.key);
        if self.kind == ListenerKind::Callers {
            self.gateway.metrics.caller_connections.dec();
        }
    }
}

/// Admits a new connection. At the bound another one is closed for it; `None` if all are busy with
/// requests that make progress.
pub fn admit_connection(
    gateway: &SharedGateway,
    kind: ListenerKind,
    peer: IpAddr,
) -> Option<ConnectionSlot> {
    let table = &gateway.client_connections;
    if table.count(kind) >= max_connections(gateway, kind) && !make_room(gateway, kind) {
        log_closed(gateway, kind, peer, "refused", Duration::ZERO);
        return None;
    }
    let key = ConnectionKey(table.next_key.get());
    table.next_key.set(key.0 + 1);
    let activity = ConnectionActivity::new(SystemClock);
    let open = OpenConnection {
        kind,
        peer,
        activity: Arc::clone(&activity),
    };
    table.connections.borrow_mut().insert(key, open);
    if kind == ListenerKind::Callers {
        gateway.metrics.caller_connections.inc();
    }
    Some(ConnectionSlot {
        gateway: Rc::clone(gateway),
        key,
        kind,
        activity,
    })
}

fn max_connections(gateway: &Gateway, kind: ListenerKind) -> usize {
    let limits = &gateway.settings.max_connections;
    match kind {
        ListenerKind::Callers => limits.callers,
        ListenerKind::Peers => limits.peers,
        ListenerKind::Status => limits.status,
    }
}

/// Closes a connection without a request, or else, if callers need it, evicts the body that is
/// stalled the longest, whose connection closes with its response.
fn make_room(gateway: &Gateway, kind: ListenerKind) -> bool {
    let victim = {
        let connections = gateway.client_connections.connections.borrow();
        let of_kind = connections.iter().filter(|(_, open)| open.kind == kind);
        connection_to_close(of_kind.map(|(key, open)| open.activity.state(*key)))
    };
    if let Some(victim) = victim {
        let cause = match victim.phase {
            ConnectionPhase::Silent => "silent",
            ConnectionPhase::ReceivingHead => "partial_head",
            ConnectionPhase::Idle | ConnectionPhase::Busy => "idle",
        };
        close(gateway, victim, cause);
        return true;
    }
    if kind != ListenerKind::Callers {
        return false;
    }
    let now = gateway.now();
    let eviction = gateway.with_state(|state| state.request_budget.evict_stalled(now));
    if let Some(eviction) = eviction {
        request_body::notify_evicted(gateway, eviction);
    }
    eviction.is_some()
}

fn close(gateway: &Gateway, connection: ConnectionState, cause: &'static str) {
    let Some(open) = gateway.client_connections.remove(connection.key) else {
        return;
    };
    open.activity.closed.notify_one();
    let duration = gateway.now().saturating_sub(connection.since);
    log_closed(gateway, open.kind, open.peer, cause, duration);
}

fn log_closed(
    gateway: &Gateway,
    kind: ListenerKind,
    peer: IpAddr,
    cause: &'static str,
    duration: Duration,
) {
    gateway
        .metrics
        .request_memory
        .closed_connections
        .with_label_values(&[kind.name(), cause])
        .inc();
    gateway.log.event(&LogEvent::ConnectionClosed {
        listener: kind.name(),
        address: peer.to_string(),
        cause,
        after_ms: millis(duration),
    });
}

/// Closes connections whose head takes longer than the configuration allows, and those that take
/// nothing of their responses while these use too much memory, until the process ends.
pub async fn close_overdue(gateway: SharedGateway) {
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let head_timeout = gateway
            .config()
            .map_or(DEFAULT_HEAD_TIMEOUT, |config| config.limits.header_timeout);
        let now = gateway.now();
        let overdue: Vec<ConnectionState> = {
            let connections = gateway.client_connections.connections.borrow();
            let states = connections
                .iter()
                .map(|(key, open)| open.activity.state(*key));
            states
                .filter(|state| state.is_head_overdue(head_timeout, now))
                .collect()
        };
        for connection in overdue {
            close(&gateway, connection, "head_timeout");
        }
        close_unread(&gateway);
    }
}

/// Closes connections that take nothing of their responses, if complete responses that are not yet
/// sent use too much memory.
pub fn close_unread(gateway: &Gateway) {
    let now = gateway.now();
    let unsent_bytes = gateway.unsent_response_bytes.load(Ordering::Relaxed);
    let memory_bytes = gateway.settings.memory_bytes;
    let unread: Vec<ConnectionState> = {
        let connections = gateway.client_connections.connections.borrow();
        let unread = connections.iter().filter(|(_, open)| {
            is_unread_excess(unsent_bytes, memory_bytes, open.activity.blocked_for(now))
        });
        unread
            .map(|(key, open)| open.activity.state(*key))
            .collect()
    };
    for connection in unread {
        close(gateway, connection, "unread");
    }
}
