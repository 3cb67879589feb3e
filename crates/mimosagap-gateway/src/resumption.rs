//! Binds requests for streams to the version of the engine that begins them, and requests that
//! resume a stream to the version that began it.
//!
//! A host that did not send the stream itself looks for its record in the store. Without one, the
//! version is still certain if the store holds only one version at which streams of the service can
//! have begun. What cannot be told is refused.

use std::cell::Cell;
use std::time::Duration;

use mimosagap_routing::config::RouteKind;
use mimosagap_routing::refusal::RefusalReason;
use mimosagap_routing::stream_origins::{StreamId, StreamOrigin, record_delay};
use mimosagap_routing::targets::TargetKey;
use tokio::sync::Mutex;
use tokio::time::timeout;

use crate::log::LogEvent;
use crate::request::RoutedRequest;
use crate::state::{Gateway, STORE_UNREACHABLE, SharedGateway, millis};
use crate::store::{StoreClient, StoreError};
use crate::store_sync::read_range;
use crate::stream_records::{STREAMS_PREFIX, apply_record};
use crate::version_admission::{
    ALL_VERSIONS_PREFIX, VERSIONS_ERA_KEY, apply_recorded_era, apply_version,
};

/// Longest wait for what the store holds of versions and streams.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(700);

/// Longest wait until the store holds another version of a stream than before.
const REPLACE_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads what the store holds of versions and streams, once for all requests that wait for it.
pub struct OriginReader {
    client: Mutex<StoreClient>,
    /// When the last read that succeeded began.
    read_at: Cell<Option<Duration>>,
}

impl OriginReader {
    /// Creates a reader that has read nothing.
    pub fn new(client: StoreClient) -> Self {
        Self {
            client: Mutex::new(client),
            read_at: Cell::new(None),
        }
    }

    /// Applies what the store holds now, at the earliest when this is called.
    async fn refresh(&self, gateway: &SharedGateway) -> Result<(), StoreError> {
        let requested_at = gateway.now();
        let client = self.client.lock().await;
        if self.read_at.get().is_some_and(|at| at >= requested_at) {
            return Ok(());
        }
        let started_at = gateway.now();
        let (items, _) = read_range(gateway, &client, ALL_VERSIONS_PREFIX).await?;
        let mut recorded_era = None;
        for change in &items {
            if change.key == VERSIONS_ERA_KEY {
                recorded_era = change.value.as_deref();
            } else {
                apply_version(gateway, &change.key, change.value.as_deref());
            }
        }
        apply_recorded_era(gateway, recorded_era);
        let is_any_mixed = gateway.with_state(|state| {
            !state.version_history.is_complete()
                || state.targets.versions().mixed_services().next().is_some()
        });
        if is_any_mixed {
            let (records, _) = read_range(gateway, &client, STREAMS_PREFIX).await?;
            for record in records.iter().filter_map(|change| change.value.as_deref()) {
                apply_record(gateway, record);
            }
        }
        self.read_at.set(Some(started_at));
        Ok(())
    }
}

/// What a request for a stream asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum StreamStart {
    /// A stream from its first event, at any version.
    New,
    /// The rest of a stream that began there.
    Resumed(StreamOrigin),
    /// The rest of a stream that began there unless the store says otherwise, which is to be
    /// confirmed by [`confirm`] before the caller gets an event.
    Assumed(StreamOrigin),
}

impl StreamStart {
    /// Where the stream began; `None` for a new one.
    pub fn origin(&self) -> Option<&StreamOrigin> {
        match self {
            Self::New => None,
            Self::Resumed(origin) | Self::Assumed(origin) => Some(origin),
        }
    }
}

/// The id under which the attempt of a request is recorded; `None` if the caller names none.
fn own_stream_id(request: &RoutedRequest) -> Option<StreamId> {
    let attempt_id = &request.head.attempt_id;
    (!attempt_id.is_empty()).then(|| StreamId::new(team_name(request), attempt_id))
}

