//! Counters of store calls by kind.

use std::sync::atomic::{AtomicU64, Ordering};

use crate::error::CallError;

/// The kinds of store calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum CallKind {
    /// A read of one or more keys.
    Range,
    /// An unconditional write.
    Put,
    /// A deletion.
    Delete,
    /// A transaction.
    Txn,
    /// A new lease.
    Grant,
    /// The renewal of a lease.
    KeepAlive,
    /// The end of a lease.
    Revoke,
    /// A watch.
    Watch,
}

impl CallKind {
    /// All kinds, in the order of [`CallCounts`].
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

    /// The name in metrics.
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

/// How often one kind of call was made and how it failed.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCount {
    /// All calls, including those that failed.
    pub calls: u64,
    /// Calls that were certainly not applied.
    pub not_applied: u64,
    /// Calls whose fate is unknown.
    pub unknown: u64,
}

/// The counts of all kinds at one time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct CallCounts {
    kinds: [CallCount; 8],
    /// Bytes of requests sent, without HTTP headers.
    pub bytes_sent: u64,
    /// Bytes of answers and watch lines received, without HTTP headers.
    pub bytes_received: u64,
}

impl CallCounts {
    /// The count of one kind.
    #[must_use]
    pub fn of(&self, kind: CallKind) -> CallCount {
        self.kinds[kind as usize]
    }

    /// All kinds with their counts.
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
    pub(crate) fn called(&self, kind: CallKind) {
        let counter = &self.kinds[kind as usize];
        counter.calls.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn sent(&self, bytes: usize) {
        self.bytes_sent.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn received(&self, bytes: usize) {
        self.bytes_received
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn failed(&self, kind: CallKind, error: &CallError) {
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
