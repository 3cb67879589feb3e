//! Clocks behind traits, so that tests can set the time instead of waiting.

use std::time::{Duration, Instant, SystemTime};

/// Source of monotonic and wall-clock time.
///
/// Leases, limits and timeouts use [`Clock::now`]. [`Clock::wall_time`] is only for records that
/// another process reads, because monotonic times of two processes cannot be compared.
pub trait Clock: Send + Sync {
    /// The monotonic time, comparable only within this process.
    fn now(&self) -> Instant;

    /// The wall-clock time, which may be stepped.
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

/// Source of the time since the host booted.
///
/// Unlike [`Clock::now`] it advances while the host is suspended. What expires elsewhere during
/// that time (leases, proofs that a configuration is current) is then seen to have expired.
pub trait BootClock {
    /// The time since the host booted, including the time in suspension.
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
