//! Time as an interface, so that decisions can be tested without waiting.

use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and wall-clock time.
///
/// Leases, limits and timeouts use [`Clock::now`]; only records which another process reads use
/// [`Clock::wall_time`], because monotonic times of two processes cannot be compared.
pub trait Clock: Send + Sync {
    /// The monotonic time.
    fn now(&self) -> Instant;

    /// The wall-clock time.
    fn wall_time(&self) -> SystemTime;
}

/// The operating system's clocks.
#[derive(Debug, Clone, Copy, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Source of the time since the host started.
///
/// Unlike [`Clock::now`] it goes on while the host is suspended, so that whatever lapses elsewhere
/// in the meantime (leases, proofs of a configuration) is seen to have lapsed.
pub trait BootClock {
    /// The time since the host started, suspended time included.
    fn since_boot(&self) -> Duration;
}

impl BootClock for SystemClock {
    fn since_boot(&self) -> Duration {
        let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
        Duration::new(
            u64::try_from(time.tv_sec).unwrap_or(0),
            u32::try_from(time.tv_nsec).unwrap_or(0),
        )
    }
}
