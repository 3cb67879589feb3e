//! Reads the rules revision of every daemon all the time.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use crate::control;

const PERIOD: Duration = Duration::from_millis(50);

/// One reading of a daemon's rules revision.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RevisionSample {
    /// Taken before the question was sent, so that a slow answer does not look like a late one.
    pub asked: Instant,
    /// Taken after the answer.
    pub answered: Instant,
    /// The revision in force.
    pub revision: u64,
}

type Samples = Arc<Mutex<Vec<RevisionSample>>>;

struct Watched {
    samples: Samples,
    stop: Arc<AtomicBool>,
    thread: Option<JoinHandle<()>>,
}

/// Polls the admin addresses of daemons, each in its own thread.
#[derive(Default)]
pub struct Observer {
    watched: BTreeMap<String, Watched>,
}

impl Observer {
    /// Starts to poll one run of a daemon.
    pub fn watch(&mut self, label: &str, admin: SocketAddr) {
        let samples = Samples::default();
        let stop = Arc::new(AtomicBool::new(false));
        let thread = std::thread::spawn({
            let (samples, stop) = (Arc::clone(&samples), Arc::clone(&stop));
            move || {
                while !stop.load(Ordering::Relaxed) {
                    let asked = Instant::now();
                    if let Some(revision) = read_revision(admin) {
                        let sample = RevisionSample {
                            asked,
                            answered: Instant::now(),
                            revision,
                        };
                        lock(&samples).push(sample);
                    }
                    std::thread::sleep(PERIOD);
                }
            }
        });
        let watched = Watched {
            samples,
            stop,
            thread: Some(thread),
        };
        self.watched.insert(label.to_owned(), watched);
    }

    /// Stops polling a run that has ended.
    pub fn end(&mut self, label: &str) {
        if let Some(watched) = self.watched.get(label) {
            watched.stop.store(true, Ordering::Relaxed);
        }
    }

    /// The newest reading of a run.
    #[must_use]
    pub fn newest(&self, label: &str) -> Option<RevisionSample> {
        lock(&self.watched.get(label)?.samples).last().copied()
    }

    /// All readings by run.
    #[must_use]
    pub fn samples(&self) -> BTreeMap<String, Vec<RevisionSample>> {
        let watched = self.watched.iter();
        watched
            .map(|(label, watched)| (label.clone(), lock(&watched.samples).clone()))
            .collect()
    }
}

impl Drop for Observer {
    fn drop(&mut self) {
        for watched in self.watched.values() {
            watched.stop.store(true, Ordering::Relaxed);
        }
        for watched in self.watched.values_mut() {
            let _ = watched.thread.take().map(JoinHandle::join);
        }
    }
}

fn lock(samples: &Samples) -> std::sync::MutexGuard<'_, Vec<RevisionSample>> {
    samples.lock().unwrap_or_else(PoisonError::into_inner)
}

/// The revision on a daemon's rules page, or `None` if it does not answer or has no rules.
fn read_revision(admin: SocketAddr) -> Option<u64> {
    let rules = control::get(admin, "/admin/v1/rules").ok()?;
    rules["revision"].as_u64().filter(|revision| *revision > 0)
}
