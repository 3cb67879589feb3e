//! Short JSON calls to stand-ins and to the daemons' admin API.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

const TIMEOUT: Duration = Duration::from_secs(2);

fn agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .max_idle_connections(0)
        .build()
        .into()
}

/// The JSON answer to a GET.
///
/// # Errors
/// Names the address and the cause.
pub fn get(address: SocketAddr, path: &str) -> Result<Value, String> {
    let url = format!("http://{address}{path}");
    let result = agent().get(&url).call();
    let answer = result.and_then(|mut response| response.body_mut().read_json());
    answer.map_err(|error| format!("GET {url}: {error}"))
}

/// Sends JSON with POST.
///
/// # Errors
/// Names the address and the cause.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Result<(), String> {
    let url = format!("http://{address}{path}");
    let result = agent().post(&url).send_json(body);
    result
        .map(|_| ())
        .map_err(|error| format!("POST {url}: {error}"))
}

/// Sends JSON with PUT.
///
/// # Errors
/// Names the address and the cause.
pub fn put(address: SocketAddr, path: &str, body: &Value) -> Result<(), String> {
    let url = format!("http://{address}{path}");
    let result = agent().put(&url).send_json(body);
    result
        .map(|_| ())
        .map_err(|error| format!("PUT {url}: {error}"))
}
