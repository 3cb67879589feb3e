//! The gateway: accepts requests of callers, forwards them to targets and follows the store.
//!
//! All tasks run on one thread. `run` starts them; `ingress` accepts requests, and `calls` and
//! `streams` forward them; `store_sync` keeps the configuration, the targets and the hosts up to
//! date; `peers` reports this host's load per target to the other hosts. Routing decisions are made
//! in `mimosagap-routing`; the names of the wire protocols are defined in `mimosagap-platform`.
#![deny(unsafe_code, missing_docs)]

mod body_reader;
mod calls;
mod change_feed;
mod client_connections;
pub mod connection;
mod crash_probe;
mod credit_loans;
pub mod delta;
mod evacuation;
mod event_source;
mod exchange;
mod handover;
mod hang_watch;
pub mod head_limit;
mod header_audit;
mod hedging;
mod ingress;
mod lease;
mod listeners;
mod load_reservation;
pub mod log;
pub mod metrics;
pub mod mirror;
mod notice_queue;
mod peers;
mod pending_responses;
mod pool;
mod rate_permits;
mod reach;
mod registration;
mod relay;
mod remote_placement;
mod request;
mod request_body;
mod residency;
mod response;
mod resumption;
mod run;
pub mod sse;
mod standby;
mod state;
mod store;
mod store_era;
mod store_sync;
mod stream_body;
mod stream_records;
mod stream_relay;
mod streams;
mod suspicion;
mod target_notices;
mod version_admission;

pub use run::{Error, Options, Outcome, run};
