//! What the gateway believes, shared by all tasks of its one thread.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_platform::settings::HostSettings;
use mimosagap_routing::buffer_budget::BufferBudget;
use mimosagap_routing::config::FleetConfig;
use mimosagap_routing::config_state::{ConfigState, StalenessBounds};
use mimosagap_routing::hashing::stable_hash;
use mimosagap_routing::hosts::HostTable;
use mimosagap_routing::output_length::LengthEstimator;
use mimosagap_routing::quarantine::Quarantine;
use mimosagap_routing::retry_budget::{RetryBounds, RetryBudget};
use mimosagap_routing::targets::{TargetKey, TargetTable};
use mimosagap_routing::token_time::TokenTimeEstimator;
use mimosagap_routing::wait_queue::WaitQueue;
use mimosagap_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use crate::log::EventLog;
use crate::metrics::GatewayMetrics;
use crate::mirror::StoreMirror;
use crate::pool::ConnectionPool;
use crate::remote_placement::PlacementClient;
use crate::target_notices::NoticeQueue;

/// The time of return of a store that is still away.
pub const STORE_UNREACHABLE: Duration = Duration::MAX;

/// The state of a gateway.
pub struct GatewayState {
    /// The configuration.
    pub config: ConfigState,
    /// The targets.
    pub targets: TargetTable,
    /// The hosts.
    pub hosts: HostTable,
    /// Requests that crash targets.
    pub quarantine: Quarantine,
    /// Time for an output token by service.
    pub token_paces: HashMap<DeploymentName, TokenTimeEstimator>,
    /// Lengths of generations by route.
    pub length_estimators: HashMap<ClassName, LengthEstimator>,
    /// Repeats by service.
    pub retry_budgets: HashMap<DeploymentName, RetryBudget>,
    /// Requests that wait, by service.
    pub wait_queues: HashMap<DeploymentName, WaitQueue>,
    /// Idle connections.
    pub connection_pool: ConnectionPool,
    /// Random choices.
    pub rng: SmallRng,
    /// When the process was asked to stop.
    pub stopping_since: Option<Duration>,
    /// When the store was back after an outage; [`STORE_UNREACHABLE`] while it is away.
    pub store_recovered_at: Option<Duration>,
    /// The store's keys, for the other hosts of the zone.
    pub mirror: StoreMirror,
    /// Names of requests that wait.
    pub next_waiter_id: u64,
    /// Memory of answers that are not whole yet.
    pub buffer_budget: BufferBudget,
}

/// The gateway.
pub struct Gateway {
    /// What the process learned at its start.
    pub settings: HostSettings,
    /// Names this host in datagrams.
    pub host_id: u64,
    /// Log lines.
    pub log: EventLog,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// A target began to leave.
    pub target_leaving: Notify,
    /// A place at a target may be free.
    pub capacity_freed: Notify,
    /// Changes of the store arrived.
    pub store_changed: Notify,
    /// The load of a target by this host changed.
    pub peer_update_due: Notify,
    /// Suspicions that are to be written to the store.
    pub registration_wakeup: Notify,
    /// Pending suspicions as store keys.
    pub pending_suspects: RefCell<Vec<String>>,
    /// News of targets for the other hosts.
    pub target_notices: NoticeQueue,
    /// Questions to the placer of the region.
    pub placers: PlacementClient,
    /// Requests in flight.
    pub in_flight: Cell<u32>,
    state: RefCell<GatewayState>,
    clock: SystemClock,
}

/// The gateway as all tasks hold it.
pub type SharedGateway = Rc<Gateway>;

