//! Idle connections to targets.

use std::collections::HashMap;
use std::time::Duration;

use mimosagap_routing::targets::TargetKey;

use crate::connection::HttpConnection;

/// A connection is not used later than this before the target's own limit.
const IDLE_MARGIN: Duration = Duration::from_millis(800);

/// Idle life if the target names none.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);

/// A request that must not be sent twice uses only a connection that was idle for less than this,
/// because a target that closed it in the meantime leaves the outcome open.
const FRESH_ENOUGH: Duration = Duration::from_millis(1500);

/// Idle connections kept for one target.
const MOST_IDLE: usize = 8;

#[derive(Debug)]
struct Idle {
    link: HttpConnection,
    since: Duration,
    until: Duration,
}

/// Idle connections by target.
#[derive(Debug, Default)]
pub struct ConnectionPool {
    idle: HashMap<TargetKey, Vec<Idle>>,
}

impl ConnectionPool {
    /// Takes the connection that was used last.
    pub fn take(
        &mut self,
        key: TargetKey,
        must_be_fresh: bool,
        now: Duration,
    ) -> Option<HttpConnection> {
        let list = self.idle.get_mut(&key)?;
        while let Some(idle) = list.pop() {
            // One that was never used has no answer that may cross.
            let is_unused = idle.link.uses == 0;
            let is_fresh = !must_be_fresh || is_unused || now < idle.since + FRESH_ENOUGH;
            if idle.link.is_open() && now < idle.until && is_fresh {
                return Some(idle.link);
            }
        }
        None
    }

    /// Keeps a connection whose last answer was read to its end.
    pub fn put(
        &mut self,
        key: TargetKey,
        link: HttpConnection,
        life: Option<Duration>,
        now: Duration,
    ) {
        let list = self.idle.entry(key).or_default();
        if list.len() >= MOST_IDLE {
            list.remove(0);
        }
        let life = life.unwrap_or(DEFAULT_IDLE).saturating_sub(IDLE_MARGIN);
        list.push(Idle {
            link,
            since: now,
            until: now + life,
        });
    }

    /// Closes connections that are not to be used any more.
    pub fn expire(&mut self, now: Duration, is_known: impl Fn(TargetKey) -> bool) {
        self.idle.retain(|key, list| {
            list.retain(|idle| idle.link.is_open() && now < idle.until);
            !list.is_empty() && is_known(*key)
        });
    }
}
