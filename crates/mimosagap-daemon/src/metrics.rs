//! Counters and histograms of the daemon.

use std::collections::HashSet;
use std::sync::Mutex;
use std::time::Duration;

use prometheus::{
    Encoder, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge, Opts,
    Registry, TextEncoder,
};

use crate::requests::lock;

/// A longer gap between two tokens counts as a stall.
pub const STALL_THRESHOLD: Duration = Duration::from_millis(250);

const WAIT_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.73, 1.0, 2.5, 5.0, 10.0, 30.0,
];
const TOKEN_BUCKETS_SECONDS: [f64; 14] = [
    0.001, 0.005, 0.01, 0.015, 0.02, 0.025, 0.029, 0.035, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0,
];
const STALL_BUCKETS_SECONDS: [f64; 8] = [0.25, 0.5, 1.0, 2.0, 3.0, 5.0, 10.0, 30.0];
/// Limit of request classes that get their own label value.
const MAX_CLASS_LABELS: usize = 32;

/// The label value shared by all further classes.
const OTHER_CLASSES_LABEL: &str = "other";

const STREAM_LABELS: [&str; 2] = ["team", "class"];

/// All metrics of a daemon, in a registry of their own.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    labeled_classes: Mutex<HashSet<String>>,
    queueing: HistogramVec,
    first_token: HistogramVec,
    between_tokens: HistogramVec,
    stall: HistogramVec,
    /// Refused requests by cause.
    pub refusals: IntCounterVec,
    /// Preemptions in the engines' load reports, by target.
    pub preemptions: IntCounterVec,
    /// Attempts to continue a stream on a new connection to its engine, by result.
    pub resumes: IntCounterVec,
    /// Open connections of callers.
    pub connections: IntGauge,
    /// Requests in progress.
    pub requests: IntGauge,
    /// Connections refused because the connection limit was reached.
    pub connections_refused: IntCounter,
}

/// The histograms of one stream.
#[derive(Debug, Clone)]
pub struct StreamMetrics {
    /// Seconds from the submission of the request to its first token.
    pub first_token: Histogram,
    /// Seconds between tokens.
    pub between_tokens: Histogram,
    /// Seconds of the gaps longer than [`STALL_THRESHOLD`].
    pub stall: Histogram,
}

fn register<C: prometheus::core::Collector + Clone + 'static>(registry: &Registry, metric: C) -> C {
    registry
        .register(Box::new(metric.clone()))
        .expect("each metric has a name of its own");
    metric
}

fn register_histogram(
    registry: &Registry,
    name: &str,
    help: &str,
    buckets: &[f64],
) -> HistogramVec {
    let options = HistogramOpts::new(name, help).buckets(buckets.to_vec());
    let metric = HistogramVec::new(options, &STREAM_LABELS).expect("names and buckets are valid");
    register(registry, metric)
}

fn register_counters(registry: &Registry, name: &str, help: &str, label: &str) -> IntCounterVec {
    let metric = IntCounterVec::new(Opts::new(name, help), &[label]).expect("names are valid");
    register(registry, metric)
}

fn register_gauge(registry: &Registry, name: &str, help: &str) -> IntGauge {
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
    /// Creates all metrics and registers them in a new registry.
    ///
    /// # Panics
    /// Never: all names are constants.
    #[must_use]
    pub fn new() -> Self {
        let registry = Registry::new();
        let seconds_histogram = |name: &str, help: &str, buckets: &[f64]| {
            register_histogram(
                &registry,
                &format!("mimosagap_{name}_seconds"),
                help,
                buckets,
            )
        };
        Self {
            queueing: seconds_histogram(
                "queueing",
                "Time in the admission queue",
                &WAIT_BUCKETS_SECONDS,
            ),
            first_token: seconds_histogram(
                "first_token",
                "Submission to first token",
                &WAIT_BUCKETS_SECONDS,
            ),
            between_tokens: seconds_histogram(
                "between_tokens",
                "Time between tokens",
                &TOKEN_BUCKETS_SECONDS,
            ),
            stall: seconds_histogram(
                "stall",
                "Gaps between tokens over 250 ms",
                &STALL_BUCKETS_SECONDS,
            ),
            refusals: register_counters(
                &registry,
                "mimosagap_refusals_total",
                "Refusals by cause",
                "cause",
            ),
            preemptions: register_counters(
                &registry,
                "mimosagap_reported_preemptions_total",
                "Preemptions in engine reports",
                "target",
            ),
            resumes: register_counters(
                &registry,
                "mimosagap_stream_resumes_total",
                "Streams continued on a new connection, by result",
                "result",
            ),
            connections: register_gauge(
                &registry,
                "mimosagap_caller_connections",
                "Open connections of callers",
            ),
            requests: register_gauge(
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
            labeled_classes: Mutex::default(),
            registry,
        }
    }

    /// Returns the label value of a class. Callers choose the class names, so only the first
    /// `MAX_CLASS_LABELS` names get their own value.
    fn class_label<'a>(&self, class: &'a str) -> &'a str {
        let mut labeled_classes = lock(&self.labeled_classes);
        if labeled_classes.contains(class) {
            return class;
        }
        if labeled_classes.len() >= MAX_CLASS_LABELS {
            return OTHER_CLASSES_LABEL;
        }
        labeled_classes.insert(class.to_owned());
        class
    }

    /// Records the time that a request spent in the admission queue.
    pub fn observe_queueing(&self, team: &str, class: &str, wait: Duration) {
        let labels = [team, self.class_label(class)];
        let histogram = self.queueing.with_label_values(&labels);
        histogram.observe(wait.as_secs_f64());
    }

    /// Looks up the histograms of a stream, once for all its tokens.
    #[must_use]
    pub fn stream_metrics(&self, team: &str, class: &str) -> StreamMetrics {
        let labels = [team, self.class_label(class)];
        StreamMetrics {
            first_token: self.first_token.with_label_values(&labels),
            between_tokens: self.between_tokens.with_label_values(&labels),
            stall: self.stall.with_label_values(&labels),
        }
    }

    /// Encodes all metrics in the Prometheus text format.
    ///
    /// # Panics
    /// Never: writing to memory does not fail.
    #[must_use]
    pub fn encode_text(&self) -> String {
        let mut buffer = Vec::new();
        TextEncoder::new()
            .encode(&self.registry.gather(), &mut buffer)
            .expect("writing to memory does not fail");
        String::from_utf8(buffer).expect("the text format is UTF-8")
    }
}

impl StreamMetrics {
    /// Records the gap before a token, except the first of the stream.
    pub fn observe_token_gap(&self, gap: Duration) {
        let seconds = gap.as_secs_f64();
        self.between_tokens.observe(seconds);
        if gap > STALL_THRESHOLD {
            self.stall.observe(seconds);
        }
    }
}