/// The id of the attempt that began the stream which a request resumes.
fn resumed_stream_id(request: &RoutedRequest) -> Option<StreamId> {
    let attempt_id = request.head.resumed_attempt.as_deref()?;
    is_resumption(request).then(|| StreamId::new(team_name(request), attempt_id))
}

/// Whether the caller has events of the stream already. Without one any version may begin it.
fn is_resumption(request: &RoutedRequest) -> bool {
    request.head.last_event_id.is_some_and(|id| id > 0)
}

fn team_name(request: &RoutedRequest) -> &str {
    request.team.as_ref().map_or("", |team| team.name.as_str())
}

/// Finds out where the stream of a request began.
///
/// # Errors
/// If that cannot be told.
pub async fn resolve(
    gateway: &SharedGateway,
    request: &RoutedRequest,
) -> Result<StreamStart, RefusalReason> {
    if !is_resumption(request) {
        return Ok(StreamStart::New);
    }
    let known = known_origin(gateway, request);
    if let Some(origin) = known {
        return bind(gateway, request, origin, "memory").map(StreamStart::Resumed);
    }
    if is_store_away(gateway) {
        return Err(refuse(gateway, RefusalReason::VersionUnknown));
    }
    if let Some(origin) = sole_origin(gateway, request) {
        return bind(gateway, request, origin, "sole").map(StreamStart::Assumed);
    }
    if read_store(gateway).await.is_err() {
        return Err(refuse(gateway, RefusalReason::VersionUnknown));
    }
    if let Some(origin) = known_origin(gateway, request) {
        return bind(gateway, request, origin, "record").map(StreamStart::Resumed);
    }
    match sole_origin(gateway, request) {
        Some(origin) => bind(gateway, request, origin, "sole").map(StreamStart::Resumed),
        None => Err(refuse(gateway, RefusalReason::VersionUnknown)),
    }
}

/// Waits until the store has confirmed an assumed origin; returns at once for others.
///
/// # Errors
/// If the store does not respond in time or holds another version.
pub async fn confirm(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    start: &StreamStart,
) -> Result<(), RefusalReason> {
    let StreamStart::Assumed(assumed) = start else {
        return Ok(());
    };
    let is_read = read_store(gateway).await.is_ok();
    let is_confirmed = match known_origin(gateway, request) {
        Some(origin) => origin == *assumed,
        None => {
            sole_origin(gateway, request).is_some_and(|origin| origin.version == assumed.version)
        }
    };
    if is_read && is_confirmed {
        if let Some(id) = resumed_stream_id(request) {
            note_stream(gateway, request, id, assumed);
        }
        Ok(())
    } else {
        Err(refuse(gateway, RefusalReason::VersionUnknown))
    }
}

async fn read_store(gateway: &SharedGateway) -> Result<(), ()> {
    let result = timeout(LOOKUP_TIMEOUT, gateway.origin_reader.refresh(gateway)).await;
    let cause = match result {
        Ok(Ok(())) => return Ok(()),
        Ok(Err(error)) => error.to_string(),
        Err(_) => "the store did not respond in time".to_owned(),
    };
    let what = "the version that began a stream cannot be looked up";
    gateway.log.event(&LogEvent::Trouble { what, cause });
    Err(())
}

fn is_store_away(gateway: &Gateway) -> bool {
    gateway.with_state(|state| state.store_recovered_at) == Some(STORE_UNREACHABLE)
}

fn refuse(gateway: &Gateway, reason: RefusalReason) -> RefusalReason {
    let resumed = &gateway.metrics.resumptions.requests;
    resumed.with_label_values(&[reason.name()]).inc();
    reason
}

fn known_origin(gateway: &Gateway, request: &RoutedRequest) -> Option<StreamOrigin> {
    let id = resumed_stream_id(request)?;
    let now = gateway.now();
    gateway.with_state(|state| state.stream_origins.get(id, now).cloned())
}

/// The origin of all streams of a route whose services each have one version only.
fn sole_origin(gateway: &Gateway, request: &RoutedRequest) -> Option<StreamOrigin> {
    gateway.with_state(|state| {
        if !state.version_history.is_complete() {
            return None;
        }
        let versions = state.targets.versions();
        let services = &request.route.weighted_services;
        let mut services = services.iter().map(|weighted| &weighted.service);
        services
            .all(|service| versions.sole_version(service).is_some())
            .then(|| versions.sole_version(&request.service))
            .flatten()
            .map(|version| StreamOrigin {
                service: request.service.clone(),
                version: version.clone(),
            })
    })
}

