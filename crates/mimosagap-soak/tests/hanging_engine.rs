//! An engine that accepts generations and answers nothing: a host that has sent it none must learn
//! of it from the host that has.

mod support;
#[path = "support/targets.rs"]
mod targets;

use std::io::Write;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use mimosagap_soak::process::{GatewayPlace, GatewayProcess};
use serde_json::json;
use support::{Scene, exchange, gateway_program, read_head, run};
use targets::{attempt_id, start_target};
use tokio::task::spawn_blocking;

const BASE_PORT: u16 = 27_200;

/// Starts an engine that names itself in its only event, once `answers` is set.
fn start_engine(name: &'static str, answers: &Arc<AtomicBool>) -> SocketAddr {
    let answers = Arc::clone(answers);
    start_target(move |stream| {
        let request = read_head(stream);
        while !answers.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let id = attempt_id(&request);
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n\r\n\
             id: 1\ndata: {name}\n\n"
        );
        // A connection that only checks the link is closed without a request.
        let _ = stream.write_all(response.as_bytes());
    })
}

/// Sends a generation to a gateway and returns its response.
async fn generate(gateway: SocketAddr, id: &'static str) -> String {
    let response = spawn_blocking(move || exchange(gateway, ("/stream/x", id))).await;
    response.expect("the exchange ends")
}

/// Guards against a second host losing its generations at an engine that hangs, and against avoiding
/// the engine after it has answered. The other engines are in another region, so that only the
/// suspicion makes a host prefer them.
#[test]
fn a_host_learns_from_another_one_that_an_engine_hangs() {
    let near_answers = Arc::new(AtomicBool::new(false));
    let near = start_engine("near", &near_answers);
    let far = start_engine("far", &Arc::new(AtomicBool::new(true)));
    run(async {
        let mut store = None;
        let mut scene = Scene::start(near, BASE_PORT, |started| {
            for number in 1..=2 {
                let entry = json!({
                    "service": "model", "address": far.to_string(), "zone": "z9",
                    "version": "v1", "slots": 200, "cold_remaining_ms": 0,
                    "state": "ready", "sequence": 1, "born": 1,
                });
                started.put(&format!("servers/i-far-{number}"), &entry);
            }
            store = Some(Rc::clone(started));
        })
        .await;
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let store_address = listener.local_addr().expect("the listener is bound");
        store.expect("the store is prepared").serve(listener);
        let directory = scene.gateway.log_path().with_file_name("");
        let place = GatewayPlace {
            index: 1,
            region_count: 1,
        };
        let program = gateway_program();
        let mut other =
            GatewayProcess::start(&program, &directory, place, BASE_PORT, store_address)
                .expect("the gateway starts");
        for gateway in [&mut scene.gateway, &mut other] {
            let restarted = gateway.restart_with_contracts(&["health"]);
            restarted.expect("the gateway starts again");
        }
        tokio::time::sleep(Duration::from_millis(2500)).await;

        let (first, second) = tokio::join!(scene.exchange("/stream/x", "a1"), async {
            tokio::time::sleep(Duration::from_millis(1800)).await;
            let second = generate(other.client_address, "b1").await;
            near_answers.store(true, Ordering::Relaxed);
            second
        });
        assert!(second.contains("data: far"), "{second:?}");
        assert!(first.contains("data: near"), "{first:?}");
        tokio::time::sleep(Duration::from_millis(300)).await;
        let third = generate(other.client_address, "c1").await;
        assert!(third.contains("data: near"), "{third:?}");
    });
}
