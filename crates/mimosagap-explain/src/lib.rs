//! Tells the story of one request from the logs of several gateways.
//!
//! `records` reads log lines, `trace` chooses those that concern a request, and `cause` says why it
//! ended as it did. `outcomes` counts the fates of all requests.
#![deny(unsafe_code, missing_docs)]

mod cause;
mod outcomes;
mod records;
mod trace;

pub use cause::{FailureCause, MayHaveRun};
pub use outcomes::{OutcomeCounts, RequestOutcome, SummaryOptions, count_outcomes};
pub use records::{LogRecord, LogSet};
pub use trace::{AttemptTrace, ExplainError, ExplainOptions, RequestReport, explain};
