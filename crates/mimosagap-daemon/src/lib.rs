//! The mimosagap daemon, which runs on entry hosts.
//!
//! [`driver`] owns the reducer of `mimosagap-core`. [`frontend`] serves callers, [`relay`] connects to
//! targets, [`targets`] monitors their load, and [`control`] exchanges state with the store and the
//! other daemons. `main.rs` only reads the settings and starts [`daemon::RunningDaemon`].
#![deny(unsafe_code, missing_docs)]

pub mod admin;
pub mod control;
pub mod daemon;
pub mod driver;
pub mod frontend;
pub mod logging;
pub mod metrics;
pub mod relay;
pub mod requests;
pub mod shared;
pub mod snapshot;
pub mod targets;
pub mod view;
