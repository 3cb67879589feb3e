//! Blocks requests that crash the targets which run them.
//!
//! A request may crash every engine that starts it, while its caller repeats it at any host. Each
//! crash is recorded for all requests that ran on the crashed target; a request with three recorded
//! crashes is not run again.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::hashing::stable_hash;

/// Number of crashes from which on a request is blocked.
const MAX_CRASHES: usize = 3;

/// Time after its last crash for which the crashes of a request are kept.
pub const CRASH_RETENTION: Duration = Duration::from_mins(2);

/// Identifies a request by its content, so that its repetitions are recognized.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// Computes the fingerprint from what is equal in all repetitions of a request.
    #[must_use]
    pub fn new(path: &str, team: &str, body: &[u8]) -> Self {
        Self(stable_hash(&[path.as_bytes(), team.as_bytes(), body]))
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Identifies one crash by the target process that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CrashFingerprint(pub u64);

impl CrashFingerprint {
    /// Computes the fingerprint from the instance and the start time of its process.
    #[must_use]
    pub fn new(instance: &str, started_unix_ms: u64) -> Self {
        Self(stable_hash(&[
            instance.as_bytes(),
            &started_unix_ms.to_be_bytes(),
        ]))
    }
}

/// The recorded crashes of each request.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    crashes: HashMap<RequestFingerprint, (Duration, HashSet<CrashFingerprint>)>,
}

impl Quarantine {
    /// Records that a request was running at a crash. Returns whether this is new.
    pub fn record_crash(
        &mut self,
        request: RequestFingerprint,
        crash: CrashFingerprint,
        now: Duration,
    ) -> bool {
        self.crashes
            .retain(|_, (at, _)| now.saturating_sub(*at) < CRASH_RETENTION);
        let (at, crashes) = self.crashes.entry(request).or_default();
        *at = now;
        crashes.insert(crash)
    }

    /// Whether a request must not run.
    #[must_use]
    pub fn is_blocked(&self, request: RequestFingerprint) -> bool {
        self.crashes
            .get(&request)
            .is_some_and(|(_, crashes)| crashes.len() >= MAX_CRASHES)
    }
}
