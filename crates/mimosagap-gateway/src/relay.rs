//! Requests that another host sends to targets in place of this one.
//!
//! A host that reaches no target hands its requests, as the caller sent them, to a host that does,
//! over the listener for hosts. That host treats them like those of its own callers, but hands them
//! to no third one. A refusal names its reason in a header, so that this host can ask another host
//! or refuse the request itself.

use std::convert::Infallible;
use std::time::Duration;

use http::header::HeaderValue;
use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use mimosagap_platform::request::relayed_headers;
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::residency::{AllowedRegions, PermittedHost, ResidencyPolicy};
use mimosagap_types::prelude::*;
use tokio::time::timeout;

use crate::connection::{HttpConnection, SendError};
use crate::ingress::{self, InFlightGuard};
use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::residency;
use crate::response::{ResponseBody, forwarded_head, local_response};
use crate::state::{SharedGateway, millis};
use crate::stream_body::{PartSender, StreamPart, stream_body};

/// Marks a request that another host relays.
pub const RELAYED_HEADER: HeaderName = HeaderName::from_static("mimosagap-relayed");

/// Names the reason of a refusal in the response to a relayed request.
const REFUSAL_HEADER: HeaderName = HeaderName::from_static("mimosagap-refusal");

/// Names the regions to which a relayed request is restricted, as a JSON list. The other host may
/// have an older configuration.
const REGIONS_HEADER: HeaderName = HeaderName::from_static("mimosagap-regions");

/// Hosts that are asked for one request.
const MAX_RELAYS: usize = 4;

/// Time past the end of a request for which the response of the other host, which ends its own wait
/// then, is still awaited.
const RELAY_MARGIN: Duration = Duration::from_millis(100);

/// How a relayed request ended without a response of a target.
enum RelayFailure {
    /// The host has not sent the request to a target and never will.
    Declined(RefusalReason),
    /// The host could not be reached, so nothing was sent.
    Unreachable,
    /// The request may have run.
    Lost,
    /// The host refused the request for a reason that holds at every host.
    Refused(RefusalReason),
}

/// Serves a request that another host relays.
pub async fn serve_relayed(
    gateway: SharedGateway,
    mut request: Request<Incoming>,
) -> Result<Response<ResponseBody>, Infallible> {
    request.headers_mut().remove(RELAYED_HEADER);
    let regions = request.headers_mut().remove(REGIONS_HEADER);
    let regions = regions.map_or(AllowedRegions::Any, |value| parse_regions(&value));
    let Ok(mut response) = ingress::handle_relayed_request(gateway, request, regions).await;
    mark_response(&mut response);
    Ok(response)
}

/// Parses the regions of a relayed request. A list that cannot be read allows none.
fn parse_regions(value: &HeaderValue) -> AllowedRegions {
    let names: Vec<RegionName> = serde_json::from_slice(value.as_bytes()).unwrap_or_default();
    AllowedRegions::only(names)
}

/// The value of the header with the regions of a restricted request; `None` for one without
/// restrictions.
fn regions_header(policy: &ResidencyPolicy) -> Option<HeaderValue> {
    if !policy.is_restricted() {
        return None;
    }
    let names: Vec<&RegionName> = policy.named().names().collect();
    let text = serde_json::to_vec(&names).unwrap_or_default();
    // A list that no header can hold is sent empty, which allows nothing.
    let value = HeaderValue::from_bytes(&text);
    Some(value.unwrap_or_else(|_| HeaderValue::from_static("[]")))
}

/// Declines a request of a host that this one does not list, as after a start of either.
pub fn decline_unlisted() -> Response<ResponseBody> {
    let reason = RefusalReason::NoConfig;
    let mut response = local_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new());
    response.extensions_mut().insert(reason);
    mark_response(&mut response);
    response
}

/// Marks a response to a relayed request, and names the reason if it is a refusal.
fn mark_response(response: &mut Response<ResponseBody>) {
    let reason = response.extensions().get::<RefusalReason>().copied();
    let headers = response.headers_mut();
    headers.insert(RELAYED_HEADER, HeaderValue::from_static("1"));
    headers.remove(REFUSAL_HEADER);
    if let Some(reason) = reason {
        // Hosts of an earlier version do not know this reason, and treat the request as lost.
        let reason = match reason {
            RefusalReason::RequestMemory => RefusalReason::NoTarget,
            reason => reason,
        };
        headers.insert(REFUSAL_HEADER, HeaderValue::from_static(reason.name()));
    }
}

