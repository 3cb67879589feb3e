//! Parts of prompts, which requests share.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Number of parts that [`describe_parts`] names.
const MAX_DESCRIBED_PARTS: usize = 8;

/// Id of a part of a prompt. Requests that share the part have the same id in their prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct PromptPart(pub u64);

impl fmt::Display for PromptPart {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// The ids of the first parts of a prompt for a log line, separated by commas. `+N` at the end
/// stands for N more parts.
#[must_use]
pub fn describe_parts(parts: &[PromptPart]) -> String {
    let mut described: Vec<String> = parts
        .iter()
        .take(MAX_DESCRIBED_PARTS)
        .map(ToString::to_string)
        .collect();
    if parts.len() > MAX_DESCRIBED_PARTS {
        described.push(format!("+{}", parts.len() - MAX_DESCRIBED_PARTS));
    }
    described.join(",")
}
