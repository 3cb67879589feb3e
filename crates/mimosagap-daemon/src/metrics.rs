//! Counters and histograms of the daemon.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::requests::lock;

/// A gap between tokens beyond this counts as a stall.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);

const WAIT_BUCKETS: [f64; 14] = [
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.73, 1.0, 2.5, 5.0, 10.0, 30.0,
];
const TOKEN_BUCKETS: [f64; 14] = [
    0.001, 0.005, 0.01, 0.015, 0.02, 0.025, 0.029, 0.035, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0,
];
const STALL_BUCKETS: [f64; 8] = [0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0];
/// Classes with a label of their own.
const MAX_CLASSES: usize = 32;

/// The label of all further classes.
const OTHER_CLASSES: &str = "other";

const STREAM_LABELS: [&str; 2] = ["team", "class"];

/// All metrics of a daemon.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    classes: Mutex<HashSet<String>>,
    queueing: HistogramVec,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    stall: HistogramVec,
    /// Refusals by cause.
    pub refusals: IntCounterVec,
    /// Preemptions that the engines reported.
    pub preemptions: IntCounterVec,
    /// Continuations of a stream on a new connection, by result.
    pub resumes: IntCounterVec,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Requests in progress.
    pub requests: IntGauge,
    /// Connections refused at the bound.
    pub connections_refused: IntCounter,
}

/// The histograms of one stream.
#[derive(Debug, Clone)]
pub struct StreamMetrics {
    /// Seconds from submission to the first token.
    pub first_token: Histogram,
    /// Seconds between tokens.
    pub between_tokens: Histogram,
    /// Seconds beyond which a gap counts as a stall, whole gaps.
    pub stall: Histogram,
}

fn register<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: C) -> C {
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric has a name of its own");
    metric
}

fn histogram(registry: &Registry, name: &str, help: &str, buckets: &[f64]) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let metric = HistogramVec::new(options, &STREAM_LABELS).expect("names and buckets are valid");
    register(registry, metric)
}

fn counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), &[label]).expect("names are valid");
    register(registry, metric)
}

fn gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
    register(
        registry,
        IntGauge::new(name, help).expect("names are valid"),
    )
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Metrics in a registry of their own.
    ///
    /// # Panics
    /// Never: all names are constants.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let seconds = |name: &str, help: &str, buckets: &[f64]| {
            histogram(
                &registry,
                &format!("mimosagap_{name}_seconds"),
                help,
                buckets,
            )
        };
        Self {
            queueing: seconds("queueing", "Time in the admission queue", &WAIT_BUCKETS),
            first_token: seconds("first_token", "Submission to first token", &WAIT_BUCKETS),
            between_tokens: seconds("between_tokens", "Time between tokens", &TOKEN_BUCKETS),
            stall: seconds("stall", "Gaps between tokens over 250 ms", &STALL_BUCKETS),
            refusals: counters(
                &registry,
                "mimosagap_refusals_total",
                "Refusals by cause",
                "cause",
            ),
            preemptions: counters(
                &registry,
                "mimosagap_reported_preemptions_total",
                "Preemptions in engine reports",
                "target",
            ),
            resumes: counters(
                &registry,
                "mimosagap_stream_resumes_total",
                "Streams continued on a new connection, by result",
                "result",
            ),
            connections: gauge(
                &registry,
                "mimosagap_caller_connections",
                "Open connections of callers",
            ),
            requests: gauge(
                &registry,
                "mimosagap_requests_in_progress",
                "Requests in progress",
            ),
            connections_refused: register(
                &registry,
                IntCounter::new(
                    "mimosagap_caller_connections_refused_total",
                    "Connections refused at the bound",
                )
                .expect("names are valid"),
            ),
            classes: Mutex::default(),
            registry,
        }
    }

    /// The label of a class. Callers choose the names, so only the first ones get labels of their
    /// own.
    fn class_label<'a>(&self, class: &'a str) -> &'a str {
        let mut classes = lock(&self.classes);
        if classes.contains(class) {
            return class;
        }
        if classes.len() >= MAX_CLASSES {
            return OTHER_CLASSES;
        }
        classes.insert(class.to_owned());
        class
    }

    /// Counts a time in the admission queue.
    pub fn observe_queueing(&self, team: &str, class: &str, wait: Duration) {
        let labels = [team, self.class_label(class)];
        let histogram = self.queueing.with_label_values(&labels);
        histogram.observe(wait.as_secs_f64());
    }

    /// The histograms of a stream, looked up once.
    #[must_use]
    pub fn stream_metrics(&self, team: &str, class: &str) -> StreamMetrics {
        let labels = [team, self.class_label(class)];
        StreamMetrics {
            first_token: self.first_token.with_label_values(&labels),
            between_tokens: self.between_tokens.with_label_values(&labels),
            stall: self.stall.with_label_values(&labels),
        }
    }

    /// All metrics in the Prometheus text format.
    ///
    /// # Panics
    /// Never: writing to memory does not fail.
    #[must_use]
    pub fn text(&self) -> String {
        let mut buffer = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buffer)
            .expect("writing to memory does not fail");
        String::from_utf8(buffer).expect("the text format is UTF-8")
    }
}

impl StreamMetrics {
    /// Counts the gap before a token that is not the first.
    pub fn observe_token_gap(&self, gap: Duration) {
        let seconds = gap.as_secs_f64();
        self.between_tokens.observe(seconds);
        if gap > STALL_THRESHOLD {
            self.stall.observe(seconds);
        }
    }
}