/// Binds a request to an origin, if the configuration still allows its service.
fn bind(
    gateway: &Gateway,
    request: &RoutedRequest,
    origin: StreamOrigin,
    source: &str,
) -> Result<StreamOrigin, RefusalReason> {
    let mut services = request.route.weighted_services.iter();
    if !services.any(|weighted| weighted.service == origin.service) {
        return Err(refuse(gateway, RefusalReason::VersionGone));
    }
    let resumed = &gateway.metrics.resumptions.requests;
    resumed.with_label_values(&[source]).inc();
    gateway.log.event(&LogEvent::StreamResumed {
        id: &request.head.attempt_id,
        resumes: request.head.resumed_attempt.as_deref().unwrap_or(""),
        last_event: request.head.last_event_id.unwrap_or(0),
        service: origin.service.as_str(),
        version: origin.version.as_str(),
        source,
        after_ms: millis(gateway.now().saturating_sub(request.arrived_at)),
    });
    Ok(origin)
}

/// Notes that a request for a stream is about to be sent to an engine. Returns whether it may be
/// sent: if the store may hold that it went to another version, that is replaced first. Streams that
/// callers cannot resume are not noted.
pub async fn note_send(
    gateway: &SharedGateway,
    request: &RoutedRequest,
    target: TargetKey,
) -> bool {
    if request.route.kind != RouteKind::ResumableStream {
        return true;
    }
    let Some(version) = gateway.software_version(target) else {
        return false;
    };
    let origin = StreamOrigin {
        service: request.service.clone(),
        version,
    };
    // An assumed origin is no evidence for itself, so a stream that is only assumed is not noted
    // before the store has confirmed it.
    let resumed = resumed_stream_id(request).filter(|_| known_origin(gateway, request).is_some());
    for id in [own_stream_id(request), resumed].into_iter().flatten() {
        if !note_stream(gateway, request, id, &origin) && !is_stored_in_time(gateway, id).await {
            return false;
        }
    }
    true
}

/// Notes that a stream is sent to the version of `origin`, and records it if the service is mixed.
/// Returns whether the request may be sent at once; otherwise the store is to hold the new origin
/// first.
fn note_stream(
    gateway: &Gateway,
    request: &RoutedRequest,
    id: StreamId,
    origin: &StreamOrigin,
) -> bool {
    let now = gateway.now();
    let patience = request.head.timeout.unwrap_or(request.route.timeout);
    let expires_at = request.arrived_at + patience;
    let (is_noted, is_mixed) = gateway.with_state(|state| {
        let origins = &mut state.stream_origins;
        let noted = origins.note_sent(id, origin.clone(), expires_at, now);
        let is_mixed = !state.version_history.is_complete()
            || state.targets.versions().is_mixed(&origin.service);
        if noted.is_err() {
            origins.replace(id, origin.clone());
        } else if is_mixed {
            origins.schedule(id, now + record_delay(state.hosts.len()));
        }
        (noted.is_ok(), is_mixed)
    });
    if is_mixed || !is_noted {
        gateway.records_due.notify_one();
    }
    is_noted
}

async fn is_stored_in_time(gateway: &SharedGateway, id: StreamId) -> bool {
    let stored = async {
        loop {
            let written = gateway.records_written.notified();
            if gateway.with_state(|state| state.stream_origins.is_stored(id)) {
                return;
            }
            written.await;
        }
    };
    timeout(REPLACE_TIMEOUT, stored).await.is_ok()
}

/// Forgets a stream that its caller received to the end.
pub fn note_complete(gateway: &Gateway, request: &RoutedRequest) {
    let ids = [own_stream_id(request), resumed_stream_id(request)];
    gateway.with_state(|state| {
        for id in ids.into_iter().flatten() {
            state.stream_origins.complete(id);
        }
    });
}
