//! Whether the work of a refused request was executed.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Whether a target executed the work of a refused request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// The work was executed.
    Ran,
    /// The work was not executed and will not be.
    NotRun,
    /// The daemon cannot tell, for example because the connection to the target failed.
    Unknown,
}

impl RunOutcome {
    /// The value of the `X-Outcome` header.
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
