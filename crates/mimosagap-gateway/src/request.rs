//! A request that was read and may be sent to a target.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use mimosagap_platform::request::RequestHead;
use mimosagap_routing::config::{Route, Team};
use mimosagap_routing::quarantine::RequestFingerprint;
use mimosagap_types::prelude::*;

/// Time past a route's timeout in which an answer that is on its way is still waited for.
const RESPONSE_MARGIN: Duration = Duration::from_millis(120);

/// A proper request on a known route.
pub struct RoutedRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub path: String,
    /// The caller's headers.
    pub headers: HeaderMap,
    /// What they say.
    pub head: RequestHead,
    /// The whole body.
    pub body: Bytes,
    /// The route.
    pub route: Arc<Route>,
    /// The service that was chosen among the route's shares.
    pub service: DeploymentName,
    /// The caller's team, on routes that need a key.
    pub team: Option<Arc<Team>>,
    /// When the head arrived.
    pub arrived_at: Duration,
    /// When the caller or the route stops waiting.
    pub deadline: Duration,
    /// Names the request if the caller sends it again.
    pub fingerprint: RequestFingerprint,
}

impl RoutedRequest {
    /// Its rank among the requests of its service.
    pub fn priority(&self) -> u8 {
        self.team
            .as_ref()
            .and_then(|team| team.priority)
            .unwrap_or(self.route.priority)
    }

    /// Time left for a target.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Time until the final answer is due.
    pub fn response_time_left(&self, now: Duration) -> Duration {
        (self.deadline + RESPONSE_MARGIN).saturating_sub(now)
    }
}
