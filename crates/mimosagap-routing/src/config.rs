//! What the operators configured: routes, services, teams and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_types::prelude::*;

/// What may be repeated on a route.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A call that may run any number of times.
    Idempotent,
    /// A call that may run at most once.
    NonIdempotent,
    /// A stream of events that may be continued after its last event.
    ResumableStream,
    /// A stream of events that may run at most once.
    NonResumableStream,
}

impl RouteKind {
    /// Whether the answer is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::NonResumableStream)
    }

    /// Whether a request that may have run can be sent again.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that serves part of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// The service.
    pub service: DeploymentName,
    /// Its part of the route's requests, relative to the other shares.
    pub weight: u32,
}

/// One route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// The route's name; labels metrics and log lines.
    pub name: ClassName,
    /// The host header it answers to.
    pub hostname: String,
    /// The leading part of the path, with a slash at both ends.
    pub path_prefix: String,
    /// What may be repeated.
    pub kind: RouteKind,
    /// The longest time that a request may wait for its whole answer.
    pub timeout: Duration,
    /// The time to the answer, or to a stream's first event, that earns full credit.
    pub latency_objective: Duration,
    /// The longest pause between events of a stream that is still on time.
    pub gap_objective: Duration,
    /// Rank; 0 is the most urgent.
    pub priority: u8,
    /// How many targets one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub is_public: bool,
    /// The services, at least one.
    pub weighted_services: Vec<WeightedService>,
}

/// The model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Requests that run at once.
    pub slots: u32,
    /// Memory in tokens.
    pub kv_capacity_tokens: u32,
    /// Whether a running generation can be moved to another engine.
    pub supports_migration: bool,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// How long an engine keeps a copy that it was sent.
    pub kv_copy_ttl: Duration,
}

/// A service and how its targets are called.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: DeploymentName,
    /// The model engines behind it; `None` for a plain service.
    pub engine: Option<EngineSpec>,
}

/// Bounds on what a caller may send.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Longest request body in bytes.
    pub max_body_bytes: usize,
    /// Largest request head in bytes.
    pub max_header_bytes: usize,
    /// How long a kept connection may stay idle.
    pub idle_timeout: Duration,
}

/// A team and its rank.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Its name.
    pub name: TeamName,
    /// Rank of its requests, in place of the route's; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// One version of the whole configuration.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// The operators' version number.
    pub version: u64,
    /// Bounds on requests.
    pub limits: RequestLimits,
    services: HashMap<DeploymentName, Service>,
    routes: HashMap<String, Vec<Arc<Route>>>,
    teams_by_key: HashMap<String, Arc<Team>>,
    has_teams: bool,
}

impl FleetConfig {
    /// Indexes the parts of a configuration.
    #[must_use]
    pub fn new(
        version: u64,
        limits: RequestLimits,
        services: Vec<Service>,
        routes: Vec<Route>,
        teams: Vec<(Team, Vec<String>)>,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_host
                .entry(route.hostname.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route));
        }
        for list in by_host.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        let has_teams = !teams.is_empty();
        let mut teams_by_key = HashMap::new();
        for (team, keys) in teams {
            let team = Arc::new(team);
            for key in keys {
                teams_by_key.insert(key, Arc::clone(&team));
            }
        }
        Self {
            version,
            limits,
            services: services
                .into_iter()
                .map(|service| (service.name.clone(), service))
                .collect(),
            routes: by_host,
            teams_by_key,
            has_teams,
        }
    }

    /// The route of a request: the longest prefix of its host that begins the path.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let name = host.split(':').next().unwrap_or(host).to_ascii_lowercase();
        self.routes
            .get(&name)?
            .iter()
            .find(|route| path.starts_with(&route.path_prefix))
    }

    /// The team that holds a key.
    #[must_use]
    pub fn team_by_key(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams_by_key.get(key)
    }

    /// Whether requests on routes that are not public need a key.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.has_teams
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services.values()
    }

    /// A service.
    #[must_use]
    pub fn service(&self, name: &DeploymentName) -> Option<&Service> {
        self.services.get(name)
    }
}
