//! A blocking JSON client for the control API of stand-ins and the admin API of daemons.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;
use ureq::Agent;

const REQUEST_TIMEOUT: Duration = Duration::from_secs(2);

fn http_agent() -> Agent {
    Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .max_idle_connections(0)
        .build()
        .into()
}

/// Sends a GET request and returns the JSON body of the response.
///
/// # Errors
/// The call fails; the text names the URL and the cause.
pub fn get(address: SocketAddr, path: &str) -> Result<Value, String> {
    let url = format!("http://{address}{path}");
    let result = http_agent().get(&url).call();
    let response_json = result.and_then(|mut response| response.body_mut().read_json());
    response_json.map_err(|error| format!("GET {url}: {error}"))
}

/// Sends a POST request with a JSON body.
///
/// # Errors
/// The call fails; the text names the URL and the cause.
pub fn post(address: SocketAddr, path: &str, body: &Value) -> Result<(), String> {
    let url = format!("http://{address}{path}");
    let result = http_agent().post(&url).send_json(body);
    result
        .map(|_| ())
        .map_err(|error| format!("POST {url}: {error}"))
}

/// Sends a PUT request with a JSON body.
///
/// # Errors
/// The call fails; the text names the URL and the cause.
pub fn put(address: SocketAddr, path: &str, body: &Value) -> Result<(), String> {
    let url = format!("http://{address}{path}");
    let result = http_agent().put(&url).send_json(body);
    result
        .map(|_| ())
        .map_err(|error| format!("PUT {url}: {error}"))
}
