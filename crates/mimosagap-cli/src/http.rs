//! Questions to a daemon's administration API.

use std::net::SocketAddr;
use std::time::Duration;

use serde_json::Value;

use crate::error::CommandError;

const TIMEOUT: Duration = Duration::from_secs(3);

/// Fetches JSON from `path` of the daemon at `address`.
pub fn get(address: SocketAddr, path: &str) -> Result<Value, CommandError> {
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(TIMEOUT))
        .build()
        .into();
    let unreachable = |cause: String| CommandError::Unreachable {
        what: format!("the daemon at {address}"),
        cause,
    };
    let mut response = agent
        .get(format!("http://{address}{path}"))
        .call()
        .map_err(|error| unreachable(error.to_string()))?;
    response
        .body_mut()
        .read_json()
        .map_err(|error| unreachable(error.to_string()))
}
