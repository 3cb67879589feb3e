//! The mimosagap daemon for entry hosts.
//!
//! [`driver`] owns the reducer of `mimosagap-core`; [`control`] keeps up with the store and the
//! other daemons. `main.rs` only reads the settings and starts them.
#![deny(unsafe_code, missing_docs)]

pub mod control;
pub mod driver;
