//! Load generator for mimosagap.
//!
//! It sends an open-loop workload to engines or daemons, checks every response, and compares route
//! policies in experiments. The `bench` subcommand measures the overhead of one daemon.
#![deny(unsafe_code, missing_docs)]

pub mod bench;
pub mod caller;
pub mod check;
pub mod command;
pub mod engines;
pub mod experiment;
pub mod fleet;
pub mod plan;
pub mod plot;
pub mod process;
pub mod route;
pub mod run;
pub mod summary;
pub mod usage;
pub mod workload;
