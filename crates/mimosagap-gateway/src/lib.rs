//! The gateway: callers on one side, targets and the store on the other.
//!
//! One thread runs everything. `run` starts it; `ingress` takes requests and `calls` and `streams`
//! carry them; `sync` keeps the configuration, the targets and the hosts up to date; `peers` tells
//! the other hosts what this one sends where. Decisions are in `mimosagap-routing`, and the names
//! on the wire in `mimosagap-platform`.
#![deny(unsafe_code, missing_docs)]

mod answer;
mod bodies;
mod calls;
mod claim;
mod copies;
pub mod delta;
mod event_source;
pub mod events;
mod exchange;
mod feed;
mod handover;
pub mod head_limit;
mod health;
mod ingress;
mod link;
pub mod log;
pub mod metrics;
pub mod mirror;
mod notices;
mod peers;
mod placers;
mod pool;
mod relay;
mod relay_body;
mod request;
mod run;
mod serve;
mod state;
mod store;
mod streams;
mod sync;

pub use run::{Error, Options, Outcome, run};
