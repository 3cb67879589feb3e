//! Counters of store calls, by kind of call.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::error::CallError;

/// Kind of a store call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// Read of one key or of a prefix.
    Range,
    /// Unconditional write.
    Put,
    /// Deletion of one key or of a range.
    Delete,
    /// Transaction, whose operations depend on compares.
    Txn,
    /// Grant of a lease.
    Grant,
    /// Renewal of a lease.
    KeepAlive,
    /// Revocation of a lease.
    Revoke,
    /// Start of a watch.
    Watch,
}

impl CallKind {
    /// All kinds, in the order of [`CallCounts::iter`].
    pub const ALL: [Self; 8] = [
        Self::Range,
        Self::Put,
        Self::Delete,
        Self::Txn,
        Self::Grant,
        Self::KeepAlive,
        Self::Revoke,
        Self::Watch,
    ];

    /// Name of the kind in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Range => "range",
            Self::Put => "put",
            Self::Delete => "delete",
            Self::Txn => "txn",
            Self::Grant => "lease_grant",
            Self::KeepAlive => "lease_keepalive",
            Self::Revoke => "lease_revoke",
            Self::Watch => "watch",
        }
    }

    pub(crate) fn path(self) -> &'static str {
        match self {
            Self::Range => "/v3/kv/range",
            Self::Put => "/v3/kv/put",
            Self::Delete => "/v3/kv/deleterange",
            Self::Txn => "/v3/kv/txn",
            Self::Grant => "/v3/lease/grant",
            Self::KeepAlive => "/v3/lease/keepalive",
            Self::Revoke => "/v3/lease/revoke",
            Self::Watch => "/v3/watch",
        }
    }
}

/// Calls of one kind and their failures.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCount {
    /// All calls, including failed ones.
    pub calls: u64,
    /// Failed calls that were not applied.
    pub not_applied: u64,
    /// Failed calls that may or may not have been applied.
    pub unknown: u64,
}

/// Snapshot of the call counters.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    kinds: [CallCount; 8],
    /// Bytes of request bodies sent, without HTTP headers.
    pub bytes_sent: u64,
    /// Bytes of response bodies and watch lines received, without HTTP headers.
    pub bytes_received: u64,
}

impl CallCounts {
    /// Counts of one kind.
    #[must_use]
    pub fn of(&self, kind: CallKind) -> CallCount {
        self.kinds[kind as usize]
    }

    /// Kinds and their counts, in the order of [`CallKind::ALL`].
    pub fn iter(&self) -> impl Iterator<Item = (CallKind, CallCount)> {
        CallKind::ALL.into_iter().zip(self.kinds)
    }
}

#[derive(Debug, Default)]
struct CallCounter {
    calls: AtomicU64,
    not_applied: AtomicU64,
    unknown: AtomicU64,
}

#[derive(Debug, Default)]
pub(crate) struct CallCounters {
    kinds: [CallCounter; 8],
    bytes_sent: AtomicU64,
    bytes_received: AtomicU64,
}

impl CallCounters {
    pub(crate) fn count_call(&self, kind: CallKind) {
        let counter = &self.kinds[kind as usize];
        counter.calls.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn add_bytes_sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn add_bytes_received(&self, bytes: usize) {
        self.bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn count_failure(&self, kind: CallKind, error: &CallError) {
        let counter = &self.kinds[kind as usize];
        match error {
            CallError::NotApplied(_) => &counter.not_applied,
            CallError::Unknown(_) => &counter.unknown,
        }
        .fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn snapshot(&self) -> CallCounts {
        let mut counts = CallCounts {
            bytes_sent: self.bytes_sent.load(Ordering::Relaxed),
            bytes_received: self.bytes_received.load(Ordering::Relaxed),
            ..CallCounts::default()
        };
        for (count, counter) in counts.kinds.iter_mut().zip(&self.kinds) {
            count.calls = counter.calls.load(Ordering::Relaxed);
            count.not_applied = counter.not_applied.load(Ordering::Relaxed);
            count.unknown = counter.unknown.load(Ordering::Relaxed);
        }
        counts
    }
}
