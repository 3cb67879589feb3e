//! Gateways of three regions before targets in each of them, with requests that may be served in
//! some regions only.

#[path = "support/process.rs"]
mod process;
#[path = "support/targets.rs"]
mod targets;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_soak::process::{GatewayPlace, GatewayProcess};
use mimosagap_soak::standins::store::StoreStandin;
use mimosagap_soak::standins::target::TargetContext;
use mimosagap_standins::proxy::LinkMode;
use process::{gateway_program, read_head, run};
use serde_json::{Value, json};
use targets::{attempt_id, start_target};

const REGION_COUNT: usize = 3;
const TIMEOUT: Duration = Duration::from_secs(5);

/// Time until a change of the store is in force at all gateways, with a margin: they read changes
/// through one of their region at most 0.8 s after the store has them.
const APPLY_TIME: Duration = Duration::from_secs(2);

/// Time within which a request that cannot be served is to be refused.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(500);

/// Time from the first event of a stream until its engine closes the connection without an end.
const STREAM_TIME: Duration = Duration::from_millis(2_500);

const KEY_OF_R3_TEAM: &str = "key-of-the-team-in-r3";

/// Region and path of the requests that targets received, with the attempt ids.
type Received = Arc<Mutex<Vec<(String, String, String)>>>;

/// Starts a target of a region, which answers calls and generations with the name of its region.
fn start_recorder(region: &str, received: &Received) -> SocketAddr {
    let (region, received) = (region.to_owned(), Arc::clone(received));
    start_target(move |stream| {
        let head = read_head(stream);
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let id = attempt_id(&head).to_owned();
        if path.is_empty() {
            return;
        }
        let is_continued = head.contains("last-event-id: 1\r\n");
        let event_id = if is_continued { 2 } else { 1 };
        let body = format!("id: {event_id}\ndata: {region}\n\n");
        let breaks = path.starts_with("/breaking/") && !is_continued;
        let length = body.len() + usize::from(breaks);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n\
             connection: close\r\ncontent-length: {length}\r\n\r\n{body}"
        );
        let mut requests = received.lock().expect("no target panics");
        requests.push((region.clone(), path, id));
        drop(requests);
        // The gateway may have given the request up.
        let _ = stream.write_all(answer.as_bytes());
        if breaks {
            std::thread::sleep(STREAM_TIME);
        }
    })
}

