//! Changes of the store as one host hands them to the others of its region.

use std::collections::{BTreeMap, HashSet, VecDeque};
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use mimosagap_platform::store::{StoreChange, StoreChanges};
use mimosagap_routing::readers::{MAX_AGE, ReaderFailure};
use serde::{Deserialize, Serialize};
use tokio::time::timeout;

use crate::answer::{AnswerBody, plain};
use crate::link::HttpLink;
use crate::state::{STORE_AWAY, SharedGateway, millis};

/// The path of the call between hosts.
pub const PATH: &str = "/changes";

/// Changes that are kept for hosts which ask for those after a revision.
const KEPT_CHANGES: usize = 2000;

/// A question waits this long for a change.
const WAIT: Duration = Duration::from_millis(500);

/// A reader that does not answer this long after its wait is not asked again for a while. It is in
/// the same region, so an answer takes milliseconds.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Bytes a second that one host takes from its reader while configurations follow each other
/// quickly: a twelfth of the link of a host with 10 Mbit/s.
const BYTES_PER_SECOND: f64 = 100_000.0;

/// Longest answer in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// The store's keys as this host knows them.
#[derive(Debug, Default)]
pub struct StoreMirror {
    items: BTreeMap<String, (u64, Vec<u8>)>,
    recent: VecDeque<StoreChange>,
    floor: u64,
    revision: u64,
}

impl StoreMirror {
    /// Takes changes up to a revision.
    pub fn apply(&mut self, changes: &[StoreChange], revision: u64) {
        for change in changes {
            match &change.value {
                Some(value) => {
                    let item = (change.revision, value.clone());
                    self.items.insert(change.key.clone(), item);
                }
                None => {
                    self.items.remove(&change.key);
                }
            }
            self.recent.push_back(change.clone());
        }
        while self.recent.len() > KEPT_CHANGES {
            if let Some(oldest) = self.recent.pop_front() {
                self.floor = oldest.revision;
            }
        }
        self.revision = self.revision.max(revision);
    }

    /// Starts anew from everything that the store lists.
    pub fn reset(&mut self, items: &[StoreChange], revision: u64) {
        *self = Self {
            floor: revision,
            ..Self::default()
        };
        self.apply(items, revision);
        self.recent.clear();
    }

    /// The last revision.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    fn after(&self, revision: u64) -> (bool, Vec<StoreChange>) {
        let is_whole = revision < self.floor;
        let changes = if is_whole {
            self.items
                .iter()
                .map(|(key, (revision, value))| StoreChange {
                    key: key.clone(),
                    revision: *revision,
                    value: Some(value.clone()),
                })
                .collect()
        } else {
            // Of a key that changed several times only the newest value counts.
            let mut seen = HashSet::new();
            let mut changes: Vec<StoreChange> = self
                .recent
                .iter()
                .rev()
                .take_while(|change| change.revision > revision)
                .filter(|change| seen.insert(&change.key))
                .cloned()
                .collect();
            changes.reverse();
            changes
        };
        (is_whole, changes)
    }
}

#[derive(Debug)]
#[derive(Serialize, Deserialize)]
struct FeedMessage {
    /// Time since the store was asked, in milliseconds.
    age_ms: u64,
    /// Time since the store was back after an outage that the reader saw, in milliseconds.
    returned_ms: Option<u64>,
    revision: u64,
    is_whole: bool,
    /// Key, revision and value.
    changes: Vec<(String, u64, Option<Vec<u8>>)>,
}

/// What a reader answered.
pub struct FeedAnswer {
    /// The changes.
    pub changes: StoreChanges,
    /// Whether they are all items rather than what changed.
    pub is_whole: bool,
    /// Time from the reader's question to the store until its answer here.
    pub age: Duration,
    /// Time since the store was back after an outage.
    pub returned: Option<Duration>,
    /// Time until the next question, by the length of this answer.
    pub pause: Duration,
}

