//! A sound request that many callers repeat, and instances of a service that crash for other reasons.

mod support;

use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use mimosagap_soak::standins::store::StoreStandin;
use serde_json::json;
use support::{Scene, read_head};

/// Time to answer a request.
const WORK_TIME: Duration = Duration::from_millis(200);

/// Time for the gateway to learn of a changed entry, and to notice a crash.
const NOTICE_TIME: Duration = Duration::from_millis(700);

/// Crashes, one more than block a request.
const CRASHES: u64 = 4;

/// An instance of the service, which a test crashes.
struct Instance {
    address: SocketAddr,
    has_crashed: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

impl Instance {
    fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let instance = Self {
            address: listener.local_addr().expect("the listener is bound"),
            has_crashed: Arc::default(),
            connections: Arc::default(),
        };
        let has_crashed = Arc::clone(&instance.has_crashed);
        let connections = Arc::clone(&instance.connections);
        std::thread::spawn(move || {
            for stream in listener.incoming() {
                if has_crashed.load(Ordering::SeqCst) {
                    // Ends the listener: connections are refused from now on.
                    return;
                }
                let mut stream = stream.expect("connections are accepted");
                let kept = stream.try_clone().expect("the connection is open");
                connections.lock().expect("no thread panics").push(kept);
                std::thread::spawn(move || answer(&mut stream));
            }
        });
        instance
    }

    fn register(&self, store: &StoreStandin, number: u64) {
        let entry = json!({
            "service": "plain", "address": self.address.to_string(), "zone": "z1", "version": "v1",
            "slots": 8, "cold_remaining_ms": 0, "state": "ready", "sequence": 1, "born": number + 1,
        });
        store.put("servers/i-plain", &entry);
    }

    fn crash(&self) {
        self.has_crashed.store(true, Ordering::SeqCst);
        // Wakes the listener.
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().expect("no thread panics").iter() {
            // The gateway may have closed it.
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn answer(stream: &mut TcpStream) {
    loop {
        let request = read_head(stream);
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("x-attempt-id: "));
        let Some(id) = id else {
            return;
        };
        std::thread::sleep(WORK_TIME);
        let head =
            format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n");
        if write!(stream, "{head}content-length: 4\r\n\r\ndone").is_err() {
            return;
        }
    }
}

/// Instances of a plain service crash while a polled request is in flight. It is answered between the
/// crashes, and was refused for as long as callers asked for it.
#[test]
fn a_polled_request_of_a_plain_service_is_blocked_after_crashes() {
    let response = support::run(async {
        let mut instance = Instance::start();
        let mut store = None;
        // A target that accepts connections shows that the gateway is not cut off.
        let other = TcpListener::bind("127.0.0.1:0").expect("a port is free");
        let other_address = other.local_addr().expect("the listener is bound");
        let scene = Scene::start(other_address, 24_770, |started| {
            store = Some(Rc::clone(started));
        })
        .await;
        let store = store.expect("the store is prepared");
        for number in 0..CRASHES {
            instance.register(&store, number);
            tokio::time::sleep(NOTICE_TIME).await;
            let response = scene.exchange("/once/news", "a1").await;
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
            let crash = async {
                tokio::time::sleep(WORK_TIME / 2).await;
                instance.crash();
            };
            let (response, ()) = tokio::join!(scene.exchange("/once/news", "a2"), crash);
            assert!(response.starts_with("HTTP/1.1 502"), "{response:?}");
            tokio::time::sleep(NOTICE_TIME).await;
            instance = Instance::start();
        }
        instance.register(&store, CRASHES);
        tokio::time::sleep(NOTICE_TIME).await;
        scene.exchange("/once/news", "a3").await
    });
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}
