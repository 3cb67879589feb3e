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

use crate::exchange::{acquire_connection, release_connection};
use crate::load_reservation::LoadReservation;
use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::state::{SharedGateway, millis};
use crate::target_notices;

/// An engine that leaves is gone before a copy that takes longer than this ends.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest answer of an engine to a call, in bytes.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Destinations that are tried for one generation.
const MAX_DESTINATIONS: usize = 4;

/// Pause before another destination is tried, or the same call again while one is in progress.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(60);

/// A copy of a running generation at another engine.
pub struct StandbyCopy {
    /// The engine that has it.
    pub target: TargetKey,
    /// Its place there.
    pub reservation: LoadReservation,
    /// The copy, as the engine wants it named.
    pub kv_source: String,
    /// When it was complete.
    pub completed_at: Duration,
    handle: String,
    source: TargetKey,
}

/// A generation that is to be copied.
pub struct CopyJob {
    /// The engine it runs on.
    pub source: TargetKey,
    /// The engine which is tried first, because it may have a copy already.
    pub preferred: Option<TargetKey>,
    /// The run's id.
    pub id: String,
    /// What it needs.
    pub demand: GenerationDemand,
}

/// Copies the run while it goes on. `None` if no engine could take a copy.
pub async fn create_standby(
    gateway: SharedGateway,
    request: Rc<RoutedRequest>,
    job: CopyJob,
) -> Option<StandbyCopy> {
    let started_at = gateway.now();
    let mut excluded = vec![job.source];
    while excluded.len() <= MAX_DESTINATIONS {
        let (source, target, destination) =
            choose_destination(&gateway, &request, &job, &excluded)?;
        let reservation = LoadReservation::for_stream(&gateway, target, &job.demand, 0);
        let log_step = |step: &str| {
            gateway.metrics.moves.with_label_values(&[step]).inc();
            gateway.log.event(&LogEvent::Move {
                id: &job.id,
                from: &source.instance,
                to: &destination.instance,
                step,
                after_ms: millis(gateway.now().saturating_sub(started_at)),
            });
        };
        log_step("copy");
        match request_copy(&gateway, &job, source.address, destination.address).await {
            Some(KvCopyResponse::Copied { handle }) => {
                log_step("copied");
                return Some(StandbyCopy {
                    target,
                    reservation,
                    kv_source: format!("{}/{handle}", source.address),
                    completed_at: gateway.now(),
                    handle,
                    source: job.source,
                });
            }
            Some(KvCopyResponse::NoCapacity) => {
                log_step("no_room");
                excluded.push(target);
            }
            Some(KvCopyResponse::Busy) => tokio::time::sleep(BUSY_RETRY_DELAY).await,
            Some(KvCopyResponse::UnknownGeneration) | None => {
                log_step("no_run");
                return None;
            }
        }
    }
    None
}

/// Frees a copy that is not needed any more. One that cannot be freed lapses by itself.
pub fn release_standby(gateway: &SharedGateway, copy: StandbyCopy) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let now = gateway.now();
        let responsible = gateway.with_state(|state| {
            let targets = &state.targets;
            let if_available = |key| targets.get(key).filter(|target| target.is_available(now));
            // The source frees both ends, but it may have ended since.
            let key = if_available(copy.source).map_or(copy.target, |_| copy.source);
            Some((key, targets.get(key)?.entry.address))
        });
        if let Some((key, address)) = responsible {
            let call = call_engine(&gateway, key, address, release_kv_copy(&copy.handle));
            let _ = timeout(COPY_TIMEOUT, call).await;
        }
    });
}

fn choose_destination(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    job: &CopyJob,
    excluded: &[TargetKey],
) -> Option<(TargetEntry, TargetKey, TargetEntry)> {
    let now = gateway.now();
    gateway.with_state(|state| {
        let targets = &state.targets;
        let source = targets.get(job.source)?;
        let tokens = job.demand.mean_kv_tokens();
        let is_usable = |key: &TargetKey| {
            let target = targets.get(*key);
            !excluded.contains(key) && target.is_some_and(|target| target.is_available(now))
        };
        let key = match job.preferred.filter(is_usable) {
            Some(preferred) => preferred,
            None => migration::choose_destination(
                targets,
                &request.service,
                source,
                tokens,
                excluded,
                now,
            )?,
        };
        let destination = targets.get(key)?;
        Some((source.entry.clone(), key, destination.entry.clone()))
    })
}

async fn request_copy(
    gateway: &SharedGateway,
    job: &CopyJob,
    source: SocketAddr,
    destination: SocketAddr,
) -> Option<KvCopyResponse> {
    let call = copy_kv_cache(&job.id, destination);
    let response = timeout(COPY_TIMEOUT, call_engine(gateway, job.source, source, call));
    match response.await {
        Ok(Ok((status, body))) => match decode_kv_copy(status, &body) {
            Ok(response) => Some(response),
            Err(error) => {
                log_failure(gateway, error.to_string());
                None
            }
        },
        Ok(Err(cause)) => {
            log_failure(gateway, cause);
            None
        }
        Err(_) => {
            log_failure(gateway, "the engine did not respond in time".to_owned());
            None
        }
    }
}

fn log_failure(gateway: &SharedGateway, cause: String) {
    let what = "copy of a generation";
    gateway.log.event(&LogEvent::Trouble { what, cause });
}

async fn call_engine(
    gateway: &SharedGateway,
    key: TargetKey,
    address: SocketAddr,
    call: EngineCall,
) -> Result<(StatusCode, Bytes), String> {
    let mut connection = acquire_connection(gateway, key, address, true)
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
    let (head, body) = connection
        .call(request, MAX_RESPONSE_BYTES)
        .await
        .map_err(|error| error.to_string())?;
    target_notices::observe_leaving(gateway, key, &head.headers);
    release_connection(gateway, key, &head, connection);
    Ok((head.status, body))
}
