//! Idle connections to targets.

use std::collections::HashMap;
use std::time::Duration;

use mimosagap_routing::targets::TargetKey;

use crate::connection::HttpConnection;

/// A connection is not used later than this before the target's own limit.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Idle life if the target names none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);

/// A request that must not be sent twice uses only a connection that was idle for less than this,
/// because a target that closed it in the meantime leaves the outcome open.
const MAX_FRESH_IDLE: Duration = Duration::from_millis(1500);

/// Idle connections kept for one target.
const MAX_IDLE_PER_TARGET: usize = 8;

#[derive(Debug)]
struct IdleConnection {
    connection: HttpConnection,
    idle_since: Duration,
    expires_at: Duration,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<TargetKey, Vec<IdleConnection>>,
}

impl ConnectionPool {
    /// Takes the connection that was used last.
    pub fn take(
        &mut self,
        key: TargetKey,
        must_be_fresh: bool,
        now: Duration,
    ) -> Option<HttpConnection> {
        let connections = self.idle.get_mut(&key)?;
        while let Some(idle) = connections.pop() {
            // One that was never used has no answer that may cross.
            let is_unused = idle.connection.request_count == 0;
            let is_fresh = !must_be_fresh || is_unused || now < idle.idle_since + MAX_FRESH_IDLE;
            if idle.connection.is_open() && now < idle.expires_at && is_fresh {
                return Some(idle.connection);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
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

    /// Closes connections that are not to be used any more.
    pub fn expire(&mut self, now: Duration, is_known: impl Fn(TargetKey) -> bool) {
        self.idle.retain(|key, connections| {
            connections.retain(|idle| idle.connection.is_open() && now < idle.expires_at);
            !connections.is_empty() && is_known(*key)
        });
    }
}
