//! The configuration of the fleet: routes, services, teams and limits.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::cold_rate::ColdSpec;
use crate::residency::{AllowedRegions, preferred_regions};

/// Whether a route responds with a stream, and whether its requests may run more than once.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RouteKind {
    /// A unary call that may run any number of times.
    Idempotent,
    /// A unary call that may run at most once.
    NonIdempotent,
    /// An event stream that can be resumed after the last event received.
    ResumableStream,
    /// An event stream that may run at most once.
    NonResumableStream,
}

impl RouteKind {
    /// Whether the response is an event stream.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::NonResumableStream)
    }

    /// Whether a request that may already have run can be sent again.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

/// A service that receives part of the requests of a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WeightedService {
    /// [`Service::name`] of the service.
    pub service: DeploymentName,
    /// Share of the requests, relative to the weights of the other services.
    pub weight: u32,
}

/// A rule that maps requests to services.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Route {
    /// Name of the route in metrics and log lines.
    pub name: ClassName,
    /// Host name that the `Host` header must have, without a port.
    pub hostname: String,
    /// Prefix that the path must have, with a slash at both ends.
    pub path_prefix: String,
    /// Kind of the requests.
    pub kind: RouteKind,
    /// Time limit for the complete response.
    pub timeout: Duration,
    /// Objective for the time to the response, or to the first event of a stream.
    pub latency_objective: Duration,
    /// Objective for the longest gap between two events of a stream.
    pub gap_objective: Duration,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of targets that may run one request.
    pub max_attempts: u32,
    /// Whether requests are accepted without a key.
    pub is_public: bool,
    /// The services of the route; at least one.
    pub weighted_services: Vec<WeightedService>,
    /// Regions in which the requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// Properties of the model engines of a service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct EngineSpec {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Capacity of the KV cache in tokens.
    pub kv_capacity_tokens: u32,
    /// Whether a running generation can be migrated to another engine.
    pub supports_migration: bool,
    /// Number of output tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Time for which an engine keeps a KV cache copy that it received.
    pub kv_copy_ttl: Duration,
}

/// A service and the kind of its targets.
#[derive(Debug, Clone, PartialEq)]
pub struct Service {
    /// Name that routes and target entries refer to.
    pub name: DeploymentName,
    /// Properties of its model engines; `None` for a plain service.
    pub engine: Option<EngineSpec>,
    /// The rate of its engines while they are cold; `None` without a bound.
    pub cold: Option<ColdSpec>,
}

/// Limits on the requests and connections of callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RequestLimits {
    /// Maximum size of a request body in bytes.
    pub max_body_bytes: usize,
    /// Maximum size of a request head in bytes.
    pub max_header_bytes: usize,
    /// Longest time from the first to the last byte of a request head.
    pub header_timeout: Duration,
    /// Time after which an idle keep-alive connection is closed.
    pub idle_timeout: Duration,
}

/// A team and its priority.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Team {
    /// Name of the team; part of the fingerprint of its requests.
    pub name: TeamName,
    /// Priority of its requests, overriding that of the route; 0 is the most urgent.
    pub priority: Option<u8>,
    /// Regions in which its requests may be served.
    pub allowed_regions: AllowedRegions,
}

/// One version of the whole configuration.
#[derive(Debug, Clone)]
pub struct FleetConfig {
    /// Version number assigned by the operators.
    pub version: u64,
    /// Limits on requests.
    pub limits: RequestLimits,
    services_by_name: HashMap<DeploymentName, Service>,
    routes_by_hostname: HashMap<String, Vec<Arc<Route>>>,
    teams_by_key: HashMap<String, Arc<Team>>,
    has_teams: bool,
}

impl FleetConfig {
    /// Builds a configuration with its lookup tables. Each team comes with its keys.
    #[must_use]
    pub fn new(
        version: u64,
        limits: RequestLimits,
        services: Vec<Service>,
        routes: Vec<Route>,
        teams: Vec<(Team, Vec<String>)>,
    ) -> Self {
        let mut by_hostname: HashMap<String, Vec<Arc<Route>>> = HashMap::new();
        for route in routes {
            by_hostname
                .entry(route.hostname.to_ascii_lowercase())
                .or_default()
                .push(Arc::new(route));
        }
        for host_routes in by_hostname.values_mut() {
            host_routes.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
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
            services_by_name: services
                .into_iter()
                .map(|service| (service.name.clone(), service))
                .collect(),
            routes_by_hostname: by_hostname,
            teams_by_key,
            has_teams,
        }
    }

    /// The route of a request: among the routes of `hostname`, which may include a port, the one
    /// with the longest matching path prefix.
    #[must_use]
    pub fn route(&self, hostname: &str, path: &str) -> Option<&Arc<Route>> {
        self.routes_of(hostname)
            .find(|route| path.starts_with(&route.path_prefix))
    }

    fn routes_of(&self, hostname: &str) -> impl Iterator<Item = &Arc<Route>> + Clone {
        let bare_hostname = hostname
            .split(':')
            .next()
            .unwrap_or(hostname)
            .to_ascii_lowercase();
        let routes = self.routes_by_hostname.get(&bare_hostname);
        routes.into_iter().flatten()
    }

    /// Regions whose hosts are preferred for callers of `hostname`, which may include a port.
    #[must_use]
    pub fn preferred_regions(&self, hostname: &str) -> AllowedRegions {
        let routes = self.routes_of(hostname);
        preferred_regions(routes.map(|route| &route.allowed_regions))
    }

    /// The lists of regions of all routes and teams, each with what it belongs to.
    pub fn region_lists(&self) -> impl Iterator<Item = (String, &AllowedRegions)> {
        let routes = self.routes_by_hostname.values().flatten();
        let of_routes =
            routes.map(|route| (format!("route {}", route.name), &route.allowed_regions));
        let teams = self.teams_by_key.values();
        let of_teams = teams.map(|team| (format!("team {}", team.name), &team.allowed_regions));
        of_routes.chain(of_teams)
    }

    /// The team to which a key belongs.
    #[must_use]
    pub fn team_by_key(&self, key: &str) -> Option<&Arc<Team>> {
        self.teams_by_key.get(key)
    }

    /// Whether requests on non-public routes need a key; only if any team is configured.
    #[must_use]
    pub fn requires_keys(&self) -> bool {
        self.has_teams
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &Service> {
        self.services_by_name.values()
    }

    /// The service with this name.
    #[must_use]
    pub fn service(&self, name: &DeploymentName) -> Option<&Service> {
        self.services_by_name.get(name)
    }
}
