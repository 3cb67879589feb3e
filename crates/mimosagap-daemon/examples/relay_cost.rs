//! Measures the cost of the relay: added latency per token, processor time and memory.
//!
//! `relay_cost daemon` runs a daemon that dispatches requests to nine engines round-robin.
//! `relay_cost load STREAMS SECONDS PID` runs these engines and STREAMS callers, first without and
//! then with the daemon whose process id is PID. Every 30 ms, each engine sends one token to all of
//! its streams at once, and a stream has 300 tokens. The engines' send times are evenly staggered.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use mimosagap_core::{AttemptEnd, Effect, Event};
use mimosagap_daemon::daemon::RunningDaemon;
use mimosagap_daemon::relay::sse::EventScanner;
use mimosagap_daemon::snapshot::{EventReducer, ReducerSnapshot};
use mimosagap_rules::RuleSet;
use mimosagap_settings::Settings;
use mimosagap_types::prelude::*;
use sha2::{Digest, Sha256};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, watch};

const ENGINE_COUNT: u8 = 9;
/// Time between two tokens of a stream.
const TOKEN_INTERVAL: Duration = Duration::from_millis(30);
const STREAM_TOKENS: u64 = 300;

/// The measurement of the daemon is shorter than the load by this much, so that it ends before it.
const MEASURE_MARGIN: Duration = Duration::from_millis(200);

const TEAM_TOKEN: &str = "token-of-quotes";
const CALLER_ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::new(127, 61, 0, 1)), 7_000);

fn engine_address(index: u8) -> SocketAddr {
    SocketAddr::from(([127, 61, 1, index + 1], 8_000))
}

struct RoundRobinReducer {
    rules: Arc<RuleSet>,
    next_engine: u8,
}

impl EventReducer for RoundRobinReducer {
    fn reduce(&mut self, _: Instant, event: Event, effects: &mut Vec<Effect>) {
        match event {
            Event::RulesReceived(set) => self.rules = set,
            Event::Submitted { ticket, .. } => {
                self.next_engine = (self.next_engine + 1) % ENGINE_COUNT;
                effects.push(Effect::Dispatch {
                    ticket,
                    attempt: 1,
                    target: engine_address(self.next_engine),
                    priority: 0,
                });
            }
            Event::AttemptEnded { ticket, end, .. }
                if !matches!(end, AttemptEnd::Completed { .. }) =>
            {
                let refusal = Refusal::new(RefusalCause::NoTarget, "the attempt failed");
                effects.push(Effect::Refuse { ticket, refusal });
            }
            _ => {}
        }
    }

    fn rules(&self) -> Arc<RuleSet> {
        Arc::clone(&self.rules)
    }

    fn placements(&self) -> Vec<(TargetAddress, u64)> {
        Vec::new()
    }

    fn snapshot(&self, _: Instant) -> ReducerSnapshot {
        ReducerSnapshot::default()
    }
}

async fn run_daemon() {
    let text = format!(
        r#"{{"location": {{"zone": "z", "region": "r"}},
            "listen": {{"callers": "{CALLER_ADDRESS}", "peers": "127.61.0.1:7001", "admin": "127.61.0.1:7002"}},
            "store": {{"address": "127.61.0.9:2379"}}, "host_list": "127.61.0.9:2380",
            "fleet_keys": ["bWltb3NhZ2FwLXRlc3Qta2V5LTAwMQ=="],
            "deployments": [{{"name": "assistant", "kind": "engine", "models": ["quotes"]}}]}}"#
    );
    let settings = Arc::new(Settings::parse(&text).expect("the settings are valid"));
    let core = RoundRobinReducer {
        rules: Arc::new(RuleSet::empty()),
        next_engine: 0,
    };
    let daemon = RunningDaemon::start(settings, DaemonId::new("bench"), Box::new(core))
        .expect("the daemon starts");
    let digest = RequestDigest(Sha256::digest(TEAM_TOKEN).into());
    let rules = format!("team quotes token sha256:{digest} # manager: bench");
    let rules = RuleSet::compile(RulesRevision(1), &rules).expect("the rules are valid");
    daemon
        .shared()
        .events
        .send(Event::RulesReceived(Arc::new(rules)));
    println!("process {}", std::process::id());
    daemon.wait_until_stopped().await;
}

