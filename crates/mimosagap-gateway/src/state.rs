//! State of the gateway, shared by all tasks of its single thread.

use std::cell::{Cell, RefCell};
use std::collections::{HashMap, HashSet};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use mimosagap_platform::settings::{HEALTH_CONTRACT, HostSettings};
use mimosagap_routing::buffer_budget::BufferBudget;
use mimosagap_routing::cold_rate::ColdBound;
use mimosagap_routing::config::FleetConfig;
use mimosagap_routing::config_state::{ConfigState, StalenessBounds};
use mimosagap_routing::evacuation::Evacuations;
use mimosagap_routing::hashing::stable_hash;
use mimosagap_routing::hedging::HedgePlanner;
use mimosagap_routing::host_liveness::HostLiveness;
use mimosagap_routing::hosts::HostTable;
use mimosagap_routing::output_length::LengthEstimator;
use mimosagap_routing::quarantine::Quarantine;
use mimosagap_routing::relay_selection::RelaySelector;
use mimosagap_routing::request_budget::RequestBudget;
use mimosagap_routing::residency::AllowedRegions;
use mimosagap_routing::retry_budget::{
    FleetSize, RetryBounds, RetryBudget, RetryPurpose, capacity,
};
use mimosagap_routing::retry_value::{RetryCause, RetryValues, RetryVerdict};
use mimosagap_routing::shutdown::{ShutdownWindow, longest_generation};
use mimosagap_routing::store_revision::EraTracker;
use mimosagap_routing::stream_origins::StreamOrigins;
use mimosagap_routing::target_reach::TargetReach;
use mimosagap_routing::target_suspicion::NoticeBudget;
use mimosagap_routing::targets::{TargetKey, TargetTable};
use mimosagap_routing::token_time::TokenTimeEstimator;
use mimosagap_routing::version_history::VersionHistory;
use mimosagap_routing::version_registry::VersionRegistry;
use mimosagap_routing::wait_queue::WaitQueue;
use mimosagap_types::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use tokio::sync::Notify;

use crate::client_connections::ConnectionTable;
use crate::credit_loans::LoanClient;
use crate::hang_watch::HangNotice;
use crate::header_audit::HeaderAudit;
use crate::log::{EventLog, LogEvent};
use crate::metrics::GatewayMetrics;
use crate::mirror::StoreMirror;
use crate::notice_queue::NoticeQueue;
use crate::pool::ConnectionPool;
use crate::rate_permits::PermitClient;
use crate::remote_placement::PlacementClient;
use crate::request::RoutedRequest;
use crate::request_body::BodyReaders;
use crate::residency;
use crate::resumption::OriginReader;
use crate::store::StoreClient;
use crate::suspicion::SuspicionExchange;
use crate::target_notices::TargetNotice;

/// Value of [`GatewayState::store_recovered_at`] while the store is unreachable.
pub const STORE_UNREACHABLE: Duration = Duration::MAX;

