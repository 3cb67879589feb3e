//! End-to-end tests with real processes: a process harness, callers that check what they receive,
//! and a small scenario language.
//!
//! A scenario is a [goldenscript](https://docs.rs/goldenscript) file in `scenarios/`; its commands
//! are the variants of [`script::Step`]. All invariants are checked at its end.
#![deny(unsafe_code, missing_docs)]

pub mod address;
pub mod caller;
pub mod check;
pub mod cluster;
pub mod control;
pub mod load;
pub mod observer;
pub mod process;
pub mod record;
pub mod script;
pub mod sse;