async fn run_engine(index: u8, origin: Instant) {
    let address = engine_address(index);
    let offset = TOKEN_INTERVAL * u32::from(index) / u32::from(ENGINE_COUNT);
    let listener = TcpListener::bind(address)
        .await
        .expect("the engine address is free");
    let (step_sender, steps) = watch::channel(0_u64);
    tokio::spawn(async move {
        let start = tokio::time::Instant::now() + offset;
        let mut ticks = tokio::time::interval_at(start, TOKEN_INTERVAL);
        loop {
            ticks.tick().await;
            step_sender.send_modify(|number| *number += 1);
        }
    });
    while let Ok((stream, _)) = listener.accept().await {
        let steps = steps.clone();
        tokio::spawn(async move {
            let _ = serve_stream(stream, steps, origin).await;
        });
    }
}

async fn serve_stream(
    mut stream: TcpStream,
    mut steps: watch::Receiver<u64>,
    origin: Instant,
) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut buffer = [0; 4_096];
    let _ = stream.read(&mut buffer).await?;
    let head = "HTTP/1.1 200 OK\r\nx-engine-incarnation: 7\r\ntransfer-encoding: chunked\r\n\r\n";
    stream.write_all(head.as_bytes()).await?;
    for number in 0..=STREAM_TOKENS + 1 {
        if steps.changed().await.is_err() {
            break;
        }
        let kind = match number {
            0 => "response.created",
            n if n > STREAM_TOKENS => "response.completed",
            _ => "response.output_text.delta",
        };
        let sent = origin.elapsed().as_nanos();
        let event = format!(
            "event: {kind}\ndata: {{\"type\":\"{kind}\",\"sequence_number\":{number},\
             \"item_id\":\"resp-000000\",\"output_index\":0,\"content_index\":0,\
             \"delta\":\"resp-000000:{number} \",\"sent\":{sent},\"response\":{{\"id\":\"r\"}}}}\n\n"
        );
        let chunk = format!("{:x}\r\n{event}\r\n", event.len());
        stream.write_all(chunk.as_bytes()).await?;
    }
    stream.write_all(b"0\r\n\r\n").await
}

