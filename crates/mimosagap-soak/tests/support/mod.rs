//! One gateway before one target, which a test plays by itself.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_soak::process::{GatewayLimits, GatewayPlace, GatewayProcess};
use mimosagap_soak::standins::store::StoreStandin;
use serde_json::json;

#[path = "process.rs"]
mod process;

pub use process::{gateway_program, read_head, run};

const TIMEOUT: Duration = Duration::from_secs(5);

/// Sends a request to a gateway, which closes the connection after its response.
pub fn send_request(stream: &mut TcpStream, path: &str, id: &str) {
    let resumption = if path.starts_with("/resumable/") {
        "last-event-id: 1\r\nresumes: a0\r\n"
    } else {
        ""
    };
    let prompt = if path.starts_with("/once/") {
        ""
    } else {
        "x-model: m\r\nx-token-usage: 10,40\r\nx-prefix-hash: 1:5,2:5\r\n"
    };
    let request = format!(
        "GET {path} HTTP/1.1\r\nhost: soak.example\r\nx-attempt-id: {id}\r\nx-deadline-ms: 3000\r\n\
         {prompt}{resumption}connection: close\r\n\r\n"
    );
    stream
        .write_all(request.as_bytes())
        .expect("the gateway reads");
}

/// Sends a request to the gateway and reads everything until it closes the connection.
pub fn exchange(gateway: SocketAddr, (path, id): (&str, &str)) -> String {
    let mut stream = TcpStream::connect(gateway).expect("the gateway listens");
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is valid");
    send_request(&mut stream, path, id);
    let mut response = Vec::new();
    // A broken stream may also end with a reset.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// A gateway process with its store and one target for all services.
pub struct Scene {
    /// The gateway.
    pub gateway: GatewayProcess,
    directory: PathBuf,
}

impl Scene {
    /// Prepares the store and starts the gateway.
    #[allow(dead_code, reason = "each test uses one of the two constructors")]
    pub async fn start(
        target: SocketAddr,
        base_port: u16,
        prepare_store: impl FnOnce(&Rc<StoreStandin>),
    ) -> Self {
        let limits = GatewayLimits::default();
        Self::start_with_limits(target, base_port, limits, prepare_store).await
    }

    /// Like [`Self::start`], with the resources of a certain machine.
    pub async fn start_with_limits(
        target: SocketAddr,
        base_port: u16,
        limits: GatewayLimits,
        prepare_store: impl FnOnce(&Rc<StoreStandin>),
    ) -> Self {
        let store = Rc::new(StoreStandin::default());
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0")
            .await
            .expect("a port is free");
        let store_address = listener.local_addr().expect("the listener is bound");
        store.serve(listener);
        store.put("op/config", &config());
        for service in ["plain", "model"] {
            let entry = json!({
                "service": service, "address": target.to_string(), "zone": "z1", "version": "v1",
                "slots": 200, "cold_remaining_ms": 0,
                "state": "ready", "sequence": 1, "born": 1,
            });
            store.put(&format!("servers/i-{service}"), &entry);
        }
        prepare_store(&store);
        let directory = std::env::temp_dir().join(format!(
            "mimosagap-target-{base_port}-{}",
            std::process::id()
        ));
        std::fs::create_dir_all(&directory).expect("the folder can be made");
        let place = GatewayPlace {
            index: 0,
            region_count: 1,
        };
        let program = gateway_program();
        let gateway = GatewayProcess::start_with_limits(
            &program,
            &directory,
            place,
            base_port,
            store_address,
            limits,
        )
        .expect("the gateway starts");
        tokio::time::sleep(Duration::from_secs(1)).await;
        Self { gateway, directory }
    }

    /// Sends a request with this path and attempt id. Returns what the gateway responds until it
    /// closes the connection.
    pub async fn exchange(&self, path: &'static str, id: &'static str) -> String {
        let address = self.gateway.client_address;
        let response = tokio::task::spawn_blocking(move || exchange(address, (path, id))).await;
        response.expect("the exchange ends")
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        self.gateway.kill();
        // A folder that is left in the directory for temporary files does no harm.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// The configuration of the scenes, with a plain service and one with engines.
#[must_use]
pub fn config() -> serde_json::Value {
    let route = |prefix: &str, kind: &str, service: &str| {
        json!({
            "name": prefix, "hostname": "soak.example", "path_prefix": prefix, "route_kind": kind,
            "timeout_ms": 3500, "target_latency_ms": 300, "priority": 1, "service": service,
            "max_attempts": 1, "target_gap_ms": 200, "public": true,
            "resumable": prefix == "/resumable/",
        })
    };
    json!({
        "version": 1,
        "routes": [
            route("/safe/", "safe", "plain"),
            route("/once/", "unsafe", "plain"),
            route("/stream/", "streaming", "model"),
            route("/resumable/", "streaming", "model"),
        ],
        "services": [
            {"name": "plain"},
            {"name": "model", "engine": {"slots": 200, "kv_capacity": 300_000, "stride": 4}},
        ],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 65536, "idle_timeout_ms": 15000},
        "tenants": [],
    })
}
