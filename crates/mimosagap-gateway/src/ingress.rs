//! Entry point for callers' requests.
//!
//! Finds the route, checks the API key, reads the body and picks a service, then hands the request
//! to `calls` or `streams`.

use std::cell::OnceCell;
use std::convert::Infallible;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderValue};
use http::request::Parts;
use http::{Request, Response};
use hyper::body::Incoming;
use mimosagap_platform::request::RequestHead;
use mimosagap_routing::config::{FleetConfig, Route, Team};
use mimosagap_routing::quarantine::{Admission, RequestFingerprint, RequestTraits};
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::request_budget::RequestHolder;
use mimosagap_routing::residency::AllowedRegions;
use mimosagap_types::prelude::*;
use rand::Rng;

use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::request_body::{BodyRequest, read_body};
use crate::response::{RefusedRequest, ResponseBody, refusal_response};
use crate::state::{SharedGateway, millis};
use crate::{calls, streams, suspicion};

/// Counts a request as in flight until dropped.
pub struct InFlightGuard(SharedGateway);

impl InFlightGuard {
    /// Counts one request more.
    pub fn new(gateway: &SharedGateway) -> Self {
        gateway.in_flight.set(gateway.in_flight.get() + 1);
        gateway.metrics.in_flight.inc();
        Self(Rc::clone(gateway))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0
            .in_flight
            .set(self.0.in_flight.get().saturating_sub(1));
        self.0.metrics.in_flight.dec();
    }
}

/// Logs that a caller disconnected before its response was ready, which drops the request's task.
struct DisconnectLogger<'a> {
    gateway: &'a SharedGateway,
    id: &'a str,
    arrived_at: Duration,
    origin: RequestOrigin,
    has_response: bool,
}

impl Drop for DisconnectLogger<'_> {
    fn drop(&mut self) {
        if !self.has_response {
            let after_ms = millis(self.gateway.now().saturating_sub(self.arrived_at));
            self.gateway.log.event(&match self.origin {
                RequestOrigin::Caller => LogEvent::CallerLeft {
                    id: self.id,
                    after_ms,
                },
                RequestOrigin::Host => LogEvent::RelayRefused {
                    id: self.id,
                    reason: "caller_left",
                    after_ms,
                },
            });
        }
    }
}

/// Address of the client of a request, in the extensions of its head.
#[derive(Debug, Clone, Copy)]
pub struct ClientAddress(pub IpAddr);

/// Who sent a request to this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum RequestOrigin {
    Caller,
    /// Another host, in place of which this one sends the request to a target.
    Host,
}

/// Handles one request of a caller. A refusal is a response too, so this never fails.
pub async fn handle_request(
    gateway: SharedGateway,
    request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    let regions = AllowedRegions::Any;
    handle_from(gateway, request, RequestOrigin::Caller, regions).await
}

/// Handles one request of another host, which restricts it to `regions` and logs the refusal if there
/// is one.
pub async fn handle_relayed_request(
    gateway: SharedGateway,
    request: Request<Incoming>,
    regions: AllowedRegions,
) -> Result<Response<ResponseBody>, Infallible> {
    handle_from(gateway, request, RequestOrigin::Host, regions).await
}

async fn handle_from(
    gateway: SharedGateway,
    request: Request<Incoming>,
    origin: RequestOrigin,
    relayed_regions: AllowedRegions,
) -> Result<Response<ResponseBody>, Infallible> {
    let in_flight = InFlightGuard::new(&gateway);
    let arrived_at = gateway.now();
    let (parts, body) = request.into_parts();
    let head = RequestHead::parse(&parts.headers);
    let id = head.attempt_id.clone();
    let mut disconnect_logger = DisconnectLogger {
        gateway: &gateway,
        id: &id,
        arrived_at,
        origin,
        has_response: false,
    };
    let resolved = resolve_request(&gateway, parts, head, body, arrived_at).await;
    let is_relayed = origin == RequestOrigin::Host;
    let resolved = resolved.map(|request| RoutedRequest {
        is_relayed,
        relayed_regions,
        ..request
    });
    let mut response = match resolved {
        Ok(request) if request.route.kind.is_stream() => {
            streams::handle_stream(&gateway, request, in_flight).await
        }
        Ok(request) => calls::handle_call(&gateway, &request).await,
        Err(IngressRefusal { reason, traits }) => {
            let request = RefusedRequest {
                id: &id,
                traits: traits.as_ref(),
                arrived_at,
                service: None,
                routed: None,
                is_relayed,
            };
            let mut response = refusal_response(&gateway, request, reason);
            if closes_connection(reason) {
                let close = HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        }
    };
    disconnect_logger.has_response = true;
    if gateway.is_stopping() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    Ok(response)
}

/// Whether the body of a refused request was not read to its end, so that its connection cannot carry
/// another request.
fn closes_connection(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::BodyTooLong | RefusalReason::RequestMemory
    )
}

