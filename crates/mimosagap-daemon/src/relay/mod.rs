//! The daemon as a client of targets: generations on engines and calls to services.

pub mod body;
pub mod call;
pub mod connection;
pub mod generation;
pub mod idle;
pub mod local_wake;
pub mod outbox;
pub mod scanner;
pub mod whole;

use std::time::Duration;

/// A connection without a byte for this long is dead: targets send a keepalive every second.
pub const SILENCE: Duration = Duration::from_secs(3);

/// The interval of keepalive comments to callers.
pub const KEEPALIVE: Duration = Duration::from_secs(1);
