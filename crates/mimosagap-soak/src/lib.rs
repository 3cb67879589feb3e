//! A randomized fault soak.
//!
//! It starts real gateways as processes on loopback addresses, with stand-ins for the store and the
//! targets, and sends requests to them while it injects the faults of a plan, which a seed
//! determines. It checks that the gateways keep their guarantees: for example that no unsafe
//! request is executed twice, that the fleet recovers, and that the logs name the cause of each
//! failure.
#![deny(unsafe_code, missing_docs)]

pub mod checker;
pub mod client;
pub mod crash_check;
mod http;
pub mod isolation_check;
pub mod plan;
pub mod process;
pub mod rate_check;
pub mod run;
pub mod standins;
pub mod transcript;
pub mod version_check;
