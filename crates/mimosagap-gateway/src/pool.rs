//! Pool of idle connections to targets.

use std::collections::HashMap;
use std::time::Duration;

use mimosagap_routing::targets::TargetKey;

use crate::connection::HttpConnection;

/// A connection is not reused within this time before its target closes it.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Idle timeout if the target names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// Limit on the idle time of a connection for a request that must not be sent twice. If the target
/// closes the connection meanwhile, it is unknown whether the request was executed.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(1500);

/// Limit on the idle connections to one target.
const MAX_IDLE_PER_TARGET: usize = 8;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    idle_since: Duration,
    expires_at: Duration,
}

/// Idle connections by target, each list in the order in which they were released.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<TargetKey, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Removes and returns the usable connection that was released last.
    pub fn take(
        &mut self,
        key: TargetKey,
        must_be_fresh: bool,
        now: Duration,
    ) -> Option<HttpConnection> {
        let connections = self.idle.get_mut(&key)?;
        while let Some(idle) = connections.pop() {
            // Targets close connections after a response, so an unused one counts as fresh.
            let is_unused = idle.connection.request_count == 0;
            let is_fresh = !must_be_fresh || is_unused || now < idle.idle_since + MAX_FRESH_IDLE;
            if idle.connection.is_open() && now < idle.expires_at && is_fresh {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Adds a connection whose last response was read to its end, evicting the oldest if there are
    /// too many. `idle_timeout` is the target's; `None` means [`DEFAULT_IDLE_TIMEOUT`].
    pub fn put(
        &mut self,
        key: TargetKey,
        connection: HttpConnection,
        idle_timeout: Option<Duration>,
        now: Duration,
    ) {
        let connections = self.idle.entry(key).or_default();
        if connections.len() >= MAX_IDLE_PER_TARGET {
            connections.remove(0);
        }
        let idle_timeout = idle_timeout
            .unwrap_or(DEFAULT_IDLE_TIMEOUT)
            .saturating_sub(IDLE_MARGIN);
        connections.push(IdleConnection {
            connection,
            idle_since: now,
            expires_at: now + idle_timeout,
        });
    }

    /// Closes expired connections and those to targets for which `is_known` is false.
    pub fn expire(&mut self, now: Duration, is_known: impl Fn(TargetKey) -> bool) {
        self.idle.retain(|key, connections| {
            connections.retain(|idle| idle.connection.is_open() && now < idle.expires_at);
            !connections.is_empty() && is_known(*key)
        });
    }
}
