//! Counters of the traffic between daemons.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::error::MessageError;

/// Counters shared by the client and the server of one daemon.
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

/// How many messages were refused for each fault.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct MessageErrorCounts([u64; 6]);

impl MessageErrorCounts {
    /// The messages refused for one fault.
    #[must_use]
    pub fn of(&self, fault: MessageError) -> u64 {
        self.0[fault as usize]
    }

    /// The messages refused for any fault.
    #[must_use]
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }
}

/// The counters at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerCounts {
    /// Bytes written to connections with peers.
    pub bytes_sent: u64,
    /// Bytes read from connections with peers.
    pub bytes_received: u64,
    /// Exchanges started by this daemon.
    pub exchanges: u64,
    /// Of these, exchanges that failed.
    pub failed_exchanges: u64,
    /// Messages of peers that were accepted.
    pub messages_served: u64,
    /// Connections opened to peers.
    pub connections: u64,
    /// Connections closed because the peer did not answer a ping within 3 s.
    pub silent_connections: u64,
    /// Messages and frames refused.
    pub message_errors: MessageErrorCounts,
}

impl PeerCounters {
    /// The counters now.
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

    pub(crate) fn sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, bytes: usize) {
        self.bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn exchange(&self) {
        self.exchanges.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn failed_exchange(&self) {
        self.failed_exchanges.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn served(&self) {
        self.messages_served.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn connection(&self) {
        self.connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn silent_connection(&self) {
        self.silent_connections.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn fault(&self, fault: MessageError) {
        self.message_errors[fault as usize].fetch_add(1, Ordering::Relaxed);
    }
}
