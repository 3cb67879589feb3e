//! Counters of the control tasks.

use std::sync::atomic::{AtomicU64, Ordering};

use mimosagap_peer::{MessageError, PeerCounts};
use mimosagap_store::CallCounts;

macro_rules! control_counters {
    ($($(#[$doc:meta])* $name:ident,)*) => {
        /// Events of the control tasks, counted where they happen.
        #[derive(Debug, Default)]
        pub(super) struct ControlCounters {
            $(pub(super) $name: Counter,)*
        }

        /// What the control tasks did up to one time.
        #[derive(Debug, Clone, Copy, Default)]
        pub struct ControlCounts {
            /// Calls to the store by kind.
            pub store: CallCounts,
            /// Traffic with peers.
            pub peers: PeerCounts,
            $($(#[$doc])* pub $name: u64,)*
        }

        impl ControlCounters {
            pub(super) fn snapshot(&self, store: CallCounts, peers: PeerCounts) -> ControlCounts {
                ControlCounts { store, peers, $($name: self.$name.get(),)* }
            }
        }

        impl ControlCounts {
            fn own(&self) -> Vec<(&'static str, u64)> {
                vec![$((stringify!($name), self.$name),)*]
            }
        }
    };
}

control_counters! {
    /// Renewals of the membership lease.
    lease_renewals,
    /// Membership leases that lapsed.
    lease_losses,
    /// Watches that broke and were followed by a fresh read.
    watch_breaks,
    /// Revisions of the rules adopted from a delta.
    rules_from_delta,
    /// Revisions of the rules adopted from the whole text.
    rules_from_text,
    /// Revisions of the rules that could not be compiled or did not fit.
    rules_refused,
    /// Claims asked for.
    claims,
    /// Transactions or failed attempts that carried claims.
    claim_batches,
    /// Claims refused without a call, because the store is unreachable.
    claims_refused,
    /// Final states of claims recorded.
    results_recorded,
    /// Final states of claims given up, because too many waited or the claim was not known.
    results_dropped,
    /// Digests sent to peers.
    digests_sent,
    /// Notices sent to peers, each peer counted.
    notices_sent,
    /// Notices that no attempt delivered, or for which there was no room.
    notices_lost,
    /// Notices heard for the first time.
    notices_heard,
    /// Notices heard again.
    notices_repeated,
    /// Questions for credit sent to lenders.
    credit_asked,
    /// Questions for credit that were not answered.
    credit_failed,
    /// Lender slots taken.
    slots_taken,
    /// Lender slots given up for other daemons.
    slots_released,
}

#[derive(Debug, Default)]
pub(super) struct Counter(AtomicU64);

impl Counter {
    pub(super) fn add(&self, count: usize) {
        self.0.fetch_add(count as u64, Ordering::Relaxed);
    }

    fn get(&self) -> u64 {
        self.0.load(Ordering::Relaxed)
    }
}

impl ControlCounts {
    /// All counters with their names, for the administration API and the metrics.
    #[must_use]
    pub fn entries(&self) -> Vec<(String, u64)> {
        let mut entries = Vec::new();
        for (kind, count) in self.store.iter() {
            let name = kind.as_str();
            entries.push((format!("store_calls_{name}"), count.calls));
            entries.push((format!("store_not_applied_{name}"), count.not_applied));
            entries.push((format!("store_unknown_{name}"), count.unknown));
        }
        let bytes = [
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
        entries.extend(bytes.map(|(name, count)| (name.to_owned(), count)));
        for fault in MessageError::ALL {
            let name = format!("peer_messages_{}", fault.as_str());
            entries.push((name, self.peers.message_errors.of(fault)));
        }
        let own = self.own().into_iter();
        entries.extend(own.map(|(name, count)| (name.to_owned(), count)));
        entries
    }
}
