//! Requests that crash the targets which run them.
//!
//! Load pattern: one request ends every engine that begins it, and its caller sends it again to any
//! host. A crash makes each request that ran there a suspect; one that was there at several crashes
//! is not run again.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::hashing::stable_hash;

/// A request is not run again after it was at this many crashes.
const MAX_CRASHES: usize = 3;

/// Crashes are remembered for this long.
pub const CRASH_RETENTION: Duration = Duration::from_mins(2);

/// Names a request by what the caller would send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u64);

impl RequestFingerprint {
    /// The mark of a request.
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

/// Names one crash: a target and the life that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CrashFingerprint(pub u64);

impl CrashFingerprint {
    /// The mark of the end of a target's life.
    #[must_use]
    pub fn new(instance: &str, started_unix_ms: u64) -> Self {
        Self(stable_hash(&[
            instance.as_bytes(),
            &started_unix_ms.to_be_bytes(),
        ]))
    }
}

/// The crashes at which each request was present.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    crashes: HashMap<RequestFingerprint, (Duration, HashSet<CrashFingerprint>)>,
}

impl Quarantine {
    /// A request was at a crash. Returns whether that was not known.
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
