//! Delta encoding between two versions of a long value.
//!
//! A configuration of some hundred kilobytes changes a few fields at a time, several times a
//! second, and every host of a region needs each version within seconds over links that carry
//! streams as well. A delta copies unchanged segments from the older version and carries only new
//! bytes.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Last byte of a segment. JSON objects end with it, so that an edit changes one or two segments.
const SEGMENT_END: u8 = b'}';

/// Steps that build a value from an older one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ValueDelta {
    steps: Vec<DeltaStep>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum DeltaStep {
    /// Copies bytes of the older value: offset and length.
    Copy(usize, usize),
    /// Adds new bytes.
    Insert(Vec<u8>),
}

impl ValueDelta {
    /// Computes the difference between an older and a newer value.
    #[must_use]
    pub fn new(older: &[u8], newer: &[u8]) -> Self {
        let mut segment_offsets: HashMap<&[u8], usize> = HashMap::new();
        let mut offset = 0;
        for segment in segments(older) {
            segment_offsets.entry(segment).or_insert(offset);
            offset += segment.len();
        }
        let mut steps = Vec::new();
        let mut next_offset = None;
        for segment in segments(newer) {
            // The segment after the last copied one is preferred, so that adjacent copies merge
            // into one step.
            let adjacent =
                next_offset.filter(|old_offset| older[*old_offset..].starts_with(segment));
            let old_offset = adjacent.or_else(|| segment_offsets.get(segment).copied());
            match (old_offset, steps.last_mut()) {
                (Some(old_offset), Some(DeltaStep::Copy(start, length)))
                    if *start + *length == old_offset =>
                {
                    *length += segment.len();
                }
                (Some(old_offset), _) => steps.push(DeltaStep::Copy(old_offset, segment.len())),
                (None, Some(DeltaStep::Insert(bytes))) => bytes.extend_from_slice(segment),
                (None, _) => steps.push(DeltaStep::Insert(segment.to_vec())),
            }
            next_offset = old_offset.map(|old_offset| old_offset + segment.len());
        }
        Self { steps }
    }

    /// Rebuilds the newer value; `None` if a step exceeds `older`. The caller ensures that `older`
    /// is the version that the delta was computed from.
    #[must_use]
    pub fn apply(&self, older: &[u8]) -> Option<Vec<u8>> {
        let mut newer = Vec::new();
        for step in &self.steps {
            match step {
                DeltaStep::Copy(start, length) => {
                    newer.extend_from_slice(older.get(*start..start.checked_add(*length)?)?);
                }
                DeltaStep::Insert(bytes) => newer.extend_from_slice(bytes),
            }
        }
        Some(newer)
    }

    /// Approximate encoded size in bytes.
    #[must_use]
    pub fn encoded_size(&self) -> usize {
        const STEP_BYTES: usize = 8;
        let inserted_bytes = |step: &DeltaStep| match step {
            DeltaStep::Copy(..) => 0,
            DeltaStep::Insert(bytes) => bytes.len(),
        };
        self.steps
            .iter()
            .map(|step| STEP_BYTES + inserted_bytes(step))
            .sum()
    }
}

/// Splits a value after each [`SEGMENT_END`].
fn segments(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split_inclusive(|byte| *byte == SEGMENT_END)
}