/// Why a request is refused before it is handed on, and its traits if its body was read.
struct IngressRefusal {
    reason: RefusalReason,
    traits: Option<RequestTraits>,
}

impl From<RefusalReason> for IngressRefusal {
    fn from(reason: RefusalReason) -> Self {
        Self {
            reason,
            traits: None,
        }
    }
}

/// Reads a request and resolves its route, team and service.
async fn resolve_request(
    gateway: &SharedGateway,
    parts: Parts,
    head: RequestHead,
    body: Incoming,
    arrived_at: Duration,
) -> Result<RoutedRequest, IngressRefusal> {
    let config = gateway.config().ok_or(RefusalReason::NoConfig)?;
    let route = find_route(gateway, &config, &parts)?;
    let team = find_team(gateway, &config, &route, &head)?;
    let timeout = head.timeout.unwrap_or(route.timeout).min(route.timeout);
    let client = parts.extensions.get::<ClientAddress>();
    let body_request = BodyRequest {
        id: &head.attempt_id,
        headers: &parts.headers,
        holder: RequestHolder {
            address: client.map_or(gateway.settings.ip, |client| client.0),
            team: team.map(|team| team.name.clone()),
        },
        max_bytes: config.limits.max_body_bytes,
        timeout,
    };
    let body = read_body(gateway, body_request, body).await?;
    // The configuration may have changed while the body was read, so it is looked up again.
    let config = gateway.config().ok_or(RefusalReason::NoConfig)?;
    let route = find_route(gateway, &config, &parts)?;
    let team = find_team(gateway, &config, &route, &head)?;
    let path = parts
        .uri
        .path_and_query()
        .map_or_else(|| "/".to_owned(), ToString::to_string);
    let team_name = team.as_ref().map_or("", |team| team.name.as_str());
    let fingerprint = RequestFingerprint::new(&path, team_name, &body.bytes);
    let traits = RequestTraits::new(fingerprint, &head.prompt_parts);
    let is_trial = match suspicion::admit(gateway, &head.attempt_id, &traits) {
        Admission::Admitted => false,
        Admission::OnTrial(_) => true,
        Admission::Refused(_) => {
            return Err(IngressRefusal {
                reason: RefusalReason::Quarantined,
                traits: Some(traits),
            });
        }
    };
    Ok(RoutedRequest {
        method: parts.method,
        path,
        headers: parts.headers,
        service: choose_service(gateway, &route),
        head,
        body: body.bytes,
        memory: body.lease,
        route,
        team,
        arrived_at,
        deadline: arrived_at + timeout,
        traits,
        is_relayed: false,
        is_trial,
        relayed_regions: AllowedRegions::Any,
        began_with: OnceCell::new(),
    })
}

fn find_route(
    gateway: &SharedGateway,
    config: &FleetConfig,
    parts: &Parts,
) -> Result<Arc<Route>, RefusalReason> {
    let host = parts
        .headers
        .get(header::HOST)
        .and_then(|value| value.to_str().ok())
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    match config.route(host, parts.uri.path()) {
        Some(route) => Ok(Arc::clone(route)),
        None => Err(denial_reason(gateway, RefusalReason::NoRoute)),
    }
}

fn find_team(
    gateway: &SharedGateway,
    config: &FleetConfig,
    route: &Route,
    head: &RequestHead,
) -> Result<Option<Arc<Team>>, RefusalReason> {
    if route.is_public || !config.requires_keys() {
        return Ok(None);
    }
    let now = gateway.now();
    if !gateway.with_state(|state| state.config.may_accept_keys(now)) {
        return Err(RefusalReason::StaleConfig);
    }
    match head
        .api_key
        .as_deref()
        .and_then(|key| config.team_by_key(key))
    {
        Some(team) => Ok(Some(Arc::clone(team))),
        None => Err(denial_reason(gateway, RefusalReason::UnknownKey)),
    }
}

/// Returns `reason`, or `StaleConfig` if the configuration may be outdated. Callers take a denial
/// as final, so it needs a configuration that is known to be current.
fn denial_reason(gateway: &SharedGateway, reason: RefusalReason) -> RefusalReason {
    let now = gateway.now();
    if gateway.with_state(|state| state.config.may_reject_unknown(now)) {
        reason
    } else {
        RefusalReason::StaleConfig
    }
}

/// Picks one of the route's services at random by weight.
fn choose_service(gateway: &SharedGateway, route: &Route) -> DeploymentName {
    let total_weight: u32 = route
        .weighted_services
        .iter()
        .map(|candidate| candidate.weight)
        .sum();
    let first_service = &route.weighted_services[0].service;
    if route.weighted_services.len() == 1 || total_weight == 0 {
        return first_service.clone();
    }
    let mut draw = gateway.with_state(|state| state.rng.random_range(0..total_weight));
    for candidate in &route.weighted_services {
        if draw < candidate.weight {
            return candidate.service.clone();
        }
        draw -= candidate.weight;
    }
    first_service.clone()
}
