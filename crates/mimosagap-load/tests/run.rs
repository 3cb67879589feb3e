//! A run against engines must measure what the engines did, and find nothing broken.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use mimosagap_load::caller::RequestEnd;
use mimosagap_load::engines::{FleetFigures, fetch_statistics};
use mimosagap_load::route::{Route, RouteKind};
use mimosagap_load::run::{RunOptions, run};
use mimosagap_load::summary::{refused_as_not_run, summarize};
use mimosagap_load::workload::{Fault, LengthDistribution, Workload};
use serde_json::json;

fn start_engine(address: &str, options: &[&str]) -> SocketAddr {
    let words = ["--listen", address, "--model", "quotes"];
    let words = words.iter().chain(options).map(Into::into).collect();
    let arguments = pico_args::Arguments::from_vec(words);
    thread::spawn(move || mimosagap_standins::engine::run(arguments));
    let address: SocketAddr = address.parse().unwrap();
    let deadline = Instant::now() + Duration::from_secs(5);
    while std::net::TcpStream::connect(address).is_err() {
        assert!(Instant::now() < deadline, "the engine does not listen");
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
fn a_run_completes_and_its_figures_agree_with_the_engines() {
    let engines = vec![
        start_engine("127.78.0.1:8000", &["--step-ms", "10"]),
        start_engine("127.78.0.2:8000", &["--step-ms", "10"]),
    ];
    let workload = short_workload();
    let route = Arc::new(Route::new("direct", RouteKind::Engines(engines.clone())));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let records = runtime.block_on(run(RunOptions {
        workload: workload.clone(),
        seed: 11,
        routes: vec![Arc::clone(&route)],
        engines: engines.clone(),
        probes: Vec::new(),
    }));
    assert!(records.iter().all(|r| r.end == RequestEnd::Completed));
    let statistics = fetch_statistics(&engines);
    let refused = refused_as_not_run(11, &records);
    let figures = FleetFigures::new(&statistics, 11, &refused);
    let tokens: u64 = records.iter().map(|r| u64::from(r.tokens)).sum();
    assert_eq!(figures.started, records.len() as u64);
    assert_eq!(figures.tokens, tokens);
    assert_eq!((figures.started_again, figures.silent_engines), (0, 0));
    let summary = summarize(&workload, 11, &records, Some(figures));
    assert_eq!(summary.total.violations, 0);
    assert_eq!(summary.total.completed, records.len() as u64);
    let between = summary.total.between_tokens_ms;
    assert!(between.p50 >= 9.0, "{between:?}");
}

#[test]
fn stalls_of_a_slow_engine_are_measured_and_unfinished_requests_counted() {
    let engines = vec![start_engine("127.78.0.3:8000", &["--step-ms", "10"])];
    let mut workload = short_workload();
    workload.drain_seconds = 0.5;
    workload.faults = vec![Fault {
        at_seconds: 1.0,
        every_seconds: None,
        engines: Vec::new(),
        control: "speed".to_owned(),
        body: json!({"factor": 0.02}),
    }];
    let route = Arc::new(Route::new("direct", RouteKind::Engines(engines.clone())));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let records = runtime.block_on(run(RunOptions {
        workload: workload.clone(),
        seed: 12,
        routes: vec![route],
        engines,
        probes: Vec::new(),
    }));
    let summary = summarize(&workload, 12, &records, None);
    assert!(summary.total.unfinished > 0);
    assert!(summary.total.stalls > 0);
    assert!(summary.total.stall_per_stream_ms.p99 > 100.0);
    assert_eq!(summary.total.violations, 0);
}

#[test]
fn refused_connections_are_counted_as_broken() {
    let mut workload = short_workload();
    workload.seconds = 0.5;
    let nobody = vec!["127.78.0.4:8000".parse().unwrap()];
    let route = Arc::new(Route::new("direct", RouteKind::Engines(nobody)));
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let records = runtime.block_on(run(RunOptions {
        workload: workload.clone(),
        seed: 13,
        routes: vec![route],
        engines: Vec::new(),
        probes: Vec::new(),
    }));
    let summary = summarize(&workload, 13, &records, None);
    assert_eq!(
        summary.total.broken["connection refused"],
        summary.total.requests
    );
}
