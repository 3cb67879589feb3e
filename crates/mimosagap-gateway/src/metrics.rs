//! Prometheus counters, gauges and histograms.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use prometheus::{
    Encoder, GaugeVec, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts,
    Registry, TextEncoder,
};

const RELAYS_HELP: &str = "Requests handed to other hosts because this one reaches no target";

const RESIDENCY_NAME: &str = "mimosagap_residency_decisions_total";
const RESIDENCY_HELP: &str = "Decisions for requests that are restricted to regions";

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 1.8, 5.0, 20.0];

/// Upper bounds of the buckets of gaps within streams, in seconds. A gap up to 0.18 s counts as
/// on time in the users' deployments.
const GAP_BUCKETS: [f64; 8] = [0.02, 0.05, 0.1, 0.18, 0.4, 1.0, 2.0, 7.0];

/// Numbers of routes and of teams with label values of their own; the others share one value. With
/// 32 routes and 64 teams, the histogram by both has at most 32 x 64 x 13 lines, about 3 MB, and
/// one host of a fleet sees only a part of them.
const MAX_ROUTE_LABELS: usize = 32;
const MAX_TEAM_LABELS: usize = 64;

/// Label value shared by all values beyond the limit.
const OTHER_LABEL: &str = "other";

/// Limits the number of distinct values of a label. Clones share the values.
#[derive(Clone)]
pub struct LabelLimit {
    values: Rc<RefCell<BTreeSet<String>>>,
    max_values: usize,
}

impl LabelLimit {
    /// Creates a limit of `max_values` distinct values, besides the shared one.
    #[must_use]
    pub fn new(max_values: usize) -> Self {
        Self {
            values: Rc::default(),
            max_values,
        }
    }

    /// Returns the label for a value: the value itself, or the shared one once the limit is
    /// reached.
    #[must_use]
    pub fn label<'a>(&self, value: &'a str) -> &'a str {
        let mut values = self.values.borrow_mut();
        if values.contains(value) {
            return value;
        }
        if values.len() >= self.max_values {
            return OTHER_LABEL;
        }
        values.insert(value.to_owned());
        value
    }
}

fn register_counters(
    registry: &Registry,
    name: &str,
    help: &str,
    labels: &[&str],
) -> Result<IntCounterVec, prometheus::Error> {
    let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
    registry.register(Box::new(counters.clone()))?;
    Ok(counters)
}

fn register_gauge(
    registry: &Registry,
    name: &str,
    help: &str,
) -> Result<IntGauge, prometheus::Error> {
    let gauge = IntGauge::new(name, help)?;
    registry.register(Box::new(gauge.clone()))?;
    Ok(gauge)
}

/// Metrics of what targets say in headers: their rate limits, and what was not read.
#[derive(Clone)]
pub struct SignalMetrics {
    /// Changes of the rate limits of targets, by how this host learned of them.
    pub limit_changes: IntCounterVec,
    limits: GaugeVec,
    /// Asks for permits of targets that name a limit, by result.
    pub permits: IntCounterVec,
    /// Headers that were not read, by cause.
    pub unread_headers: IntCounterVec,
    /// Verdicts against requests or parts of prompts under which targets crashed, by how this host
    /// learned of them.
    pub quarantine_verdicts: IntCounterVec,
    /// Steps of suspecting targets that hang, by name.
    pub suspicions: IntCounterVec,
}

impl SignalMetrics {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let limits = GaugeVec::new(
            Opts::new(
                "mimosagap_target_rate_limit",
                "Requests per second that a target accepts from all hosts",
            ),
            &["target"],
        )?;
        registry.register(Box::new(limits.clone()))?;
        Ok(Self {
            limit_changes: register_counters(
                registry,
                "mimosagap_target_rate_limit_changes_total",
                "Changes of the rate limits of targets",
                &["source"],
            )?,
            limits,
            suspicions: register_counters(
                registry,
                "mimosagap_target_suspicions_total",
                "Steps of suspecting targets that hang",
                &["step"],
            )?,
            quarantine_verdicts: register_counters(
                registry,
                "mimosagap_quarantine_verdicts_total",
                "Requests or parts of prompts that were blocked",
                &["source"],
            )?,
            permits: register_counters(
                registry,
                "mimosagap_rate_permits_total",
                "Asks for permits of targets that name a rate limit",
                &["result"],
            )?,
            unread_headers: register_counters(
                registry,
                "mimosagap_unread_headers_total",
                "Headers of targets that were not read",
                &["cause"],
            )?,
        })
    }

    /// Replaces the limits in force by these, in requests per second by target.
    pub fn set_limits(&self, limits: impl Iterator<Item = (String, f64)>) {
        self.limits.reset();
        for (target, rate) in limits {
            self.limits.with_label_values(&[&target]).set(rate);
        }
    }
}

