//! Structure of the settings file.

use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;
use mimosagap_types::resume::FleetKeys;
use serde::Deserialize;

/// Settings of one daemon.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Zone and region in which the daemon runs.
    pub location: LocationSettings,
    /// Addresses on which the daemon listens.
    pub listen: ListenSettings,
    /// Connection to the store, a key-value service of the platform.
    pub store: StoreSettings,
    /// Address of the service that publishes the host list.
    pub host_list: SocketAddr,
    /// Peer addresses of other daemons, used until the daemon has learned the membership.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Base64 keys shared by all daemons. The first key signs; every key verifies.
    pub fleet_keys: Vec<String>,
    /// Groups of targets to which requests are routed.
    pub deployments: Vec<DeploymentSettings>,
    /// Limits on requests and connections of callers.
    #[serde(default)]
    pub bounds: RequestBounds,
}

/// Location of the daemon.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocationSettings {
    /// Availability zone.
    pub zone: ZoneName,
    /// Region that contains the zone.
    pub region: RegionName,
}

/// Listen addresses of the daemon.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Serves requests of callers.
    pub callers: SocketAddr,
    /// Serves the peer protocol of other daemons.
    pub peers: SocketAddr,
    /// Serves the admin API for operators.
    pub admin: SocketAddr,
}

/// Connection to the store, a key-value service of the platform.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the service.
    pub address: SocketAddr,
    /// Timeout of a call in milliseconds, 10 to 10000.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
}

impl StoreSettings {
    /// Timeout of a call.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

fn default_store_timeout_ms() -> u64 {
    500
}

/// A group of targets with the same `deployment` label in the host list.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSettings {
    /// Name, equal to the `deployment` label in the host list.
    pub name: DeploymentName,
    /// Kind of the targets.
    pub kind: DeploymentKind,
    /// Models that the engines serve; empty for services.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// Idempotent calls of a service, each `METHOD /path-prefix`. A call that matches no entry must
    /// run at most once.
    #[serde(default)]
    pub repeatable: Vec<String>,
    /// Whether the targets refuse commands with an outdated fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// Timeout for the first byte of a service's response, in milliseconds, 10 to 600000.
    #[serde(default = "default_first_byte_timeout_ms")]
    pub first_byte_timeout_ms: u64,
}

impl DeploymentSettings {
    /// Whether a call is idempotent, so that it may be repeated after a failure.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|entry| {
            entry.split_once(' ').is_some_and(|(entry_method, prefix)| {
                entry_method == method && path_has_prefix(path, prefix)
            })
        })
    }

    /// Timeout for the first byte of a response.
    #[must_use]
    pub fn first_byte_timeout(&self) -> Duration {
        Duration::from_millis(self.first_byte_timeout_ms)
    }
}

/// Compares whole path segments, so that `/visits` does not match `/visits-cancel`.
fn path_has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix.trim_end_matches('/'))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}

fn default_first_byte_timeout_ms() -> u64 {
    3_000
}

/// Kind of the targets of a deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeploymentKind {
    /// Model engines, which serve generations.
    Engine,
    /// Plain services, called over HTTP.
    Service,
}

/// Limits on callers, against oversized requests, slow senders and too many connections.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestBounds {
    /// Maximum size of a request body, in bytes.
    pub max_body_bytes: u64,
    /// Maximum size of all headers of a request, in bytes, at least 8192.
    pub max_header_bytes: u64,
    /// Maximum number of open connections of callers.
    pub max_connections: u64,
    /// Timeout in milliseconds within which a caller has to send headers and body.
    pub read_timeout_ms: u64,
}

impl Default for RequestBounds {
    fn default() -> Self {
        Self {
            max_body_bytes: 1 << 20,
            max_header_bytes: 16 << 10,
            max_connections: 4_096,
            read_timeout_ms: 10_000,
        }
    }
}

impl Settings {
    /// Decodes the fleet keys.
    ///
    /// # Panics
    /// If a key is invalid, which [`Settings::parse`] rules out.
    #[must_use]
    pub fn decode_fleet_keys(&self) -> FleetKeys {
        let keys = self
            .fleet_keys
            .iter()
            .map(|text| crate::check::decode_key(text));
        FleetKeys::new(
            keys.collect::<Option<_>>()
                .expect("keys are checked by Settings::parse"),
        )
    }

    /// Finds a deployment by name.
    #[must_use]
    pub fn deployment(&self, name: &DeploymentName) -> Option<&DeploymentSettings> {
        self.deployments
            .iter()
            .find(|deployment| deployment.name == *name)
    }
}