impl Gateway {
    /// A gateway that knows nothing yet.
    pub fn new(
        settings: HostSettings,
        log: EventLog,
        metrics: GatewayMetrics,
        clock: SystemClock,
    ) -> Self {
        let bounds = StalenessBounds {
            revocation_delay: settings.bounds.key_revocation,
            propagation_delay: settings.bounds.config_apply,
            strict_revocation: settings.bounds.strict_revocation,
        };
        let mut targets = TargetTable::with_regions(settings.zone_regions.clone());
        targets.set_drain_timeout(settings.bounds.drain_timeout);
        let buffer_budget = BufferBudget::with_memory(settings.memory_bytes);
        Self {
            host_id: stable_hash(&[settings.host.as_bytes()]),
            settings,
            log,
            metrics,
            target_leaving: Notify::new(),
            capacity_freed: Notify::new(),
            store_changed: Notify::new(),
            peer_update_due: Notify::new(),
            registration_wakeup: Notify::new(),
            pending_suspects: RefCell::default(),
            target_notices: NoticeQueue::default(),
            placers: PlacementClient::default(),
            in_flight: Cell::new(0),
            state: RefCell::new(GatewayState {
                config: ConfigState::new(bounds),
                targets,
                hosts: HostTable::default(),
                quarantine: Quarantine::default(),
                token_paces: HashMap::new(),
                length_estimators: HashMap::new(),
                retry_budgets: HashMap::new(),
                wait_queues: HashMap::new(),
                connection_pool: ConnectionPool::default(),
                rng: SmallRng::from_os_rng(),
                stopping_since: None,
                store_recovered_at: None,
                mirror: StoreMirror::default(),
                next_waiter_id: 0,
                buffer_budget,
            }),
            clock,
        }
    }

    /// The time since the host started.
    pub fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    /// Reads or changes the state. The closure must not wait and must not call this again.
    pub fn with_state<T>(&self, act: impl FnOnce(&mut GatewayState) -> T) -> T {
        act(&mut self.state.borrow_mut())
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.with_state(|state| state.config.config().cloned())
    }

    /// Version and age of the configuration, for log lines.
    pub fn config_version_and_age(&self) -> (u64, u64) {
        let now = self.now();
        self.with_state(|state| {
            let version = state.config.config().map_or(0, |config| config.version);
            let age = state.config.confirmation_age(now).unwrap_or(now);
            (version, millis(age))
        })
    }

    /// The time for an output token of a service.
    pub fn token_time(&self, service: &DeploymentName) -> Duration {
        let pace = self.with_state(|state| state.token_paces.get(service).copied());
        pace.unwrap_or_default().time_per_token()
    }

    /// The instance of a target, for log lines.
    pub fn instance(&self, key: TargetKey) -> String {
        self.with_state(|state| {
            state
                .targets
                .get(key)
                .map_or_else(String::new, |target| target.entry.instance.clone())
        })
    }

    /// Counts the first send of a request to a service.
    pub fn count_request(&self, service: &DeploymentName) {
        let (now, bounds) = (self.now(), self.retry_bounds());
        self.with_state(|state| {
            let budget = state.retry_budgets.entry(service.clone()).or_default();
            budget.record_request(now, &bounds);
        });
    }

    /// Takes a repeat from the budget of a service.
    pub fn try_spend_retry(&self, service: &DeploymentName) -> bool {
        let (now, bounds) = (self.now(), self.retry_bounds());
        let is_allowed = self.with_state(|state| {
            let hosts = state.hosts.len();
            let budget = state.retry_budgets.entry(service.clone()).or_default();
            budget.try_spend(now, &bounds, hosts)
        });
        self.metrics.count_retry(is_allowed);
        is_allowed
    }

    fn retry_bounds(&self) -> RetryBounds {
        let bounds = &self.settings.bounds;
        RetryBounds {
            ratio: bounds.retry_ratio,
            window: bounds.retry_window,
            slack: bounds.retry_slack,
        }
    }

    /// Whether the process was asked to stop.
    pub fn is_stopping(&self) -> bool {
        self.with_state(|state| state.stopping_since.is_some())
    }

    /// Time until the process must have ended, if it was asked to stop.
    pub fn shutdown_time_left(&self) -> Option<Duration> {
        let now = self.now();
        let since = self.with_state(|state| state.stopping_since)?;
        let end = since + self.settings.bounds.grace_period;
        Some(end.saturating_sub(now))
    }
}

/// Whole milliseconds, for log lines.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