/// Metrics of streams that callers resume.
#[derive(Clone)]
pub struct ResumptionMetrics {
    /// Requests that resume a stream, by how its version is known or why they are refused.
    pub requests: IntCounterVec,
    /// Segments of records of streams that were written to the store, by result.
    pub records: IntCounterVec,
}

impl ResumptionMetrics {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            requests: register_counters(
                registry,
                "mimosagap_resumed_streams_total",
                "Requests that resume a stream",
                &["source"],
            )?,
            records: register_counters(
                registry,
                "mimosagap_stream_records_total",
                "Segments of records of streams written to the store",
                &["result"],
            )?,
        })
    }
}

/// Metrics of requests that are sent to a second target because the first is late.
#[derive(Clone)]
struct HedgeMetrics {
    outcomes: IntCounterVec,
    delays: GaugeVec,
}

impl HedgeMetrics {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let delays = GaugeVec::new(
            Opts::new(
                "mimosagap_hedge_delay_seconds",
                "Time after which the last request of a route counted as late",
            ),
            &["route"],
        )?;
        registry.register(Box::new(delays.clone()))?;
        Ok(Self {
            outcomes: register_counters(
                registry,
                "mimosagap_hedges_total",
                "Late requests by how their second attempt ended or why it was denied",
                &["route", "outcome"],
            )?,
            delays,
        })
    }
}

/// The retry budget of this host.
#[derive(Clone)]
pub struct RetryMetrics {
    decisions: IntCounterVec,
    /// Requests to other hosts for the credit of one retry, by result.
    pub loans: IntCounterVec,
}

impl RetryMetrics {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            decisions: register_counters(
                registry,
                "mimosagap_repeats_total",
                "Sends after the first one that the budget allowed or denied",
                &["result"],
            )?,
            loans: register_counters(
                registry,
                "mimosagap_retry_loans_total",
                "Requests to other hosts for the credit of one retry",
                &["result"],
            )?,
        })
    }
}

/// Metrics of zones, targets and hosts that are left out or spared.
#[derive(Clone)]
pub struct ExclusionMetrics {
    /// Changes of evacuations, by kind.
    pub evacuation_changes: IntCounterVec,
    /// Number of evacuated zones.
    pub evacuated_zones: IntGauge,
    /// Asks for permits of engines that may be cold, by result.
    pub cold_permits: IntCounterVec,
    /// Number of engines that count as cold.
    pub cold_targets: IntGauge,
    /// Number of listed hosts from which nothing is heard.
    pub silent_hosts: IntGauge,
}

impl ExclusionMetrics {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        Ok(Self {
            evacuation_changes: register_counters(
                registry,
                "mimosagap_evacuation_changes_total",
                "Changes of evacuated zones",
                &["change"],
            )?,
            evacuated_zones: register_gauge(
                registry,
                "mimosagap_evacuated_zones",
                "Evacuated zones",
            )?,
            cold_permits: register_counters(
                registry,
                "mimosagap_cold_permits_total",
                "Asks for permits of engines that may be cold",
                &["result"],
            )?,
            cold_targets: register_gauge(registry, "mimosagap_cold_targets", "Cold engines")?,
            silent_hosts: register_gauge(registry, "mimosagap_silent_hosts", "Silent hosts")?,
        })
    }
}

/// Metrics of the memory of requests and of the connections of clients.
#[derive(Clone)]
pub struct RequestMemoryMetrics {
    /// Bytes by part of the memory of requests and responses, and the limits on them.
    pub bytes: IntGaugeVec,
    /// Requests that were refused or evicted, by action and cause.
    pub decisions: IntCounterVec,
    /// Open connections of clients, by listener.
    pub connections: IntGaugeVec,
    /// Connections that were closed or not accepted, by listener and cause.
    pub closed_connections: IntCounterVec,
}

