//! The records of a run against simulated engines must agree with the statistics of the engines,
//! and stalls, unfinished requests and refused connections must be counted.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosagap_load::caller::RequestResult;
use mimosagap_load::engines::{FleetStatistics, fetch_statistics};
use mimosagap_load::route::{Route, RouteKind};
use mimosagap_load::run::{RunOptions, run_workload};
use mimosagap_load::summary::{requests_refused_not_run, summarize};
use mimosagap_load::workload::{EngineFault, LengthDistribution, Workload};
use serde_json::json;

fn start_engine(address: &str, options: &[&str]) -> SocketAddr {
    let raw_arguments = ["--listen", address, "--model", "quotes"];
    let raw_arguments = raw_arguments
        .iter()
        .chain(options)
        .map(Into::into)
        .collect();
    let arguments = pico_args::Arguments::from_vec(raw_arguments);
    thread::spawn(move || mimosagap_standins::engine::run(arguments));
    let address: SocketAddr = address.parse().unwrap();
    let deadline = Instant::now() + Duration::from_secs(5);
    while std::net::TcpStream::connect(address).is_err() {
        assert!(
            Instant::now() < deadline,
            "the engine does not listen on {address}"
        );
        thread::sleep(Duration::from_millis(10));
    }
    address
}

fn short_workload() -> Workload {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../workloads/brandao.json");
    let mut workload = Workload::read(&path, None).unwrap();
    workload.seconds = 2.0;
    workload.warmup_seconds = 0.0;
    workload.drain_seconds = 3.0;
    workload.arrivals.requests_per_second = 30.0;
    workload.classes[0].output_tokens = LengthDistribution::Uniform { min: 20, max: 60 };
    workload.classes[1].streamed = false;
    workload
}

#[test]
fn run_completes_and_agrees_with_the_engine_statistics() {
    let engines = vec![
        start_engine("127.78.0.1:8000", &["--step-ms", "10"]),
        start_engine("127.78.0.2:8000", &["--step-ms", "10"]),
    ];
    let workload = short_workload();
    let route = Arc::new(Route::new("direct", RouteKind::Engines(engines.clone())));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let records = runtime.block_on(run_workload(RunOptions {
        workload: workload.clone(),
        seed: 11,
        routes: vec![Arc::clone(&route)],
        engines: engines.clone(),
        scheduled_actions: Vec::new(),
    }));
    assert!(records.iter().all(|r| r.result == RequestResult::Completed));
    let statistics = fetch_statistics(&engines);
    let refused_requests = requests_refused_not_run(11, &records);
    let totals = FleetStatistics::new(&statistics, 11, &refused_requests);
    let received_tokens: u64 = records.iter().map(|r| u64::from(r.tokens)).sum();
    assert_eq!(totals.started, records.len() as u64);
    assert_eq!(totals.tokens, received_tokens);
    assert_eq!((totals.started_again, totals.silent_engines), (0, 0));
    let summary = summarize(&workload, 11, &records, Some(totals));
    assert_eq!(summary.total.violations, 0);
    assert_eq!(summary.total.completed, records.len() as u64);
    let between_tokens = summary.total.between_tokens_ms;
    assert!(between_tokens.p50 >= 9.0, "{between_tokens:?}");
}

#[test]
fn stalls_and_unfinished_requests_of_a_slow_engine_are_counted() {
    let engines = vec![start_engine("127.78.0.3:8000", &["--step-ms", "10"])];
    let mut workload = short_workload();
    workload.drain_seconds = 0.5;
    workload.faults = vec![EngineFault {
        at_seconds: 1.0,
        every_seconds: None,
        engines: Vec::new(),
        control: "speed".to_owned(),
        body: json!({"factor": 0.02}),
    }];
    let route = Arc::new(Route::new("direct", RouteKind::Engines(engines.clone())));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let records = runtime.block_on(run_workload(RunOptions {
        workload: workload.clone(),
        seed: 12,
        routes: vec![route],
        engines,
        scheduled_actions: Vec::new(),
    }));
    let summary = summarize(&workload, 12, &records, None);
    assert!(summary.total.unfinished > 0);
    assert!(summary.total.stalls > 0);
    assert!(summary.total.stall_per_stream_ms.p99 > 100.0);
    assert_eq!(summary.total.violations, 0);
}

#[test]
fn refused_connection_counts_as_broken() {
    let mut workload = short_workload();
    workload.seconds = 0.5;
    let unused_addresses = vec!["127.78.0.4:8000".parse().unwrap()];
    let route = Arc::new(Route::new("direct", RouteKind::Engines(unused_addresses)));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let records = runtime.block_on(run_workload(RunOptions {
        workload: workload.clone(),
        seed: 13,
        routes: vec![route],
        engines: Vec::new(),
        scheduled_actions: Vec::new(),
    }));
    let summary = summarize(&workload, 13, &records, None);
    assert_eq!(
        summary.total.broken["connection refused"],
        summary.total.requests
    );
}
