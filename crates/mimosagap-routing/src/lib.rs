//! The decisions of the gateway, apart from all I/O.
//!
//! Every function gets the time and its inputs from the caller, so that a test can replay a load
//! pattern. Times are durations since the start of the host, see
//! [`BootClock`](mimosagap_types::clock::BootClock).
#![deny(unsafe_code, missing_docs)]

pub mod addresses;
pub mod belief;
pub mod buffers;
pub mod config;
pub mod hosts;
pub mod lengths;
pub mod marks;
pub mod moves;
pub mod notice;
pub mod pace;
pub mod placement;
pub mod placers;
pub mod quarantine;
pub mod readers;
pub mod refusal;
pub mod restraint;
pub mod retries;
pub mod targets;
pub mod waiting;
