//! A target that never answers a request, and a caller that leaves while two targets run it. In
//! both cases a target that runs a request nobody waits for must see its connection closed.

mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use mimosagap_soak::standins::store::StoreStandin;
use rstest::rstest;
use serde_json::json;
use support::{Scene, read_head, run, send_request};

/// Answered calls after which response times are learned and the retry budget allows hedges.
const WARM_UP_CALLS: usize = 80;

/// Time for a target to notice a closed connection on a busy machine; the call's deadline is later.
const NOTICE_TIME: Duration = Duration::from_secs(2);

/// Both targets of the service.
#[derive(Default)]
struct Targets {
    /// Calls that get no answer from now on, at whichever target they arrive.
    silent_calls: AtomicUsize,
    /// Calls without an answer whose connection the gateway closed.
    closed_calls: AtomicUsize,
}

impl Targets {
    fn start(self: &Arc<Self>) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let address = listener.local_addr().expect("the listener is bound");
        let targets = Arc::clone(self);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                let targets = Arc::clone(&targets);
                let stream = stream.expect("connections are accepted");
                std::thread::spawn(move || targets.answer(stream));
            }
        });
        address
    }

    fn answer(&self, mut stream: TcpStream) {
        loop {
            let request = read_head(&mut stream);
            let Some(id) = request
                .lines()
                .find_map(|line| line.strip_prefix("x-attempt-id: "))
            else {
                return;
            };
            let silence =
                self.silent_calls
                    .fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| {
                        left.checked_sub(1)
                    });
            if silence.is_ok() {
                // Ends with the connection, or after the time limit of the read.
                let began_at = Instant::now();
                read_head(&mut stream);
                if began_at.elapsed() < NOTICE_TIME {
                    self.closed_calls.fetch_add(1, Ordering::SeqCst);
                }
                return;
            }
            let body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
            let response = format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n\
                 content-length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(response.as_bytes()).is_err() {
                return;
            }
        }
    }

    async fn wait_for_closed(&self, count: usize) {
        let began_at = Instant::now();
        while self.closed_calls.load(Ordering::SeqCst) < count {
            assert!(began_at.elapsed() < NOTICE_TIME, "attempts were not closed");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

fn prepare_store(store: &Rc<StoreStandin>, second: SocketAddr) {
    for service in ["plain", "model"] {
        let entry = json!({
            "service": service, "address": second.to_string(), "zone": "z1", "version": "v1",
            "slots": 200, "cold_remaining_ms": 0, "state": "ready", "sequence": 1, "born": 1,
        });
        store.put(&format!("servers/i-{service}-2"), &entry);
    }
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": prefix, "hostname": "soak.example", "path_prefix": prefix, "route_kind": kind,
            "timeout_ms": 3500, "target_latency_ms": 300, "priority": 1, "service": service,
            "max_attempts": 2, "target_gap_ms": 200, "public": true, "resumable": true,
        })
    };
    let config = json!({
        "version": 2,
        "routes": [route("/safe/", "safe", "plain"), route("/stream/", "streaming", "model")],
        "services": [
            {"name": "plain"},
            {"name": "model", "engine": {"slots": 200, "kv_capacity": 300_000, "stride": 4}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "idle_timeout_ms": 15000},
        "tenants": [],
    });
    store.put("op/config", &config);
}

/// A limit on hedges.
const LIMIT: &str = "\n[hedging]\nmax_extra_ratio = 0.3\n";

/// Starts a gateway with these further settings before two targets and lets it learn.
async fn start_scene(
    base_port: u16,
    targets: &Arc<Targets>,
    path: &'static str,
    further_settings: &str,
) -> Scene {
    let (first, second) = (targets.start(), targets.start());
    let mut scene = Scene::start(first, base_port, |store| prepare_store(store, second)).await;
    scene.gateway.kill();
    let settings_path: PathBuf = scene.gateway.log_path().with_file_name("gateway-0.toml");
    let mut settings = std::fs::File::options()
        .append(true)
        .open(settings_path)
        .expect("the gateway has settings");
    settings
        .write_all(further_settings.as_bytes())
        .expect("the file can be written");
    scene.gateway.spawn().expect("the gateway starts again");
    // The share of the retry slack is known after three seconds.
    tokio::time::sleep(Duration::from_secs(4)).await;
    for _ in 0..WARM_UP_CALLS {
        let response = scene.exchange(path, "w1").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    }
    scene
}

/// The outcomes of the hedges of an attempt in the log.
async fn outcomes(scene: &Scene, id: &str) -> Vec<String> {
    // The log is written in batches.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let log = std::fs::read_to_string(scene.gateway.log_path()).expect("the gateway has a log");
    log.lines()
        .filter_map(|line| serde_json::from_str::<serde_json::Value>(line).ok())
        .filter(|line| line["event"] == "hedge" && line["id"] == id)
        .map(|line| line["outcome"].as_str().unwrap_or_default().to_owned())
        .collect()
}

/// Guards against a call that waits for a silent target until its deadline, and against a first
/// attempt that runs on after the second has won.
#[rstest]
#[case::call("/safe/x", 27_400)]
#[case::stream("/stream/x", 27_420)]
fn a_request_to_a_silent_target_is_answered_by_another_and_cancelled(
    #[case] path: &'static str,
    #[case] base_port: u16,
) {
    let targets = Arc::new(Targets::default());
    run(async {
        let scene = start_scene(base_port, &targets, path, LIMIT).await;
        targets.silent_calls.store(1, Ordering::SeqCst);
        let response = scene.exchange(path, "a1").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        targets.wait_for_closed(1).await;
        assert_eq!(outcomes(&scene, "a1").await, ["won"]);
    });
}

/// Guards against attempts that run on when nobody waits for them: both, not only the first.
#[rstest]
#[case::call("/safe/x", 27_440)]
#[case::stream("/stream/x", 27_460)]
fn both_attempts_are_cancelled_when_the_caller_leaves(
    #[case] path: &'static str,
    #[case] base_port: u16,
) {
    let targets = Arc::new(Targets::default());
    run(async {
        let scene = start_scene(base_port, &targets, path, LIMIT).await;
        targets.silent_calls.store(2, Ordering::SeqCst);
        let mut caller =
            TcpStream::connect(scene.gateway.client_address).expect("the gateway listens");
        send_request(&mut caller, path, "a1");
        let began_at = Instant::now();
        while targets.silent_calls.load(Ordering::SeqCst) > 0 {
            assert!(began_at.elapsed() < NOTICE_TIME, "the call was not hedged");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        drop(caller);
        targets.wait_for_closed(2).await;
        assert_eq!(outcomes(&scene, "a1").await, ["abandoned"]);
    });
}

/// Guards today's behaviour without a limit: one hedge of an idempotent call at 0.75 of its latency
/// objective of 300 ms, without a line in the log.
#[test]
fn a_call_without_a_limit_is_hedged_as_before() {
    let targets = Arc::new(Targets::default());
    run(async {
        let scene = start_scene(27_480, &targets, "/safe/x", "").await;
        targets.silent_calls.store(1, Ordering::SeqCst);
        let began_at = Instant::now();
        let response = scene.exchange("/safe/x", "a1").await;
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        assert!(began_at.elapsed() >= Duration::from_millis(225));
        targets.wait_for_closed(1).await;
        assert!(outcomes(&scene, "a1").await.is_empty());
    });
}