/// Reads one stream after the other and sends the latency of each token in microseconds.
async fn run_caller(
    target: SocketAddr,
    origin: Instant,
    latencies: mpsc::UnboundedSender<u64>,
    failures: Arc<AtomicU64>,
) {
    loop {
        if read_stream(target, origin, &latencies).await.is_err() {
            failures.fetch_add(1, Ordering::Relaxed);
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    }
}

async fn read_stream(
    target: SocketAddr,
    origin: Instant,
    latencies: &mpsc::UnboundedSender<u64>,
) -> std::io::Result<()> {
    let mut stream = TcpStream::connect(target).await?;
    let body = r#"{"model":"quotes","input":"sand the hall","stream":true}"#;
    let request = format!(
        "POST /v1/responses HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {TEAM_TOKEN}\r\n\
         connection: close\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).await?;
    let mut scanner = EventScanner::default();
    let mut buffer = vec![0; 8_192];
    let mut token_count = 0;
    loop {
        let count = stream.read(&mut buffer).await?;
        let now = origin.elapsed().as_nanos();
        if count == 0 {
            let error = std::io::Error::other("the stream is incomplete");
            return if token_count == STREAM_TOKENS {
                Ok(())
            } else {
                Err(error)
            };
        }
        scanner
            .push(&buffer[..count])
            .map_err(|_| std::io::Error::other("an event is too long"))?;
        while let Some(event) = scanner.next_event() {
            let text = String::from_utf8_lossy(event);
            if !text.contains("output_text.delta\",") {
                continue;
            }
            token_count += 1;
            let sent = text.split_once("\"sent\":").and_then(|(_, rest)| {
                let digits = rest.split(',').next()?;
                digits.parse::<u128>().ok()
            });
            let latency = now.saturating_sub(sent.unwrap_or(now)) / 1_000;
            let _ = latencies.send(u64::try_from(latency).unwrap_or(u64::MAX));
        }
    }
}

async fn measure(streams: u16, time: Duration, direct: bool, origin: Instant) -> String {
    let (sender, mut latencies) = mpsc::unbounded_channel();
    let failures = Arc::new(AtomicU64::new(0));
    let mut tasks = Vec::new();
    let start_interval = Duration::from_secs(9) / u32::from(streams);
    for index in 0..streams {
        let target = if direct {
            engine_address(
                u8::try_from(index % u16::from(ENGINE_COUNT)).expect("the index fits into a byte"),
            )
        } else {
            CALLER_ADDRESS
        };
        let caller = run_caller(target, origin, sender.clone(), Arc::clone(&failures));
        tasks.push(tokio::spawn(caller));
        tokio::time::sleep(start_interval).await;
    }
    while latencies.try_recv().is_ok() {}
    tokio::time::sleep(time).await;
    let mut sample = Vec::new();
    while let Ok(latency) = latencies.try_recv() {
        sample.push(latency);
    }
    tasks.iter().for_each(tokio::task::JoinHandle::abort);
    sample.sort_unstable();
    let quantile = |per_mille: usize| {
        sample
            .get(sample.len() * per_mille / 1_000)
            .copied()
            .unwrap_or(0)
    };
    format!(
        "{:>7} tokens/s, latency of a token in us: p50 {:>5} p99 {:>5} p99.9 {:>5}, {} failures",
        sample.len() as u64 / time.as_secs().max(1),
        quantile(500),
        quantile(990),
        quantile(999),
        failures.load(Ordering::Relaxed)
    )
}

/// Returns the processor time of a process in seconds (user, system) and its resident memory in KiB.
fn process_usage(pid: &str) -> (f64, f64, f64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |index: usize| fields.get(index).and_then(|text| text.parse::<f64>().ok());
    let (user, system) = (
        ticks(11).unwrap_or(0.0) / 100.0,
        ticks(12).unwrap_or(0.0) / 100.0,
    );
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let values: HashMap<&str, &str> = status
        .lines()
        .filter_map(|line| line.split_once(':'))
        .collect();
    let memory = values
        .get("VmRSS")
        .and_then(|text| text.trim().split(' ').next()?.parse().ok());
    (user, system, memory.unwrap_or(0.0))
}

async fn run_load(streams: u16, seconds: u32, pid: &str) {
    let origin = Instant::now();
    for index in 0..ENGINE_COUNT {
        tokio::spawn(run_engine(index, origin));
    }
    tokio::time::sleep(Duration::from_millis(200)).await;
    let time = Duration::from_secs(seconds.into());
    println!("{streams} streams, {seconds} s");
    println!("direct:  {}", measure(streams, time, true, origin).await);
    let (_, _, memory_before) = process_usage(pid);
    let start_duration = Duration::from_secs(9);
    let measured_pid = pid.to_owned();
    let usage_task = tokio::spawn(async move {
        tokio::time::sleep(start_duration).await;
        let (user_before, system_before, _) = process_usage(&measured_pid);
        tokio::time::sleep(time.saturating_sub(MEASURE_MARGIN)).await;
        let (user, system, memory) = process_usage(&measured_pid);
        (user - user_before, system - system_before, memory)
    });
    println!("daemon:  {}", measure(streams, time, false, origin).await);
    let (user, system, memory) = usage_task.await.expect("the measurement does not panic");
    let per_stream = (memory - memory_before) / f64::from(streams);
    let time = f64::from(seconds) - MEASURE_MARGIN.as_secs_f64();
    println!(
        "daemon:  {:.3} cores ({:.3} user, {:.3} system), {memory} KiB resident, \
         {per_stream:.1} KiB more per stream",
        (user + system) / time,
        user / time,
        system / time
    );
}

fn main() {
    let threads = std::env::var("THREADS")
        .ok()
        .and_then(|text| text.parse().ok());
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(threads.unwrap_or(4))
        .enable_all()
        .build()
        .expect("the runtime starts");
    runtime.block_on(run_command());
}

async fn run_command() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["daemon"] => run_daemon().await,
        ["load", streams, seconds, pid] => {
            let streams = streams.parse().expect("STREAMS is a number");
            run_load(streams, seconds.parse().expect("SECONDS is a number"), pid).await;
        }
        _ => eprintln!("usage: relay_cost daemon | relay_cost load STREAMS SECONDS PID"),
    }
}
