//! The decisions of a daemon as a pure reducer: events in, effects out.
//!
//! No function here reads a clock, draws from the operating system's random source or does I/O,
//! so that the daemon and the tests run the same decisions.
#![deny(unsafe_code, missing_docs)]

pub mod core;
pub mod effect;
pub mod event;

pub use crate::core::{Core, Options};
pub use crate::effect::{Effect, Notice, StateChange};
pub use crate::event::{
    AttemptEnd, ClaimAnswer, Event, ListedTarget, LoadReport, Member, Submission, SuspectState,
    TargetKind, TrialAnswer, WorkKind,
};
