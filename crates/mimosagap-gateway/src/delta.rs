//! Differences between two versions of a long value.
//!
//! Load pattern: a configuration of some hundred kilobytes changes a few fields at a time, several
//! times a second, and every host of a region needs each version within seconds over links that the
//! streams fill as well.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

/// Parts end with this byte, so that an edit changes one or two of them: JSON objects end with it.
const PART_END: u8 = b'}';

/// How a value is made from an older one.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ValueDelta {
    steps: Vec<DeltaStep>,
}

#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
enum DeltaStep {
    /// Bytes of the older value: offset and length.
    Keep(usize, usize),
    /// New bytes.
    Insert(Vec<u8>),
}

impl ValueDelta {
    /// The difference from an older value to a newer one.
    #[must_use]
    pub fn new(older: &[u8], newer: &[u8]) -> Self {
        let mut offsets: HashMap<&[u8], usize> = HashMap::new();
        let mut offset = 0;
        for part in parts(older) {
            offsets.entry(part).or_insert(offset);
            offset += part.len();
        }
        let mut steps = Vec::new();
        let mut follows = None;
        for part in parts(newer) {
            // The part that follows the last kept one is preferred, so that runs stay together.
            let next = follows.filter(|at| older[*at..].starts_with(part));
            let at = next.or_else(|| offsets.get(part).copied());
            match (at, steps.last_mut()) {
                (Some(at), Some(DeltaStep::Keep(start, length))) if *start + *length == at => {
                    *length += part.len();
                }
                (Some(at), _) => steps.push(DeltaStep::Keep(at, part.len())),
                (None, Some(DeltaStep::Insert(bytes))) => bytes.extend_from_slice(part),
                (None, _) => steps.push(DeltaStep::Insert(part.to_vec())),
            }
            follows = at.map(|at| at + part.len());
        }
        Self { steps }
    }

    /// The newer value; `None` if the older one is not the one that this was made from.
    #[must_use]
    pub fn apply(&self, older: &[u8]) -> Option<Vec<u8>> {
        let mut newer = Vec::new();
        for step in &self.steps {
            match step {
                DeltaStep::Keep(start, length) => {
                    newer.extend_from_slice(older.get(*start..start.checked_add(*length)?)?);
                }
                DeltaStep::Insert(bytes) => newer.extend_from_slice(bytes),
            }
        }
        Some(newer)
    }

    /// About how many bytes it takes on a link.
    #[must_use]
    pub fn size(&self) -> usize {
        const STEP: usize = 8;
        let bytes = |step: &DeltaStep| match step {
            DeltaStep::Keep(..) => 0,
            DeltaStep::Insert(bytes) => bytes.len(),
        };
        self.steps.iter().map(|step| STEP + bytes(step)).sum()
    }
}

fn parts(value: &[u8]) -> impl Iterator<Item = &[u8]> {
    value.split_inclusive(|byte| *byte == PART_END)
}