/// Mutable state, accessed through [`Gateway::with_state`].
pub struct GatewayState {
    /// The fleet configuration in force, and when it was last confirmed.
    pub config: ConfigState,
    /// Known targets with their load and health.
    pub targets: TargetTable,
    /// Zones that operators evacuated.
    pub evacuations: Evacuations,
    /// Zones without a known name whose evacuation was logged.
    pub unknown_evacuations: HashSet<ZoneName>,
    /// Hosts that the store lists.
    pub hosts: HostTable,
    /// When this host last heard from each of them.
    pub host_liveness: HostLiveness,
    /// Requests and parts of prompts that are suspected of crashing targets.
    pub quarantine: Quarantine,
    /// Estimators of the time per output token, by service.
    pub token_time_estimators: HashMap<DeploymentName, TokenTimeEstimator>,
    /// Estimators of the output length, by route.
    pub length_estimators: HashMap<ClassName, LengthEstimator>,
    /// How many hosts share the slack of the retry budgets.
    pub fleet_size: FleetSize,
    /// Retry budgets, by service.
    pub retry_budgets: HashMap<DeploymentName, RetryBudget>,
    /// How often retries helped, by service.
    pub retry_values: HashMap<DeploymentName, RetryValues>,
    /// When requests are hedged, by service.
    pub hedge_planners: HashMap<DeploymentName, HedgePlanner>,
    /// Whether this host reaches the targets, by service.
    pub target_reach: HashMap<DeploymentName, TargetReach>,
    /// Which hosts served requests that this one could not send to a target.
    pub relay_selector: RelaySelector,
    /// Generations that wait for an engine, by service and allowed regions: one that waits for a few
    /// regions must not hold up others, for which engines elsewhere have capacity.
    pub wait_queues: HashMap<(DeploymentName, AllowedRegions), WaitQueue>,
    /// Idle connections to targets.
    pub connection_pool: ConnectionPool,
    /// Random number generator for weighted choices and jitter.
    pub rng: SmallRng,
    /// When the process was asked to stop; `None` before.
    pub stopping_since: Option<Duration>,
    /// The era of the store's revisions and leases.
    pub store_era: EraTracker,
    /// When this host learned that the store came back from an older copy; `None` if it never did.
    pub store_restored_at: Option<Duration>,
    /// Entries of targets that count as removed, as the copy showed them again.
    pub restored_entries: HashMap<String, Vec<u8>>,
    /// When the store became reachable again after its last outage; [`STORE_UNREACHABLE`] during an
    /// outage, `None` if there was none.
    pub store_recovered_at: Option<Duration>,
    /// Copy of the store's keys, served to the other hosts of the region.
    pub mirror: StoreMirror,
    /// Ticket of the request that was queued last; 0 before the first one.
    pub last_ticket: u64,
    /// Memory budget of responses that are still being read.
    pub buffer_budget: BufferBudget,
    /// Memory budget of requests.
    pub request_budget: RequestBudget,
    /// At which version each stream began.
    pub stream_origins: StreamOrigins,
    /// Whether this host knows all versions at which streams can have begun.
    pub version_history: VersionHistory,
}

impl GatewayState {
    /// How many hosts share the slack of the retry budgets; `None` if it is not known yet.
    pub fn sharing_hosts(&mut self, now: Duration) -> Option<usize> {
        self.fleet_size.update(self.hosts.len(), now)
    }
}

/// A gateway process: settings, log, metrics, notifications between tasks, and state.
pub struct Gateway {
    /// Settings of the host, fixed while the process runs.
    pub settings: HostSettings,
    /// Hash of the host's name; identifies this host in datagrams.
    pub host_hash: u64,
    /// Event log on standard output.
    pub log: EventLog,
    /// Prometheus metrics.
    pub metrics: GatewayMetrics,
    /// Notified when a target starts to leave.
    pub target_leaving: Notify,
    /// Notified when this host is cut off from the targets of a service.
    pub reach_lost: Notify,
    /// Notified when a target may have capacity for a waiting request.
    pub capacity_freed: Notify,
    /// Notified when changes of the store were applied, and when the store becomes unreachable.
    pub store_changed: Notify,
    /// Notified when a changed load or a target's notice is to be sent to the other hosts.
    pub peer_update_due: Notify,
    /// Wakes the registration task: records are to be written, or the process stops.
    pub registration_wakeup: Notify,
    /// Notified when requests are blocked that may be on their way.
    pub quarantine_changed: Notify,
    /// Wakes the task that records streams in the store.
    pub records_due: Notify,
    /// Notified when records of streams were written to the store.
    pub records_written: Notify,
    /// Reads from the store where streams began.
    pub origin_reader: OriginReader,
    /// What this host still has to tell of requests that crash targets.
    pub suspicions: SuspicionExchange,
    /// Notices of targets, to be sent to the other hosts.
    pub target_notices: NoticeQueue<TargetNotice>,
    /// Notices of targets that may hang, to be sent to the other hosts.
    pub hang_notices: NoticeQueue<HangNotice>,
    /// Limits the notices of targets that may hang.
    pub hang_budget: RefCell<NoticeBudget>,
    /// Client for placement requests to the placer of the region.
    pub placer_rpc: PlacementClient,
    /// Headers of targets that were reported as unread.
    pub header_audit: HeaderAudit,
    /// Client for loans of retry credit.
    pub loan_client: LoanClient,
    /// Client for permits of targets that name a rate limit, and what this host granted.
    pub permit_client: PermitClient,
    /// Number of requests in flight.
    pub in_flight: Cell<u32>,
    /// Connections that clients opened.
    pub client_connections: ConnectionTable,
    /// Requests whose bodies are being read.
    pub body_readers: BodyReaders,
    /// Bytes of complete responses that are not yet sent to their callers.
    pub unsent_response_bytes: Arc<AtomicUsize>,
    state: RefCell<GatewayState>,
    clock: SystemClock,
    /// When the process started, as time since boot.
    started_at: Duration,
}

