//! Load and experiment tool for mimosagap.
#![deny(unsafe_code, missing_docs)]

pub mod caller;
pub mod check;
pub mod command;
pub mod engines;
pub mod plan;
pub mod route;
pub mod run;
pub mod summary;
pub mod workload;
