//! Requests that crash the targets which run them.
//!
//! Load pattern: one request ends every engine that begins it, and its caller sends it again to any
//! host. A crash makes each request that ran there a suspect; one that was there at several crashes
//! is not run again.

use std::collections::{HashMap, HashSet};
use std::fmt;
use std::time::Duration;

use crate::marks::stable_mark;

/// A request is not run again after it was at this many crashes.
const MAX_CRASHES: usize = 3;

/// Crashes are remembered for this long.
pub const MEMORY: Duration = Duration::from_mins(2);

/// Names a request by what the caller would send again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct RequestMark(pub u64);

impl RequestMark {
    /// The mark of a request.
    #[must_use]
    pub fn new(path: &str, team: &str, body: &[u8]) -> Self {
        Self(stable_mark(&[path.as_bytes(), team.as_bytes(), body]))
    }
}

impl fmt::Display for RequestMark {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Names one crash: a target and the life that ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct CrashMark(pub u64);

impl CrashMark {
    /// The mark of the end of a target's life.
    #[must_use]
    pub fn new(instance: &str, started_unix_ms: u64) -> Self {
        Self(stable_mark(&[
            instance.as_bytes(),
            &started_unix_ms.to_be_bytes(),
        ]))
    }
}

/// The crashes at which each request was present.
#[derive(Debug, Clone, Default)]
pub struct Quarantine {
    crashes: HashMap<RequestMark, (Duration, HashSet<CrashMark>)>,
}

impl Quarantine {
    /// A request was at a crash. Returns whether that was not known.
    pub fn suspect(&mut self, request: RequestMark, crash: CrashMark, now: Duration) -> bool {
        self.crashes
            .retain(|_, (at, _)| now.saturating_sub(*at) < MEMORY);
        let (at, crashes) = self.crashes.entry(request).or_default();
        *at = now;
        crashes.insert(crash)
    }

    /// Whether a request must not run.
    #[must_use]
    pub fn is_blocked(&self, request: RequestMark) -> bool {
        self.crashes
            .get(&request)
            .is_some_and(|(_, crashes)| crashes.len() >= MAX_CRASHES)
    }
}
