//! The mimosagap daemon for entry hosts.
//!
//! [`driver`] owns the reducer of `mimosagap-core`; [`front`] serves callers, [`relay`] talks to
//! targets, [`targets`] watches them and [`control`] keeps up with the store and the other
//! daemons. `main.rs` only reads the settings and starts [`daemon::RunningDaemon`].
#![deny(unsafe_code, missing_docs)]

pub mod admin;
pub mod control;
pub mod daemon;
pub mod driver;
pub mod front;
pub mod logging;
pub mod metrics;
pub mod relay;
pub mod requests;
pub mod shared;
pub mod snapshot;
pub mod targets;
pub mod view;
