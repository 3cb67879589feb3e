//! The decisions of a daemon as a pure reducer: events in, effects out.
//!
//! No function here reads a clock, draws from the operating system's random source or does I/O,
//! so that the daemon and the tests run the same decisions.
#![deny(unsafe_code, missing_docs)]

pub mod admin;
pub mod cache;
pub mod contact;
mod dispatch;
pub mod drain;
pub mod effect;
mod endings;
pub mod event;
pub mod forecast;
pub mod held;
mod intake;
pub mod lag;
pub mod lending;
pub mod lengths;
mod membership;
mod orders;
pub mod placement;
pub mod quarantine;
pub mod queue;
pub mod reducer;
pub mod refusals;
pub mod requests;
pub mod retries;
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
