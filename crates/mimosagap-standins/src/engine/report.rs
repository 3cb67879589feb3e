//! Load reports, which can lag.

use std::collections::VecDeque;
use std::fmt::Write as _;
use std::time::{Duration, Instant};

/// The longest lag that can be set.
const MAX_LAG: Duration = Duration::from_secs(30);

/// The figures of one load report.
#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct LoadFigures {
    pub(crate) running: usize,
    pub(crate) waiting: usize,
    pub(crate) memory_used: u64,
    pub(crate) memory_tokens: u64,
    pub(crate) preemptions: u64,
}

/// The figures of the last seconds.
#[derive(Debug, Default)]
pub(crate) struct ReportLog {
    lag: Duration,
    figures: VecDeque<(Instant, LoadFigures)>,
}

impl ReportLog {
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

    /// The figures to report: the given ones, or with a lag the newest that are old enough.
    pub(crate) fn reported(&self, now: Instant, current: LoadFigures) -> LoadFigures {
        if self.lag.is_zero() {
            return current;
        }
        let old = self
            .figures
            .iter()
            .rev()
            .find(|(at, _)| now.duration_since(*at) >= self.lag);
        old.map_or_else(
            || LoadFigures {
                memory_tokens: current.memory_tokens,
                ..LoadFigures::default()
            },
            |(_, figures)| *figures,
        )
    }
}

/// The report in the Prometheus text format. Only the load lags; the state and the incarnation
/// are those of the moment.
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
