//! Stand-ins for the systems around mimosagap, for tests and experiments.
//!
//! Each module implements one subcommand of the binary `mimosagap-standins`, apart from [`http`],
//! which holds the HTTP server that they share.
#![deny(unsafe_code, missing_docs)]

pub mod engine;
pub mod hosts;
pub mod http;
pub mod proxy;
pub mod service;
pub mod store;
pub mod weights;
