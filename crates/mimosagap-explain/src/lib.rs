//! Explains failed requests from the logs of several gateways.
//!
//! `records` parses log lines, `trace` collects the records of a request and its retries, and
//! `cause` derives why an attempt failed. `outcomes` counts the outcomes of all requests.
#![deny(unsafe_code, missing_docs)]

mod cause;
mod outcomes;
mod records;
mod trace;

pub use cause::{FailureCause, MayHaveRun};
pub use outcomes::{OutcomeCounts, RequestOutcome, SummaryOptions, count_outcomes};
pub use records::{LogRecord, LogSet};
pub use trace::{AttemptTrace, ExplainError, ExplainOptions, RequestReport, explain};
