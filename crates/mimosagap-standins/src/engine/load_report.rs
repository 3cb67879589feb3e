//! Load reports of the engine, which can be delayed.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

/// Maximum delay of the reports; the history covers this time.
const MAX_LAG: Duration = Duration::from_secs(30);

/// Figures of one load report. Memory is in tokens.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadFigures {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) memory_used: u64,
    pub(crate) memory_tokens: u64,
    pub(crate) preemptions: u64,
}

/// Load figures of the last [`MAX_LAG`], with the delay at which they are reported.
#[derive(Debug, Default)]
pub(crate) struct ReportHistory {
    lag: Duration,
    figures: VecDeque<(Instant, LoadFigures)>,
}

impl ReportHistory {
    pub(crate) fn set_lag(&mut self, lag: Duration) {
        self.lag = lag.min(MAX_LAG);
    }

    pub(crate) fn record(&mut self, now: Instant, figures: LoadFigures) {
        self.figures.push_back((now, figures));
        while self
            .figures
            .front()
            .is_some_and(|(at, _)| now.duration_since(*at) > MAX_LAG)
        {
            self.figures.pop_front();
        }
    }

    /// Returns the figures to report: `current` without a delay, else the newest recorded figures
    /// that are at least as old as the delay, or zero load if there are none.
    pub(crate) fn reported(&self, now: Instant, current: LoadFigures) -> LoadFigures {
        if self.lag.is_zero() {
            return current;
        }
        let delayed = self
            .figures
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= self.lag);
        delayed.map_or_else(
            || LoadFigures {
                memory_tokens: current.memory_tokens,
                ..LoadFigures::default()
            },
            |(_, figures)| *figures,
        )
    }
}

/// Formats the report in the Prometheus text format. Only the load figures are delayed; the state
/// and the incarnation are current.
pub(crate) fn metrics_text(figures: LoadFigures, leaving: bool, incarnation: u64) -> String {
    let mut text = String::with_capacity(512);
    let usage = ratio(figures.memory_used, figures.memory_tokens);
    gauge(&mut text, "vllm:num_requests_running", figures.running);
    gauge(&mut text, "vllm:num_requests_waiting", figures.waiting);
    gauge(&mut text, "vllm:kv_cache_usage_perc", usage);
    let name = "vllm:num_preemptions_total";
    let _ = writeln!(
        text,
        "# TYPE {name} counter\n{name} {}",
        figures.preemptions
    );
    gauge(
        &mut text,
        "engine_kv_capacity_tokens",
        figures.memory_tokens,
    );
    gauge(&mut text, "engine_incarnation", incarnation);
    let _ = writeln!(
        text,
        "# TYPE engine_state gauge\nengine_state{{state=\"live\"}} {}\nengine_state{{state=\"leaving\"}} {}",
        u8::from(!leaving),
        u8::from(leaving)
    );
    text
}

fn gauge(text: &mut String, name: &str, value: impl std::fmt::Display) {
    let _ = writeln!(text, "# TYPE {name} gauge\n{name} {value}");
}

#[allow(clippy::cast_precision_loss)] // Memory sizes are far below 2^52 tokens.
fn ratio(part: u64, whole: u64) -> f64 {
    part as f64 / whole.max(1) as f64
}
