//! Tells the story of one request from the logs of several gateways.
//!
//! `records` reads log lines, `story` chooses those that concern a request, and `cause` says why it
//! ended as it did. `account` counts the fates of all requests.
#![deny(unsafe_code, missing_docs)]

mod account;
mod cause;
mod records;
mod story;

pub use account::{OutcomeCounts, RequestOutcome, SummaryOptions, count_outcomes};
pub use cause::{FailureCause, MayHaveRun};
pub use records::{LogRecord, LogSet};
pub use story::{AttemptTrace, ExplainError, ExplainOptions, RequestReport, explain};
