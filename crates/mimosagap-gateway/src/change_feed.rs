//! Change feed between hosts: a host that follows the store serves its changes to the others of its
//! region.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use mimosagap_platform::names;
use mimosagap_platform::store::StoreChange;
use mimosagap_routing::change_source::{READER_STALE_AFTER, ReaderFailure, poll_delay};
use mimosagap_routing::store_revision::{StoreEra, StoreRevision};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::connection::{CallError, HttpConnection};
use crate::mirror::KeyChange;
use crate::response::{ResponseBody, local_response};
use crate::state::{Gateway, STORE_UNREACHABLE, SharedGateway, millis};

/// Path of the feed on the port for other hosts.
pub const FEED_PATH: &str = "/changes";

/// Path of the configuration in force on the port for other hosts.
pub const CONFIG_PATH: &str = "/config";

/// Time within which another host must send its configuration.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(300);

/// Time for which a poll waits for a change.
const POLL_WAIT: Duration = Duration::from_millis(500);

/// Time beyond the wait after which a reader without a response counts as failed. It is in the same
/// region, so a response takes milliseconds.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Time for the body once the head is there; a long body takes a while on a busy link.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Response to a poll, as sent between hosts.
#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct FeedMessage {
    /// Time since the reader last polled the store with success, in milliseconds.
    age_ms: u64,
    /// Time since the end of the last outage of the store that the reader saw, in milliseconds.
    since_recovery_ms: Option<u64>,
    revision: StoreRevision,
    is_snapshot: bool,
    /// Time for which the reader held the request, in milliseconds.
    held_ms: u64,
    changes: Vec<KeyChange>,
}

/// Decoded response of a reader.
pub struct FeedResponse {
    /// Changes in the order of their revisions, or all items if `is_snapshot`.
    pub changes: Vec<StoreChange>,
    /// Revision of the store up to which the changes reach.
    pub revision: StoreRevision,
    /// Whether `changes` holds all items rather than those that changed.
    pub is_snapshot: bool,
    /// Time between the reader's last poll of the store and its response.
    pub age: Duration,
    /// Time for which the reader held the request, waiting for a change.
    pub held: Duration,
    /// Time since the end of the store's last outage; `None` if the reader saw none.
    pub since_recovery: Option<Duration>,
    /// Delay before the next poll; grows with the length of this response.
    pub next_poll_delay: Duration,
}

/// Parses the revision that a poll names as `after=ERA.NUMBER`.
fn parse_revision(query: &str) -> Option<StoreRevision> {
    let (era, number) = query.strip_prefix("after=")?.split_once('.')?;
    let era = StoreEra(era.parse().ok()?);
    Some(StoreRevision::new(era, number.parse().ok()?))
}

/// Serves the configuration in force, for a host that has none or an older one of the store.
pub fn handle_config_request(gateway: &SharedGateway) -> Response<ResponseBody> {
    let value = gateway.with_state(|state| {
        let is_in_force = state.config.config().is_some();
        let value = state.mirror.value(names::CONFIG_KEY);
        value.filter(|_| is_in_force).map(<[u8]>::to_vec)
    });
    match value {
        Some(value) => local_response(StatusCode::OK, "application/octet-stream", value),
        None => local_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new()),
    }
}

/// Asks another host for the configuration that it has in force; `None` if it has none or does not
/// respond in time.
pub async fn fetch_config(host: SocketAddr) -> Option<Bytes> {
    let fetch = async {
        let mut connection = HttpConnection::open(host).await.ok()?;
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = CONFIG_PATH.parse().unwrap_or_default();
        let (head, body) = connection.call(request, MAX_RESPONSE_BYTES).await.ok()?;
        (head.status == StatusCode::OK).then_some(body)
    };
    timeout(CONFIG_TIMEOUT, fetch).await.ok().flatten()
}

