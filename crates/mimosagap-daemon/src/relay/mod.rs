//! The daemon's HTTP client for targets: generations on engines and calls to plain services.

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

/// A connection that delivers no byte for this long counts as dead. Targets send a keepalive every
/// second.
pub const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// The interval of keepalive comments to callers.
pub const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
