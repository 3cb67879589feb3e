//! Call counters and rate limits of the store: one token bucket for writes and one for reads.

use std::collections::BTreeMap;
use std::time::Instant;

use serde::Serialize;

use super::wire;

/// Size of a token bucket, as the time in which it fills from empty.
const BURST_SECONDS: f64 = 0.25;
/// Minimum size of a token bucket, for low rates.
const MIN_BURST_CALLS: f64 = 10.0;

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

/// Rate limits in calls per second.
#[derive(Debug, Clone, Copy)]
pub(super) struct RateLimits {
    pub(super) writes: u32,
    pub(super) reads: u32,
}

#[derive(Debug)]
struct TokenBucket {
    rate: f64,
    burst: f64,
    available: f64,
    refilled_at: Instant,
}

impl TokenBucket {
    fn new(rate: u32, now: Instant) -> Self {
        let rate = f64::from(rate);
        let burst = (rate * BURST_SECONDS).max(MIN_BURST_CALLS);
        Self {
            rate,
            burst,
            available: burst,
            refilled_at: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * self.rate).min(self.burst);
        self.refilled_at = now;
        let admitted = self.available >= 1.0;
        if admitted {
            self.available -= 1.0;
        }
        admitted
    }
}

#[derive(Debug)]
pub(super) struct CallMeter {
    writes: TokenBucket,
    reads: TokenBucket,
    calls: BTreeMap<CallKind, u64>,
    limited: u64,
    pub(super) watches_open: u64,
}

/// Body of the response to `GET /control/calls`.
#[derive(Serialize)]
pub(super) struct CallReport {
    #[serde(flatten)]
    calls: BTreeMap<CallKind, u64>,
    /// All calls, including those over the rate limit.
    total: u64,
    writes: u64,
    reads: u64,
    /// Calls over the rate limit, refused with status 429.
    limited: u64,
    watches_open: u64,
}

impl CallMeter {
    pub(super) fn new(limits: RateLimits, now: Instant) -> Self {
        Self {
            writes: TokenBucket::new(limits.writes, now),
            reads: TokenBucket::new(limits.reads, now),
            calls: BTreeMap::new(),
            limited: 0,
            watches_open: 0,
        }
    }

    /// Counts a call. Returns false if it is over the rate limit.
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
        let count_calls = |write: bool| {
            let calls = self.calls.iter();
            calls
                .filter(|(kind, _)| kind.is_write() == write)
                .map(|(_, count)| count)
                .sum::<u64>()
        };
        let (writes, reads) = (count_calls(true), count_calls(false));
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
