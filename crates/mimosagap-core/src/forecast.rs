//! Forecast of an engine's KV cache use over the next seconds, from its last report, the growth of
//! running streams and their expected ends. Requests are admitted against it, because an engine
//! that runs out of memory preempts streams.

use std::time::{Duration, Instant};

use mimosagap_rules::set::PlacementWeights;
use mimosagap_rules::statement::Priority;

use crate::output_lengths::{HistogramIndex, LengthEstimator};
use crate::targets::Target;

/// Look-ahead times of the forecast, in seconds.
pub const HORIZON_SECONDS: [f64; 3] = [2.0, 5.0, 10.0];

/// Tokens per second of one stream before any was measured: one token every 29 ms.
pub const DEFAULT_TOKENS_PER_SECOND: f64 = 34.0;

/// Limit on how far growth since a report is extrapolated.
const MAX_EXTRAPOLATION: Duration = Duration::from_secs(3);

/// Extra growth assumed for each stream of other daemons since the report, as a fraction of a
/// stream's token rate: how those streams grew and ended since then is only partly known.
const PEER_GROWTH_MARGIN: f64 = 1.0;

/// Limit on the ratio of other daemons' streams to this daemon's, when the memory added by other
/// daemons since the report is estimated from that added by this daemon.
const MAX_PEER_STREAM_RATIO: f64 = 8.0;

/// Largest reduction of the ceiling through a high weight for preemptions, as a fraction of it.
/// Larger values cost goodput: at 90% memory, 2.5% falls below 97% of the best baseline.
const MAX_CEILING_REDUCTION: f64 = 0.02;

/// Fraction of the ceiling reserved for the highest priority, whose requests would otherwise wait
/// until a longer one of a lower priority has ended.
const HIGH_PRIORITY_RESERVE: f64 = 0.03;

/// Expected change of KV cache use at each of [`HORIZON_SECONDS`], in tokens.
pub type MemoryChange = [f64; 3];

/// KV cache use now and at each of [`HORIZON_SECONDS`], in tokens.
pub type MemoryForecast = [f64; 4];

/// Token counts of one stream.
#[derive(Debug, Clone, Copy)]
pub struct StreamSize {
    /// Histogram of output lengths for the request's team and class.
    pub histogram: HistogramIndex,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Output tokens produced so far.
    pub output_tokens: u32,
    /// Limit on the output, in tokens; `None` for no limit.
    pub max_tokens: Option<u32>,
}

/// Expected change of KV cache use through one stream: it grows while the stream runs, and all of
/// it is freed when the stream ends.
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

/// KV cache use of a new stream now and at each horizon.
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

/// Forecast for one engine. `mean_change` is the mean over this daemon's streams of the same model
/// and stands in for the streams of other daemons.
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

/// Estimates the tokens that other daemons added since the report. Their digests arrive late, but
/// they see the same free memory, so each of their streams counts at least as much as one of
/// this daemon.
fn peer_change(target: &Target, peer_stream_ratio: f64) -> f64 {
    let assumed =
        target.unreported_change().max(0.0) * peer_stream_ratio.min(MAX_PEER_STREAM_RATIO);
    target.peer_tokens().max(assumed)
}

/// Limit for admission: how full an engine may get, and how far ahead the forecast must stay below
/// it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionBound {
    /// Fraction of the KV cache, 0 to 1.
    pub ceiling: f64,
    /// Number of leading entries of a [`MemoryForecast`] that must stay below the ceiling.
    pub checked_entries: usize,
}

impl AdmissionBound {
    /// Derives the limit from the rules. The ceiling never exceeds `ceiling` from the rules; a
    /// priority below the highest lowers it, and so does a weight for preemptions above that for
    /// stall time.
    #[must_use]
    pub fn new(ceiling: f64, weights: PlacementWeights, priority: Priority) -> Self {
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

    /// Highest forecast use with a stream of this need added, as a fraction of the KV cache.
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
