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
use crate::notices::NewsBoard;
use crate::placers::PlacerClient;
use crate::pool::LinkPool;

/// The time of return of a store that is still away.
pub const STORE_AWAY: Duration = Duration::MAX;

/// Beliefs and counts.
pub struct Beliefs {
    /// The configuration.
    pub config: ConfigState,
    /// The targets.
    pub targets: TargetTable,
    /// The hosts.
    pub hosts: HostTable,
    /// Requests that crash targets.
    pub quarantine: Quarantine,
    /// Time for an output token by service.
    pub paces: HashMap<DeploymentName, TokenTimeEstimator>,
    /// Lengths of generations by route.
    pub lengths: HashMap<ClassName, LengthEstimator>,
    /// Repeats by service.
    pub budgets: HashMap<DeploymentName, RetryBudget>,
    /// Requests that wait, by service.
    pub waiting: HashMap<DeploymentName, WaitQueue>,
    /// Idle connections.
    pub pool: LinkPool,
    /// Random choices.
    pub random: SmallRng,
    /// When the process was asked to stop.
    pub stopping_since: Option<Duration>,
    /// When the store was back after an outage; [`STORE_AWAY`] while it is away.
    pub store_returned_at: Option<Duration>,
    /// The store's keys, for the other hosts of the zone.
    pub mirror: StoreMirror,
    /// Names of requests that wait.
    pub next_ticket: u64,
    /// Memory of answers that are not whole yet.
    pub buffers: BufferBudget,
}

/// The gateway.
pub struct Gateway {
    /// What the process learned at its start.
    pub settings: HostSettings,
    /// Names this host in datagrams.
    pub host_mark: u64,
    /// Log lines.
    pub log: EventLog,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// A target began to leave.
    pub leaving: Notify,
    /// A place at a target may be free.
    pub places: Notify,
    /// Changes of the store arrived.
    pub news: Notify,
    /// The load of a target by this host changed.
    pub loads: Notify,
    /// Suspicions that are to be written to the store.
    pub suspicions: Notify,
    /// Pending suspicions as store keys.
    pub pending_suspicions: RefCell<Vec<String>>,
    /// News of targets for the other hosts.
    pub target_news: NewsBoard,
    /// Questions to the placer of the region.
    pub placers: PlacerClient,
    /// Requests in flight.
    pub in_flight: Cell<u32>,
    beliefs: RefCell<Beliefs>,
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
            revocation_delay: settings.bounds.revocation,
            propagation_delay: settings.bounds.change,
            strict_revocation: settings.bounds.strict_revocation,
        };
        let mut targets = TargetTable::with_regions(settings.regions.clone());
        targets.set_drain_timeout(settings.bounds.drain);
        let buffers = BufferBudget::with_memory(settings.memory);
        Self {
            host_mark: stable_hash(&[settings.host.as_bytes()]),
            settings,
            log,
            metrics,
            leaving: Notify::new(),
            places: Notify::new(),
            news: Notify::new(),
            loads: Notify::new(),
            suspicions: Notify::new(),
            pending_suspicions: RefCell::default(),
            target_news: NewsBoard::default(),
            placers: PlacerClient::default(),
            in_flight: Cell::new(0),
            beliefs: RefCell::new(Beliefs {
                config: ConfigState::new(bounds),
                targets,
                hosts: HostTable::default(),
                quarantine: Quarantine::default(),
                paces: HashMap::new(),
                lengths: HashMap::new(),
                budgets: HashMap::new(),
                waiting: HashMap::new(),
                pool: LinkPool::default(),
                random: SmallRng::from_os_rng(),
                stopping_since: None,
                store_returned_at: None,
                mirror: StoreMirror::default(),
                next_ticket: 0,
                buffers,
            }),
            clock,
        }
    }

    /// The time since the host started.
    pub fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    /// Reads or changes the beliefs. The closure must not wait and must not call this again.
    pub fn with<T>(&self, act: impl FnOnce(&mut Beliefs) -> T) -> T {
        act(&mut self.beliefs.borrow_mut())
    }

    /// The configuration in force.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.with(|beliefs| beliefs.config.config().cloned())
    }

    /// Version and age of the configuration, for log lines.
    pub fn config_facts(&self) -> (u64, u64) {
        let now = self.now();
        self.with(|beliefs| {
            let version = beliefs.config.config().map_or(0, |config| config.version);
            let age = beliefs.config.confirmation_age(now).unwrap_or(now);
            (version, millis(age))
        })
    }

    /// The time for an output token of a service.
    pub fn token_time(&self, service: &DeploymentName) -> Duration {
        let pace = self.with(|beliefs| beliefs.paces.get(service).copied());
        pace.unwrap_or_default().time_per_token()
    }

    /// The instance of a target, for log lines.
    pub fn instance(&self, key: TargetKey) -> String {
        self.with(|beliefs| {
            beliefs
                .targets
                .get(key)
                .map_or_else(String::new, |target| target.entry.instance.clone())
        })
    }

    /// Counts the first send of a request to a service.
    pub fn count_request(&self, service: &DeploymentName) {
        let (now, bounds) = (self.now(), self.retry_bounds());
        self.with(|beliefs| {
            let budget = beliefs.budgets.entry(service.clone()).or_default();
            budget.record_request(now, &bounds);
        });
    }

    /// Takes a repeat from the budget of a service.
    pub fn try_repeat(&self, service: &DeploymentName) -> bool {
        let (now, bounds) = (self.now(), self.retry_bounds());
        let is_allowed = self.with(|beliefs| {
            let hosts = beliefs.hosts.len();
            let budget = beliefs.budgets.entry(service.clone()).or_default();
            budget.try_spend(now, &bounds, hosts)
        });
        self.metrics.repeated(is_allowed);
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
        self.with(|beliefs| beliefs.stopping_since.is_some())
    }

    /// Time until the process must have ended, if it was asked to stop.
    pub fn time_to_stop(&self) -> Option<Duration> {
        let now = self.now();
        let since = self.with(|beliefs| beliefs.stopping_since)?;
        let end = since + self.settings.bounds.grace;
        Some(end.saturating_sub(now))
    }
}

/// Whole milliseconds, for log lines.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
