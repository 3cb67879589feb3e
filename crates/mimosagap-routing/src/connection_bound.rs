//! Bounds on the connections that clients open, and which connection is closed at the bound.
//!
//! Load pattern: clients open connections without end, send nothing on them or a head that never
//! ends, until descriptors or memory run out and ordinary callers cannot connect. A new connection
//! at the bound replaces the one that has waited longest without a request. Connections with a
//! request or a response under way are not closed.

use std::time::Duration;

/// Descriptors that the platform reserves for files.
const RESERVED_DESCRIPTORS: usize = 200;

/// Eighths of the remaining descriptors for each kind of client. Each request of a caller may need
/// a connection to a target too, so callers get three and targets three; hosts get one, and one is
/// shared by status connections and the store.
const CALLER_EIGHTHS: usize = 3;
const PEER_EIGHTHS: usize = 1;

/// Status connections get this fraction of the descriptors.
const STATUS_DIVISOR: usize = 16;

/// All connections of callers use the memory of the host divided by this at most.
const MEMORY_DIVISOR: usize = 6;

/// Memory of a connection without a request, in bytes: its buffers and its task. 25 KB were measured
/// for a silent or idle one of a build without optimization, and 41 KB with 15 KB of a head.
pub const CONNECTION_BYTES: usize = 32 << 10;

/// Fewest connections per kind; otherwise a small machine would not be able to serve at all.
const MIN_CONNECTIONS: usize = 8;

/// Time past the limit on heads that is added for the work of a busy host.
const HEAD_TIME_MARGIN: Duration = Duration::from_secs(1);

/// Most connections of each kind of client.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionLimits {
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other hosts.
    pub peers: usize,
    /// Connections for readiness, lookups and metrics, all listeners together.
    pub status: usize,
}

impl ConnectionLimits {
    /// The default limits of a host with this much memory in bytes and this many descriptors, if
    /// they are limited.
    #[must_use]
    pub fn with_resources(memory_bytes: usize, max_descriptors: Option<usize>) -> Self {
        let by_memory = memory_bytes / MEMORY_DIVISOR / CONNECTION_BYTES;
        let descriptors = max_descriptors.map_or(usize::MAX, |descriptors| {
            descriptors.saturating_sub(RESERVED_DESCRIPTORS)
        });
        let limit = |by_descriptors: usize| by_descriptors.min(by_memory).max(MIN_CONNECTIONS);
        Self {
            callers: limit(descriptors / 8 * CALLER_EIGHTHS),
            peers: limit(descriptors / 8 * PEER_EIGHTHS),
            status: limit(descriptors / STATUS_DIVISOR),
        }
    }
}

/// Complete responses that are not yet sent may use the memory of the host divided by this before
/// connections are closed for them.
const UNSENT_MEMORY_DIVISOR: usize = 8;

/// Time for which a caller takes nothing of a response until its connection may be closed for it:
/// several of the longest round trips of 60 ms. With 1 s, 40 concurrent responses of 1 MiB a second
/// exceeded a machine of 48 MiB.
const MIN_BLOCKED_TIME: Duration = Duration::from_millis(300);

/// Whether to close a connection whose client has taken nothing of its response for `blocked_for`,
/// on a host that keeps `unsent_bytes` of complete responses.
///
/// Load pattern: many callers ask for long responses and read none of them.
#[must_use]
pub fn is_unread_excess(unsent_bytes: usize, memory_bytes: usize, blocked_for: Duration) -> bool {
    unsent_bytes > memory_bytes / UNSENT_MEMORY_DIVISOR && blocked_for >= MIN_BLOCKED_TIME
}

/// Identifies a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ConnectionKey(pub u64);

/// What a connection is doing.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing has arrived on it yet.
    Silent,
    /// A head has begun to arrive and is incomplete.
    ReceivingHead,
    /// Its last response is finished, and no further request has begun.
    Idle,
    /// A request or a response is under way.
    Busy,
}

/// State of a connection at one moment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ConnectionState {
    /// The connection.
    pub key: ConnectionKey,
    /// What it is doing.
    pub phase: ConnectionPhase,
    /// When that began.
    pub since: Duration,
}

impl ConnectionState {
    /// Whether its head takes longer than callers are allowed.
    #[must_use]
    pub fn is_head_overdue(&self, head_timeout: Duration, now: Duration) -> bool {
        self.phase == ConnectionPhase::ReceivingHead
            && now > self.since + head_timeout + HEAD_TIME_MARGIN
    }
}

/// The connection that makes room for a new one: the oldest without a whole head, or else the one
/// that has been idle for the longest time. `None` if all are busy.
pub fn connection_to_close(
    connections: impl Iterator<Item = ConnectionState>,
) -> Option<ConnectionState> {
    let closable = connections.filter(|connection| connection.phase != ConnectionPhase::Busy);
    closable.min_by_key(|connection| {
        let is_idle = connection.phase == ConnectionPhase::Idle;
        (is_idle, connection.since, connection.key)
    })
}
