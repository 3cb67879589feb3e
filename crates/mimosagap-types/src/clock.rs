//! Time as an interface, so that decisions can be tested without waiting.

use std::time::{Instant, SystemTime};

/// Source of monotonic and wall-clock time.
///
/// Leases, limits and timeouts use [`Clock::now`]; only records which another process reads use
/// [`Clock::wall`], because monotonic times of two processes cannot be compared.
pub trait Clock: Send + Sync {
    /// The monotonic time.
    fn now(&self) -> Instant;

    /// The wall-clock time.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}
