//! Records what clients sent and received and what targets executed, and checks these records
//! against the guarantees of the gateways.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::{Duration, Instant};

use crate::crash_check::{CrashChecker, CrashOutcome};
use crate::isolation_check::{IsolationChecker, IsolationOutcome};
use crate::rate_check::{RateChecker, RateUsage};
use crate::standins::target::BACKOFF;
use crate::version_check::{StreamAttempt, VersionChecker, VersionOutcome};

/// The kind of a request, which decides how often it may be executed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// May be executed any number of times.
    Idempotent,
    /// May be executed at most once.
    AtMostOnce,
    /// A stream of events, which may be executed at most once.
    Stream,
    /// A stream of events that may be executed any number of times and resumed at another target.
    ResumableStream,
}

impl RequestKind {
    /// Whether a request of this kind may be executed more than once.
    #[must_use]
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Whether the response is a stream of events.
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// What is known of one request.
#[derive(Debug, Clone)]
struct RequestRecord {
    kind: RequestKind,
    api_key: String,
    sent_at: Instant,
    /// The index of the gateway that it was sent to.
    gateway: Option<usize>,
    /// How often it reached a target.
    arrivals: u32,
    executions: u32,
    /// The status of the response, and when the client received it.
    response: Option<(u16, Instant)>,
    /// When the client closed the connection in the middle of the stream.
    disconnected_at: Option<Instant>,
    /// The target that executes it now, and since when.
    executor: Option<(String, Instant)>,
}

/// A request whose final response is not a success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FailedRequest {
    /// The request id, as in the logs of the gateways.
    pub id: String,
    /// The index of the gateway that it was sent to.
    pub gateway: Option<usize>,
    /// When the client received the response.
    pub responded_at: Instant,
}

/// One process of a gateway: the index of the gateway and the number of its restarts so far.
pub type GatewayIncarnation = (usize, u32);

/// All requests of a run, and the violations found so far.
#[derive(Debug, Default)]
pub struct InvariantChecker {
    requests: RefCell<HashMap<String, RequestRecord>>,
    cut_requests: RefCell<Vec<String>>,
    revoked_keys: RefCell<HashMap<String, Instant>>,
    draining_targets: RefCell<HashMap<String, Instant>>,
    /// When each gateway first received a drain notice in a response of a target.
    drain_notices: RefCell<HashMap<(usize, String), Instant>>,
    /// When a target last asked a gateway to back off, and the requests that arrived since.
    backoffs: RefCell<HashMap<(usize, String), (Instant, u32)>>,
    rate_checker: RefCell<RateChecker>,
    crash_checker: RefCell<CrashChecker>,
    version_checker: RefCell<VersionChecker>,
    /// Until when responses of a target may fail to reach the gateways.
    unreachable_until: RefCell<HashMap<String, Instant>>,
    isolation_checker: RefCell<IsolationChecker>,
    /// When each retry arrived, and whether it was one of a stream.
    retries: RefCell<Vec<(Instant, bool)>>,
    /// When each version of the configuration was written, from version 1.
    config_writes: RefCell<Vec<Instant>>,
    /// The newest version that each gateway process has served, and when it was first seen.
    served_versions: RefCell<HashMap<GatewayIncarnation, (u64, Instant)>>,
    disrupted_until: Cell<Option<Instant>>,
    violations: RefCell<Vec<String>>,
}

/// Requests sent with a revoked API key later than this after the revocation must not be executed.
pub const REVOCATION_LIMIT: Duration = Duration::from_secs(5);

/// Hosts connected to the store must send no request to a target later than this after it began to
/// drain.
pub const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// Hosts reconnect to the store within this time after a disruption of the store or of their
/// process.
pub const RECONNECT_LIMIT: Duration = Duration::from_secs(4);

/// Requests may still arrive at a target this long after it asked the gateways to back off.
pub const BACKOFF_SLACK: Duration = Duration::from_millis(500);

/// Requests that may arrive at a target from one gateway during its backoff.
pub const MAX_ARRIVALS_IN_BACKOFF: u32 = 2;

/// A version of the configuration must be in force this long after it was written.
pub const CONFIG_APPLY_LIMIT: Duration = Duration::from_secs(3);