/// Hands a request to other hosts until one has sent it to a target. Returns why the request is to
/// be refused if none has; `NoTarget` if there is no host to ask.
pub async fn relay_request(
    gateway: &SharedGateway,
    request: &RoutedRequest,
) -> Result<Response<ResponseBody>, RefusalReason> {
    let mut tried: Vec<String> = Vec::new();
    let mut reason = RefusalReason::NoTarget;
    while tried.len() < MAX_RELAYS && !request.is_relayed {
        let now = gateway.now();
        let settings = &gateway.settings;
        let policy = residency::policy(gateway, request);
        let chosen = gateway.with_state(|state| {
            state.relay_selector.choose(
                &state.hosts,
                (&settings.host, &settings.region),
                &tried,
                &policy,
                now,
                &mut state.rng,
            )
        });
        let Some(host) = chosen else {
            break;
        };
        let name = host.name().to_owned();
        residency::log_relay(gateway, request, &policy, &host);
        tried.push(name.clone());
        let wait = request.response_time_left(now) + RELAY_MARGIN;
        let exchange = timeout(wait, exchange_with(gateway, request, &host, &policy));
        let result = exchange
            .await
            .unwrap_or(Err(RelayFailure::Refused(RefusalReason::DeadlineAfterSend)));
        log_result(gateway, request, &name, &result, now);
        let now = gateway.now();
        let is_served = result.is_ok() || matches!(result, Err(RelayFailure::Refused(_)));
        gateway.with_state(|state| {
            if is_served {
                state.relay_selector.record_served(&name, now);
            } else {
                state.relay_selector.record_declined(&name, now);
            }
        });
        match result {
            Ok(response) => return Ok(response),
            Err(RelayFailure::Refused(reason)) => return Err(reason),
            Err(RelayFailure::Lost) => return Err(RefusalReason::TargetAborted),
            Err(RelayFailure::Declined(declined)) => reason = declined,
            Err(RelayFailure::Unreachable) => {}
        }
    }
    Err(reason)
}

/// Sends a request to another host and begins to pass its response on.
async fn exchange_with(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    host: &PermittedHost,
    policy: &ResidencyPolicy,
) -> Result<Response<ResponseBody>, RelayFailure> {
    let opened = HttpConnection::open(host.address()).await;
    let mut connection = opened.map_err(|_| RelayFailure::Unreachable)?;
    let mut message = Request::new(Full::new(request.body.clone()));
    *message.method_mut() = request.method.clone();
    *message.uri_mut() = request.path.parse().unwrap_or_default();
    *message.headers_mut() = relayed_headers(&request.headers, request.time_left(gateway.now()));
    message
        .headers_mut()
        .insert(RELAYED_HEADER, HeaderValue::from_static("1"));
    message.headers_mut().remove(REGIONS_HEADER);
    if let Some(regions) = regions_header(policy) {
        message.headers_mut().insert(REGIONS_HEADER, regions);
    }
    let (mut head, body) = match connection.send(message).await {
        Ok(response) => response.into_parts(),
        Err(SendError::NotSent) => return Err(RelayFailure::Unreachable),
        Err(SendError::ConnectionFailed(_) | SendError::LimitExceeded) => {
            return Err(RelayFailure::Lost);
        }
    };
    if head.headers.remove(RELAYED_HEADER).is_none() {
        // A host of an earlier version does not know relayed requests.
        return Err(RelayFailure::Unreachable);
    }
    let refusal = head.headers.get(REFUSAL_HEADER);
    if let Some(name) = refusal.and_then(|value| value.to_str().ok()) {
        return Err(match RefusalReason::parse(name) {
            Some(reason) if reason.holds_for_one_host() => RelayFailure::Declined(reason),
            Some(reason) => RelayFailure::Refused(reason),
            None => RelayFailure::Lost,
        });
    }
    let (part_sender, response_body) = stream_body();
    // A host that stops waits for the bodies that it passes on.
    let in_flight = InFlightGuard::new(gateway);
    tokio::task::spawn_local(async move {
        pass_body(body, connection, part_sender).await;
        drop(in_flight);
    });
    let response = forwarded_head(head.status, &head.headers);
    Ok(response.map(|()| response_body.boxed_unsync()))
}

fn log_result(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    host: &str,
    result: &Result<Response<ResponseBody>, RelayFailure>,
    began_at: Duration,
) {
    let (outcome, status) = match result {
        Ok(response) => ("served", response.status().as_u16()),
        Err(RelayFailure::Declined(reason)) => (reason.name(), 0),
        Err(RelayFailure::Refused(reason)) => (reason.name(), reason.status()),
        Err(RelayFailure::Unreachable) => ("unreachable", 0),
        Err(RelayFailure::Lost) => ("broken", 0),
    };
    gateway
        .metrics
        .relays
        .with_label_values(&[if result.is_ok() { "served" } else { "failed" }])
        .inc();
    gateway.log.event(&LogEvent::Relayed {
        id: &request.head.attempt_id,
        host,
        service: request.service.as_str(),
        outcome,
        status,
        after_ms: millis(gateway.now().saturating_sub(began_at)),
    });
}

/// Passes a body on until it ends or the caller leaves. Then the connection is dropped, which tells
/// the other host.
async fn pass_body(mut body: Incoming, connection: HttpConnection, part_sender: PartSender) {
    loop {
        let frame = tokio::select! {
            biased;
            () = part_sender.closed() => break,
            frame = body.frame() => frame,
        };
        let part = match frame {
            Some(Ok(frame)) => match frame.into_data() {
                Ok(bytes) => StreamPart::Event(bytes),
                // Trailers, which no target sends.
                Err(_) => continue,
            },
            Some(Err(_)) => break,
            None => StreamPart::End,
        };
        let is_end = matches!(part, StreamPart::End);
        if part_sender.send(part).await.is_err() || is_end {
            break;
        }
    }
    drop(connection);
}
