//! Stand-ins for the systems around mimosagap, for tests and experiments.
#![deny(unsafe_code, missing_docs)]

pub mod engine;
