//! The decisions of a daemon as a pure reducer: each event updates the state and returns effects
//! for the daemon to carry out.
//!
//! No function here reads a clock, draws from the operating system's random source or does I/O, so
//! the daemon and the tests run the same decisions, and a run can be replayed.
#![deny(unsafe_code, missing_docs)]

pub mod admin;
mod admission;
mod attempts;
pub mod connectivity;
mod dispatch;
pub mod drain;
pub mod effect;
pub mod event;
mod fleet;
pub mod forecast;
pub mod memory_history;
mod orders;
pub mod output_lengths;
pub mod placement;
pub mod prefix_cache;
pub mod quarantine;
pub mod queue;
pub mod rate_limit;
pub mod reducer;
pub mod refusals;
pub mod report_lag;
pub mod requests;
pub mod retry_budget;
pub mod targets;

pub use crate::admin::{LimitView, QueueView, TargetView};
pub use crate::drain::DrainState;
pub use crate::effect::{Effect, Notice, StateChange};
pub use crate::event::{
    AttemptEnd, ClaimAnswer, Event, ListedTarget, LoadReport, Member, Submission, SuspectState,
    TargetKind, TrialAnswer, WorkKind,
};
pub use crate::reducer::{DaemonReducer, ReducerOptions};
pub use crate::targets::TargetState;
