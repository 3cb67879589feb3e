//! Helpers that start stand-ins and call them.
// Each test binary uses only some of the helpers.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// A running stand-in process, which is killed when this value is dropped.
pub struct StandIn {
    process: Child,
    pub address: SocketAddr,
}

impl StandIn {
    /// Starts a subcommand on a free loopback port.
    pub fn start(subcommand: &str, options: &[&str]) -> Self {
        let mut process = Command::new(env!("CARGO_BIN_EXE_mimosagap-standins"))
            .args([subcommand, "--listen", "127.0.0.1:0"])
            .args(options)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let output = process.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("standard output is text");
        let address = line.trim().strip_prefix("listening on ");
        let address = address.and_then(|text| text.parse().ok());
        Self {
            process,
            address: address.unwrap_or_else(|| panic!("unexpected first line {line:?}")),
        }
    }

    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.address)
    }

    pub fn post(&self, path: &str, body: &Value) -> Result<Value, ureq::Error> {
        post(&self.url(path), body)
    }

    pub fn get(&self, path: &str) -> Value {
        let mut response = agent().get(self.url(path)).call().expect("a response");
        response.body_mut().read_json().expect("a JSON response")
    }

    pub fn put(&self, key: &str, value: &str) -> Result<Value, ureq::Error> {
        let body = json!({"key": encode(key), "value": encode(value)});
        self.post("/v3/kv/put", &body)
    }

    /// Returns the value of a key, or `None` if it is absent.
    pub fn read(&self, key: &str) -> Option<String> {
        let body = json!({"key": encode(key)});
        let response = self.post("/v3/kv/range", &body).expect("a range response");
        let value = response["kvs"][0]["value"].as_str()?;
        Some(String::from_utf8(STANDARD.decode(value).expect("base64")).expect("text"))
    }

    /// Creates a key if it is absent. Returns false if it exists.
    pub fn create(&self, key: &str, value: &str) -> Result<bool, ureq::Error> {
        let body = json!({
            "compare": [{"target": "CREATE", "key": encode(key), "create_revision": "0"}],
            "success": [{"request_put": {"key": encode(key), "value": encode(value)}}],
            "failure": [{"request_range": {"key": encode(key)}}],
        });
        let response = self.post("/v3/kv/txn", &body)?;
        Ok(response["succeeded"] == json!(true))
    }

    pub fn set_fault(&self, fault: &Value) {
        self.post("/control/fault", fault)
            .expect("a control response");
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}

pub fn agent() -> ureq::Agent {
    ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_secs(5)))
        .max_idle_connections(0)
        .build()
        .into()
}

pub fn post(url: &str, body: &Value) -> Result<Value, ureq::Error> {
    let mut response = agent().post(url).send_json(body)?;
    response.body_mut().read_json()
}

/// The HTTP status of an error, or `None` if there was no response.
pub fn http_status(error: &ureq::Error) -> Option<u16> {
    match error {
        ureq::Error::StatusCode(status) => Some(*status),
        _ => None,
    }
}

pub fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

/// Waits until `condition` holds and returns the time that it took. Panics after `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(
            start.elapsed() < limit,
            "the condition did not hold within {limit:?}"
        );
        std::thread::sleep(Duration::from_millis(5));
    }
    start.elapsed()
}
