//! Line-based deltas between two revisions of the rules file.

use std::fmt;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};
use similar::{DiffOp, TextDiff};

/// Replaces a run of adjacent lines.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LineEdit {
    /// Index of the first replaced line in the base text, from 0.
    pub at: usize,
    /// Number of lines of the base text to remove.
    pub removed: usize,
    /// Lines to insert in their place, with their line ends.
    pub inserted: Vec<String>,
}

/// Edits that turn one revision into the next. A delta is much smaller than the text, so each
/// change can be sent to every daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RulesDelta {
    /// Revision to which the delta applies.
    pub base: RulesRevision,
    /// Revision of the resulting text.
    pub revision: RulesRevision,
    /// SHA-256 digest of the resulting text.
    pub digest: RequestDigest,
    /// Edits in ascending order of position.
    pub edits: Vec<LineEdit>,
}

/// Why a delta does not apply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DeltaError {
    /// The revision of the text is not the base of the delta.
    RevisionMismatch {
        /// Revision of the text.
        text_revision: RulesRevision,
        /// Revision to which the delta applies.
        base: RulesRevision,
    },
    /// An edit lies outside the text, or the result does not have the digest of the delta.
    ContentMismatch,
}

impl fmt::Display for DeltaError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::RevisionMismatch {
                text_revision,
                base,
            } => {
                write!(
                    f,
                    "the delta applies to revision {base}, but the text has revision {text_revision}; \
                     fetch the full rules text"
                )
            }
            Self::ContentMismatch => {
                f.write_str("the delta does not match its base text; fetch the full rules text")
            }
        }
    }
}

impl std::error::Error for DeltaError {}

impl RulesDelta {
    /// Computes the delta from `old`, the text of revision `base`, to `new`, the text of the next
    /// revision.
    #[must_use]
    pub fn between(base: RulesRevision, old: &str, new: &str) -> Self {
        let diff = TextDiff::from_lines(old, new);
        let new_lines = diff.new_slices();
        let edits = diff
            .ops()
            .iter()
            .filter_map(|op| line_edit(op, new_lines))
            .collect();
        Self {
            base,
            revision: RulesRevision(base.0 + 1),
            digest: RequestDigest::of(&[new.as_bytes()]),
            edits,
        }
    }

    /// Applies the delta to `text`, which has revision `text_revision`.
    ///
    /// # Errors
    /// See [`DeltaError`]. The caller then has to fetch the full text.
    pub fn apply(&self, text_revision: RulesRevision, text: &str) -> Result<String, DeltaError> {
        if text_revision != self.base {
            return Err(DeltaError::RevisionMismatch {
                text_revision,
                base: self.base,
            });
        }
        let lines: Vec<&str> = text.split_inclusive('\n').collect();
        let mut result = String::with_capacity(text.len());
        let mut next_line = 0;
        for edit in &self.edits {
            let unchanged_lines = lines
                .get(next_line..edit.at)
                .ok_or(DeltaError::ContentMismatch)?;
            result.extend(unchanged_lines.iter().copied());
            result.extend(edit.inserted.iter().map(String::as_str));
            next_line = edit
                .at
                .checked_add(edit.removed)
                .ok_or(DeltaError::ContentMismatch)?;
        }
        result.extend(
            lines
                .get(next_line..)
                .ok_or(DeltaError::ContentMismatch)?
                .iter()
                .copied(),
        );
        if RequestDigest::of(&[result.as_bytes()]) == self.digest {
            Ok(result)
        } else {
            Err(DeltaError::ContentMismatch)
        }
    }
}

fn line_edit(op: &DiffOp, new_lines: &[&str]) -> Option<LineEdit> {
    if matches!(op, DiffOp::Equal { .. }) {
        return None;
    }
    let inserted = new_lines[op.new_range()]
        .iter()
        .map(ToString::to_string)
        .collect();
    Some(LineEdit {
        at: op.old_range().start,
        removed: op.old_range().len(),
        inserted,
    })
}

/// Returns a unified diff for display; empty if the texts are equal.
#[must_use]
pub fn unified_diff(old: &str, new: &str) -> String {
    TextDiff::from_lines(old, new)
        .unified_diff()
        .header("in force", "new")
        .to_string()
}
