//! Gateway processes before an evacuated zone, a cold engine, and a killed gateway.

mod support;
#[path = "support/targets.rs"]
mod targets;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use mimosagap_soak::process::{GatewayPlace, GatewayProcess};
use mimosagap_soak::standins::store::{StoreMode, StoreStandin};
use serde_json::json;
use support::{Scene, read_head};
use targets::{attempt_id, start_target};

const EVACUATION_KEY: &str = "op/evacuate/z1";

/// Time within which a change of the store is in force.
const NOTICE_TIME: Duration = Duration::from_millis(1500);

/// When requests reached a target.
type Arrivals = Arc<Mutex<Vec<Instant>>>;

/// Starts a target that answers each request at once, and records when it arrived.
fn start_recording_target() -> (SocketAddr, Arrivals) {
    let arrivals = Arrivals::default();
    let recorded = Arc::clone(&arrivals);
    let address = start_target(move |stream| {
        loop {
            let request = read_head(stream);
            if request.is_empty() {
                return;
            }
            recorded
                .lock()
                .expect("no thread panics")
                .push(Instant::now());
            let id = attempt_id(&request);
            let answer = format!(
                "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n\
                 content-length: 17\r\n\r\nid: 1\ndata: end\n\n"
            );
            if stream.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
    (address, arrivals)
}

async fn start_scene(target: SocketAddr, base_port: u16) -> (Scene, Rc<StoreStandin>) {
    let mut store = None;
    let scene = Scene::start(target, base_port, |started| {
        // A copy for a later restore.
        started.expire_leases();
        store = Some(Rc::clone(started));
    });
    let scene = scene.await;
    (scene, store.expect("the store is prepared"))
}

async fn statuses(scene: &Scene) -> [String; 3] {
    let mut statuses = [const { String::new() }; 3];
    let paths = ["/safe/x", "/once/x", "/stream/x"];
    for (status, path) in statuses.iter_mut().zip(paths) {
        let response = scene.exchange(path, "a1").await;
        let code = response.split(' ').nth(1).unwrap_or_default();
        code.clone_into(status);
    }
    statuses
}

/// Guards against requests in an evacuated zone: after the key, during an outage of the store, and
/// at a gateway that is restarted. The only zone of the services is refused as without targets.
#[test]
fn an_evacuated_zone_gets_nothing() {
    support::run(async {
        let (target, arrivals) = start_recording_target();
        let (mut scene, store) = start_scene(target, 27_100).await;
        assert_eq!(statuses(&scene).await, ["200"; 3]);
        store.put(EVACUATION_KEY, &json!({}));
        tokio::time::sleep(NOTICE_TIME).await;
        let count = || arrivals.lock().expect("no thread panics").len();
        let before = count();
        assert_eq!(statuses(&scene).await, ["503"; 3]);
        store.set_mode(StoreMode::Silent);
        tokio::time::sleep(NOTICE_TIME).await;
        assert_eq!(statuses(&scene).await, ["503"; 3]);
        store.set_mode(StoreMode::Well);
        scene.gateway.kill();
        scene.gateway.spawn().expect("the gateway starts");
        tokio::time::sleep(NOTICE_TIME).await;
        assert_eq!(statuses(&scene).await, ["503"; 3]);
        assert_eq!(count(), before, "requests reached the zone");
        store.remove(EVACUATION_KEY);
        tokio::time::sleep(NOTICE_TIME).await;
        assert_eq!(statuses(&scene).await, ["200"; 3]);
    });
}

/// Guards against requests in the zone while operators write their keys again, and against an
/// evacuation that never ends because its key is lost.
#[test]
fn an_evacuation_outlives_an_older_copy_of_the_store() {
    support::run(async {
        let (target, arrivals) = start_recording_target();
        let (scene, store) = start_scene(target, 27_110).await;
        store.put(EVACUATION_KEY, &json!({}));
        tokio::time::sleep(NOTICE_TIME).await;
        store.restore(Duration::from_secs(1));
        assert!(!store.has_key(EVACUATION_KEY), "the copy lacks the key");
        for _ in 0..4 {
            tokio::time::sleep(Duration::from_secs(2)).await;
            assert_eq!(statuses(&scene).await, ["503"; 3]);
        }
        assert_eq!(arrivals.lock().expect("no thread panics").len(), 0);
        tokio::time::sleep(Duration::from_secs(5)).await;
        assert_eq!(statuses(&scene).await, ["200"; 3]);
    });
}

/// Guards against more requests to an engine than it sustains cold, from a gateway that knows
/// nothing of it but its service's rate.
#[test]
fn an_engine_gets_its_cold_rate() {
    let (target, arrivals) = start_recording_target();
    support::run(async {
        let (scene, store) = start_scene(target, 27_120).await;
        let mut config = support::config();
        config["version"] = json!(2);
        config["services"][1]["cold_per_s"] = json!(4);
        config["services"][1]["cold_start_s"] = json!(20);
        store.put("op/config", &config);
        tokio::time::sleep(NOTICE_TIME).await;
        let scene = Rc::new(scene);
        let callers: Vec<_> = (0..8)
            .map(|_| {
                let scene = Rc::clone(&scene);
                tokio::task::spawn_local(async move {
                    for _ in 0..12 {
                        scene.exchange("/stream/x", "a1").await;
                        tokio::time::sleep(Duration::from_millis(100)).await;
                    }
                })
            })
            .collect();
        for caller in callers {
            caller.await.expect("the caller ends");
        }
    });
    let arrivals = arrivals.lock().expect("no thread panics").clone();
    let within_second = |start: &Instant| {
        let second = *start..*start + Duration::from_secs(1);
        arrivals.iter().filter(|at| second.contains(at)).count()
    };
    let worst = arrivals.iter().map(within_second).max().unwrap_or(0);
    assert!(arrivals.len() >= 3, "{} requests arrived", arrivals.len());
    assert!(worst <= 11, "{worst} requests in a second, allowed are 11");
}

fn look_up(gateway: SocketAddr) -> String {
    let address = SocketAddr::new(gateway.ip(), gateway.port() + 2);
    let mut stream = TcpStream::connect(address).expect("the gateway listens");
    stream
        .write_all(
            b"GET /lookup?zone=z1&region=r1 HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n",
        )
        .expect("the gateway reads");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .expect("the gateway responds");
    response
}

fn program() -> PathBuf {
    let mut directory = std::env::current_exe().expect("a test has a path");
    directory.pop();
    directory.pop();
    directory.join("mimosagapd")
}

/// Guards against the address of a killed gateway in answers while the store is away and keeps its
/// record.
#[test]
fn a_killed_gateway_is_left_out_while_the_store_is_away() {
    support::run(async {
        let (target, _) = start_recording_target();
        let store = Rc::new(StoreStandin::default());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await;
        let listener = listener.expect("a port is free");
        let store_address = listener.local_addr().expect("the listener is bound");
        store.serve(listener);
        store.put("op/config", &support::config());
        let entry = json!({
            "service": "plain", "address": target.to_string(), "zone": "z1", "version": "v1",
            "slots": 8, "state": "ready", "born": 1,
        });
        store.put("servers/i-plain", &entry);
        let directory =
            std::env::temp_dir().join(format!("mimosagap-hosts-{}", std::process::id()));
        std::fs::create_dir_all(&directory).expect("the folder can be made");
        let mut gateways: Vec<GatewayProcess> = (0..3)
            .map(|index| {
                let place = GatewayPlace {
                    index,
                    region_count: 1,
                };
                GatewayProcess::start(&program(), &directory, place, 27_140, store_address)
                    .expect("the gateway starts")
            })
            .collect();
        for gateway in &mut gateways {
            let restarted = gateway.restart_with_contracts(&["places"]);
            restarted.expect("the gateway starts again");
        }
        tokio::time::sleep(Duration::from_secs(6)).await;
        let addresses: Vec<SocketAddr> = gateways.iter().map(|host| host.client_address).collect();
        let killed = addresses[2].to_string();
        let answer = tokio::task::spawn_blocking({
            let first = addresses[0];
            move || look_up(first)
        });
        let answer = answer.await.expect("the lookup ends");
        assert!(answer.contains(&killed), "{answer}");
        store.set_mode(StoreMode::Silent);
        gateways[2].kill();
        tokio::time::sleep(Duration::from_secs(8)).await;
        for (observer, other) in [(0, 1), (1, 0)] {
            let gateway = addresses[observer];
            let answer = tokio::task::spawn_blocking(move || look_up(gateway)).await;
            let answer = answer.expect("the lookup ends");
            assert!(answer.contains(&addresses[other].to_string()), "{answer}");
            assert!(!answer.contains(&killed), "{answer}");
        }
        drop(gateways);
        // A folder that is left in the directory for temporary files does no harm.
        let _ = std::fs::remove_dir_all(&directory);
    });
}