/// Shared handle to the gateway. Not `Send`: all tasks run on one thread.
pub type SharedGateway = Rc<Gateway>;

impl Gateway {
    /// Creates a gateway without a configuration, targets or hosts.
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
        targets.set_cold_bound(ColdBound {
            overshoot: settings.bounds.cold_overshoot,
            slack: settings.bounds.cold_slack,
        });
        *targets.versions_mut() = VersionRegistry::new(clock.since_boot());
        let store_client = StoreClient::new(settings.store_address, metrics.store_calls.clone());
        let origin_reader = OriginReader::new(store_client);
        let buffer_budget = BufferBudget::with_memory(settings.memory_bytes);
        let request_budget = RequestBudget::new(settings.request_memory.budget);
        Self {
            host_hash: stable_hash(&[settings.host.as_bytes()]),
            settings,
            log,
            metrics,
            target_leaving: Notify::new(),
            reach_lost: Notify::new(),
            capacity_freed: Notify::new(),
            store_changed: Notify::new(),
            peer_update_due: Notify::new(),
            registration_wakeup: Notify::new(),
            quarantine_changed: Notify::new(),
            records_due: Notify::new(),
            records_written: Notify::new(),
            origin_reader,
            suspicions: SuspicionExchange::default(),
            target_notices: NoticeQueue::default(),
            hang_notices: NoticeQueue::default(),
            hang_budget: RefCell::default(),
            placer_rpc: PlacementClient::default(),
            header_audit: HeaderAudit::default(),
            loan_client: LoanClient::new(clock.since_boot()),
            permit_client: PermitClient::new(clock.since_boot()),
            in_flight: Cell::new(0),
            client_connections: ConnectionTable::default(),
            body_readers: BodyReaders::default(),
            unsent_response_bytes: Arc::default(),
            state: RefCell::new(GatewayState {
                config: ConfigState::new(bounds),
                targets,
                evacuations: Evacuations::default(),
                unknown_evacuations: HashSet::new(),
                hosts: HostTable::default(),
                host_liveness: HostLiveness::new(clock.since_boot()),
                quarantine: Quarantine::new(clock.since_boot()),
                token_time_estimators: HashMap::new(),
                length_estimators: HashMap::new(),
                fleet_size: FleetSize::new(clock.since_boot()),
                retry_budgets: HashMap::new(),
                retry_values: HashMap::new(),
                hedge_planners: HashMap::new(),
                target_reach: HashMap::new(),
                relay_selector: RelaySelector::default(),
                wait_queues: HashMap::new(),
                connection_pool: ConnectionPool::default(),
                rng: SmallRng::from_os_rng(),
                stopping_since: None,
                store_era: EraTracker::default(),
                store_restored_at: None,
                restored_entries: HashMap::new(),
                store_recovered_at: None,
                mirror: StoreMirror::default(),
                last_ticket: 0,
                buffer_budget,
                request_budget,
                stream_origins: StreamOrigins::default(),
                version_history: VersionHistory::default(),
            }),
            started_at: clock.since_boot(),
            clock,
        }
    }

    /// Time since the machine booted; steps of the wall clock do not change it.
    pub fn now(&self) -> Duration {
        self.clock.since_boot()
    }

    /// Reads or changes the state. The closure must neither block, because all tasks share the
    /// thread, nor call this again, because the state is already borrowed.
    pub fn with_state<T>(&self, update: impl FnOnce(&mut GatewayState) -> T) -> T {
        update(&mut self.state.borrow_mut())
    }

    /// The configuration in force; `None` until the first one was read.
    pub fn config(&self) -> Option<Arc<FleetConfig>> {
        self.with_state(|state| state.config.config().cloned())
    }

    /// Version of the configuration in force (0 for none) and milliseconds since it was last
    /// confirmed, for log lines.
    pub fn config_version_and_age(&self) -> (u64, u64) {
        let now = self.now();
        self.with_state(|state| {
            let version = state.config.config().map_or(0, |config| config.version);
            let age = state.config.confirmation_age(now).unwrap_or(now);
            (version, millis(age))
        })
    }

    /// Expected time per output token of a service.
    pub fn token_time(&self, service: &DeploymentName) -> Duration {
        let estimator = self.with_state(|state| state.token_time_estimators.get(service).copied());
        estimator.unwrap_or_default().time_per_token()
    }

    /// Instance name of a target, for log lines; empty if the target is unknown.
    pub fn instance(&self, key: TargetKey) -> String {
        self.with_state(|state| {
            state
                .targets
                .get(key)
                .map_or_else(String::new, |target| target.entry.instance.clone())
        })
    }

    /// Version of the software of a target; `None` if another process has taken its place.
    pub fn software_version(&self, key: TargetKey) -> Option<SoftwareVersion> {
        self.with_state(|state| Some(state.targets.get(key)?.entry.version.clone()))
    }

    /// Counts the first send of a request, which adds to the retry budget and the hedges of its
    /// service.
    pub fn count_request(&self, service: &DeploymentName) {
        let (now, bounds) = (self.now(), self.retry_bounds());
        self.with_state(|state| {
            let sharing_hosts = state.sharing_hosts(now);
            let budget = self.retry_budget(state, service);
            budget.record_request(now, &bounds, sharing_hosts);
            let limits = &self.settings.hedging;
            if limits.is_any_enabled() {
                let planner = state.hedge_planners.entry(service.clone()).or_default();
                planner.record_request(limits);
            }
        });
    }

    /// Takes one retry from the budget of the request's service. Returns whether the budget allows
    /// it.
    pub fn try_spend_retry(&self, request: &RoutedRequest, purpose: RetryPurpose) -> bool {
        let (now, bounds) = (self.now(), self.retry_bounds());
        let service = &request.service;
        let (is_allowed, event) = self.with_state(|state| {
            let sharing_hosts = state.sharing_hosts(now);
            let budget = self.retry_budget(state, service);
            let is_allowed = budget.try_spend(purpose, now, &bounds, sharing_hosts);
            let event = LogEvent::Retry {
                id: &request.head.attempt_id,
                service: service.as_str(),
                purpose: purpose.name(),
                allowed: is_allowed,
                credit: budget.credit(),
                capacity: capacity(&bounds, sharing_hosts),
                hosts: sharing_hosts.unwrap_or(0),
                up_ms: millis(now.saturating_sub(self.started_at)),
            };
            (is_allowed, event)
        });
        self.log.event(&event);
        self.metrics.count_retry(is_allowed);
        is_allowed
    }

    /// Whether targets of this deployment may fail in ways that their health does not show. Hosts
    /// then lend each other retry credit, suspect targets that hang and learn which retries help.
    pub fn has_unreliable_targets(&self) -> bool {
        self.settings.has_contract(HEALTH_CONTRACT)
    }

    /// Gives another host the credit for one retry at a service. Returns whether there is enough.
    pub fn try_lend_retry(&self, service: &DeploymentName) -> bool {
        let (now, bounds) = (self.now(), self.retry_bounds());
        self.with_state(|state| {
            let sharing_hosts = state.sharing_hosts(now);
            let budget = self.retry_budget(state, service);
            budget.try_lend(now, &bounds, sharing_hosts)
        })
    }

    /// Adds the credit for one retry at a service that another host lent.
    pub fn add_retry_loan(&self, service: &DeploymentName) {
        self.with_state(|state| self.retry_budget(state, service).add_loan());
    }

    /// Whether a retry helps often enough to be sent with the credit that is left. Always true where
    /// the deployment does not enable the learned value of retries.
    pub fn is_retry_worthwhile(&self, request: &RoutedRequest, cause: RetryCause) -> bool {
        if !self.has_unreliable_targets() {
            return true;
        }
        let (now, bounds) = (self.now(), self.retry_bounds());
        let (service, route) = (&request.service, &request.route.name);
        let (verdict, credit) = self.with_state(|state| {
            let sharing_hosts = state.sharing_hosts(now);
            let budget = self.retry_budget(state, service);
            let credit = budget.current_credit(now, &bounds, sharing_hosts);
            let values = state.retry_values.entry(service.clone()).or_default();
            let capacity = capacity(&bounds, sharing_hosts);
            (values.judge(route, cause, credit, capacity, now), credit)
        });
        if let RetryVerdict::Skip { relative_value } = verdict {
            self.metrics.count_skipped_retry();
            self.log.event(&LogEvent::RetrySkipped {
                id: &request.head.attempt_id,
                route: route.as_str(),
                cause: cause.name(),
                value: relative_value,
                credit,
            });
        }
        verdict == RetryVerdict::Send
    }

    /// Records whether a retry of a call brought a response without a server error.
    pub fn record_retry(&self, request: &RoutedRequest, cause: RetryCause, has_helped: bool) {
        let now = self.now();
        self.with_state(|state| {
            let values = state.retry_values.entry(request.service.clone());
            let values = values.or_default();
            values.record(&request.route.name, cause, has_helped, now);
        });
    }

    /// The retry budget of a service, which begins with the process.
    fn retry_budget<'a>(
        &self,
        state: &'a mut GatewayState,
        service: &DeploymentName,
    ) -> &'a mut RetryBudget {
        let budget = state.retry_budgets.entry(service.clone());
        budget.or_insert_with(|| RetryBudget::new(self.started_at))
    }

    /// Whether the rate limit of a target keeps this host from using it for a request.
    pub fn is_held_back(&self, request: &RoutedRequest) -> bool {
        let now = self.now();
        let policy = residency::policy(self, request);
        self.with_state(|state| state.targets.is_held_back(&request.service, &policy, now))
    }

    /// Returns a retry to the budget of a service, because the request was not sent.
    pub fn refund_retry(&self, service: &DeploymentName) {
        self.with_state(|state| {
            if let Some(budget) = state.retry_budgets.get_mut(service) {
                budget.refund();
            }
        });
    }

    /// The operators' bounds on retries.
    pub fn retry_bounds(&self) -> RetryBounds {
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

    /// The time until this process exits; `None` if it was not asked to stop.
    pub fn shutdown_window(&self) -> Option<ShutdownWindow> {
        let stopping_since = self.with_state(|state| state.stopping_since)?;
        let grace_period = self.settings.bounds.grace_period;
        Some(ShutdownWindow::new(stopping_since, grace_period))
    }

    /// Whether this process may exit before a request is answered that no target has begun.
    pub fn may_exit_before(&self, request: &RoutedRequest) -> bool {
        let Some(window) = self.shutdown_window() else {
            return false;
        };
        let now = self.now();
        let time_left = request.response_time_left(now);
        let longest_generation = if request.route.kind.is_stream() {
            let token_time = self.token_time(&request.service);
            let head = &request.head;
            longest_generation(head.prompt_tokens, head.max_output_tokens, token_time)
        } else {
            None
        };
        let longest_time = longest_generation.map_or(time_left, |time| time.min(time_left));
        !window.can_complete(longest_time, now)
    }
}

/// Whole milliseconds, for log lines; saturates at `u64::MAX`.
pub fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
