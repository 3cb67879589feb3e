//! A randomized soak: real gateways as processes on loopback addresses, stand-ins for the store and
//! the targets, and faults that are injected from outside by a plan that a seed determines.
#![deny(unsafe_code, missing_docs)]

pub mod checker;
pub mod client;
mod http;
pub mod plan;
pub mod process;
pub mod run;
pub mod standins;
