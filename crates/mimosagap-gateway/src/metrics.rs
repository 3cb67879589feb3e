//! Counters and latency histograms.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 1.8, 5.0, 20.0];

/// Upper bounds of the buckets of pauses within streams, in seconds; 0.18 is the longest pause of
/// the users' deployments that counts as on time.
const PAUSE_BUCKETS: [f64; 8] = [0.02, 0.05, 0.1, 0.18, 0.4, 1.0, 2.0, 7.0];

/// Routes and teams with labels of their own; the others share one. With these 32 routes and 64
/// teams the histogram by both has at most 32 x 64 x 13 lines, about 3 MB, and one host of a fleet
/// sees a part of them.
const MOST_ROUTES: usize = 32;
const MOST_TEAMS: usize = 64;

/// The label of routes and teams beyond the first ones.
const OTHER: &str = "other";

/// Keeps the number of values of a label bounded.
#[derive(Clone)]
pub struct LabelLimit {
    known: Rc<RefCell<BTreeSet<String>>>,
    most: usize,
}

impl LabelLimit {
    /// A limit on the number of values, besides the common one for all others.
    #[must_use]
    pub fn new(most: usize) -> Self {
        Self {
            known: Rc::default(),
            most,
        }
    }

    /// The label for a value.
    #[must_use]
    pub fn label<'a>(&self, value: &'a str) -> &'a str {
        let mut known = self.known.borrow_mut();
        if known.contains(value) {
            return value;
        }
        if known.len() >= self.most {
            return OTHER;
        }
        known.insert(value.to_owned());
        value
    }
}

/// All metrics of the gateway. The number of series is bounded, see [`LabelLimit`].
#[derive(Clone)]
pub struct GatewayMetrics {
    registry: Registry,
    routes: LabelLimit,
    teams: LabelLimit,
    answers: IntCounterVec,
    latency: HistogramVec,
    waits: HistogramVec,
    pauses: HistogramVec,
    repeats: IntCounterVec,
    config_age: IntGauge,
    memory: IntGauge,
    /// Own answers by reason.
    pub refusals: IntCounterVec,
    /// Attempts that failed, by cause.
    pub failed_attempts: IntCounterVec,
    /// Moves of generations, by step.
    pub moves: IntCounterVec,
    /// Calls to the store by kind and result.
    pub store_calls: IntCounterVec,
    /// Connections opened to targets.
    pub target_connections: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Open connections of callers.
    pub caller_connections: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Known targets and hosts.
    pub known_members: IntGaugeVec,
}

impl GatewayMetrics {
    /// Registers all metrics.
    ///
    /// # Errors
    /// If two metrics have the same name.
    pub fn new() -> Result<Self, prometheus::Error> {
        let registry = Registry::new();
        let counters = |name: &str, help: &str, labels: &[&str]| {
            let counters = IntCounterVec::new(Opts::new(name, help), labels)?;
            registry.register(Box::new(counters.clone()))?;
            Ok::<_, prometheus::Error>(counters)
        };
        let gauge = |name: &str, help: &str| {
            let gauge = IntGauge::new(name, help)?;
            registry.register(Box::new(gauge.clone()))?;
            Ok::<_, prometheus::Error>(gauge)
        };
        let answers = counters("mimosagap_answers_total", "Answers", &["route", "status"])?;
        let refusals = counters("mimosagap_refusals_total", "Own answers", &["reason"])?;
        let failed_attempts = counters(
            "mimosagap_failed_attempts_total",
            "Attempts without an answer",
            &["cause"],
        )?;
        let moves = counters("mimosagap_moves_total", "Moved generations", &["step"])?;
        let store_calls = counters(
            "mimosagap_store_calls_total",
            "Store calls",
            &["call", "result"],
        )?;
        let target_connections = counters(
            "mimosagap_target_connections_total",
            "Connections opened to targets",
            &["result"],
        )?;
        let in_flight = gauge("mimosagap_in_flight", "Requests in flight")?;
        let config_version = gauge("mimosagap_config_version", "Configuration in force")?;
        let known_members =
            IntGaugeVec::new(Opts::new("mimosagap_known", "Known peers"), &["what"])?;
        registry.register(Box::new(known_members.clone()))?;
        let histograms = |name: &str, help: &str, buckets: &[f64], labels: &[&str]| {
            let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
            let histograms = HistogramVec::new(options, labels)?;
            registry.register(Box::new(histograms.clone()))?;
            Ok::<_, prometheus::Error>(histograms)
        };
        let latency = histograms(
            "mimosagap_latency_seconds",
            "Time to the first event or answer",
            &LATENCY_BUCKETS,
            &["route", "team"],
        )?;
        let waits = histograms(
            "mimosagap_wait_seconds",
            "Time in which a generation waited for a place",
            &LATENCY_BUCKETS,
            &["route"],
        )?;
        let pauses = histograms(
            "mimosagap_longest_pause_seconds",
            "Longest pause between two events of a stream",
            &PAUSE_BUCKETS,
            &["route"],
        )?;
        let repeats = counters(
            "mimosagap_repeats_total",
            "Sends after the first one that the budget allowed or denied",
            &["result"],
        )?;
        let config_age = gauge(
            "mimosagap_config_age_milliseconds",
            "Time since the configuration was proved to be the newest",
        )?;
        let memory = gauge("mimosagap_memory_bytes", "Resident memory")?;
        let caller_connections = gauge(
            "mimosagap_caller_connections",
            "Open connections of callers",
        )?;
        Ok(Self {
            registry,
            routes: LabelLimit::new(MOST_ROUTES),
            teams: LabelLimit::new(MOST_TEAMS),
            answers,
            latency,
            waits,
            pauses,
            repeats,
            config_age,
            memory,
            refusals,
            failed_attempts,
            moves,
            store_calls,
            target_connections,
            in_flight,
            caller_connections,
            config_version,
            known_members,
        })
    }

    /// Counts an answer, or the first event of one.
    pub fn observe_answer(&self, route: &str, team: &str, status: &str, took: Duration) {
        let route = self.routes.label(route);
        let team = self.teams.label(team);
        self.answers.with_label_values(&[route, status]).inc();
        let latency = self.latency.with_label_values(&[route, team]);
        latency.observe(took.as_secs_f64());
    }

    /// Counts how long a generation waited for a place.
    pub fn observe_wait(&self, route: &str, time: Duration) {
        let waits = self.waits.with_label_values(&[self.routes.label(route)]);
        waits.observe(time.as_secs_f64());
    }

    /// Counts the longest pause of a stream that ended.
    pub fn observe_longest_pause(&self, route: &str, time: Duration) {
        let pauses = self.pauses.with_label_values(&[self.routes.label(route)]);
        pauses.observe(time.as_secs_f64());
    }

    /// Counts a send after the first one.
    pub fn count_retry(&self, is_allowed: bool) {
        let result = if is_allowed { "allowed" } else { "denied" };
        self.repeats.with_label_values(&[result]).inc();
    }

    /// Sets what is only known when it is asked for.
    pub fn refresh_gauges(&self, config_age: Duration) {
        let age = i64::try_from(config_age.as_millis()).unwrap_or(i64::MAX);
        self.config_age.set(age);
        let held = procfs::process::Process::myself().and_then(|process| process.statm());
        // A system without this file shows no memory.
        let pages = held.map_or(0, |held| held.resident);
        let bytes = pages.saturating_mul(procfs::page_size());
        self.memory.set(i64::try_from(bytes).unwrap_or(i64::MAX));
    }

    /// All metrics as text.
    ///
    /// # Errors
    /// If a metric cannot be written.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
