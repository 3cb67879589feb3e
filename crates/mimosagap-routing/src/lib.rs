//! Routing decisions of the gateway, without any I/O.
//!
//! Every function takes the current time and its inputs as arguments, so that a test can replay a
//! load pattern. Times are durations since the machine booted, see
//! [`BootClock`](mimosagap_types::clock::BootClock).
#![deny(unsafe_code, missing_docs)]

pub mod buffer_budget;
pub mod change_source;
pub mod cold_rate;
pub mod config;
pub mod config_state;
pub mod connection_bound;
pub mod credit_lending;
pub mod discovery;
pub mod drain_time;
pub mod evacuation;
pub mod hashing;
pub mod hedging;
pub mod host_liveness;
pub mod hosts;
pub mod keeper_selection;
pub mod migration;
pub mod output_length;
pub mod placement;
pub mod placer_selection;
pub mod prompt;
pub mod quarantine;
pub mod rate_keeper;
pub mod rate_limit;
pub mod refusal;
pub mod region_contention;
pub mod relay_selection;
pub mod request_budget;
pub mod residency;
pub mod retry_budget;
pub mod retry_value;
pub mod shutdown;
pub mod store_revision;
pub mod stream_origins;
pub mod target_backoff;
pub mod target_reach;
pub mod target_suspicion;
pub mod targets;
pub mod token_time;
pub mod version_history;
pub mod version_registry;
pub mod wait_queue;
