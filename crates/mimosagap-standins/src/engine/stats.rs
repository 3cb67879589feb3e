//! Counters that `GET /control/stats` reports to tests and experiments.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use serde::Serialize;

/// Time between two tokens beyond which the excess counts as a stall.
const STALL_THRESHOLD: Duration = Duration::from_millis(250);

/// Upper bounds of the stall histogram's buckets, in milliseconds beyond the threshold.
const STALL_BOUNDS_MS: [u64; 6] = [250, 500, 1_000, 2_000, 5_000, 10_000];

/// Maximum number of listed generations; those started later are only counted.
const MAX_LISTED_GENERATIONS: usize = 50_000;

/// A generation that was started.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct GenerationRecord {
    pub(crate) id: String,
    /// Start time in milliseconds since the Unix epoch.
    pub(crate) started_ms: u64,
    /// `metadata.request`, by which the load tool identifies its requests.
    pub(crate) request: Option<String>,
}

/// Histogram of stalls. `counts` has one more entry than `bounds_ms`, for longer stalls.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct StallHistogram {
    bounds_ms: [u64; STALL_BOUNDS_MS.len()],
    counts: [u64; STALL_BOUNDS_MS.len() + 1],
    total_ms: u64,
}

/// Counters since the start of the process.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct EngineStats {
    pub(crate) started: u64,
    pub(crate) completed: u64,
    pub(crate) cancelled: u64,
    pub(crate) failed: u64,
    pub(crate) tokens: u64,
    pub(crate) prefilled_tokens: u64,
    pub(crate) recomputed_tokens: u64,
    pub(crate) preemptions: u64,
    pub(crate) steps: u64,
    pub(crate) memory_peak: u64,
    /// Sum of the memory in use, in tokens, over samples taken every 100 ms. Divide it by
    /// `memory_samples` for the mean.
    pub(crate) memory_sum: u64,
    pub(crate) memory_samples: u64,
    pub(crate) stalls: StallHistogram,
    pub(crate) left_at_ms: Option<u64>,
    pub(crate) generations: Vec<GenerationRecord>,
}

impl EngineStats {
    pub(crate) fn new() -> Self {
        Self {
            started: 0,
            completed: 0,
            cancelled: 0,
            failed: 0,
            tokens: 0,
            prefilled_tokens: 0,
            recomputed_tokens: 0,
            preemptions: 0,
            steps: 0,
            memory_peak: 0,
            memory_sum: 0,
            memory_samples: 0,
            stalls: StallHistogram {
                bounds_ms: STALL_BOUNDS_MS,
                counts: [0; STALL_BOUNDS_MS.len() + 1],
                total_ms: 0,
            },
            left_at_ms: None,
            generations: Vec::new(),
        }
    }

    pub(crate) fn record_start(&mut self, id: &str, request: Option<String>) {
        self.started += 1;
        if self.generations.len() < MAX_LISTED_GENERATIONS {
            self.generations.push(GenerationRecord {
                id: id.to_owned(),
                started_ms: unix_millis(),
                request,
            });
        }
    }

    pub(crate) fn record_token_gap(&mut self, gap: Duration) {
        let Some(stall) = gap.checked_sub(STALL_THRESHOLD).filter(|s| !s.is_zero()) else {
            return;
        };
        let stall_ms = u64::try_from(stall.as_millis()).unwrap_or(u64::MAX);
        let bucket = STALL_BOUNDS_MS
            .iter()
            .position(|bound| stall_ms <= *bound)
            .unwrap_or(STALL_BOUNDS_MS.len());
        self.stalls.counts[bucket] += 1;
        self.stalls.total_ms += stall_ms;
    }
}

/// Wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn unix_millis() -> u64 {
    let since_epoch = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    u64::try_from(since_epoch.as_millis()).unwrap_or(u64::MAX)
}
