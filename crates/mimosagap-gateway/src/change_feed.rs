//! Changes of the store as one host hands them to the others of its region.

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

/// The path of the call between hosts.
pub const PATH: &str = "/changes";

/// A question waits this long for a change.
const WAIT: Duration = Duration::from_millis(500);

/// A reader that does not answer this long after its wait is not asked again for a while. It is in
/// the same region, so an answer takes milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// A long answer may take this long on a busy link once its beginning is there.
const BODY_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest answer in bytes.
const MAX_ANSWER: usize = 16 << 20;

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct FeedMessage {
    /// Time since the store was asked, in milliseconds.
    age_ms: u64,
    /// Time since the store was back after an outage that the reader saw, in milliseconds.
    returned_ms: Option<u64>,
    revision: u64,
    is_whole: bool,
    /// Time from the question until this answer, in milliseconds.
    held_ms: u64,
    changes: Vec<KeyChange>,
}

/// What a reader answered.
pub struct FeedAnswer {
    /// The changes.
    pub changes: Vec<StoreChange>,
    /// Up to which revision of the store.
    pub revision: u64,
    /// Whether they are all items rather than what changed.
    pub is_whole: bool,
    /// Time from the reader's question to the store until its answer here.
    pub age: Duration,
    /// How long the reader waited for a change before it answered.
    pub held: Duration,
    /// Time since the store was back after an outage.
    pub returned: Option<Duration>,
    /// Time until the next question, by the length of this answer.
    pub pause: Duration,
}

/// Answers another host.
pub async fn answer(gateway: &SharedGateway, query: &str) -> Response<ResponseBody> {
    let after = query
        .strip_prefix("after=")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let asked_at = gateway.now();
    let deadline = tokio::time::sleep(WAIT);
    tokio::pin!(deadline);
    loop {
        let news = gateway.store_changed.notified();
        let has_answer = gateway.with_state(|state| {
            state.mirror.revision() > after || state.store_recovered_at == Some(STORE_UNREACHABLE)
        });
        if has_answer {
            break;
        }
        tokio::select! {
            () = news => {}
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
        let (is_whole, changes) = state.mirror.after(after);
        let returned = state.store_recovered_at;
        Some(FeedMessage {
            age_ms: millis(age) + 1,
            returned_ms: returned.and_then(|at| now.checked_sub(at)).map(millis),
            // A host that asked the store itself may know more than its reader.
            revision: state.mirror.revision().max(after),
            is_whole,
            held_ms: millis(now.saturating_sub(asked_at)),
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

/// Why a reader brought no changes.
#[derive(Debug)]
pub enum FeedError {
    /// It has not heard of the store lately.
    Stale,
    /// It did not answer, or not in a form that can be read.
    Silent(String),
    /// It answered with differences from a version that this host does not have.
    Unknown,
}

impl FeedError {
    /// What it means for the choice of readers.
    pub fn failure(&self) -> ReaderFailure {
        match self {
            Self::Stale => ReaderFailure::Stale,
            Self::Silent(_) | Self::Unknown => ReaderFailure::Unresponsive,
        }
    }
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale => f.write_str("the reader has no fresh changes"),
            Self::Silent(cause) => f.write_str(cause),
            Self::Unknown => f.write_str("differences from a version that is not known here"),
        }
    }
}

/// Asks readers, keeping the connection to the last one.
#[derive(Default)]
pub struct FeedClient {
    link: Option<(SocketAddr, HttpConnection)>,
}

impl FeedClient {
    /// Asks a reader for what follows a revision, of which this host has the mirror.
    pub async fn ask(
        &mut self,
        gateway: &Gateway,
        reader: SocketAddr,
        after: u64,
    ) -> Result<FeedAnswer, FeedError> {
        let silent = |error: &dyn fmt::Display| FeedError::Silent(error.to_string());
        let late = |_| FeedError::Silent("no answer in time".to_owned());
        let kept = self
            .link
            .take()
            .filter(|(address, link)| *address == reader && link.is_open());
        let mut link = match kept {
            Some((_, link)) => link,
            None => HttpConnection::open(reader)
                .await
                .map_err(|error| silent(&error))?,
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = format!("{PATH}?after={after}").parse().unwrap_or_default();
        let response = timeout(WAIT + ANSWER_TIMEOUT, link.send(request))
            .await
            .map_err(late)?
            .map_err(|error| silent(&CallError::Send(error)))?;
        let (head, body) = response.into_parts();
        let body = timeout(BODY_TIMEOUT, Limited::new(body, MAX_ANSWER).collect())
            .await
            .map_err(late)?
            .map_err(|error| silent(&error))?
            .to_bytes();
        self.link = Some((reader, link));
        if head.status != StatusCode::OK {
            return Err(FeedError::Stale);
        }
        let config = bincode::config::standard();
        let (message, _) = bincode::serde::decode_from_slice::<FeedMessage, _>(&body, config)
            .map_err(|error| silent(&error))?;
        let changes: Option<Vec<StoreChange>> = gateway.with_state(|state| {
            let changes = message.changes.into_iter();
            changes.map(|change| state.mirror.resolve(change)).collect()
        });
        Ok(FeedAnswer {
            changes: changes.ok_or(FeedError::Unknown)?,
            revision: message.revision,
            is_whole: message.is_whole,
            age: Duration::from_millis(message.age_ms),
            held: Duration::from_millis(message.held_ms),
            returned: message.returned_ms.map(Duration::from_millis),
            pause: poll_delay(body.len()),
        })
    }
}