impl RequestMemoryMetrics {
    fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let register_gauges = |name: &str, help: &str, label: &str| {
            let gauges = IntGaugeVec::new(Opts::new(name, help), &[label])?;
            registry.register(Box::new(gauges.clone()))?;
            Ok::<_, prometheus::Error>(gauges)
        };
        Ok(Self {
            bytes: register_gauges(
                "mimosagap_request_memory_bytes",
                "Memory of requests, responses and connections by part",
                "part",
            )?,
            decisions: register_counters(
                registry,
                "mimosagap_request_memory_decisions_total",
                "Requests that were refused or evicted for lack of memory",
                &["action", "cause"],
            )?,
            connections: register_gauges(
                "mimosagap_client_connections",
                "Open connections of clients",
                "listener",
            )?,
            closed_connections: register_counters(
                registry,
                "mimosagap_closed_connections_total",
                "Connections of clients that were closed or not accepted",
                &["listener", "cause"],
            )?,
        })
    }

    /// Sets the size of a part.
    pub fn set_bytes(&self, part: &str, bytes: usize) {
        let gauge = self.bytes.with_label_values(&[part]);
        gauge.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Sets the number of connections of a listener.
    pub fn set_connections(&self, listener: &str, count: usize) {
        let gauge = self.connections.with_label_values(&[listener]);
        gauge.set(i64::try_from(count).unwrap_or(i64::MAX));
    }
}

/// All metrics of the gateway. [`LabelLimit`] bounds the number of series.
#[derive(Clone)]
pub struct GatewayMetrics {
    registry: Registry,
    routes: LabelLimit,
    teams: LabelLimit,
    responses: IntCounterVec,
    latencies: HistogramVec,
    wait_times: HistogramVec,
    longest_gaps: HistogramVec,
    /// Retries and loans of credit for them.
    pub retries: RetryMetrics,
    hedges: HedgeMetrics,
    config_age: IntGauge,
    resident_memory: IntGauge,
    /// Requests handed to other hosts, by result.
    pub relays: IntCounterVec,
    /// Decisions for requests that are restricted to regions, by result.
    pub residency_decisions: IntCounterVec,
    /// Responses of the gateway itself, by reason.
    pub refusals: IntCounterVec,
    /// Attempts without a response, by cause.
    pub failed_attempts: IntCounterVec,
    /// Steps of migrating generations to another engine, by name.
    pub migration_steps: IntCounterVec,
    /// Calls to the store, by kind and result.
    pub store_calls: IntCounterVec,
    /// Connections opened to targets, by result.
    pub target_connections: IntCounterVec,
    /// What targets say in headers.
    pub target_signals: SignalMetrics,
    /// Streams that callers resume.
    pub resumptions: ResumptionMetrics,
    /// Memory of requests and connections of clients.
    pub request_memory: RequestMemoryMetrics,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Zones, targets and hosts that are left out or spared.
    pub exclusions: ExclusionMetrics,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Known targets and hosts, by `what`.
    pub known_members: IntGaugeVec,
}

