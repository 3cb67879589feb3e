//! Common identifiers, outcomes, refusals and the clock of mimosagap.
//!
//! Every other crate imports these through [`prelude`].
#![deny(unsafe_code, missing_docs)]

pub mod clock;
pub mod ids;
pub mod outcome;
pub mod prelude;
pub mod refusal;
pub mod resume;
