//! Counters of the control tasks, the store client and the peer connections.

use std::sync::atomic::{AtomicU64, Ordering};

use mimosagap_peer::{MessageError, PeerCounts};
use mimosagap_store::CallCounts;

macro_rules! control_counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Live counters of the control tasks.
        #[derive(Debug, Default)]
        pub(super) struct ControlCounters {
            $(pub(super) $name: EventCounter,)*
        }

        /// A copy of all counters at one moment.
        #[derive(Debug, Clone, Copy, Default)]
        pub struct ControlCounts {
            /// Calls to the store by kind.
            pub store: CallCounts,
            /// Bytes, exchanges and connections with peers.
            pub peers: PeerCounts,
            $($(#[$doc])* pub $name: u64,)*
        }

        impl ControlCounters {
            pub(super) fn snapshot(&self, store: CallCounts, peers: PeerCounts) -> ControlCounts {
                ControlCounts { store, peers, $($name: self.$name.get(),)* }
            }
        }

        impl ControlCounts {
            fn task_counts(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

control_counters! {
    /// Successful renewals of the membership lease, the first grant included.
    lease_renewals,
    /// Membership leases that expired before their renewal.
    lease_losses,
    /// Watches that broke; each is followed by a fresh read.
    watch_breaks,
    /// Rule revisions activated from a delta.
    rules_from_delta,
    /// Rule revisions activated from the full text.
    rules_from_text,
    /// Rule revisions that did not compile, or whose delta did not apply.
    rules_refused,
    /// Claims requested by the reducer.
    claims,
    /// Batches of claims sent to the store, failed ones included.
    claim_batches,
    /// Claims refused without a call to the store: it is unreachable or the queue is full.
    claims_refused,
    /// Final states of claims written to the store.
    results_recorded,
    /// Final states of claims that were dropped: the queue is full, this daemon does not hold the
    /// claim, or a later write replaced it.
    results_dropped,
    /// Digests sent to peers.
    digests_sent,
    /// Notices sent, counted once for each receiving peer.
    notices_sent,
    /// Notices that no attempt delivered, or that exceeded the limit of concurrent deliveries.
    notices_lost,
    /// Notices received for the first time.
    notices_heard,
    /// Notices received again.
    notices_repeated,
    /// Credit requests sent to lenders.
    credit_asked,
    /// Credit requests that failed or were not answered.
    credit_failed,
    /// Lender slots acquired by this daemon.
    slots_taken,
    /// Lender slots released for other daemons.
    slots_released,
}

#[derive(Debug, Default)]
pub(super) struct EventCounter(AtomicU64);

impl EventCounter {
    pub(super) fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl ControlCounts {
    /// Returns every counter with its name, in a fixed order.
    #[must_use]
    pub fn entries(&self) -> Vec<(String, u64)> {
        let mut entries = Vec::new();
        for (kind, count) in self.store.iter() {
            let name = kind.as_str();
            entries.push((format!("store_calls_{name}"), count.calls));
            entries.push((format!("store_not_applied_{name}"), count.not_applied));
            entries.push((format!("store_unknown_{name}"), count.unknown));
        }
        let peer_and_byte_counts = [
            ("store_bytes_sent", self.store.bytes_sent),
            ("store_bytes_received", self.store.bytes_received),
            ("peer_bytes_sent", self.peers.bytes_sent),
            ("peer_bytes_received", self.peers.bytes_received),
            ("peer_exchanges", self.peers.exchanges),
            ("peer_exchanges_failed", self.peers.failed_exchanges),
            ("peer_messages_served", self.peers.messages_served),
            ("peer_connections", self.peers.connections),
            ("peer_connections_silent", self.peers.silent_connections),
        ];
        entries.extend(peer_and_byte_counts.map(|(name, count)| (name.to_owned(), count)));
        for error in MessageError::ALL {
            let name = format!("peer_messages_{}", error.as_str());
            entries.push((name, self.peers.message_errors.of(error)));
        }
        let task_counts = self.task_counts().into_iter();
        entries.extend(task_counts.map(|(name, count)| (name.to_owned(), count)));
        entries
    }
}
