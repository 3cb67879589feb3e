//! Starts stand-ins and calls them.
// Each test file uses a part of it.
#![allow(dead_code)]

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};

/// A running stand-in, which ends with this value.
pub struct StandIn {
    child: Child,
    pub address: SocketAddr,
}

impl StandIn {
    /// Starts a subcommand on a free port.
    pub fn start(subcommand: &str, options: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_mimosagap-standins"))
            .args([subcommand, "--listen", "127.0.0.1:0"])
            .args(options)
            .stdout(Stdio::piped())
            .spawn()
            .expect("the binary starts");
        let output = child.stdout.take().expect("standard output is piped");
        let mut line = String::new();
        BufReader::new(output)
            .read_line(&mut line)
            .expect("standard output is text");
        let address = line.trim().strip_prefix("listening on ");
        let address = address.and_then(|text| text.parse().ok());
        Self {
            child,
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
        let mut response = agent().get(self.url(path)).call().expect("an answer");
        response.body_mut().read_json().expect("a JSON answer")
    }

    /// Puts a key and returns the answer.
    pub fn put(&self, key: &str, value: &str) -> Result<Value, ureq::Error> {
        let body = json!({"key": encode(key), "value": encode(value)});
        self.post("/v3/kv/put", &body)
    }

    /// The value of a key.
    pub fn read(&self, key: &str) -> Option<String> {
        let body = json!({"key": encode(key)});
        let answer = self.post("/v3/kv/range", &body).expect("a range answer");
        let value = answer["kvs"][0]["value"].as_str()?;
        Some(String::from_utf8(STANDARD.decode(value).expect("base64")).expect("text"))
    }

    /// Creates a key if it is absent; `true` if it was.
    pub fn create(&self, key: &str, value: &str) -> Result<bool, ureq::Error> {
        let body = json!({
            "compare": [{"target": "CREATE", "key": encode(key), "create_revision": "0"}],
            "success": [{"request_put": {"key": encode(key), "value": encode(value)}}],
            "failure": [{"request_range": {"key": encode(key)}}],
        });
        let answer = self.post("/v3/kv/txn", &body)?;
        Ok(answer["succeeded"] == json!(true))
    }

    pub fn fault(&self, fault: &Value) {
        self.post("/control/fault", fault)
            .expect("a control answer");
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
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

/// The HTTP status behind an error.
pub fn status(error: &ureq::Error) -> Option<u16> {
    match error {
        ureq::Error::StatusCode(status) => Some(*status),
        _ => None,
    }
}

pub fn encode(text: &str) -> String {
    STANDARD.encode(text)
}

/// Waits until `condition` holds, at most `limit`; returns the time that it took.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> Duration {
    let start = Instant::now();
    while !condition() {
        assert!(start.elapsed() < limit, "nothing happened for {limit:?}");
        std::thread::sleep(Duration::from_millis(5));
    }
    start.elapsed()
}
