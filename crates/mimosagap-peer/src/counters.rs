//! Counters of the traffic with peers.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::error::MessageError;

/// Counters shared by the peer client and the peer server of a daemon.
#[derive(Debug, Default)]
pub struct PeerCounters {
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
    exchanges: AtomicU64,
    failed_exchanges: AtomicU64,
    messages_served: AtomicU64,
    connections: AtomicU64,
    silent_connections: AtomicU64,
    message_errors: [AtomicU64; 6],
}

/// Number of refused messages by reason.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MessageErrorCounts([u64; 6]);

impl MessageErrorCounts {
    /// Messages refused for this reason.
    #[must_use]
    pub fn of(&self, error: MessageError) -> u64 {
        self.0[error as usize]
    }

    /// Messages refused for any reason.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

/// Snapshot of [`PeerCounters`].
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Bytes written to connections with peers.
    pub bytes_sent: u64,
    /// Bytes read from connections with peers.
    pub bytes_received: u64,
    /// Exchanges started by this daemon.
    pub exchanges: u64,
    /// Exchanges started by this daemon that failed.
    pub failed_exchanges: u64,
    /// Valid requests received from peers.
    pub messages_served: u64,
    /// Connections opened to peers.
    pub connections: u64,
    /// Connections closed because the peer did not answer a ping within 3 s.
    pub silent_connections: u64,
    /// Refused messages and frames, by reason.
    pub message_errors: MessageErrorCounts,
}

impl PeerCounters {
    /// Current values of the counters.
    #[must_use]
    pub fn snapshot(&self) -> PeerCounts {
        let read = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        PeerCounts {
            bytes_sent: read(&self.bytes_sent),
            bytes_received: read(&self.bytes_received),
            exchanges: read(&self.exchanges),
            failed_exchanges: read(&self.failed_exchanges),
            messages_served: read(&self.messages_served),
            connections: read(&self.connections),
            silent_connections: read(&self.silent_connections),
            message_errors: MessageErrorCounts(self.message_errors.each_ref().map(read)),
        }
    }

    pub(crate) fn add_bytes_sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_bytes_received(&self, bytes: usize) {
        self.bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_exchange(&self) {
        self.exchanges.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_failed_exchange(&self) {
        self.failed_exchanges.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_served_message(&self) {
        self.messages_served.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_silent_connection(&self) {
        self.silent_connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn count_message_error(&self, error: MessageError) {
        self.message_errors[error as usize].fetch_add(1, Ordering::Relaxed);
    }
}
