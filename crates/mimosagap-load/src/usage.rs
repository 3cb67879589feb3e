//! Processor time and memory of processes, from `/proc`.

use std::time::{Duration, Instant};

use procfs::process::Process;

/// A reading of one process.
#[derive(Debug, Clone, Copy)]
pub struct UsageReading {
    /// When it was taken.
    pub at: Instant,
    /// User and system time since the process started.
    pub processor: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// Reads a process; `None` if it has ended.
#[must_use]
pub fn read_usage(id: u32) -> Option<UsageReading> {
    let process = Process::new(i32::try_from(id).ok()?).ok()?;
    let stat = process.stat().ok()?;
    let ticks = stat.utime + stat.stime;
    let micros = ticks * 1_000_000 / procfs::ticks_per_second();
    Some(UsageReading {
        at: Instant::now(),
        processor: Duration::from_micros(micros),
        resident_kib: process.status().ok()?.vmrss.unwrap_or(0),
    })
}

/// Cores used between two readings.
#[must_use]
pub fn cores_between(first: &UsageReading, second: &UsageReading) -> f64 {
    let spent = second.processor.saturating_sub(first.processor);
    let passed = second.at.saturating_duration_since(first.at);
    spent.as_secs_f64() / passed.as_secs_f64().max(f64::EPSILON)
}
