//! Forecast of an engine's memory over the next seconds.

use std::time::{Duration, Instant};

use mimosagap_rules::set::StallWeights;
use mimosagap_rules::statement::Priority;

use crate::output_lengths::{HistogramIndex, LengthEstimator};
use crate::targets::Target;

/// The times looked ahead, in seconds.
pub const HORIZON_SECONDS: [f64; 3] = [2.0, 5.0, 10.0];

/// Tokens per second of one stream before any was measured: 29 ms between tokens.
pub const DEFAULT_TOKENS_PER_SECOND: f64 = 34.0;

/// Growth since a report is extrapolated for at most this long.
const MAX_EXTRAPOLATION: Duration = Duration::from_secs(3);

/// What is added for each stream of other daemons and second since the report, as a part of a
/// stream's token rate: how they grew and ended since then is known only in part.
const PEER_GROWTH_MARGIN: f64 = 1.0;

/// Streams of other daemons for each own one that are assumed to add as this daemon does.
const MAX_PEER_STREAM_RATIO: f64 = 8.0;

/// The largest part by which the weight of preemptions lowers the ceiling. More costs goodput: in
/// a trial at 90% memory, a reduction of 2.5% brought it below 97% of the best baseline.
const MAX_CEILING_REDUCTION: f64 = 0.02;

/// Part of the ceiling that is kept free for the highest priority, whose requests would otherwise
/// wait until a longer one of a lower priority fits.
const HIGH_PRIORITY_RESERVE: f64 = 0.03;

/// Expected change of memory at each of [`HORIZONS`], in tokens.
pub type MemoryChange = [f64; 3];

/// Memory now and at each of [`HORIZONS`], in tokens.
pub type MemoryForecast = [f64; 4];

/// A stream as the forecast sees it.
#[derive(Debug, Clone, Copy)]
pub struct StreamSize {
    /// The histogram of its kind.
    pub histogram: HistogramIndex,
    /// Input tokens.
    pub prompt_tokens: u32,
    /// Output tokens so far.
    pub output_tokens: u32,
    /// Bound on the output.
    pub max_tokens: Option<u32>,
}

/// What one stream adds to its engine's memory: it grows while it runs and frees everything when
/// it ends.
#[must_use]
pub fn stream_change(
    estimator: &LengthEstimator,
    size: StreamSize,
    tokens_per_second: f64,
) -> MemoryChange {
    HORIZON_SECONDS.map(|horizon| {
        let growth = tokens_per_second * horizon;
        let end_probability =
            estimator.end_probability(size.histogram, size.output_tokens, growth, size.max_tokens);
        let held_tokens = f64::from(size.prompt_tokens) + f64::from(size.output_tokens);
        (1.0 - end_probability) * growth - end_probability * held_tokens
    })
}

/// What a new stream needs now and at each horizon.
#[must_use]
pub fn stream_need(
    estimator: &LengthEstimator,
    size: StreamSize,
    tokens_per_second: f64,
) -> MemoryForecast {
    let prompt_tokens = f64::from(size.prompt_tokens);
    let [first, second, third] = stream_change(estimator, size, tokens_per_second);
    [
        prompt_tokens,
        prompt_tokens + first,
        prompt_tokens + second,
        prompt_tokens + third,
    ]
}

/// The forecast for one engine. `typical` is the change of a stream of the same model, used for
/// the streams of other daemons.
#[must_use]
pub fn engine_forecast(target: &Target, mean_change: MemoryChange, now: Instant) -> MemoryForecast {
    let Some(load) = &target.load else {
        return [0.0; 4];
    };
    let all_streams = f64::from(target.streams());
    let own_streams = f64::from(target.outstanding());
    let peer_streams = (all_streams - own_streams).max(0.0);
    let age = now.saturating_duration_since(load.measured_at);
    let extrapolated_seconds = age.min(MAX_EXTRAPOLATION).as_secs_f64();
    let growth_rate =
        mean_change[0] / HORIZON_SECONDS[0] + PEER_GROWTH_MARGIN * target.tokens_per_second;
    let current_tokens = load.used_tokens()
        + target.unreported_change()
        + peer_change(target, peer_streams / own_streams.max(1.0))
        + peer_streams * growth_rate * extrapolated_seconds;
    let mut forecast = [current_tokens.max(0.0); 4];
    for (index, value) in forecast[1..].iter_mut().enumerate() {
        *value = (current_tokens + target.memory_change[index] + peer_streams * mean_change[index])
            .max(0.0);
    }
    forecast
}

/// What the other daemons have added since the report. Their digests come late, but they see the
/// same room as this daemon, so at least as much is assumed as it added itself for each stream.
fn peer_change(target: &Target, peer_stream_ratio: f64) -> f64 {
    let assumed =
        target.unreported_change().max(0.0) * peer_stream_ratio.min(MAX_PEER_STREAM_RATIO);
    target.peer_tokens().max(assumed)
}

/// How much of an engine's memory may be filled, and how far ahead the forecast must hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionBound {
    /// Part of the memory, 0 to 1.
    pub ceiling: f64,
    /// How many entries of a [`MemoryCourse`] must stay below it.
    pub checked_entries: usize,
}

impl AdmissionBound {
    /// Derives the bound from the rules. The ceiling never exceeds the one written in the rules;
    /// a higher weight for preemptions than for stall time lowers it, and so does a priority
    /// below the highest.
    #[must_use]
    pub fn new(ceiling: f64, weights: StallWeights, priority: Priority) -> Self {
        let weight_sum = weights.preemptions + weights.stall;
        let preemption_share = if weight_sum > 0.0 {
            weights.preemptions / weight_sum
        } else {
            0.5
        };
        let reduction = MAX_CEILING_REDUCTION * (2.0 * preemption_share - 1.0).max(0.0);
        let reserve = if priority == Priority::High {
            0.0
        } else {
            HIGH_PRIORITY_RESERVE
        };
        let checked_entries = if preemption_share >= 0.5 {
            4
        } else if preemption_share >= 0.25 {
            3
        } else {
            2
        };
        Self {
            ceiling: ceiling * (1.0 - reduction) * (1.0 - reserve),
            checked_entries,
        }
    }

    /// The highest use that the forecast shows if a stream with this need is added, as a part of
    /// the memory.
    #[must_use]
    pub fn peak_usage(
        &self,
        forecast: &MemoryForecast,
        need: &MemoryForecast,
        capacity: f64,
    ) -> f64 {
        let peak_tokens = forecast
            .iter()
            .zip(need)
            .take(self.checked_entries)
            .map(|(held, added)| held + added)
            .fold(0.0, f64::max);
        peak_tokens / capacity.max(1.0)
    }
}
