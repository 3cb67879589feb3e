//! What a refusal says about the work it refuses.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether the work of a refused request was carried out.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The work was carried out.
    Ran,
    /// The work was not carried out and will not be.
    NotRun,
    /// The system cannot tell.
    Unknown,
}

impl RunOutcome {
    /// The machine-readable name, as in the `X-Outcome` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Ran => "ran",
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for RunOutcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
