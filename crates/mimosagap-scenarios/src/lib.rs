//! End-to-end tests against real processes: a process harness, callers that verify what they
//! receive, and a scenario language.
//!
//! A scenario is a [goldenscript](https://docs.rs/goldenscript) file in `scenarios/`. Its commands
//! are the variants of [`script::ProcessStep`], [`script::RequestStep`], [`script::FaultStep`] and
//! [`script::RulesStep`]. All invariants in [`check`] are checked at its end.
#![deny(unsafe_code, missing_docs)]

pub mod address;
pub mod caller;
pub mod check;
pub mod cluster;
pub mod control;
pub mod load;
pub mod poller;
pub mod process;
pub mod record;
pub mod script;
pub mod sse;
