//! Protocol between the daemons of a fleet: HTTP/2 streams with `bincode` bodies.
//!
//! An exchange is one stream with one [`Request`] and one [`Reply`]. Each message is signed with a
//! key of the fleet, together with its sender, receiver, time and nonce, so that altered, replayed
//! and misaddressed messages and those of other fleets are refused. A refused message is counted
//! once and closes its connection.
#![deny(unsafe_code, missing_docs)]

mod client;
mod connection;
mod counters;
pub mod envelope;
mod error;
mod message;
mod server;

pub use client::{ClientOptions, ExchangeOptions, ExchangeOutcome, PeerClient};
pub use counters::{MessageErrorCounts, PeerCounters, PeerCounts};
pub use error::{ExchangeError, MessageError};
pub use message::{NoticeMessage, PeerMember, Reply, Request, RulesAnswer, StateDigest};
pub use server::{IncomingRequest, ServerOptions, serve};
