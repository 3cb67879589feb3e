//! Change feed between hosts: a host that follows the store serves its changes to the others of its
//! region.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use mimosagap_platform::store::StoreChange;
use mimosagap_routing::change_source::{READER_STALE_AFTER, ReaderFailure, poll_delay};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::connection::{CallError, HttpConnection};
use crate::mirror::KeyChange;
use crate::response::{ResponseBody, local_response};
use crate::state::{Gateway, STORE_UNREACHABLE, SharedGateway, millis};

/// Path of the feed on the port for other hosts.
pub const FEED_PATH: &str = "/changes";

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
    revision: u64,
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
    pub revision: u64,
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

/// Serves a poll of another host, which names the revision that it has.
pub async fn handle_poll(gateway: &SharedGateway, query: &str) -> Response<ResponseBody> {
    let after = query
        .strip_prefix("after=")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let requested_at = gateway.now();
    let deadline = tokio::time::sleep(POLL_WAIT);
    tokio::pin!(deadline);
    loop {
        let store_changed = gateway.store_changed.notified();
        let can_respond = gateway.with_state(|state| {
            state.mirror.revision() > after || state.store_recovered_at == Some(STORE_UNREACHABLE)
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
        if state.store_recovered_at == Some(STORE_UNREACHABLE) {
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
        after: u64,
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
        *request.uri_mut() = format!("{FEED_PATH}?after={after}")
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
