//! A request that passed admission and can be sent to a target.

use std::cell::OnceCell;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use mimosagap_platform::request::RequestHead;
use mimosagap_routing::config::{Route, Team};
use mimosagap_routing::quarantine::RequestTraits;
use mimosagap_routing::residency::AllowedRegions;
use mimosagap_types::prelude::*;

use crate::request_body::RequestLease;

/// Time past a request's deadline during which a response that is on its way is still awaited.
const RESPONSE_MARGIN: Duration = Duration::from_millis(120);

/// A well-formed request with its route, service and team.
pub struct RoutedRequest {
    /// HTTP method, passed on unchanged.
    pub method: Method,
    /// Path and query, passed on unchanged.
    pub path: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Values parsed from the headers.
    pub head: RequestHead,
    /// Complete body, kept for further attempts.
    pub body: Bytes,
    /// Share of the memory budget that the request holds until it ends, as it may be sent again.
    #[expect(dead_code, reason = "dropping it releases the memory")]
    pub memory: RequestLease,
    /// Route that matches host and path.
    pub route: Arc<Route>,
    /// Service picked from the route's weighted services.
    pub service: DeploymentName,
    /// Team of the API key; `None` if the route needs no key.
    pub team: Option<Arc<Team>>,
    /// When the head arrived, as time since boot.
    pub arrived_at: Duration,
    /// When the shorter timeout of caller and route ends, as time since boot.
    pub deadline: Duration,
    /// What the request is recognized by across the caller's retries, and in other requests.
    pub traits: RequestTraits,
    /// Whether another host relays the request, so that this one must not.
    pub is_relayed: bool,
    /// Whether the request runs to find out if the verdict against it still holds.
    pub is_trial: bool,
    /// Regions to which the host that relays the request restricts it.
    pub relayed_regions: AllowedRegions,
    /// The restriction with which the stream began; unset before its first event.
    pub began_with: OnceCell<AllowedRegions>,
}

impl RoutedRequest {
    /// Priority within the service, 0 first; the team's value overrides the route's.
    pub fn priority(&self) -> u8 {
        self.team
            .as_ref()
            .and_then(|team| team.priority)
            .unwrap_or(self.route.priority)
    }

    /// Time left for a target to respond.
    pub fn time_left(&self, now: Duration) -> Duration {
        self.deadline.saturating_sub(now)
    }

    /// Time until the gateway stops waiting for a response.
    pub fn response_time_left(&self, now: Duration) -> Duration {
        (self.deadline + RESPONSE_MARGIN).saturating_sub(now)
    }
}
