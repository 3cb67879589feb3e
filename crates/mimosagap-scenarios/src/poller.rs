//! Polls the rules revision of every daemon throughout a scenario.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::control;

const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// One sample of a daemon's rules revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionSample {
    /// Taken before the request was sent. Checks of a deadline use this time, so that a slow
    /// response does not count as a late revision.
    pub request_started: Instant,
    /// Taken after the response arrived.
    pub response_received: Instant,
    /// The revision that the daemon applies.
    pub revision: u64,
}

type Samples = Arc<Mutex<Vec<RevisionSample>>>;

struct PolledRun {
    samples: Samples,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Polls the admin addresses of daemons, each in a thread of its own.
#[derive(Default)]
pub struct RevisionPoller {
    runs: BTreeMap<String, PolledRun>,
}

impl RevisionPoller {
    /// Starts to poll one run of a daemon. A run is one process: it ends with each restart.
    pub fn start_polling(&mut self, run_label: &str, admin_address: SocketAddr) {
        let samples = Samples::default();
        let stop = Arc::new(AtomicBool::new(false));
        let thread = std::thread::spawn({
            let (samples, stop) = (Arc::clone(&samples), Arc::clone(&stop));
            move || {
                while !stop.load(Ordering::Relaxed) {
                    let request_started = Instant::now();
                    if let Some(revision) = read_revision(admin_address) {
                        let sample = RevisionSample {
                            request_started,
                            response_received: Instant::now(),
                            revision,
                        };
                        lock_samples(&samples).push(sample);
                    }
                    std::thread::sleep(POLL_INTERVAL);
                }
            }
        });
        let run = PolledRun {
            samples,
            stop,
            thread: Some(thread),
        };
        self.runs.insert(run_label.to_owned(), run);
    }

    /// Stops polling a run that has ended.
    pub fn stop_polling(&mut self, run_label: &str) {
        if let Some(run) = self.runs.get(run_label) {
            run.stop.store(true, Ordering::Relaxed);
        }
    }

    /// The latest sample of a run; `None` before the first response.
    #[must_use]
    pub fn latest_sample(&self, run_label: &str) -> Option<RevisionSample> {
        lock_samples(&self.runs.get(run_label)?.samples)
            .last()
            .copied()
    }

    /// All samples, by the label of the run.
    #[must_use]
    pub fn samples(&self) -> BTreeMap<String, Vec<RevisionSample>> {
        let runs = self.runs.iter();
        runs.map(|(run_label, run)| (run_label.clone(), lock_samples(&run.samples).clone()))
            .collect()
    }
}

impl Drop for RevisionPoller {
    fn drop(&mut self) {
        for run in self.runs.values() {
            run.stop.store(true, Ordering::Relaxed);
        }
        for run in self.runs.values_mut() {
            let _ = run.thread.take().map(JoinHandle::join);
        }
    }
}

fn lock_samples(samples: &Samples) -> std::sync::MutexGuard<'_, Vec<RevisionSample>> {
    samples.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The revision that a daemon's admin API reports; `None` if it does not respond or has no rules.
fn read_revision(admin_address: SocketAddr) -> Option<u64> {
    let rules = control::get(admin_address, "/admin/v1/rules").ok()?;
    rules["revision"].as_u64().filter(|revision| *revision > 0)
}
