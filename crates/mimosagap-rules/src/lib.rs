//! Parsing, checking and compiling the operators' rules file.
//!
//! Each line has the form `STATEMENT # ROLE: reason`. [`RuleSet::compile`] accepts a file only if
//! every line is valid; otherwise it returns an error for each invalid line.
#![deny(unsafe_code, missing_docs)]

pub mod delta;
pub mod line;
pub mod set;
pub mod statement;

pub use delta::{DeltaError, LineEdit, RulesDelta, unified_diff};
pub use line::{LineError, RuleLine, parse_rules};
pub use set::{MemoryCeiling, PlacementWeights, QueueLimit, RuleSet, TeamLimit};
pub use statement::{Priority, RoutePolicy, Statement};
