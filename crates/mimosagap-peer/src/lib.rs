//! Daemon-to-daemon protocol of mimosagap: `h2` streams with `bincode` bodies.
//!
//! Each exchange is one stream with one [`Request`] and one [`Reply`]. Every message is signed
//! with the fleet key together with its sender, its receiver, its time and a nonce, so that
//! altered, replayed and foreign messages are refused. A message that is refused closes its
//! connection and is counted once.
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
