//! The HTTP client for a daemon's administration API.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::error::CommandError;

/// Limit on a whole request, from the connection to the end of the response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches JSON from `path` of the daemon at `address`.
pub fn get_json(address: SocketAddr, path: &str) -> Result<Value, CommandError> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(REQUEST_TIMEOUT))
        .build()
        .into();
    let unreachable_error = |cause: String| CommandError::Unreachable {
        service: format!("the daemon at {address}"),
        cause,
    };
    let mut response = agent
        .get(format!("http://{address}{path}"))
        .call()
        .map_err(|error| unreachable_error(error.to_string()))?;
    response
        .body_mut()
        .read_json()
        .map_err(|error| unreachable_error(error.to_string()))
}
