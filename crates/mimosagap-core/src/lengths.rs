//! Histograms of output lengths, from which the rest of a running generation is estimated.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use mimosagap_types::prelude::*;

/// Counts lose half of their weight in this time, so that the estimate follows the callers.
pub const HALVING_TIME: Duration = Duration::from_mins(10);

/// Bucket `b` holds lengths above `2^(b-1)` up to `2^b`; the last one holds all longer lengths.
const BUCKETS: usize = 18;

/// Distinct pairs of team and class. Class names come from callers, so their number is bounded;
/// pairs beyond it share one histogram.
const MAX_PAIRS: usize = 4_096;

/// Weight of the lengths of all teams in the estimate for one pair, in observations.
const COMMON_WEIGHT: f64 = 4.0;

/// Names the histogram of one team and class.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LengthsIndex(usize);

/// Output lengths of one kind of request.
#[derive(Debug, Clone)]
struct Histogram {
    /// `above[b]` is the weight of all lengths in bucket `b` or a later one.
    above: [f64; BUCKETS + 1],
    halved_at: Option<Instant>,
}

fn bucket(length: f64) -> usize {
    let mut index = 0;
    while index + 1 < BUCKETS && upper(index) < length {
        index += 1;
    }
    index
}

#[expect(clippy::cast_precision_loss, reason = "at most 2^17")]
fn upper(index: usize) -> f64 {
    (1_u64 << index) as f64
}

fn lower(index: usize) -> f64 {
    if index == 0 { 0.0 } else { upper(index - 1) }
}

impl Histogram {
    fn new() -> Self {
        Self {
            above: [0.0; BUCKETS + 1],
            halved_at: None,
        }
    }

    /// What is assumed before any generation ended: lengths of 16 to 4096, each doubling as
    /// likely as the next.
    fn prior() -> Self {
        let mut prior = Self::new();
        for index in 5..=12 {
            prior.add(upper(index), 1.0);
        }
        let total = prior.above[0];
        for weight in &mut prior.above {
            *weight /= total;
        }
        prior
    }

    fn add(&mut self, length: f64, weight: f64) {
        for above in &mut self.above[..=bucket(length)] {
            *above += weight;
        }
    }

    fn halve(&mut self, now: Instant) {
        let Some(mut halved_at) = self.halved_at else {
            self.halved_at = Some(now);
            return;
        };
        while now.saturating_duration_since(halved_at) >= HALVING_TIME {
            for weight in &mut self.above {
                *weight /= 2.0;
            }
            halved_at += HALVING_TIME;
            if self.above[0] < 1e-3 {
                halved_at = now;
            }
        }
        self.halved_at = Some(halved_at);
    }

    /// Weight of the lengths above `tokens`, taken as even within a bucket.
    fn longer_than(&self, tokens: f64) -> f64 {
        let index = bucket(tokens);
        let weight = self.above[index] - self.above[index + 1];
        let width = upper(index) - lower(index);
        let part = ((upper(index) - tokens) / width).clamp(0.0, 1.0);
        self.above[index + 1] + weight * part
    }

    /// Sum over the lengths above `tokens` of what is left of them.
    fn left_after(&self, tokens: f64) -> f64 {
        let first = bucket(tokens);
        (first..BUCKETS)
            .map(|index| {
                let low = lower(index).max(tokens);
                let part = (upper(index) - low).max(0.0) / (upper(index) - lower(index));
                let weight = (self.above[index] - self.above[index + 1]) * part;
                weight * f64::midpoint(low, upper(index).max(low)) - weight * tokens
            })
            .sum()
    }
}

/// The histograms of all teams and classes.
#[derive(Debug, Clone)]
pub struct Lengths {
    pairs: HashMap<TeamName, HashMap<ClassName, LengthsIndex>>,
    table: Vec<Histogram>,
    common: Histogram,
    prior: Histogram,
}

impl Default for Lengths {
    fn default() -> Self {
        Self::new()
    }
}

impl Lengths {
    /// No observations.
    #[must_use]
    pub fn new() -> Self {
        Self {
            pairs: HashMap::new(),
            table: vec![Histogram::new()],
            common: Histogram::new(),
            prior: Histogram::prior(),
        }
    }

    /// The histogram of a team and class.
    pub fn index_of(&mut self, team: &TeamName, class: &ClassName) -> LengthsIndex {
        if let Some(index) = self.pairs.get(team).and_then(|classes| classes.get(class)) {
            return *index;
        }
        if self.table.len() > MAX_PAIRS {
            return LengthsIndex(0);
        }
        let index = LengthsIndex(self.table.len());
        self.table.push(Histogram::new());
        let classes = self.pairs.entry(team.clone()).or_default();
        classes.insert(class.clone(), index);
        index
    }

    /// Counts the length of a completed generation.
    pub fn observe(&mut self, index: LengthsIndex, tokens: u32, now: Instant) {
        for histogram in [&mut self.table[index.0], &mut self.common] {
            histogram.halve(now);
            histogram.add(f64::from(tokens.max(1)), 1.0);
        }
    }

    /// Applies `measure` to the pair's lengths, with all teams' lengths added at a small weight
    /// and the assumed lengths at a smaller one.
    fn blend(&self, index: LengthsIndex, measure: impl Fn(&Histogram) -> f64) -> f64 {
        let common = self.common.above[0] + 1.0;
        let assumed = measure(&self.common) + measure(&self.prior);
        measure(&self.table[index.0]) + COMMON_WEIGHT * assumed / common
    }

    /// Expected tokens still to come from a generation which produced `tokens`, in tokens.
    #[must_use]
    pub fn expected_rest(&self, index: LengthsIndex, tokens: u32, most: Option<u32>) -> f64 {
        let done = f64::from(tokens);
        let weight = self.blend(index, |histogram| histogram.longer_than(done));
        let rest = if weight < 1e-9 {
            // Longer than anything seen: lengths have heavy tails, so as much again is expected.
            done.max(1.0)
        } else {
            self.blend(index, |histogram| histogram.left_after(done)) / weight
        };
        most.map_or(rest, |most| rest.min(f64::from(most) - done).max(0.0))
    }

    /// The chance that a generation which produced `tokens` ends within `further` tokens.
    #[must_use]
    pub fn ends_within(
        &self,
        index: LengthsIndex,
        tokens: u32,
        further: f64,
        most: Option<u32>,
    ) -> f64 {
        let done = f64::from(tokens);
        if most.is_some_and(|most| done + further >= f64::from(most)) {
            return 1.0;
        }
        let weight = self.blend(index, |histogram| histogram.longer_than(done));
        if weight < 1e-9 {
            return further / (done + further).max(1.0);
        }
        let later = self.blend(index, |histogram| histogram.longer_than(done + further));
        (1.0 - later / weight).clamp(0.0, 1.0)
    }
}