/// A request that is sent this long after a response must not see an older configuration than that
/// response, if the same process sends both responses.
pub const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

/// A target must stop work on a stream this long after its client disconnected.
pub const CANCEL_LIMIT: Duration = Duration::from_millis(500);

/// A target must stop work on a stream this long after the stream migrated to another target.
pub const MIGRATION_OVERLAP_LIMIT: Duration = Duration::from_millis(400);

/// The retry budget in the gateways' settings: requests for each retry, the retries allowed beyond
/// that, and the length of the sliding window.
pub const RETRY_BUDGET: (usize, usize, Duration) = (5, 60, Duration::from_secs(10));

impl InvariantChecker {
    /// Records that a client sends a request.
    pub fn record_sent(&self, id: &str, kind: RequestKind, api_key: &str) {
        let request = RequestRecord {
            kind,
            api_key: api_key.to_owned(),
            sent_at: Instant::now(),
            gateway: None,
            arrivals: 0,
            executions: 0,
            response: None,
            disconnected_at: None,
            executor: None,
        };
        self.requests.borrow_mut().insert(id.to_owned(), request);
    }

    /// Records which gateway a request is sent to.
    pub fn record_gateway(&self, id: &str, gateway: usize) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.gateway = Some(gateway);
        }
    }

    /// Records that a target starts to execute a request, and checks whether it may.
    pub fn record_execution(&self, id: &str, target: &str, team: Option<&str>, has_api_key: bool) {
        if has_api_key {
            self.record_violation(format!(
                "target {target} received the API key of request {id}; a gateway must remove it"
            ));
        }
        if team.is_none() {
            self.record_violation(format!("request {id} was executed without a team"));
        }
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(id) else {
            drop(requests);
            self.record_violation(format!(
                "target {target} executed request {id}, which no client sent"
            ));
            return;
        };
        request.executions += 1;
        request.executor = Some((target.to_owned(), Instant::now()));
        let (kind, executions, status, sent_at) = (
            request.kind,
            request.executions,
            request.response.map(|(status, _)| status),
            request.sent_at,
        );
        let api_key = request.api_key.clone();
        drop(requests);
        if executions > 1 && !kind.is_idempotent() {
            self.record_violation(format!(
                "{kind:?} request {id} was executed {executions} times"
            ));
        }
        if !kind.is_idempotent() && matches!(status, Some(408 | 421 | 429 | 503)) {
            self.record_violation(format!(
                "request {id} was executed after its client received a refusal"
            ));
        }
        let revoked_at = self.revoked_keys.borrow().get(&api_key).copied();
        if revoked_at.is_some_and(|at| sent_at > at + REVOCATION_LIMIT) {
            self.record_violation(format!("request {id} was executed with a revoked API key"));
        }
        let draining_since = self.draining_targets.borrow().get(target).copied();
        if self.were_hosts_connected(sent_at)
            && draining_since.is_some_and(|at| sent_at > at + DRAIN_LIMIT)
        {
            self.record_violation(format!(
                "request {id} reached {target} more than {DRAIN_LIMIT:?} after the target began to \
                 drain"
            ));
        }
    }

    /// Records that a target sends a drain notice in its response to a request.
    pub fn record_drain_notice(&self, id: &str, target: &str) {
        if let Some(gateway) = self.reachable_gateway(id, target) {
            let mut notices = self.drain_notices.borrow_mut();
            let key = (gateway, target.to_owned());
            notices.entry(key).or_insert_with(Instant::now);
        }
    }

    /// Records that a target rejects a request and asks the gateway to back off for [`BACKOFF`].
    pub fn record_backoff(&self, id: &str, target: &str) {
        if let Some(gateway) = self.reachable_gateway(id, target) {
            let key = (gateway, target.to_owned());
            let mut backoffs = self.backoffs.borrow_mut();
            let backoff = backoffs.entry(key).or_insert((Instant::now(), 0));
            if backoff.0.elapsed() > BACKOFF {
                *backoff = (Instant::now(), 0);
            }
        }
    }

    /// Records that a target names a rate limit, in requests per second, in its response to a
    /// request.
    pub fn record_rate_limit(&self, id: &str, target: &str, rate: f64) {
        if let Some(gateway) = self.reachable_gateway(id, target) {
            let mut rate_checker = self.rate_checker.borrow_mut();
            rate_checker.record_limit(target, gateway, rate, Instant::now());
        }
    }

    /// Records that a target names no rate limit any more.
    pub fn end_rate_limit(&self, target: &str) {
        let now = Instant::now();
        self.rate_checker.borrow_mut().end_limit(target, now);
    }

    /// Records that clients start to send requests with a part of a prompt that crashes targets.
    pub fn start_crash_series(&self, part: &str) {
        let mut crash_checker = self.crash_checker.borrow_mut();
        crash_checker.start_series(part, Instant::now());
    }

    /// Records that clients send no more requests with a crashing part.
    pub fn end_crash_series(&self, part: &str) {
        let mut crash_checker = self.crash_checker.borrow_mut();
        crash_checker.end_series(part, Instant::now());
    }

    /// Records that a target crashes under a request with a part.
    pub fn record_part_crash(&self, part: &str) {
        let mut crash_checker = self.crash_checker.borrow_mut();
        crash_checker.record_crash(part, Instant::now());
    }

    /// The index of the gateway that a request was sent to.
    fn gateway_of(&self, id: &str) -> Option<usize> {
        self.requests.borrow().get(id)?.gateway
    }

    /// Records that a request with a crashing part arrives at a target, and checks whether it may.
    pub fn record_crashing_arrival(&self, id: &str, part: &str) {
        let Some(gateway) = self.gateway_of(id) else {
            return;
        };
        let violation =
            self.crash_checker
                .borrow_mut()
                .record_arrival(part, gateway, Instant::now(), |at| {
                    self.were_hosts_connected(at)
                });
        if let Some(text) = violation {
            self.record_violation(text);
        }
    }

    /// Records a sound request that shares parts with crashing ones, and whether its response began.
    pub fn record_sound_request(&self, sent_at: Instant, has_begun: bool) {
        let mut crash_checker = self.crash_checker.borrow_mut();
        crash_checker.record_sound_request(sent_at, has_begun);
    }

    /// How the series of requests with a crashing part went. Sound requests that were sent around
    /// a disruption do not count.
    pub fn crash_outcomes(&self) -> Vec<CrashOutcome> {
        let crash_checker = self.crash_checker.borrow();
        crash_checker.outcomes(|at| self.were_hosts_connected(at))
    }

    /// Records an attempt at a stream once it has ended, and whether it brought an event. For one
    /// that resumes a stream, `serving_engines` is the number of engines of its version.
    pub fn record_stream_attempt(
        &self,
        sent_at: Instant,
        has_event: bool,
        serving_engines: Option<usize>,
    ) {
        let mut version_checker = self.version_checker.borrow_mut();
        version_checker.record_attempt(StreamAttempt {
            were_hosts_connected: self.were_hosts_connected(sent_at),
            has_event,
            serving_engines,
        });
    }

    /// Records that a stream holds events of two versions, by the attempt that began it.
    pub fn record_joined_stream(&self, id: &str) {
        self.version_checker.borrow_mut().record_joined(id);
    }

    /// How streams fared beside engines of other versions. Attempts around a disruption do not
    /// count.
    pub fn version_outcome(&self) -> VersionOutcome {
        self.version_checker.borrow().outcome()
    }

    /// Sets how many gateways, from the first on, can be cut off from all targets.
    pub fn set_isolated_gateways(&self, count: usize) {
        self.isolation_checker.borrow_mut().gateway_count = count;
    }

    /// Records that gateways are cut off from all targets for a time.
    pub fn record_isolation(&self, duration: Duration) {
        let mut isolation_checker = self.isolation_checker.borrow_mut();
        isolation_checker.record(Instant::now(), duration);
    }

    /// How requests fared while gateways were cut off from all targets.
    pub fn isolation_outcome(&self) -> IsolationOutcome {
        let checker = self.isolation_checker.borrow();
        let mut outcome = IsolationOutcome::default();
        for request in self.requests.borrow().values() {
            if let Some(gateway) = request.gateway
                && checker.counts(request.sent_at)
            {
                let is_served = request.response.is_some_and(|(status, _)| status == 200);
                if gateway < checker.gateway_count {
                    outcome.isolated.add(is_served);
                } else {
                    outcome.connected.add(is_served);
                }
            }
        }
        outcome
    }

    /// How far the rate limits that have ended were used.
    pub fn rate_usages(&self) -> Vec<RateUsage> {
        self.rate_checker.borrow().usages().to_vec()
    }

    /// Records a call of a gateway that concerns a running request, and not the request itself.
    pub fn record_engine_call(&self, id: &str, target: &str) {
        self.count_for_rate(id, target);
    }

    /// Counts a request at a target, and checks the rate limit that the target names.
    fn count_for_rate(&self, id: &str, target: &str) {
        let Some(gateway) = self.gateway_of(id) else {
            return;
        };
        let now = Instant::now();
        let violation = self
            .rate_checker
            .borrow_mut()
            .record_arrival(target, gateway, now);
        if let Some(text) = violation {
            self.record_violation(text);
        }
    }

    /// Records that responses of a target may fail to reach the gateways for `duration`, and drops
    /// what the gateways may not have received.
    pub fn record_unreachable(&self, target: &str, duration: Duration) {
        let until = Instant::now() + duration + RECONNECT_LIMIT;
        self.rate_checker.borrow_mut().excuse_target(target, until);
        self.unreachable_until
            .borrow_mut()
            .insert(target.to_owned(), until);
        let is_other = |(_, other): &(usize, String)| other != target;
        self.drain_notices
            .borrow_mut()
            .retain(|key, _| is_other(key));
        self.backoffs.borrow_mut().retain(|key, _| is_other(key));
    }

    /// The gateway that a request was sent to; `None` if responses of the target may fail to reach
    /// it.
    fn reachable_gateway(&self, id: &str, target: &str) -> Option<usize> {
        let unreachable = self.unreachable_until.borrow().get(target).copied();
        if unreachable.is_some_and(|until| Instant::now() < until) {
            return None;
        }
        self.gateway_of(id)
    }

    /// Drops the notices and backoffs of a gateway that lost its state or was suspended.
    pub fn clear_gateway_state(&self, gateway: usize) {
        let mut rate_checker = self.rate_checker.borrow_mut();
        rate_checker.excuse_gateway(gateway, Instant::now());
        drop(rate_checker);
        self.crash_checker
            .borrow_mut()
            .excuse_gateway(gateway, Instant::now());
        let is_other = |(other, _): &(usize, String)| *other != gateway;
        self.drain_notices
            .borrow_mut()
            .retain(|key, _| is_other(key));
        self.backoffs.borrow_mut().retain(|key, _| is_other(key));
    }

    /// Checks that the gateway obeys the target's drain notices and backoffs.
    fn check_target_limits(&self, id: &str, target: &str, sent_at: Instant) {
        let Some(gateway) = self.reachable_gateway(id, target) else {
            return;
        };
        let key = (gateway, target.to_owned());
        let notified_at = self.drain_notices.borrow().get(&key).copied();
        if notified_at.is_some_and(|at| sent_at > at + DRAIN_LIMIT) {
            self.record_violation(format!(
                "gateway {gateway} sent request {id} to {target} in spite of its drain notice"
            ));
        }
        let mut backoffs = self.backoffs.borrow_mut();
        let Some((since, arrivals)) = backoffs.get_mut(&key) else {
            return;
        };
        if (BACKOFF_SLACK..BACKOFF).contains(&since.elapsed()) {
            *arrivals += 1;
            if *arrivals > MAX_ARRIVALS_IN_BACKOFF {
                self.record_violation(format!(
                    "gateway {gateway} sent {arrivals} requests to {target} during its backoff"
                ));
            }
        }
    }

    /// Records that a request reached a target, whether it is executed or not. Every arrival after
    /// the first is a retry.
    pub fn record_arrival(&self, id: &str, target: &str) {
        let sent_at = self
            .requests
            .borrow()
            .get(id)
            .map(|request| request.sent_at);
        if let Some(sent_at) = sent_at {
            self.check_target_limits(id, target, sent_at);
        }
        self.count_for_rate(id, target);
        let mut requests = self.requests.borrow_mut();
        if let Some(request) = requests.get_mut(id) {
            request.arrivals += 1;
            if request.arrivals > 1 {
                let is_stream = request.kind.is_stream();
                self.retries.borrow_mut().push((Instant::now(), is_stream));
            }
        }
    }

    /// Records that the connection of a request ended without a complete response.
    pub fn record_cut(&self, id: &str) {
        let requests = self.requests.borrow();
        if requests
            .get(id)
            .is_some_and(|request| request.executions > 0)
        {
            self.cut_requests.borrow_mut().push(id.to_owned());
        }
    }

    /// Requests that a target executed and that got no complete response, whatever the cause.
    pub fn cut_requests(&self) -> Vec<String> {
        self.cut_requests.borrow().clone()
    }

    /// Records that a client disconnected in the middle of a stream.
    pub fn record_disconnect(&self, id: &str) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.disconnected_at = Some(Instant::now());
        }
    }

    /// Records that a stream continues at a target, from the copy there.
    pub fn record_migration(&self, id: &str, target: &str) {
        if let Some(request) = self.requests.borrow_mut().get_mut(id) {
            request.executor = Some((target.to_owned(), Instant::now()));
        }
    }

    /// Records that a target produces an event of a stream, and checks that it is still the one to
    /// do so and that its client has not left.
    pub fn record_stream_event(&self, id: &str, target: &str) {
        self.record_kept_event(id, target);
        let now = Instant::now();
        let requests = self.requests.borrow();
        let disconnected_at = requests.get(id).and_then(|request| request.disconnected_at);
        drop(requests);
        if disconnected_at
            .is_some_and(|at| now > at + CANCEL_LIMIT && self.were_hosts_connected(at))
        {
            self.record_violation(format!(
                "{target} produces events of stream {id} more than {CANCEL_LIMIT:?} after its \
                 client disconnected"
            ));
            // Each stream is reported once.
            if let Some(request) = self.requests.borrow_mut().get_mut(id) {
                request.disconnected_at = None;
            }
        }
    }

    /// Records that a target that goes on with closed streams produces an event of one, and checks
    /// that it is still the one to do so.
    pub fn record_kept_event(&self, id: &str, target: &str) {
        let now = Instant::now();
        let request = self.requests.borrow().get(id).cloned();
        // A stream that may be resumed is sent again while its first target may still run.
        let executor = request
            .filter(|request| request.kind == RequestKind::Stream)
            .and_then(|request| request.executor);
        if let Some((executor, since)) = executor
            && executor != target
            && now > since + MIGRATION_OVERLAP_LIMIT
            && self.were_hosts_connected(since)
        {
            self.record_violation(format!(
                "{target} produces events of stream {id}, which migrated to {executor}"
            ));
        }
    }

    /// Records that the next version of the configuration is written; the first is version 1.
    pub fn record_config_write(&self) {
        self.config_writes.borrow_mut().push(Instant::now());
    }

    /// The newest version of the configuration; 0 before the first.
    pub fn newest_config_version(&self) -> u64 {
        self.config_writes.borrow().len() as u64
    }

    /// Records whether a gateway has the route that a version of the configuration added, and
    /// checks that the configuration is neither late nor rolled back.
    pub fn record_probe(
        &self,
        incarnation: GatewayIncarnation,
        version: u64,
        has_route: bool,
        sent_at: Instant,
    ) {
        if has_route {
            let mut served_versions = self.served_versions.borrow_mut();
            let newest = served_versions
                .entry(incarnation)
                .or_insert((version, Instant::now()));
            if version > newest.0 {
                *newest = (version, Instant::now());
            }
            return;
        }
        let served = self.served_versions.borrow().get(&incarnation).copied();
        if served.is_some_and(|(newest, at)| newest >= version && sent_at > at + ROLLBACK_SLACK) {
            self.record_violation(format!(
                "gateway {incarnation:?} served configuration version {served:?} and no longer has \
                 version {version}"
            ));
        }
        let index = usize::try_from(version).unwrap_or(usize::MAX) - 1;
        let written_at = self.config_writes.borrow().get(index).copied();
        if written_at.is_some_and(|at| sent_at > at + CONFIG_APPLY_LIMIT)
            && self.were_hosts_connected(sent_at)
        {
            self.record_violation(format!(
                "gateway {incarnation:?} does not have configuration version {version} after \
                 {CONFIG_APPLY_LIMIT:?}"
            ));
        }
    }

    /// Whether all hosts were connected to the store at `at`.
    fn were_hosts_connected(&self, at: Instant) -> bool {
        let from = self
            .disrupted_until
            .get()
            .map(|until| until + RECONNECT_LIMIT);
        from.is_none_or(|from| at > from)
    }

    /// Checks the retries of all gateways together against the retry budget, separately for streams
    /// and other requests.
    pub fn check_retry_budget(&self) {
        let (requests_per_retry, slack, window) = RETRY_BUDGET;
        let records = self.requests.borrow();
        let retries = self.retries.borrow();
        for is_stream in [false, true] {
            let mut sent: Vec<Instant> = records
                .values()
                .filter(|record| record.kind.is_stream() == is_stream)
                .map(|record| record.sent_at)
                .collect();
            sent.sort_unstable();
            let retries: Vec<Instant> = retries
                .iter()
                .filter(|(_, stream)| *stream == is_stream)
                .map(|(at, _)| *at)
                .collect();
            for end in &retries {
                let begin = end.checked_sub(window).unwrap_or(*end);
                let count_within = |times: &[Instant]| {
                    times.partition_point(|at| at <= end) - times.partition_point(|at| *at <= begin)
                };
                let (count, requests) = (count_within(&retries), count_within(&sent));
                if count > requests / requests_per_retry + slack {
                    self.record_violation(format!(
                        "{count} retries of {requests} requests in {window:?} exceed the retry \
                         budget"
                    ));
                    return;
                }
            }
        }
    }

    /// The requests whose final response is not a success.
    pub fn failed_requests(&self) -> Vec<FailedRequest> {
        let requests = self.requests.borrow();
        let failed = requests.iter().filter_map(|(id, request)| {
            let (status, responded_at) = request.response?;
            (status != 200).then(|| FailedRequest {
                id: id.clone(),
                gateway: request.gateway,
                responded_at,
            })
        });
        failed.collect()
    }

    /// Records the response that a client received, and checks that a refused request was
    /// not executed.
    pub fn record_response(&self, id: &str, status: u16) {
        let mut requests = self.requests.borrow_mut();
        let Some(request) = requests.get_mut(id) else {
            return;
        };
        request.response = Some((status, Instant::now()));
        let (kind, executions) = (request.kind, request.executions);
        drop(requests);
        if !kind.is_idempotent() && executions > 0 && matches!(status, 408 | 421 | 429 | 503) {
            self.record_violation(format!(
                "{kind:?} request {id} was refused with {status} after it was executed"
            ));
        }
    }

    /// Records that an API key is revoked.
    pub fn record_revocation(&self, api_key: &str) {
        self.revoked_keys
            .borrow_mut()
            .insert(api_key.to_owned(), Instant::now());
    }

    /// Whether an API key was revoked.
    pub fn is_revoked(&self, api_key: &str) -> bool {
        self.revoked_keys.borrow().contains_key(api_key)
    }

    /// Records that a target registered itself as draining.
    pub fn record_drain(&self, target: &str) {
        self.draining_targets
            .borrow_mut()
            .insert(target.to_owned(), Instant::now());
    }

    /// Records that the store, or the process of a host, is disrupted until this time.
    pub fn record_disruption(&self, until: Instant) {
        let latest = self.disrupted_until.get();
        self.disrupted_until.set(latest.max(Some(until)));
    }

    /// Adds a violation of a guarantee.
    pub fn record_violation(&self, text: String) {
        self.violations.borrow_mut().push(text);
    }

    /// The violations found so far, in order.
    pub fn violations(&self) -> Vec<String> {
        self.violations.borrow().clone()
    }

    /// How many requests were sent, and how many of them succeeded.
    pub fn request_counts(&self) -> (usize, usize) {
        let requests = self.requests.borrow();
        let served = requests
            .values()
            .filter(|request| request.response.is_some_and(|(status, _)| status == 200));
        (requests.len(), served.count())
    }
}
