//! Copies of running generations at other engines, from which they go on when their engine leaves.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Request, StatusCode};
use http_body_util::Full;
use mimosagap_platform::engine::{
    EngineCall, KvCopyResponse, copy_kv_cache, decode_kv_copy, release_kv_copy,
};
use mimosagap_routing::migration;
use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::targets::{TargetEntry, TargetKey};
use tokio::time::timeout;

use crate::exchange::{connect, keep};
use crate::load_reservation::LoadClaim;
use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::state::{SharedGateway, millis};
use crate::target_notices;

/// An engine that leaves is gone before a copy that takes longer than this ends.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest answer of an engine to a call, in bytes.
const MAX_ANSWER: usize = 64 << 10;

/// Destinations that are tried for one generation.
const MAX_DESTINATIONS: usize = 4;

/// Pause before another destination is tried, or the same call again while one is in progress.
const AGAIN: Duration = Duration::from_millis(60);

/// A copy of a running generation at another engine.
pub struct SecuredCopy {
    /// The engine that has it.
    pub target: TargetKey,
    /// Its place there.
    pub claim: LoadClaim,
    /// The copy, as the engine wants it named.
    pub name: String,
    /// When it was complete.
    pub made_at: Duration,
    handle: String,
    source: TargetKey,
}

/// A generation that is to be copied.
pub struct CopyOrder {
    /// The engine it runs on.
    pub source: TargetKey,
    /// The engine which is tried first, because it may have a copy already.
    pub preferred: Option<TargetKey>,
    /// The run's id.
    pub id: String,
    /// What it needs.
    pub need: GenerationDemand,
}

/// Copies the run while it goes on. `None` if no engine could take a copy.
pub async fn secure_copy(
    gateway: SharedGateway,
    request: Rc<RoutedRequest>,
    order: CopyOrder,
) -> Option<SecuredCopy> {
    let begun = gateway.now();
    let mut avoid = vec![order.source];
    while avoid.len() <= MAX_DESTINATIONS {
        let (source, target, destination) = choose(&gateway, &request, &order, &avoid)?;
        let claim = LoadClaim::stream(&gateway, target, &order.need, 0);
        let log = |step: &str| {
            gateway.metrics.moves.with_label_values(&[step]).inc();
            gateway.log.event(&LogEvent::Move {
                id: &order.id,
                from: &source.instance,
                to: &destination.instance,
                step,
                after_ms: millis(gateway.now().saturating_sub(begun)),
            });
        };
        log("copy");
        match call_copy(&gateway, &order, source.address, destination.address).await {
            Some(KvCopyResponse::Copied { handle }) => {
                log("copied");
                return Some(SecuredCopy {
                    target,
                    claim,
                    name: format!("{}/{handle}", source.address),
                    made_at: gateway.now(),
                    handle,
                    source: order.source,
                });
            }
            Some(KvCopyResponse::NoCapacity) => {
                log("no_room");
                avoid.push(target);
            }
            Some(KvCopyResponse::Busy) => tokio::time::sleep(AGAIN).await,
            Some(KvCopyResponse::UnknownGeneration) | None => {
                log("no_run");
                return None;
            }
        }
    }
    None
}

/// Frees a copy that is not needed any more. One that cannot be freed lapses by itself.
pub fn free(gateway: &SharedGateway, copy: SecuredCopy) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let now = gateway.now();
        let holder = gateway.with_state(|state| {
            let targets = &state.targets;
            let usable = |key| targets.get(key).filter(|known| known.is_available(now));
            // The source frees both ends, but it may have ended since.
            let key = usable(copy.source).map_or(copy.target, |_| copy.source);
            Some((key, targets.get(key)?.entry.address))
        });
        if let Some((key, address)) = holder {
            let call = call_engine(&gateway, key, address, release_kv_copy(&copy.handle));
            let _ = timeout(COPY_TIMEOUT, call).await;
        }
    });
}

fn choose(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    order: &CopyOrder,
    avoid: &[TargetKey],
) -> Option<(TargetEntry, TargetKey, TargetEntry)> {
    let now = gateway.now();
    gateway.with_state(|state| {
        let targets = &state.targets;
        let source = targets.get(order.source)?;
        let tokens = order.need.mean_kv_tokens();
        let is_open = |key: &TargetKey| {
            let known = targets.get(*key);
            !avoid.contains(key) && known.is_some_and(|known| known.is_available(now))
        };
        let key = match order.preferred.filter(is_open) {
            Some(preferred) => preferred,
            None => migration::choose_destination(
                targets,
                &request.service,
                source,
                tokens,
                avoid,
                now,
            )?,
        };
        let destination = targets.get(key)?;
        Some((source.entry.clone(), key, destination.entry.clone()))
    })
}

async fn call_copy(
    gateway: &SharedGateway,
    order: &CopyOrder,
    source: SocketAddr,
    destination: SocketAddr,
) -> Option<KvCopyResponse> {
    let call = copy_kv_cache(&order.id, destination);
    let answer = timeout(
        COPY_TIMEOUT,
        call_engine(gateway, order.source, source, call),
    );
    match answer.await {
        Ok(Ok((status, body))) => match decode_kv_copy(status, &body) {
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
    headers.insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(header::HOST, host);
    }
    let (head, body) = link
        .call(request, MAX_ANSWER)
        .await
        .map_err(|error| error.to_string())?;
    target_notices::take_leaving(gateway, key, &head.headers);
    keep(gateway, key, &head, link);
    Ok((head.status, body))
}
