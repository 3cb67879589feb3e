//! Forecast of an engine's memory over the next seconds.

use std::time::{Duration, Instant};

use mimosagap_rules::set::StallWeights;
use mimosagap_rules::statement::Priority;

use crate::lengths::{Lengths, LengthsIndex};
use crate::targets::Target;

/// The times looked ahead, in seconds.
pub const HORIZONS: [f64; 3] = [2.0, 5.0, 10.0];

/// Tokens per second of one stream before any was measured: 29 ms between tokens.
pub const DEFAULT_RATE: f64 = 34.0;

/// Growth since a report is extrapolated for at most this long.
const MAX_EXTRAPOLATION: Duration = Duration::from_secs(3);

/// What is added for each stream of other daemons and second since the report, as a part of a
/// stream's token rate: their placements and ends since then are known only in part. In a trial at
/// 90% memory, 1 gave 71 preemptions and 1.5 gave 59, for 0.3% of the goodput.
const FOREIGN_MARGIN: f64 = 1.5;

/// The largest part by which the weight of preemptions lowers the ceiling. More costs goodput: in
/// a trial at 90% memory, a reduction of 2.5% brought it below 97% of the best baseline.
const CEILING_REDUCTION: f64 = 0.02;

/// Part of the ceiling that is kept free for the highest priority, whose requests would otherwise
/// wait until a longer one of a lower priority fits.
const URGENT_RESERVE: f64 = 0.03;

/// Expected change of memory at each of [`HORIZONS`], in tokens.
pub type MemoryChange = [f64; 3];

/// Memory now and at each of [`HORIZONS`], in tokens.
pub type MemoryCourse = [f64; 4];

/// A stream as the forecast sees it.
#[derive(Debug, Clone, Copy)]
pub struct StreamSize {
    /// The histogram of its kind.
    pub lengths: LengthsIndex,
    /// Input tokens.
    pub prompt: u32,
    /// Output tokens so far.
    pub tokens: u32,
    /// Bound on the output.
    pub most: Option<u32>,
}

/// What one stream adds to its engine's memory: it grows while it runs and frees everything when
/// it ends.
#[must_use]
pub fn stream_change(lengths: &Lengths, size: StreamSize, rate: f64) -> MemoryChange {
    HORIZONS.map(|horizon| {
        let grown = rate * horizon;
        let ends = lengths.ends_within(size.lengths, size.tokens, grown, size.most);
        let held = f64::from(size.prompt) + f64::from(size.tokens);
        (1.0 - ends) * grown - ends * held
    })
}

/// What a new stream needs now and at each horizon.
#[must_use]
pub fn stream_need(lengths: &Lengths, size: StreamSize, rate: f64) -> MemoryCourse {
    let prompt = f64::from(size.prompt);
    let [first, second, third] = stream_change(lengths, size, rate);
    [prompt, prompt + first, prompt + second, prompt + third]
}

/// The forecast for one engine. `typical` is the change of a stream of the same model, used for
/// the streams of other daemons.
#[must_use]
pub fn engine_course(target: &Target, typical: MemoryChange, now: Instant) -> MemoryCourse {
    let Some(load) = &target.load else {
        return [0.0; 4];
    };
    let streams = f64::from(target.streams());
    let own = f64::from(target.outstanding());
    let foreign = (streams - own).max(0.0);
    let age = now.saturating_duration_since(load.measured_at);
    let since = age.min(MAX_EXTRAPOLATION).as_secs_f64();
    let growth = typical[0] / HORIZONS[0] + FOREIGN_MARGIN * target.rate;
    let base =
        load.used_tokens() + target.own_change() + target.peer_tokens() + foreign * growth * since;
    let mut course = [base.max(0.0); 4];
    for (index, value) in course[1..].iter_mut().enumerate() {
        *value = (base + target.change[index] + foreign * typical[index]).max(0.0);
    }
    course
}

/// How much of an engine's memory may be filled, and how far ahead the forecast must hold.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct AdmissionBound {
    /// Part of the memory, 0 to 1.
    pub ceiling: f64,
    /// How many entries of a [`MemoryCourse`] must stay below it.
    pub entries: usize,
}

impl AdmissionBound {
    /// Derives the bound from the rules. The ceiling never exceeds the one written in the rules;
    /// a higher weight for preemptions than for stall time lowers it, and so does a priority
    /// below the highest.
    #[must_use]
    pub fn new(ceiling: f64, weights: StallWeights, priority: Priority) -> Self {
        let sum = weights.preemptions + weights.stall;
        let preference = if sum > 0.0 {
            weights.preemptions / sum
        } else {
            0.5
        };
        let reduction = CEILING_REDUCTION * (2.0 * preference - 1.0).max(0.0);
        let reserve = if priority == Priority::High {
            0.0
        } else {
            URGENT_RESERVE
        };
        let entries = if preference >= 0.5 {
            4
        } else if preference >= 0.25 {
            3
        } else {
            2
        };
        Self {
            ceiling: ceiling * (1.0 - reduction) * (1.0 - reserve),
            entries,
        }
    }

    /// The highest use that the forecast shows if a stream with this need is added, as a part of
    /// the memory.
    #[must_use]
    pub fn peak(&self, course: &MemoryCourse, need: &MemoryCourse, capacity: f64) -> f64 {
        let peak = course
            .iter()
            .zip(need)
            .take(self.entries)
            .map(|(held, added)| held + added)
            .fold(0.0, f64::max);
        peak / capacity.max(1.0)
    }
}
