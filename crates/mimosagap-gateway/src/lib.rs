//! The gateway: callers on one side, targets and the store on the other.
//!
//! One thread runs everything. `run` starts it; `ingress` takes requests and `calls` and `streams`
//! carry them; `store_sync` keeps the configuration, the targets and the hosts up to date; `peers` tells
//! the other hosts what this one sends where. Decisions are in `mimosagap-routing`, and the names
//! on the wire in `mimosagap-platform`.
#![deny(unsafe_code, missing_docs)]

mod body_reader;
mod calls;
mod change_feed;
mod connection;
mod crash_probe;
pub mod delta;
mod event_source;
mod exchange;
mod handover;
pub mod head_limit;
mod ingress;
mod listeners;
mod load_reservation;
pub mod log;
pub mod metrics;
pub mod mirror;
mod peers;
mod pool;
mod remote_placement;
mod request;
mod response;
mod run;
pub mod sse;
mod standby;
mod state;
mod store;
mod store_sync;
mod stream_body;
mod stream_relay;
mod streams;
mod target_notices;

pub use run::{Error, Options, Outcome, run};
