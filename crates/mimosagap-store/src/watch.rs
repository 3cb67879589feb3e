//! Watches: streams of changes to all keys with a prefix, received as JSON lines. A watch that
//! breaks loses changes, so its user reads all records again before starting the next one.

use std::fmt;
use std::io::{self, BufRead, BufReader, Read};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::error::CallError;
use crate::keys::prefix_end;
use crate::kv::KeyValue;
use crate::wire::{Base64, Int64, ResponseHeader, WireKeyValue};

/// Time without a byte after which a watch is considered broken: the store reports progress more
/// often than that.
const DEFAULT_READ_TIMEOUT: Duration = Duration::from_secs(3);
const MAX_LINE_BYTES: u64 = 16 << 20;

/// Options of [`StoreClient::watch`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchOptions {
    prefix: String,
    start_revision: u64,
    read_timeout: Duration,
}

impl WatchOptions {
    /// Watches all keys that start with `prefix`, beginning with the changes of store revision
    /// `start_revision`.
    #[must_use]
    pub fn new(prefix: &str, start_revision: u64) -> Self {
        Self {
            prefix: prefix.to_owned(),
            start_revision,
            read_timeout: DEFAULT_READ_TIMEOUT,
        }
    }

    /// Sets the time without a byte after which the watch ends as silent; 3 s by default.
    #[must_use]
    pub fn with_read_timeout(mut self, read_timeout: Duration) -> Self {
        self.read_timeout = read_timeout;
        self
    }
}

/// Change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The record was written.
    Put(KeyValue),
    /// The record was deleted, or its lease expired.
    Delete {
        /// Key of the record.
        key: String,
    },
}

/// Content of one line of the stream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// Store revision after the changes.
    pub revision: u64,
    /// Changes in the order of the store; empty if the line only reports progress.
    pub changes: Vec<Change>,
}

/// Reason why a watch ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchError {
    /// The watch could not be started.
    Call(CallError),
    /// No byte arrived within the read timeout.
    Silent,
    /// The connection broke or the store closed it.
    Broken,
    /// The store cancelled the watch, for example because it has compacted
    /// the start revision.
    Cancelled,
    /// A line is malformed.
    Malformed,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => error.fmt(f),
            Self::Silent => f.write_str(
                "the watch received nothing in time; read the records again and start a new watch",
            ),
            Self::Broken => f.write_str(
                "the connection of the watch broke; read the records again and start a new watch",
            ),
            Self::Cancelled => f.write_str(
                "the store cancelled the watch; read the records again and start a new watch",
            ),
            Self::Malformed => f.write_str(
                "the watch received a malformed line; check that store.address is the address of \
                 a store",
            ),
        }
    }
}

impl std::error::Error for WatchError {}

/// Connection over which the store sends the changes of the watched keys.
pub struct Watch {
    client: StoreClient,
    reader: BufReader<ureq::BodyReader<'static>>,
    line: Vec<u8>,
}

impl fmt::Debug for Watch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Watch").finish_non_exhaustive()
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct WatchRequest {
    create_request: CreateRequest,
}

#[derive(Debug)]
#[derive(Serialize)]
struct CreateRequest {
    key: Base64,
    range_end: Base64,
    start_revision: Int64,
    progress_notify: bool,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WatchLine {
    result: WatchResult,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WatchResult {
    #[serde(default)]
    header: ResponseHeader,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    events: Vec<WatchEvent>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WatchEvent {
    #[serde(rename = "type", default)]
    kind: EventKind,
    kv: WireKeyValue,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
#[serde(rename_all = "UPPERCASE")]
enum EventKind {
    #[default]
    Put,
    Delete,
}

impl From<WatchEvent> for Change {
    fn from(event: WatchEvent) -> Self {
        let record = KeyValue::from(event.kv);
        match event.kind {
            EventKind::Put => Self::Put(record),
            EventKind::Delete => Self::Delete { key: record.key },
        }
    }
}

impl StoreClient {
    /// Starts a watch.
    ///
    /// # Errors
    /// [`WatchError::Call`].
    pub fn watch(&self, options: &WatchOptions) -> Result<Watch, WatchError> {
        let request = WatchRequest {
            create_request: CreateRequest {
                key: options.prefix.as_str().into(),
                range_end: prefix_end(&options.prefix).as_str().into(),
                start_revision: Int64(options.start_revision),
                progress_notify: true,
            },
        };
        let reader = self
            .open_stream(&request, options.read_timeout)
            .map_err(WatchError::Call)?;
        Ok(Watch {
            client: self.clone(),
            reader,
            line: Vec::new(),
        })
    }
}

impl Watch {
    /// Blocks until the next line arrives.
    ///
    /// # Errors
    /// See [`WatchError`]; the watch cannot be used after an error.
    pub fn next_batch(&mut self) -> Result<WatchBatch, WatchError> {
        self.line.clear();
        let mut reader = Read::take(&mut self.reader, MAX_LINE_BYTES);
        reader
            .read_until(b'\n', &mut self.line)
            .map_err(|error| classify_read_error(&error))?;
        if self.line.last() != Some(&b'\n') {
            return Err(WatchError::Broken);
        }
        let line: WatchLine =
            serde_json::from_slice(&self.line).map_err(|_| WatchError::Malformed)?;
        if line.result.canceled {
            return Err(WatchError::Cancelled);
        }
        self.client.record_response();
        self.client.count_received_bytes(self.line.len());
        Ok(WatchBatch {
            revision: line.result.header.revision.0,
            changes: line.result.events.into_iter().map(Change::from).collect(),
        })
    }
}

/// Classifies a read error. `ureq` reports its own timeout as the inner error of an I/O error.
fn classify_read_error(error: &io::Error) -> WatchError {
    let source = error.get_ref().and_then(|source| source.downcast_ref());
    match (error.kind(), source) {
        (_, Some(ureq::Error::Timeout(_))) | (io::ErrorKind::TimedOut, _) => WatchError::Silent,
        _ => WatchError::Broken,
    }
}
