//! The daemon as a client of targets: generations on engines and calls to services.

pub mod buffered_response;
pub mod connection;
pub mod generation;
pub mod idle_timer;
pub mod local_waker;
pub mod output_buffer;
pub mod service_call;
pub mod sse;
pub mod stream_body;

use std::time::Duration;

/// A connection without a byte for this long is dead: targets send a keepalive every second.
pub const SILENCE: Duration = Duration::from_secs(3);

/// The interval of keepalive comments to callers.
pub const KEEPALIVE: Duration = Duration::from_secs(1);