/// Answers another host.
pub async fn answer(gateway: &SharedGateway, query: &str) -> Response<AnswerBody> {
    let after = query
        .strip_prefix("after=")
        .and_then(|value| value.parse().ok())
        .unwrap_or(0);
    let deadline = tokio::time::sleep(WAIT);
    tokio::pin!(deadline);
    loop {
        let news = gateway.news.notified();
        let has_answer = gateway.with(|beliefs| {
            beliefs.mirror.revision() > after || beliefs.store_returned_at == Some(STORE_AWAY)
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
    let message = gateway.with(|beliefs| {
        if beliefs.store_returned_at == Some(STORE_AWAY) {
            return None;
        }
        let age = beliefs.config.silence(now).filter(|age| *age < MAX_AGE)?;
        let (is_whole, changes) = beliefs.mirror.after(after);
        let returned = beliefs.store_returned_at;
        Some(FeedMessage {
            age_ms: millis(age) + 1,
            returned_ms: returned.and_then(|at| now.checked_sub(at)).map(millis),
            // A host that asked the store itself may know more than its reader.
            revision: beliefs.mirror.revision().max(after),
            is_whole,
            changes: changes
                .into_iter()
                .map(|change| (change.key, change.revision, change.value))
                .collect(),
        })
    });
    let bytes = message.and_then(|message| {
        bincode::serde::encode_to_vec(&message, bincode::config::standard()).ok()
    });
    match bytes {
        Some(bytes) => plain(StatusCode::OK, "application/octet-stream", bytes),
        None => plain(StatusCode::SERVICE_UNAVAILABLE, "text/plain", Vec::new()),
    }
}

/// Why a reader brought no changes.
#[derive(Debug)]
pub enum FeedError {
    /// It has not heard of the store lately.
    Stale,
    /// It did not answer, or not in a form that can be read.
    Silent(String),
}

impl FeedError {
    /// What it means for the choice of readers.
    pub fn failure(&self) -> ReaderFailure {
        match self {
            Self::Stale => ReaderFailure::Stale,
            Self::Silent(_) => ReaderFailure::Silent,
        }
    }
}

impl fmt::Display for FeedError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Stale => f.write_str("the reader has no fresh changes"),
            Self::Silent(cause) => f.write_str(cause),
        }
    }
}

/// Asks readers, keeping the connection to the last one.
#[derive(Default)]
pub struct FeedClient {
    link: Option<(SocketAddr, HttpLink)>,
}

impl FeedClient {
    /// Asks a reader for what follows a revision.
    pub async fn ask(&mut self, reader: SocketAddr, after: u64) -> Result<FeedAnswer, FeedError> {
        timeout(WAIT + ANSWER_TIMEOUT, self.try_ask(reader, after))
            .await
            .map_err(|_| FeedError::Silent("no answer in time".to_owned()))?
    }

    async fn try_ask(&mut self, reader: SocketAddr, after: u64) -> Result<FeedAnswer, FeedError> {
        let silent = |error: &dyn fmt::Display| FeedError::Silent(error.to_string());
        let kept = self
            .link
            .take()
            .filter(|(address, link)| *address == reader && link.is_open());
        let mut link = match kept {
            Some((_, link)) => link,
            None => HttpLink::open(reader)
                .await
                .map_err(|error| silent(&error))?,
        };
        let mut request = Request::new(Full::new(Bytes::new()));
        *request.uri_mut() = format!("{PATH}?after={after}").parse().unwrap_or_default();
        let (head, body) = link
            .call(request, MAX_ANSWER)
            .await
            .map_err(|error| silent(&error))?;
        self.link = Some((reader, link));
        if head.status != StatusCode::OK {
            return Err(FeedError::Stale);
        }
        let length = f64::from(u32::try_from(body.len()).unwrap_or(u32::MAX));
        let config = bincode::config::standard();
        let (message, _) = bincode::serde::decode_from_slice::<FeedMessage, _>(&body, config)
            .map_err(|error| silent(&error))?;
        Ok(FeedAnswer {
            changes: StoreChanges {
                changes: message
                    .changes
                    .into_iter()
                    .map(|(key, revision, value)| StoreChange {
                        key,
                        revision,
                        value,
                    })
                    .collect(),
                revision: message.revision,
                has_more: false,
            },
            is_whole: message.is_whole,
            age: Duration::from_millis(message.age_ms),
            returned: message.returned_ms.map(Duration::from_millis),
            pause: Duration::from_secs_f64(length / BYTES_PER_SECOND),
        })
    }
}
