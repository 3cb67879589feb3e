//! Open-loop load: requests are sent at their planned times, whatever became of earlier ones.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::caller::{CallerContext, RequestRecord, call, http_client};
use crate::engines;
use crate::plan::draw_plan;
use crate::route::Route;
use crate::workload::Workload;

/// Called at the times of the run that it chooses, for example to read processor times.
pub type Probe = Box<dyn FnOnce() + Send>;

/// What to run.
pub struct RunOptions {
    /// The workload.
    pub workload: Workload,
    /// The seed.
    pub seed: u64,
    /// Requests go to the route at their number modulo the length.
    pub routes: Vec<Arc<Route>>,
    /// The engines, for faults.
    pub engines: Vec<SocketAddr>,
    /// Called at times from the start of the run.
    pub probes: Vec<(Duration, Probe)>,
}

/// Runs a workload and returns a record for each request, in the order in which they ended.
pub async fn run(options: RunOptions) -> Vec<RequestRecord> {
    let RunOptions {
        workload,
        seed,
        routes,
        engines,
        probes,
    } = options;
    let plan = draw_plan(&workload, seed);
    let started = Instant::now();
    let deadline = started + workload.duration() + workload.drain();
    let mut helpers = JoinSet::new();
    for (at, probe) in probes {
        helpers.spawn(async move {
            tokio::time::sleep_until((started + at).into()).await;
            // Probes may block; a panic in one would already have been printed.
            let _ = tokio::task::spawn_blocking(probe).await;
        });
    }
    helpers.spawn(inject(workload.clone(), engines, started));
    let context = Arc::new(CallerContext {
        workload,
        seed,
        client: http_client(),
        started,
    });
    let mut calls = JoinSet::new();
    for planned in plan {
        tokio::time::sleep_until((started + planned.at).into()).await;
        let number = planned.number % routes.len();
        let route = Arc::clone(&routes[number]);
        calls.spawn(call(Arc::clone(&context), route, number, planned, deadline));
    }
    let records = calls.join_all().await;
    helpers.abort_all();
    records
}

async fn inject(workload: Workload, engines: Vec<SocketAddr>, started: Instant) {
    let faults = engines::schedule(&workload.faults, engines.len(), workload.duration());
    for fault in faults {
        tokio::time::sleep_until((started + fault.at).into()).await;
        let engines = engines.clone();
        // A panic in the blocking call would already have been printed.
        let _ = tokio::task::spawn_blocking(move || engines::apply(&fault, &engines)).await;
    }
}
