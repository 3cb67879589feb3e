//! Histograms of output lengths by team and class, from which the remaining length of a running
//! generation is estimated.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use mimosagap_types::prelude::*;

/// Half-life of the counts, so that the estimate follows changes in traffic.
pub const HALF_LIFE: Duration = Duration::from_mins(10);

/// Bucket `b` holds lengths above `2^(b-1)` up to `2^b`; the last one holds all longer lengths.
const BUCKET_COUNT: usize = 18;

/// Limit on the histograms, because callers choose the class names. Further pairs of team and class
/// share one histogram.
const MAX_HISTOGRAMS: usize = 4_096;

/// Weight of all teams' lengths in the estimate for one pair, in observations.
const ALL_TEAMS_WEIGHT: f64 = 4.0;

/// Identifies the histogram of one team and class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct HistogramIndex(usize);

/// Output lengths of one team and class, weighted by age.
#[derive(Debug, Clone)]
struct LengthHistogram {
    /// `weight_from[b]` is the weight of all lengths in bucket `b` or a later one.
    weight_from: [f64; BUCKET_COUNT + 1],
    halved_at: Option<Instant>,
}

fn bucket_index(length: f64) -> usize {
    let mut index = 0;
    while index + 1 < BUCKET_COUNT && upper_bound(index) < length {
        index += 1;
    }
    index
}

#[expect(clippy::cast_precision_loss, reason = "at most 2^17")]
fn upper_bound(index: usize) -> f64 {
    (1_u64 << index) as f64
}

fn lower_bound(index: usize) -> f64 {
    if index == 0 {
        0.0
    } else {
        upper_bound(index - 1)
    }
}

impl LengthHistogram {
    fn new() -> Self {
        Self {
            weight_from: [0.0; BUCKET_COUNT + 1],
            halved_at: None,
        }
    }

    /// Distribution assumed before any generation completed: 16 to 4,096 tokens, uniform on a
    /// logarithmic scale.
    fn prior() -> Self {
        let mut prior = Self::new();
        for index in 5..=12 {
            prior.add(upper_bound(index), 1.0);
        }
        let total = prior.weight_from[0];
        for weight in &mut prior.weight_from {
            *weight /= total;
        }
        prior
    }

    fn add(&mut self, length: f64, weight: f64) {
        for sum in &mut self.weight_from[..=bucket_index(length)] {
            *sum += weight;
        }
    }

    fn decay(&mut self, now: Instant) {
        let Some(mut halved_at) = self.halved_at else {
            self.halved_at = Some(now);
            return;
        };
        while now.saturating_duration_since(halved_at) >= HALF_LIFE {
            for weight in &mut self.weight_from {
                *weight /= 2.0;
            }
            halved_at += HALF_LIFE;
            if self.weight_from[0] < 1e-3 {
                halved_at = now;
            }
        }
        self.halved_at = Some(halved_at);
    }

    /// Weight of the lengths above `tokens`, interpolated linearly within a bucket.
    fn weight_above(&self, tokens: f64) -> f64 {
        let index = bucket_index(tokens);
        let weight = self.weight_from[index] - self.weight_from[index + 1];
        let width = upper_bound(index) - lower_bound(index);
        let fraction = ((upper_bound(index) - tokens) / width).clamp(0.0, 1.0);
        self.weight_from[index + 1] + weight * fraction
    }

    /// Weighted sum of `length - tokens` over all lengths above `tokens`.
    fn remaining_above(&self, tokens: f64) -> f64 {
        let first_bucket = bucket_index(tokens);
        (first_bucket..BUCKET_COUNT)
            .map(|index| {
                let low = lower_bound(index).max(tokens);
                let fraction =
                    (upper_bound(index) - low).max(0.0) / (upper_bound(index) - lower_bound(index));
                let weight = (self.weight_from[index] - self.weight_from[index + 1]) * fraction;
                weight * f64::midpoint(low, upper_bound(index).max(low)) - weight * tokens
            })
            .sum()
    }
}

/// Estimates output lengths for all teams and classes.
#[derive(Debug, Clone)]
pub struct LengthEstimator {
    pairs: HashMap<TeamName, HashMap<ClassName, HistogramIndex>>,
    histograms: Vec<LengthHistogram>,
    all_teams: LengthHistogram,
    prior: LengthHistogram,
}

impl Default for LengthEstimator {
    fn default() -> Self {
        Self::new()
    }
}

impl LengthEstimator {
    /// Creates an estimator without observations.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pairs: HashMap::new(),
            histograms: vec![LengthHistogram::new()],
            all_teams: LengthHistogram::new(),
            prior: LengthHistogram::prior(),
        }
    }

    /// Index of the histogram of a team and class; creates it on first use.
    pub fn histogram_of(&mut self, team: &TeamName, class: &ClassName) -> HistogramIndex {
        if let Some(index) = self.pairs.get(team).and_then(|classes| classes.get(class)) {
            return *index;
        }
        if self.histograms.len() > MAX_HISTOGRAMS {
            return HistogramIndex(0);
        }
        let index = HistogramIndex(self.histograms.len());
        self.histograms.push(LengthHistogram::new());
        let classes = self.pairs.entry(team.clone()).or_default();
        classes.insert(class.clone(), index);
        index
    }

    /// Counts the output length of a completed generation.
    pub fn observe(&mut self, index: HistogramIndex, tokens: u32, now: Instant) {
        for histogram in [&mut self.histograms[index.0], &mut self.all_teams] {
            histogram.decay(now);
            histogram.add(f64::from(tokens.max(1)), 1.0);
        }
    }

    /// Applies `measure` to a pair's histogram and adds, at a small weight, the result for all
    /// teams together and the assumed distribution.
    fn blend(&self, index: HistogramIndex, measure: impl Fn(&LengthHistogram) -> f64) -> f64 {
        let total = self.all_teams.weight_from[0] + 1.0;
        let assumed = measure(&self.all_teams) + measure(&self.prior);
        measure(&self.histograms[index.0]) + ALL_TEAMS_WEIGHT * assumed / total
    }

    /// Expected number of further tokens of a generation that produced `tokens` so far.
    #[must_use]
    pub fn expected_remaining(
        &self,
        index: HistogramIndex,
        tokens: u32,
        max_tokens: Option<u32>,
    ) -> f64 {
        let produced = f64::from(tokens);
        let weight = self.blend(index, |histogram| histogram.weight_above(produced));
        let remaining = if weight < 1e-9 {
            // Longer than any observation: lengths are heavy-tailed, so the same length again is
            // expected.
            produced.max(1.0)
        } else {
            self.blend(index, |histogram| histogram.remaining_above(produced)) / weight
        };
        max_tokens.map_or(remaining, |max_tokens| {
            remaining.min(f64::from(max_tokens) - produced).max(0.0)
        })
    }

    /// Probability that a generation that produced `tokens` so far ends within `further` tokens.
    #[must_use]
    pub fn end_probability(
        &self,
        index: HistogramIndex,
        tokens: u32,
        further: f64,
        max_tokens: Option<u32>,
    ) -> f64 {
        let produced = f64::from(tokens);
        if max_tokens.is_some_and(|max_tokens| produced + further >= f64::from(max_tokens)) {
            return 1.0;
        }
        let weight = self.blend(index, |histogram| histogram.weight_above(produced));
        if weight < 1e-9 {
            return further / (produced + further).max(1.0);
        }
        let later_weight = self.blend(index, |histogram| {
            histogram.weight_above(produced + further)
        });
        (1.0 - later_weight / weight).clamp(0.0, 1.0)
    }
}
