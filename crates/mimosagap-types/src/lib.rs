//! Identifiers, outcomes, refusals, resume tokens and clocks that all crates of mimosagap share.
//!
//! Other crates import the most common types through [`prelude`].
#![deny(unsafe_code, missing_docs)]

pub mod clock;
pub mod ids;
pub mod outcome;
pub mod prelude;
pub mod refusal;
pub mod resume;
