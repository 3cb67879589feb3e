//! Hands a running generation on to another engine.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use mimosagap_platform::engine::{CopyAnswer, EngineCall, copy_run, decode_copy};
use mimosagap_routing::moves;
use mimosagap_routing::placement::StreamNeed;
use mimosagap_routing::targets::{TargetEntry, TargetKey};
use tokio::time::timeout;

use crate::claim::LoadClaim;
use crate::exchange::connect;
use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::state::{SharedGateway, millis};

/// An engine that leaves is gone before a copy that takes longer than this ends.
const COPY_TIMEOUT: Duration = Duration::from_millis(4000);

/// Longest answer of an engine to a call, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// Destinations that are tried for one generation.
const MAX_DESTINATIONS: usize = 4;

/// Pause before another destination is tried, or the same call again while one is in progress.
const AGAIN: Duration = Duration::from_millis(60);

/// A generation whose run was stopped and can go on from a copy.
pub struct HandedOn {
    /// Where it goes on.
    pub target: TargetKey,
    /// Its place there.
    pub claim: LoadClaim,
    /// The copy, as the engine wants it named.
    pub copy: String,
}

/// A generation that is to be handed on.
pub struct Handover {
    /// The engine it runs on.
    pub source: TargetKey,
    /// The run's id.
    pub id: String,
    /// What it needs.
    pub need: StreamNeed,
}

/// Copies the run while it goes on, then stops it and copies the rest. `None` if it stays.
pub async fn hand_on(
    gateway: SharedGateway,
    request: Rc<RoutedRequest>,
    handover: Handover,
) -> Option<HandedOn> {
    let begun = gateway.now();
    let mut avoid = vec![handover.source];
    while avoid.len() <= MAX_DESTINATIONS {
        let (source, target, destination) = choose(&gateway, &request, &handover, &avoid)?;
        let claim = LoadClaim::stream(&gateway, target, &handover.need, 0);
        let log = |step: &str| {
            gateway.metrics.moves.with_label_values(&[step]).inc();
            gateway.log.event(&LogEvent::Move {
                id: &handover.id,
                from: &source.instance,
                to: &destination.instance,
                step,
                after_ms: millis(gateway.now().saturating_sub(begun)),
            });
        };
        log("copy");
        let copy = |stop| call_copy(&gateway, &handover, source.address, destination.address, stop);
        match copy(false).await {
            Some(CopyAnswer::Copied { .. }) => {}
            Some(CopyAnswer::NoRoom { .. }) => {
                log("no_room");
                avoid.push(target);
                continue;
            }
            Some(CopyAnswer::Busy) => {
                tokio::time::sleep(AGAIN).await;
                continue;
            }
            Some(CopyAnswer::NoRun) | None => {
                log("no_run");
                return None;
            }
        }
        log("stop");
        return match copy(true).await {
            Some(CopyAnswer::Copied { handle }) => {
                log("copied");
                Some(HandedOn {
                    target,
                    claim,
                    copy: format!("{}/{handle}", source.address),
                })
            }
            Some(CopyAnswer::NoRoom {
                handle: Some(handle),
            }) => {
                log("stays");
                Some(HandedOn {
                    target: handover.source,
                    claim: LoadClaim::stream(&gateway, handover.source, &handover.need, 0),
                    copy: format!("{}/{handle}", source.address),
                })
            }
            _ => {
                log("lost");
                None
            }
        };
    }
    None
}

fn choose(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    handover: &Handover,
    avoid: &[TargetKey],
) -> Option<(TargetEntry, TargetKey, TargetEntry)> {
    let now = gateway.now();
    gateway.with(|beliefs| {
        let targets = &beliefs.targets;
        let source = targets.get(handover.source)?;
        let tokens = handover.need.tokens();
        let key = moves::destination(targets, &request.service, source, tokens, avoid, now)?;
        let destination = targets.get(key)?;
        Some((source.entry.clone(), key, destination.entry.clone()))
    })
}

async fn call_copy(
    gateway: &SharedGateway,
    handover: &Handover,
    source: SocketAddr,
    destination: SocketAddr,
    stop: bool,
) -> Option<CopyAnswer> {
    let call = copy_run(&handover.id, destination, stop);
    let answer = timeout(
        COPY_TIMEOUT,
        call_engine(gateway, handover.source, source, call),
    );
    match answer.await {
        Ok(Ok((status, body))) => match decode_copy(status, &body) {
            Ok(answer) => Some(answer),
            Err(error) => {
                trouble(gateway, error.to_string());
                None
            }
        },
        Ok(Err(cause)) => {
            trouble(gateway, cause);
            None
        }
        Err(_) => {
            trouble(gateway, "no answer in time".to_owned());
            None
        }
    }
}

fn trouble(gateway: &SharedGateway, cause: String) {
    let what = "copy of a generation";
    gateway.log.event(&LogEvent::Trouble { what, cause });
}

async fn call_engine(
    gateway: &SharedGateway,
    key: TargetKey,
    address: SocketAddr,
    call: EngineCall,
) -> Result<(StatusCode, Bytes), String> {
    let mut link = connect(gateway, key, address, true)
        .await
        .map_err(|error| error.name().to_owned())?;
    let mut request = Request::new(Full::new(Bytes::from(call.body)));
    *request.method_mut() = call.method;
    *request.uri_mut() = call.path.parse().unwrap_or_default();
    let headers = request.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, host);
    }
    let response = link
        .send(request)
        .await
        .map_err(|error| format!("{error:?}"))?;
    let (head, body) = response.into_parts();
    let body = Limited::new(body, MAX_ANSWER)
        .collect()
        .await
        .map_err(|error| error.to_string())?
        .to_bytes();
    crate::exchange::keep(gateway, key, &head, link);
    Ok((head.status, body))
}
