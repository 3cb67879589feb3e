//! Processor time and memory of processes, read from `/proc`.

use std::time::{Duration, Instant};

use procfs::process::Process;

/// Processor and memory usage of a process at one time.
#[derive(Debug, Clone, Copy)]
pub struct ProcessUsage {
    /// Time of the sample.
    pub taken_at: Instant,
    /// User and system time since the process started.
    pub processor_time: Duration,
    /// Resident memory in KiB.
    pub resident_kib: u64,
}

/// Samples a process; `None` if it has exited.
#[must_use]
pub fn sample_usage(process_id: u32) -> Option<ProcessUsage> {
    let process = Process::new(i32::try_from(process_id).ok()?).ok()?;
    let stat = process.stat().ok()?;
    let ticks = stat.utime + stat.stime;
    let micros = ticks * 1_000_000 / procfs::ticks_per_second();
    Some(ProcessUsage {
        taken_at: Instant::now(),
        processor_time: Duration::from_micros(micros),
        resident_kib: process.status().ok()?.vmrss.unwrap_or(0),
    })
}

/// Mean number of processor cores used between two samples.
#[must_use]
pub fn cores_used(first: &ProcessUsage, second: &ProcessUsage) -> f64 {
    let processor_time = second.processor_time.saturating_sub(first.processor_time);
    let elapsed = second.taken_at.saturating_duration_since(first.taken_at);
    processor_time.as_secs_f64() / elapsed.as_secs_f64().max(f64::EPSILON)
}
