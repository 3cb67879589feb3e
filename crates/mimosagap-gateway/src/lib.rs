//! The gateway: callers on one side, targets and the store on the other.
//!
//! One thread runs everything. `run` starts it; `ingress` takes requests and `calls` and `streams`
//! carry them; `sync` keeps the configuration, the targets and the hosts up to date; `peers` tells
//! the other hosts what this one sends where. Decisions are in `mimosagap-routing`, and the names
//! on the wire in `mimosagap-platform`.
#![deny(unsafe_code, missing_docs)]

mod bodies;
mod calls;
mod claim;
mod connection;
mod copies;
pub mod delta;
mod exchange;
mod feed;
mod handover;
mod health;
mod ingress;
pub mod log;
pub mod meter;
pub mod metrics;
pub mod mirror;
mod peers;
mod pool;
mod relay;
mod relay_body;
mod remote_placement;
mod request;
mod response;
mod run;
mod serve;
mod source;
pub mod sse;
mod state;
mod store;
mod streams;
mod sync;
mod target_notices;

pub use run::{Error, Options, Outcome, run};
