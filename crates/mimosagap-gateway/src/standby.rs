//! Standby copies of running generations on other engines.
//!
//! A generation resumes from its copy when its engine leaves or fails.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, HeaderValue};
use http::{Request, StatusCode};
use http_body_util::Full;
use mimosagap_platform::engine::{
    EngineCall, KvCopyResponse, copy_kv_cache, decode_kv_copy, names_request, release_kv_copy,
    stop_generation,
};
use mimosagap_routing::migration;
use mimosagap_routing::placement::GenerationDemand;
use mimosagap_routing::rate_keeper::PermitClass;
use mimosagap_routing::residency::PermittedTarget;
use mimosagap_routing::targets::{TargetEntry, TargetKey};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::exchange::{acquire_connection, release_connection};
use crate::load_reservation::LoadReservation;
use crate::log::LogEvent;
use crate::rate_permits::{PermitOptions, acquire_call_permit};
use crate::request::RoutedRequest;
use crate::residency;
use crate::state::{SharedGateway, millis};
use crate::target_notices;

/// Limit on the time of one copy. An engine that leaves is gone before a slower copy completes.
const COPY_TIMEOUT: Duration = Duration::from_secs(4);

/// Limit on the wait of a copy for the rate limit of the engine that runs the generation.
const MAX_COPY_WAIT: Duration = Duration::from_millis(500);

/// Limit on the body of an engine's response to a call.
const MAX_RESPONSE_BYTES: usize = 64 << 10;

/// Limit on the destinations that are tried for one copy.
const MAX_DESTINATIONS: usize = 4;

/// Delay before a copy is requested again while another call for the generation is in progress.
const BUSY_RETRY_DELAY: Duration = Duration::from_millis(60);

/// How long and how often an engine is asked to stop a generation while another call for it is in
/// progress.
const STOP_RETRY_TIME: Duration = Duration::from_millis(120);
const STOP_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A copy of a running generation's KV cache on another engine.
pub struct StandbyCopy {
    /// Engine that holds the copy.
    pub target: TargetKey,
    /// Load that the copy puts on that engine.
    pub reservation: LoadReservation,
    /// Name of the copy for the engine that resumes from it: source address and handle.
    pub kv_source: String,
    /// When the copy was complete, as time since boot.
    pub completed_at: Duration,
    handle: String,
    source: TargetKey,
}

/// A request to copy a running generation.
pub struct CopyJob {
    /// Engine that runs the generation.
    pub source: TargetKey,
    /// Engine that is tried first because it may hold an older copy.
    pub preferred: Option<TargetKey>,
    /// Attempt id of the generation.
    pub id: String,
    /// What the generation still needs.
    pub demand: GenerationDemand,
}

