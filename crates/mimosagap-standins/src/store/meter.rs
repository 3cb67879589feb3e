//! Call counters and rate limits of the store.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use super::wire;

/// A burst of this many seconds' worth of calls is accepted at once.
const BURST_SECONDS: f64 = 0.25;
const SMALLEST_BURST: f64 = 10.0;

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum CallKind {
    Range,
    Put,
    DeleteRange,
    TxnRead,
    TxnWrite,
    LeaseGrant,
    LeaseKeepalive,
    LeaseRevoke,
    Watch,
}

impl CallKind {
    pub(super) fn of(path: &str, body: &[u8]) -> Option<Self> {
        Some(match path {
            "/v3/kv/range" => Self::Range,
            "/v3/kv/put" => Self::Put,
            "/v3/kv/deleterange" => Self::DeleteRange,
            "/v3/kv/txn" if wire::txn_writes(body) => Self::TxnWrite,
            "/v3/kv/txn" => Self::TxnRead,
            "/v3/lease/grant" => Self::LeaseGrant,
            "/v3/lease/keepalive" => Self::LeaseKeepalive,
            "/v3/lease/revoke" => Self::LeaseRevoke,
            "/v3/watch" => Self::Watch,
            _ => return None,
        })
    }

    pub(super) fn is_lease(self) -> bool {
        matches!(
            self,
            Self::LeaseGrant | Self::LeaseKeepalive | Self::LeaseRevoke
        )
    }

    pub(super) fn is_write(self) -> bool {
        !matches!(self, Self::Range | Self::TxnRead | Self::Watch)
    }
}

#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimits {
    pub(super) writes: u32,
    pub(super) reads: u32,
}

#[derive(Debug)]
struct Bucket {
    rate: f64,
    burst: f64,
    level: f64,
    filled: Instant,
}

impl Bucket {
    fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        let burst = (rate * BURST_SECONDS).max(SMALLEST_BURST);
        Self {
            rate,
            burst,
            level: burst,
            filled: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.filled).as_secs_f64();
        self.level = (self.level + elapsed * self.rate).min(self.burst);
        self.filled = now;
        let admitted = self.level >= 1.0;
        if admitted {
            self.level -= 1.0;
        }
        admitted
    }
}

#[derive(Debug)]
pub(super) struct CallMeter {
    writes: Bucket,
    reads: Bucket,
    calls: BTreeMap<CallKind, u64>,
    limited: u64,
    pub(super) watches_open: u64,
}

/// What `GET /control/calls` returns.
#[derive(Serialize)]
pub(super) struct CallReport {
    #[serde(flatten)]
    calls: BTreeMap<CallKind, u64>,
    /// All calls, those over the rate included.
    total: u64,
    writes: u64,
    reads: u64,
    /// Calls refused with 429.
    limited: u64,
    watches_open: u64,
}

impl CallMeter {
    pub(super) fn new(limits: RateLimits, now: Instant) -> Self {
        Self {
            writes: Bucket::new(limits.writes, now),
            reads: Bucket::new(limits.reads, now),
            calls: BTreeMap::new(),
            limited: 0,
            watches_open: 0,
        }
    }

    /// Counts a call; `false` if it is over the rate.
    pub(super) fn admit(&mut self, kind: CallKind, now: Instant) -> bool {
        *self.calls.entry(kind).or_default() += 1;
        let bucket = if kind.is_write() {
            &mut self.writes
        } else {
            &mut self.reads
        };
        let admitted = bucket.take(now);
        if !admitted {
            self.limited += 1;
        }
        admitted
    }

    pub(super) fn report(&self) -> CallReport {
        let sum = |write: bool| {
            let calls = self.calls.iter();
            calls
                .filter(|(kind, _)| kind.is_write() == write)
                .map(|(_, count)| count)
                .sum::<u64>()
        };
        let (writes, reads) = (sum(true), sum(false));
        CallReport {
            calls: self.calls.clone(),
            total: writes + reads,
            writes,
            reads,
            limited: self.limited,
            watches_open: self.watches_open,
        }
    }
}
