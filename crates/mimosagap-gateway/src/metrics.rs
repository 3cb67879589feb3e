//! Counters and latency histograms.

use prometheus::{
    Encoder, HistogramOpts, HistogramVec, IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry,
    TextEncoder,
};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 10] = [0.02, 0.05, 0.1, 0.2, 0.3, 0.6, 1.2, 1.8, 5.0, 20.0];

/// All metrics of the gateway. Labels are routes and fixed names, so the number of series is
/// bounded by the number of routes.
#[derive(Clone)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Answers by route and status.
    pub answers: IntCounterVec,
    /// Own answers by reason.
    pub refusals: IntCounterVec,
    /// Time to the answer or to the first event, by route.
    pub latency: HistogramVec,
    /// Attempts that failed, by cause.
    pub failed_attempts: IntCounterVec,
    /// Moves of generations, by step.
    pub moves: IntCounterVec,
    /// Calls to the store by result.
    pub store_calls: IntCounterVec,
    /// Connections opened to targets.
    pub connections: IntCounterVec,
    /// Requests in flight.
    pub in_flight: IntGauge,
    /// Version of the configuration in force.
    pub config_version: IntGauge,
    /// Known targets and hosts.
    pub known: IntGaugeVec,
}

impl GatewayMetrics {
    /// Registers all metrics.
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
        let store_calls = counters("mimosagap_store_calls_total", "Store calls", &["result"])?;
        let connections = counters(
            "mimosagap_target_connections_total",
            "Connections opened to targets",
            &["result"],
        )?;
        let in_flight = gauge("mimosagap_in_flight", "Requests in flight")?;
        let config_version = gauge("mimosagap_config_version", "Configuration in force")?;
        let known = IntGaugeVec::new(Opts::new("mimosagap_known", "Known peers"), &["what"])?;
        registry.register(Box::new(known.clone()))?;
        let latency = HistogramVec::new(
            HistogramOpts::new(
                "mimosagap_latency_seconds",
                "Time to the first event or answer",
            )
            .buckets(LATENCY_BUCKETS.to_vec()),
            &["route"],
        )?;
        registry.register(Box::new(latency.clone()))?;
        Ok(Self {
            registry,
            answers,
            refusals,
            latency,
            failed_attempts,
            moves,
            store_calls,
            connections,
            in_flight,
            config_version,
            known,
        })
    }

    /// All metrics as text.
    pub fn encode(&self) -> Result<Vec<u8>, prometheus::Error> {
        let mut text = Vec::new();
        TextEncoder::new().encode(&self.registry.gather(), &mut text)?;
        Ok(text)
    }
}
