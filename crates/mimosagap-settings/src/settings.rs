//! The settings file's structure.

use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;
use mimosagap_types::resume::FleetKeys;
use serde::Deserialize;

/// The settings of one daemon.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Where the daemon runs.
    pub location: LocationSettings,
    /// The addresses that it listens on.
    pub listen: ListenSettings,
    /// The platform's key-value service.
    pub store: StoreSettings,
    /// The address of the host list.
    pub host_list: SocketAddr,
    /// Peer addresses of other daemons, used until the membership is known.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Base64 keys shared by all daemons: the first signs, all verify.
    pub fleet_keys: Vec<String>,
    /// The groups of targets.
    pub deployments: Vec<DeploymentSettings>,
    /// Bounds of a single request.
    #[serde(default)]
    pub bounds: RequestBounds,
}

/// Where the daemon runs.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LocationSettings {
    /// The zone.
    pub zone: ZoneName,
    /// The region.
    pub region: RegionName,
}

/// The addresses that the daemon listens on.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For other daemons.
    pub peers: SocketAddr,
    /// For operators.
    pub admin: SocketAddr,
}

/// The platform's key-value service.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// How long a call may take, in milliseconds, 10 to 10000.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
}

impl StoreSettings {
    /// How long a call may take.
    #[must_use]
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.timeout_ms)
    }
}

fn default_store_timeout_ms() -> u64 {
    500
}

/// A group of targets which share a name on the host list.
#[derive(Debug, Clone)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DeploymentSettings {
    /// The name, as in the host list's `deployment` label.
    pub name: DeploymentName,
    /// What its targets are.
    pub kind: DeploymentKind,
    /// For engines: the models that they serve.
    #[serde(default)]
    pub models: Vec<ModelName>,
    /// For services: calls which may run any number of times, each `METHOD /path-prefix`. A call
    /// that matches none of them must run at most once.
    #[serde(default)]
    pub repeatable: Vec<String>,
    /// Whether the targets refuse a command with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
    /// For services: the longest wait for the first byte of an answer, in milliseconds, 10 to
    /// 600000.
    #[serde(default = "default_first_byte_timeout_ms")]
    pub first_byte_timeout_ms: u64,
}

impl DeploymentSettings {
    /// Whether a call may run any number of times.
    #[must_use]
    pub fn is_repeatable(&self, method: &str, path: &str) -> bool {
        self.repeatable.iter().any(|entry| {
            entry
                .split_once(' ')
                .is_some_and(|(name, prefix)| name == method && path_has_prefix(path, prefix))
        })
    }

    /// The longest wait for the first byte of an answer.
    #[must_use]
    pub fn first_byte_timeout(&self) -> Duration {
        Duration::from_millis(self.first_byte_timeout_ms)
    }
}

/// Whole segments only, so that `/visits` does not cover `/visits-cancel`.
fn path_has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix.trim_end_matches('/'))
        .is_some_and(|rest| rest.is_empty() || rest.starts_with(['/', '?']))
}

fn default_first_byte_timeout_ms() -> u64 {
    3_000
}

/// What the targets of a deployment are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum DeploymentKind {
    /// Model engines.
    Engine,
    /// Plain services.
    Service,
}

/// Bounds of a single request, against oversized and slow callers.
#[derive(Debug, Clone, Copy)]
#[derive(Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestBounds {
    /// Bytes of a body.
    pub max_body_bytes: u64,
    /// Bytes of all headers, at least 8192.
    pub max_header_bytes: u64,
    /// Open connections of callers.
    pub max_connections: u64,
    /// How long a caller may take to send headers and body, in milliseconds.
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
    /// The fleet's keys, decoded.
    ///
    /// # Panics
    /// Never for settings from [`Settings::parse`], which checks the keys.
    #[must_use]
    pub fn decode_fleet_keys(&self) -> FleetKeys {
        let keys = self
            .fleet_keys
            .iter()
            .map(|text| crate::check::decode_key(text));
        FleetKeys::new(
            keys.collect::<Option<_>>()
                .expect("keys are checked when parsed"),
        )
    }

    /// The deployment of a name.
    #[must_use]
    pub fn deployment(&self, name: &DeploymentName) -> Option<&DeploymentSettings> {
        self.deployments
            .iter()
            .find(|deployment| deployment.name == *name)
    }
}