/// Serves a poll of another host, which names the revision that it has.
pub async fn handle_poll(gateway: &SharedGateway, query: &str) -> Response<ResponseBody> {
    let after = parse_revision(query).unwrap_or_default();
    let requested_at = gateway.now();
    let deadline = tokio::time::sleep(POLL_WAIT);
    tokio::pin!(deadline);
    loop {
        let store_changed = gateway.store_changed.notified();
        let can_respond = gateway.with_state(|state| {
            let revision = state.mirror.revision();
            let is_behind = revision.era < after.era;
            let is_away = state.store_recovered_at == Some(STORE_UNREACHABLE);
            revision > after || is_behind || is_away
        });
        if can_respond {
            break;
        }
        tokio::select! {
            () = store_changed => {}
            () = &mut deadline => break,
        }
    }
    let now = gateway.now();
    let message = gateway.with_state(|state| {
        let is_behind = state.mirror.revision().era < after.era;
        if is_behind || state.store_recovered_at == Some(STORE_UNREACHABLE) {
            return None;
        }
        let age = state
            .config
            .contact_age(now)
            .filter(|age| *age < READER_STALE_AFTER)?;
        let (is_snapshot, changes) = state.mirror.changes_since(after);
        let recovered_at = state.store_recovered_at;
        Some(FeedMessage {
            age_ms: millis(age) + 1,
            since_recovery_ms: recovered_at.and_then(|at| now.checked_sub(at)).map(millis),
            // A host that read from the store itself may be ahead of its reader.
            revision: state.mirror.revision().max(after),
            is_snapshot,
            held_ms: millis(now.saturating_sub(requested_at)),
            changes,
        })
    });
    let bytes = message.and_then(|message| {
        bincode::serde::encode_to_vec(&message, bincode::config::standard()).ok()
    });
    match bytes {
        Some(bytes) => local_response(StatusCode::OK, "application/octet-stream", bytes),
        None => local_response(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new()),
    }
}

/// Why a poll brought no changes.
#[derive(Debug)]
pub enum FeedError {
    /// The reader itself has not reached the store lately.
    Stale,
    /// The reader did not respond, or its response could not be decoded.
    NoResponse(String),
    /// The reader sent a delta from a version that this host does not have.
    UnknownBase,
}

impl FeedError {
    /// What the error means for the choice of readers.
    pub fn failure(&self) -> ReaderFailure {
        match self {
            Self::Stale => ReaderFailure::Stale,
            Self::NoResponse(_) | Self::UnknownBase => ReaderFailure::Unresponsive,
        }
    }
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale => f.write_str("the reader has not reached the store lately"),
            Self::NoResponse(cause) => f.write_str(cause),
            Self::UnknownBase => {
                f.write_str("the reader sent a delta from a version that this host lacks")
            }
        }
    }
}

/// Polls readers; keeps the connection to the last one.
#[derive(Default)]
pub struct FeedClient {
    connection: Option<(SocketAddr, HttpConnection)>,
}

impl FeedClient {
    /// Polls a reader for the changes after the revision of this host's mirror.
    pub async fn poll(
        &mut self,
        gateway: &Gateway,
        reader: SocketAddr,
        after: StoreRevision,
    ) -> Result<FeedResponse, FeedError> {
        let no_response = |error: &dyn fmt::Display| FeedError::NoResponse(error.to_string());
        let timed_out = |_| FeedError::NoResponse("the reader did not respond in time".to_owned());
        let idle_connection = self
            .connection
            .take()
            .filter(|(address, connection)| *address == reader && connection.is_open());
        let mut connection = match idle_connection {
            Some((_, connection)) => connection,
            None => HttpConnection::open(reader)
                .await
                .map_err(|error| no_response(&error))?,
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = format!("{FEED_PATH}?after={}.{}", after.era.0, after.number)
            .parse()
            .unwrap_or_default();
        let response = timeout(POLL_WAIT + RESPONSE_TIMEOUT, connection.send(request))
            .await
            .map_err(timed_out)?
            .map_err(|error| no_response(&CallError::Send(error)))?;
        let (head, body) = response.into_parts();
        let body = timeout(
            BODY_TIMEOUT,
            Limited::new(body, MAX_RESPONSE_BYTES).collect(),
        )
        .await
        .map_err(timed_out)?
        .map_err(|error| no_response(&error))?
        .to_bytes();
        self.connection = Some((reader, connection));
        if head.status != StatusCode::OK {
            return Err(FeedError::Stale);
        }
        let config = bincode::config::standard();
        let (message, _) = bincode::serde::decode_from_slice::<FeedMessage, _>(&body, config)
            .map_err(|error| no_response(&error))?;
        let changes: Option<Vec<StoreChange>> = gateway.with_state(|state| {
            let changes = message.changes.into_iter();
            changes.map(|change| state.mirror.resolve(change)).collect()
        });
        Ok(FeedResponse {
            changes: changes.ok_or(FeedError::UnknownBase)?,
            revision: message.revision,
            is_snapshot: message.is_snapshot,
            age: Duration::from_millis(message.age_ms),
            held: Duration::from_millis(message.held_ms),
            since_recovery: message.since_recovery_ms.map(Duration::from_millis),
            next_poll_delay: poll_delay(body.len()),
        })
    }
}