impl GatewayMetrics {
    /// Creates and registers all metrics.
    ///
    /// # Errors
    /// If two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let register_counters = |name: &str, help: &str, labels: &[&str]| {
            register_counters(&registry, name, help, labels)
        };
        let register_gauge = |name: &str, help: &str| register_gauge(&registry, name, help);
        let responses =
            register_counters("mimosagap_answers_total", "Answers", &["route", "status"])?;
        let refusals = register_counters("mimosagap_refusals_total", "Own answers", &["reason"])?;
        let failed_attempts = register_counters(
            "mimosagap_failed_attempts_total",
            "Attempts without an answer",
            &["cause"],
        )?;
        let migration_steps =
            register_counters("mimosagap_moves_total", "Moved generations", &["step"])?;
        let store_calls = register_counters(
            "mimosagap_store_calls_total",
            "Store calls",
            &["call", "result"],
        )?;
        let target_connections = register_counters(
            "mimosagap_target_connections_total",
            "Connections opened to targets",
            &["result"],
        )?;
        let target_signals = SignalMetrics::new(&registry)?;
        let resumptions = ResumptionMetrics::new(&registry)?;
        let exclusions = ExclusionMetrics::new(&registry)?;
        let in_flight = register_gauge("mimosagap_in_flight", "Requests in flight")?;
        let config_version = register_gauge("mimosagap_config_version", "Configuration in force")?;
        let known_members =
            IntGaugeVec::new(Opts::new("mimosagap_known", "Known peers"), &["what"])?;
        registry.register(Box::new(known_members.clone()))?;
        let register_histograms = |name: &str, help: &str, buckets: &[f64], labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histograms = HistogramVec::new(options, labels)?;
            registry.register(Box::new(histograms.clone()))?;
            Ok::<_, prometheus::Error>(histograms)
        };
        let latencies = register_histograms(
            "mimosagap_latency_seconds",
            "Time to the first event or answer",
            &LATENCY_BUCKETS,
            &["route", "team"],
        )?;
        let wait_times = register_histograms(
            "mimosagap_wait_seconds",
            "Time in which a generation waited for a place",
            &LATENCY_BUCKETS,
            &["route"],
        )?;
        let longest_gaps = register_histograms(
            "mimosagap_longest_pause_seconds",
            "Longest pause between two events of a stream",
            &GAP_BUCKETS,
            &["route"],
        )?;
        let retries = RetryMetrics::new(&registry)?;
        let relays = register_counters("mimosagap_relays_total", RELAYS_HELP, &["result"])?;
        let residency_decisions = register_counters(RESIDENCY_NAME, RESIDENCY_HELP, &["result"])?;
        let config_age = register_gauge(
            "mimosagap_config_age_milliseconds",
            "Time since the configuration was proved to be the newest",
        )?;
        let resident_memory = register_gauge("mimosagap_memory_bytes", "Resident memory")?;
        let caller_connections = register_gauge(
            "mimosagap_caller_connections",
            "Open connections of callers",
        )?;
        Ok(Self {
            hedges: HedgeMetrics::new(&registry)?,
            exclusions,
            request_memory: RequestMemoryMetrics::new(&registry)?,
            registry,
            routes: LabelLimit::new(MAX_ROUTE_LABELS),
            teams: LabelLimit::new(MAX_TEAM_LABELS),
            responses,
            latencies,
            wait_times,
            longest_gaps,
            retries,
            relays,
            residency_decisions,
            config_age,
            resident_memory,
            refusals,
            failed_attempts,
            migration_steps,
            store_calls,
            target_connections,
            target_signals,
            resumptions,
            in_flight,
            caller_connections,
            config_version,
            known_members,
        })
    }

    /// Counts a response, or the first event of a stream, and its latency.
    pub fn observe_response(&self, route: &str, team: &str, status: &str, elapsed: Duration) {
        let route = self.routes.label(route);
        let team = self.teams.label(team);
        self.responses.with_label_values(&[route, status]).inc();
        let histogram = self.latencies.with_label_values(&[route, team]);
        histogram.observe(elapsed.as_secs_f64());
    }

    /// Records how long a generation waited for an engine.
    pub fn observe_wait(&self, route: &str, duration: Duration) {
        let histogram = self
            .wait_times
            .with_label_values(&[self.routes.label(route)]);
        histogram.observe(duration.as_secs_f64());
    }

    /// Records the longest gap between two events of a finished stream.
    pub fn observe_longest_gap(&self, route: &str, duration: Duration) {
        let histogram = self
            .longest_gaps
            .with_label_values(&[self.routes.label(route)]);
        histogram.observe(duration.as_secs_f64());
    }

    /// Counts a send after the first one of a request, allowed or denied by the retry budget.
    pub fn count_retry(&self, is_allowed: bool) {
        let result = if is_allowed { "allowed" } else { "denied" };
        self.retries.decisions.with_label_values(&[result]).inc();
    }

    /// Counts a retry that was not sent because it seldom helps and credit is short.
    pub fn count_skipped_retry(&self) {
        self.retries.decisions.with_label_values(&["skipped"]).inc();
    }

    /// Counts a late request, by the outcome of its hedge or the cause of its denial.
    pub fn count_hedge(&self, route: &str, outcome: &str) {
        let route = self.routes.label(route);
        self.hedges
            .outcomes
            .with_label_values(&[route, outcome])
            .inc();
    }

    /// Records the time after which a request of a route counts as late.
    pub fn set_hedge_delay(&self, route: &str, delay: Duration) {
        let gauge = self
            .hedges
            .delays
            .with_label_values(&[self.routes.label(route)]);
        gauge.set(delay.as_secs_f64());
    }

    /// Updates the gauges that are only read on a scrape: age of the configuration and memory.
    pub fn refresh_gauges(&self, config_age: Duration) {
        let age_ms = i64::try_from(config_age.as_millis()).unwrap_or(i64::MAX);
        self.config_age.set(age_ms);
        let statm = procfs::process::Process::myself().and_then(|process| process.statm());
        // Without a readable `/proc/self/statm`, memory is reported as 0.
        let pages = statm.map_or(0, |statm| statm.resident);
        let bytes = pages.saturating_mul(procfs::page_size());
        self.resident_memory
            .set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Errors
    /// If a metric cannot be encoded.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
