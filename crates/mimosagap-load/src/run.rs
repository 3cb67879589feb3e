//! Open-loop load: sends each request at its planned time, whether or not earlier ones have ended.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::task::JoinSet;

use crate::caller::{CallerContext, RequestRecord, http_client, send_request};
use crate::engines;
use crate::plan::generate_plan;
use crate::route::Route;
use crate::workload::Workload;

/// A function called once at a set time of the run, for example to read processor times. It may
/// block.
pub type ScheduledAction = Box<dyn FnOnce() + Send>;

/// Options of a run.
pub struct RunOptions {
    /// Workload that is run.
    pub workload: Workload,
    /// Seed from which the requests are generated.
    pub seed: u64,
    /// Routes that the requests use in turn; at least one.
    pub routes: Vec<Arc<Route>>,
    /// Engines at which the faults of the workload are injected; empty for none.
    pub engines: Vec<SocketAddr>,
    /// Actions with their times from the start of the run.
    pub scheduled_actions: Vec<(Duration, ScheduledAction)>,
}

/// Runs a workload. Returns a record of each request, in the order in which the requests end.
pub async fn run_workload(options: RunOptions) -> Vec<RequestRecord> {
    let RunOptions {
        workload,
        seed,
        routes,
        engines,
        scheduled_actions,
    } = options;
    let plan = generate_plan(&workload, seed);
    let started_at = Instant::now();
    let deadline = started_at + workload.duration() + workload.drain();
    let mut background_tasks = JoinSet::new();
    for (at, action) in scheduled_actions {
        background_tasks.spawn(async move {
            tokio::time::sleep_until((started_at + at).into()).await;
            // The action may block. The panic hook has printed any panic, so the result is ignored.
            let _ = tokio::task::spawn_blocking(action).await;
        });
    }
    background_tasks.spawn(inject_faults(workload.clone(), engines, started_at));
    let context = Arc::new(CallerContext {
        workload,
        seed,
        client: http_client(),
        started_at,
    });
    let mut request_tasks = JoinSet::new();
    for planned in plan {
        tokio::time::sleep_until((started_at + planned.at).into()).await;
        let route_index = planned.index % routes.len();
        let route = Arc::clone(&routes[route_index]);
        request_tasks.spawn(send_request(
            Arc::clone(&context),
            route,
            route_index,
            planned,
            deadline,
        ));
    }
    let records = request_tasks.join_all().await;
    background_tasks.abort_all();
    records
}

async fn inject_faults(workload: Workload, engines: Vec<SocketAddr>, started_at: Instant) {
    let faults = engines::schedule_faults(&workload.faults, engines.len(), workload.duration());
    for fault in faults {
        tokio::time::sleep_until((started_at + fault.at).into()).await;
        let engines = engines.clone();
        // The panic hook has printed any panic, so the result is ignored.
        let _ = tokio::task::spawn_blocking(move || engines::inject_fault(&fault, &engines)).await;
    }
}