/// The configuration; routes below `/far/` are restricted to `far_regions`.
fn config(version: u64, far_regions: &[&str]) -> Value {
    let route = |prefix: &str, kind: &str, regions: &[&str], is_public: bool| {
        json!({
            "name": prefix, "hostname": "soak.example", "path_prefix": prefix, "route_kind": kind,
            "timeout_ms": 8000, "target_latency_ms": 300, "priority": 1, "max_attempts": 2,
            "service": if kind == "streaming" { "model" } else { "plain" },
            "target_gap_ms": 200, "public": is_public, "allowed_regions": regions,
            "resumable": prefix == "/breaking/",
        })
    };
    json!({
        "version": version,
        "routes": [
            route("/far/call/", "safe", far_regions, true),
            route("/far/order/", "unsafe", far_regions, true),
            route("/far/stream/", "streaming", far_regions, true),
            route("/breaking/", "streaming", far_regions, true),
            route("/only/call/", "safe", &["r2"], true),
            route("/only/stream/", "streaming", &["r2"], true),
            route("/nowhere/", "safe", &["r9"], true),
            route("/keyed/", "safe", &[], false),
            route("/keyed-public/", "safe", &[], true),
            route("/keyed-only/", "safe", &["r2"], false),
            route("/any/", "safe", &[], true),
        ],
        "services": [
            {"name": "plain"},
            {"name": "model", "engine": {"slots": 200, "kv_capacity": 300_000, "stride": 4}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "idle_timeout_ms": 15000},
        "tenants": [
            {"name": "team-r3", "api_keys": [KEY_OF_R3_TEAM], "allowed_regions": ["r3"]},
        ],
    })
}

/// Sends a request with a body and reads everything until the gateway closes the connection.
fn exchange(gateway: SocketAddr, path: &str, id: &str) -> String {
    let mut stream = TcpStream::connect(gateway).expect("the gateway listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is valid");
    let key = if path.starts_with("/keyed") {
        format!("authorization: Bearer {KEY_OF_R3_TEAM}\r\n")
    } else {
        String::new()
    };
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: soak.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 8000\r\n\
         x-model: m\r\nx-token-usage: 10,40\r\nx-prefix-hash: 1:5,2:5\r\n{key}connection: close\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .expect("the gateway reads");
    let mut response = Vec::new();
    // A broken stream may also end with a reset.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// One gateway in each of the regions `r1` to `r3`, which have two targets each. The first gateway
/// has links of its own to the targets.
struct Fleet {
    gateways: Vec<GatewayProcess>,
    store: Rc<StoreStandin>,
    received: Received,
    links: Rc<TargetContext>,
    directory: PathBuf,
}

impl Fleet {
    async fn start(base_port: u16) -> Self {
        let store = Rc::new(StoreStandin::default());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let store_address = listener.local_addr().expect("the listener is bound");
        store.serve(listener);
        let links: Rc<TargetContext> = Rc::default();
        links.detours.enable();
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let detoured_address = listener.local_addr().expect("the listener is bound");
        store.serve_detoured(listener, &links);
        store.put("op/config", &config(1, &["r2", "r3"]));
        let received = Received::default();
        for number in 1..=REGION_COUNT {
            for service in ["plain", "model"] {
                let address = start_recorder(&format!("r{number}"), &received);
                links.detours.add(address).await.expect("a port is free");
                let entry = json!({
                    "service": service, "address": address.to_string(),
                    "zone": format!("z{number}"), "version": "v1", "slots": 200,
                    "cold_remaining_ms": 0, "state": "ready", "sequence": 1, "born": 1,
                });
                store.put(&format!("servers/i-{service}-r{number}"), &entry);
            }
        }
        let directory = std::env::temp_dir().join(format!(
            "mimosagap-residency-{base_port}-{}",
            std::process::id()
        ));
        std::fs::create_dir_all(&directory).expect("the folder can be made");
        let start = |index| {
            let place = GatewayPlace {
                index,
                region_count: REGION_COUNT,
            };
            let store_address = if index == 0 {
                detoured_address
            } else {
                store_address
            };
            let program = gateway_program();
            GatewayProcess::start(&program, &directory, place, base_port, store_address)
                .expect("the gateway starts")
        };
        let gateways = (0..REGION_COUNT).map(start).collect();
        tokio::time::sleep(APPLY_TIME).await;
        Self {
            gateways,
            store,
            received,
            links,
            directory,
        }
    }

    /// Sends a request to each gateway. Returns the responses, and how long each took.
    async fn send_to_all(&self, path: &'static str) -> Vec<(String, Duration)> {
        let mut responses = Vec::new();
        for (number, gateway) in (0..).zip(&self.gateways) {
            let (address, id) = (gateway.client_address, format!("{path}-{number}"));
            let started_at = Instant::now();
            let response = tokio::task::spawn_blocking(move || exchange(address, path, &id));
            let response = response.await.expect("the exchange ends");
            responses.push((response, started_at.elapsed()));
        }
        responses
    }

    /// Sends a request to each gateway, all of which must be served in one of these regions.
    async fn expect_served(&self, path: &'static str, regions: &[&str]) {
        self.received.lock().expect("no target panics").clear();
        for (response, _) in self.send_to_all(path).await {
            assert!(response.starts_with("HTTP/1.1 200"), "{path}: {response}");
        }
        let received = self.received.lock().expect("no target panics");
        for (region, received_path, id) in received.iter() {
            assert_eq!(received_path, path, "{id}");
            assert!(
                regions.contains(&region.as_str()),
                "{id} was sent to {region}"
            );
        }
        assert_eq!(received.len(), self.gateways.len(), "{received:?}");
    }

    /// Sends a request to each gateway, all of which must refuse it at once.
    async fn expect_refused(&self, path: &'static str) {
        self.received.lock().expect("no target panics").clear();
        for (response, elapsed) in self.send_to_all(path).await {
            assert!(response.starts_with("HTTP/1.1 503"), "{path}: {response}");
            assert!(response.contains("no_target"), "{path}: {response}");
            assert!(response.contains("retry-after"), "{path}: {response}");
            assert!(elapsed < MAX_REFUSAL_TIME, "{path}: {elapsed:?}");
        }
        let received = self.received.lock().expect("no target panics");
        assert!(received.is_empty(), "{received:?}");
    }

    /// The hosts whose addresses a caller in a region gets for the name of all routes.
    async fn looked_up_hosts(&self, region: usize) -> Vec<usize> {
        let status = SocketAddr::new(
            self.gateways[0].client_address.ip(),
            self.gateways[0].client_address.port() + 2,
        );
        let request = format!(
            "GET /lookup?name=soak.example&region=r{region}&zone=z{region} HTTP/1.1\r\n\
             host: lookup\r\nconnection: close\r\n\r\n"
        );
        let response = tokio::task::spawn_blocking(move || {
            let mut stream = TcpStream::connect(status).expect("the gateway listens");
            stream
                .write_all(request.as_bytes())
                .expect("the gateway reads");
            let mut response = String::new();
            let result = stream.read_to_string(&mut response);
            result.map(|_| response).expect("the gateway answers")
        });
        let response = response.await.expect("the exchange ends");
        let is_listed = |gateway: &GatewayProcess| {
            let address = format!("\"{}\"", gateway.client_address);
            response.contains(&address)
        };
        let hosts = self.gateways.iter().enumerate();
        hosts
            .filter(|(_, gateway)| is_listed(gateway))
            .map(|(index, _)| index)
            .collect()
    }

    /// The log lines of an event at all gateways.
    fn log_lines(&self, event: &str) -> Vec<Value> {
        let texts = self.gateways.iter().map(|gateway| {
            std::fs::read_to_string(gateway.log_path()).expect("the log can be read")
        });
        texts
            .flat_map(|text| text.lines().map(str::to_owned).collect::<Vec<_>>())
            .filter_map(|line| serde_json::from_str::<Value>(&line).ok())
            .filter(|line| line["event"] == event)
            .collect()
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        for gateway in &mut self.gateways {
            gateway.kill();
        }
        // A folder that is left in the directory for temporary files does no harm.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

fn texts<'a>(lines: &'a [Value], field: &str) -> BTreeSet<&'a str> {
    let fields = lines.iter().map(|line| &line[field]);
    fields.filter_map(Value::as_str).collect()
}

/// Guards against restricted requests that reach a target or a host of another region, at hosts of
/// all regions, before and after the targets of an allowed region are gone and the lists change.
#[test]
fn restricted_requests_stay_in_their_regions() {
    run(async {
        let fleet = Fleet::start(27_000).await;
        for path in ["/far/call/x", "/far/order/x", "/far/stream/x"] {
            fleet.expect_served(path, &["r2", "r3"]).await;
        }
        for path in ["/only/call/x", "/only/stream/x"] {
            fleet.expect_served(path, &["r2"]).await;
        }
        for path in ["/keyed/x", "/keyed-public/x"] {
            fleet.expect_served(path, &["r3"]).await;
        }
        fleet.expect_served("/any/x", &["r1", "r2", "r3"]).await;
        // The lists of the route and of the team have no region in common.
        fleet.expect_refused("/keyed-only/x").await;
        fleet.expect_refused("/nowhere/x").await;

        // The host of `r1` is cut off from all targets, and hands its requests to the host of `r2`.
        fleet.links.detours.set_mode(Some(LinkMode::Cut));
        for path in ["/only/call/c", "/only/stream/c"] {
            fleet.expect_served(path, &["r2"]).await;
        }
        fleet.links.detours.set_mode(None);
        tokio::time::sleep(APPLY_TIME).await;

        for service in ["plain", "model"] {
            fleet.store.remove(&format!("servers/i-{service}-r2"));
        }
        tokio::time::sleep(APPLY_TIME).await;
        for path in ["/far/call/y", "/far/order/y", "/far/stream/y"] {
            fleet.expect_served(path, &["r3"]).await;
        }
        for path in ["/only/call/y", "/only/stream/y"] {
            fleet.expect_refused(path).await;
        }

        fleet.store.put("op/config", &config(2, &["r1"]));
        tokio::time::sleep(APPLY_TIME).await;
        for path in ["/far/call/z", "/far/order/z", "/far/stream/z"] {
            fleet.expect_served(path, &["r1"]).await;
        }
        // The routes allow `r1` or `r2`, and each region has one host.
        assert_eq!(fleet.looked_up_hosts(1).await, [0, 1]);
        assert_eq!(fleet.looked_up_hosts(3).await, [0, 1, 2]);

        // The log is written every half second.
        tokio::time::sleep(Duration::from_secs(1)).await;
        let relayed = fleet.log_lines("relayed");
        assert_eq!(texts(&relayed, "host"), BTreeSet::from(["gateway-1"]));
        assert!(texts(&relayed, "outcome").contains("served"), "{relayed:?}");
        let decisions = fleet.log_lines("residency");
        for line in &decisions {
            let regions = line["regions"].as_str().expect("a line names the regions");
            let region = line["region"].as_str().expect("a line names the region");
            assert!(
                region.is_empty() || regions.split(',').any(|it| it == region),
                "{line}"
            );
        }
        let results = texts(&decisions, "result");
        for result in ["sent", "relayed", "no_target"] {
            assert!(results.contains(result), "{results:?}");
        }
        // Once per version at each gateway.
        let unknown = fleet.log_lines("region_unknown");
        assert_eq!(texts(&unknown, "region"), BTreeSet::from(["r9"]));
        assert_eq!(unknown.len(), 2 * REGION_COUNT, "{unknown:?}");
    });
}

/// Guards against a stream that goes on in a region which only the list of its begin or only the one
/// in force allows. It begins at the host of `r2`, and its engine fails after the list has changed.
#[test]
fn a_running_stream_keeps_the_list_with_which_it_began() {
    let cases: [(&[&str], &[&str]); 2] = [(&["r1", "r3"], &["r2", "r3"]), (&["r1"], &["r2"])];
    for (next_list, expected) in cases {
        run(async {
            let fleet = Fleet::start(27_040).await;
            let address = fleet.gateways[1].client_address;
            let stream =
                tokio::task::spawn_blocking(move || exchange(address, "/breaking/x", "stream"));
            tokio::time::sleep(Duration::from_millis(300)).await;
            fleet.store.put("op/config", &config(2, next_list));
            let response = stream.await.expect("the exchange ends");
            let received = fleet.received.lock().expect("no target panics").clone();
            // The failed engine may also get an order to stop, which carries nothing of the request.
            let of_stream = received.iter().filter(|(_, path, _)| path == "/breaking/x");
            let regions: Vec<&str> = of_stream.map(|(region, _, _)| region.as_str()).collect();
            assert_eq!(regions, expected);
            assert_eq!(
                response.contains("id: 2"),
                expected.len() == 2,
                "{response}"
            );
        });
    }
}

/// In a large fleet, a host of another region asks the placer of the allowed one. Guards against
/// requests that are not served when that placer has just been killed.
#[test]
fn a_large_fleet_is_served_with_and_without_the_placer_of_an_allowed_region() {
    run(async {
        let mut fleet = Fleet::start(27_070).await;
        // More hosts than a small fleet has, in a region of their own, so that they place nothing.
        for number in 0..16 {
            let record = json!({
                "callers": "127.0.0.1:9", "peers": "127.0.0.1:9", "zone": "z8", "region": "r8",
                "capacity": {"processor_permille": 0, "link_mbps": 0},
            });
            fleet
                .store
                .put(&format!("mimosagap/hosts/absent-{number}"), &record);
        }
        tokio::time::sleep(APPLY_TIME).await;
        let is_silent_placer =
            |line: &Value| line["what"] == "the placer of a region does not respond";
        fleet.expect_served("/only/stream/x", &["r2"]).await;
        fleet.gateways.remove(1).kill();
        fleet.expect_served("/only/stream/y", &["r2"]).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        let troubles = fleet.log_lines("trouble");
        // Each of the two hosts asked the placer that was killed, and no other.
        let silent: Vec<&Value> = troubles
            .iter()
            .filter(|line| is_silent_placer(line))
            .collect();
        assert_eq!(silent.len(), 2, "{silent:?}");
    });
}
