//! Differences between two revisions of the rules file.

use std::fmt;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};
use similar::{DiffOp, TextDiff};

/// A run of lines that is replaced.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LineEdit {
    /// How many lines of the base come before it, counted from 0.
    pub at: usize,
    /// How many lines of the base it removes.
    pub removed: usize,
    /// The lines put in their place.
    pub inserted: Vec<String>,
}

/// What turns one revision into the next. Much smaller than the text, so it can go to every
/// daemon for each change.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RulesDelta {
    /// The revision that it applies to.
    pub base: RulesRevision,
    /// The revision that it gives.
    pub revision: RulesRevision,
    /// Digest of the resulting text.
    pub digest: RequestDigest,
    /// The edits, in the order of the file.
    pub edits: Vec<LineEdit>,
}

/// Why a delta does not apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The text has another revision than the delta's base.
    OtherBase {
        /// The revision of the text.
        have: RulesRevision,
        /// The delta's base.
        base: RulesRevision,
    },
    /// The edits lie outside the text or do not give the stated digest.
    Mismatch,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::OtherBase { have, base } => {
                write!(
                    f,
                    "the delta applies to revision {base}, not {have}; read the whole text"
                )
            }
            Self::Mismatch => f.write_str("the delta does not fit its base; read the whole text"),
        }
    }
}

impl std::error::Error for DeltaError {}

impl RulesDelta {
    /// The difference from `old`, which has revision `base`, to `new`, which gets the next one.
    #[must_use]
    pub fn between(base: RulesRevision, old: &str, new: &str) -> Self {
        let diff = TextDiff::from_lines(old, new);
        let lines = diff.new_slices();
        let edits = diff
            .ops()
            .iter()
            .filter_map(|op| line_edit(op, lines))
            .collect();
        Self {
            base,
            revision: RulesRevision(base.0 + 1),
            digest: RequestDigest::of(&[new.as_bytes()]),
            edits,
        }
    }

    /// Applies the delta to `text`, which has revision `have`.
    ///
    /// # Errors
    /// See [`DeltaError`]; then the whole text has to be read.
    pub fn apply(&self, have: RulesRevision, text: &str) -> Result<String, DeltaError> {
        if have != self.base {
            return Err(DeltaError::OtherBase {
                have,
                base: self.base,
            });
        }
        let lines: Vec<&str> = text.split_inclusive('\n').collect();
        let mut result = String::with_capacity(text.len());
        let mut position = 0;
        for edit in &self.edits {
            let kept = lines.get(position..edit.at).ok_or(DeltaError::Mismatch)?;
            result.extend(kept.iter().copied());
            result.extend(edit.inserted.iter().map(String::as_str));
            position = edit
                .at
                .checked_add(edit.removed)
                .ok_or(DeltaError::Mismatch)?;
        }
        result.extend(
            lines
                .get(position..)
                .ok_or(DeltaError::Mismatch)?
                .iter()
                .copied(),
        );
        if RequestDigest::of(&[result.as_bytes()]) == self.digest {
            Ok(result)
        } else {
            Err(DeltaError::Mismatch)
        }
    }
}

fn line_edit(op: &DiffOp, new: &[&str]) -> Option<LineEdit> {
    if matches!(op, DiffOp::Equal { .. }) {
        return None;
    }
    let inserted = new[op.new_range()]
        .iter()
        .map(ToString::to_string)
        .collect();
    Some(LineEdit {
        at: op.old_range().start,
        removed: op.old_range().len(),
        inserted,
    })
}

/// A unified difference for people, empty if the texts are equal.
#[must_use]
pub fn unified_diff(old: &str, new: &str) -> String {
    TextDiff::from_lines(old, new)
        .unified_diff()
        .header("in force", "new")
        .to_string()
}