/// Copies a generation while it runs. `None` if no engine took the copy or the generation has
/// ended.
pub async fn create_standby(
    gateway: SharedGateway,
    request: Rc<RoutedRequest>,
    job: CopyJob,
) -> Option<StandbyCopy> {
    let started_at = gateway.now();
    let mut excluded = vec![job.source];
    while excluded.len() <= MAX_DESTINATIONS {
        let (source, permitted, destination) =
            choose_destination(&gateway, &request, &job, &excluded)?;
        let target = permitted.key();
        let reservation = LoadReservation::for_stream(&gateway, target, &job.demand, 0);
        let log_step = |step: &str| {
            gateway
                .metrics
                .migration_steps
                .with_label_values(&[step])
                .inc();
            gateway.log.event(&LogEvent::Move {
                id: &job.id,
                from: &source.instance,
                to: &destination.instance,
                step,
                after_ms: millis(gateway.now().saturating_sub(started_at)),
            });
        };
        log_step("copy");
        let policy = residency::policy(&gateway, &request);
        residency::log_target(&gateway, &request, &policy, "copy", target);
        let order = CopyOrder {
            source: job.source,
            id: &job.id,
            destination: permitted,
            stops_source: false,
        };
        let options = PermitOptions {
            id: &job.id,
            class: PermitClass::Continuation,
            max_wait: MAX_COPY_WAIT,
        };
        match request_copy(&gateway, order, options).await {
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
            Some(KvCopyResponse::NoCapacity { .. }) => {
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

/// Releases a copy that is no longer needed. A copy that cannot be released expires by itself.
pub fn release_standby(gateway: &SharedGateway, copy: StandbyCopy) {
    let gateway = Rc::clone(gateway);
    tokio::task::spawn_local(async move {
        let now = gateway.now();
        let responsible = gateway.with_state(|state| {
            let targets = &state.targets;
            let if_available = |key| targets.get(key).filter(|target| target.is_available(now));
            // The source releases both sides of the copy, but it may be gone by now.
            if_available(copy.source).map_or(copy.target, |_| copy.source)
        });
        release_handle(&gateway, responsible, &copy.handle).await;
    });
}

async fn release_handle(gateway: &SharedGateway, key: TargetKey, handle: &str) {
    let Some(address) = engine_address(gateway, key) else {
        return;
    };
    let options = PermitOptions {
        id: "",
        class: PermitClass::Spare,
        max_wait: Duration::ZERO,
    };
    let call = call_engine(gateway, key, address, release_kv_copy(handle), options);
    let _ = timeout(COPY_TIMEOUT, call).await;
}

fn engine_address(gateway: &SharedGateway, key: TargetKey) -> Option<SocketAddr> {
    gateway.with_state(|state| Some(state.targets.get(key)?.entry.address))
}

/// An order to an engine to stop a generation that goes on at another one.
pub struct StopOrder {
    source: TargetKey,
    next: PermittedTarget,
    /// Handle of what the engine kept; `None` if it ran no such generation or did not respond.
    handle: oneshot::Receiver<Option<String>>,
}

/// Asks the engine `source` to stop a generation that goes on at the engine `next`. Closing the
/// connection is not enough, because some engines go on with what they run. That the generation has
/// stopped shows in its stream, which the engine closes.
pub fn stop_source(
    gateway: &SharedGateway,
    id: &str,
    source: TargetKey,
    next: PermittedTarget,
) -> StopOrder {
    let (sender, handle) = oneshot::channel();
    let (gateway, id) = (Rc::clone(gateway), id.to_owned());
    tokio::task::spawn_local(async move {
        let handle = order_stop(&gateway, &id, source, next).await;
        // Nobody waits for the handle once the stream has ended.
        if let Err(Some(handle)) = sender.send(handle) {
            release_handle(&gateway, source, &handle).await;
        }
    });
    StopOrder {
        source,
        next,
        handle,
    }
}

async fn order_stop(
    gateway: &SharedGateway,
    id: &str,
    source: TargetKey,
    next: PermittedTarget,
) -> Option<String> {
    let until = gateway.now() + STOP_RETRY_TIME;
    loop {
        // The order would copy the generation into the zone.
        if gateway.with_state(|state| state.targets.is_evacuated(next.key())) {
            return None;
        }
        let options = PermitOptions {
            id,
            class: PermitClass::Continuation,
            max_wait: Duration::ZERO,
        };
        let order = CopyOrder {
            source,
            id,
            destination: next,
            stops_source: true,
        };
        match request_copy(gateway, order, options).await {
            Some(KvCopyResponse::Copied { handle }) => return Some(handle),
            Some(KvCopyResponse::NoCapacity { handle }) => return handle,
            Some(KvCopyResponse::Busy) if gateway.now() < until => {
                tokio::time::sleep(STOP_RETRY_DELAY).await;
            }
            Some(KvCopyResponse::Busy | KvCopyResponse::UnknownGeneration) | None => return None,
        }
    }
}

impl StopOrder {
    /// Waits for the copy that the engine made of the stopped generation, to go on from it at the
    /// next engine with `demand`.
    pub async fn into_copy(
        self,
        gateway: &SharedGateway,
        demand: &GenerationDemand,
    ) -> Option<StandbyCopy> {
        let handle = self.handle.await.ok()??;
        let address = engine_address(gateway, self.source)?;
        Some(StandbyCopy {
            target: self.next.key(),
            reservation: LoadReservation::for_stream(gateway, self.next.key(), demand, 0),
            kv_source: format!("{address}/{handle}"),
            completed_at: gateway.now(),
            handle,
            source: self.source,
        })
    }

    /// Releases the copy, once there is one.
    pub fn release(self, gateway: &SharedGateway) {
        let gateway = Rc::clone(gateway);
        tokio::task::spawn_local(async move {
            if let Ok(Some(handle)) = self.handle.await {
                release_handle(&gateway, self.source, &handle).await;
            }
        });
    }
}

fn choose_destination(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    job: &CopyJob,
    excluded: &[TargetKey],
) -> Option<(TargetEntry, PermittedTarget, TargetEntry)> {
    let now = gateway.now();
    let policy = residency::policy(gateway, request);
    gateway.with_state(|state| {
        let targets = &state.targets;
        let source = targets.get(job.source)?;
        let tokens = job.demand.mean_kv_tokens();
        let is_usable = |key: &TargetKey| {
            let target = targets.get(*key);
            !excluded.contains(key) && target.is_some_and(|target| target.is_available(now))
        };
        let preferred = job.preferred.filter(is_usable);
        let permitted = match preferred.and_then(|key| policy.permit_target(targets, key)) {
            Some(preferred) => preferred,
            None => migration::choose_destination(
                targets,
                &request.service,
                source,
                tokens,
                excluded,
                &policy,
                now,
            )?,
        };
        let destination = targets.get(permitted.key())?;
        let (source, destination) = (source.entry.clone(), destination.entry.clone());
        Some((source, permitted, destination))
    })
}

/// An order to an engine to copy what it holds of a generation to another one.
#[derive(Debug, Clone, Copy)]
struct CopyOrder<'a> {
    source: TargetKey,
    /// Attempt id of the generation.
    id: &'a str,
    /// Engine that gets the copy.
    destination: PermittedTarget,
    /// Whether the engine is to stop the generation.
    stops_source: bool,
}

async fn request_copy(
    gateway: &SharedGateway,
    order: CopyOrder<'_>,
    options: PermitOptions<'_>,
) -> Option<KvCopyResponse> {
    let CopyOrder { source, id, .. } = order;
    let address = engine_address(gateway, source)?;
    let destination = engine_address(gateway, order.destination.key())?;
    let call = if order.stops_source {
        stop_generation(id, destination)
    } else {
        copy_kv_cache(id, destination)
    };
    let response = call_engine(gateway, source, address, call, options);
    let response = timeout(COPY_TIMEOUT, response);
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
    let what = "an engine was not asked to copy or stop a generation";
    gateway.log.event(&LogEvent::Trouble { what, cause });
}

async fn call_engine(
    gateway: &SharedGateway,
    key: TargetKey,
    address: SocketAddr,
    call: EngineCall,
    permit_options: PermitOptions<'_>,
) -> Result<(StatusCode, Bytes), String> {
    let permit = acquire_call_permit(gateway, key, permit_options)
        .await
        .map_err(|error| format!("the rate limit of the engine: {}", error.name()))?;
    let asked_at = gateway.now();
    let mut connection = acquire_connection(gateway, key, address, true)
        .await
        .map_err(|error| error.name().to_owned())?;
    if !permit.is_valid(gateway.now()) {
        return Err("the permit of the engine expired before the connection was open".to_owned());
    }
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
    if names_request(&head.headers) {
        return Err("the response belongs to another request".to_owned());
    }
    target_notices::observe_leaving(gateway, key, &head.headers);
    target_notices::observe_rate_limit(gateway, key, &head.headers, asked_at);
    target_notices::observe_cold(gateway, key, &head.headers);
    release_connection(gateway, key, &head, connection);
    Ok((head.status, body))
}
