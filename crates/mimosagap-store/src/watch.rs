//! A watch: a stream of JSON lines.

use std::fmt;
use std::io::{self, BufRead, BufReader, Read};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::error::CallError;
use crate::keys::prefix_end;
use crate::kv::KeyValue;
use crate::wire::{Base64, Header, Int64, WireKeyValue};

/// A watch on which no byte arrives for longer is broken: the store reports its progress more
/// often than that.
const SILENCE: Duration = Duration::from_secs(3);
const MAX_LINE_BYTES: u64 = 16 << 20;

/// What to watch.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchOptions {
    prefix: String,
    start_revision: u64,
    silence: Duration,
}

impl WatchOptions {
    /// Watches all keys that start with `prefix`, from the change with `start_revision` on.
    #[must_use]
    pub fn new(prefix: &str, start_revision: u64) -> Self {
        Self {
            prefix: prefix.to_owned(),
            start_revision,
            silence: SILENCE,
        }
    }

    /// Sets the time without a byte after which the watch is broken.
    #[must_use]
    pub fn with_silence(mut self, silence: Duration) -> Self {
        self.silence = silence;
        self
    }
}

/// A change of one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// The record was written.
    Put(KeyValue),
    /// The record was deleted, or its lease lapsed.
    Delete {
        /// Its key.
        key: String,
    },
}

/// What one line of the stream tells.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct WatchBatch {
    /// The store's revision.
    pub revision: u64,
    /// The changes; none if the line only shows that the watch is alive.
    pub changes: Vec<Change>,
}

/// Why a watch ended. A new one starts with a fresh read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WatchError {
    /// It could not be started.
    Call(CallError),
    /// No byte arrived for 3 s.
    Silent,
    /// The connection broke or the store closed it.
    Broken,
    /// The store cancelled the watch, for example because it no longer keeps the start revision.
    Cancelled,
    /// A line was malformed.
    Malformed,
}

impl fmt::Display for WatchError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => error.fmt(f),
            Self::Silent => f.write_str("the watch is silent; read the records again"),
            Self::Broken => f.write_str("the watch broke; read the records again"),
            Self::Cancelled => f.write_str("the store ended the watch; read the records again"),
            Self::Malformed => {
                f.write_str("the watch sent a malformed line; check that store.address is a store")
            }
        }
    }
}

impl std::error::Error for WatchError {}

/// An open watch.
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
    header: Header,
    #[serde(default)]
    canceled: bool,
    #[serde(default)]
    events: Vec<WireEvent>,
}

#[derive(Debug)]
#[derive(Deserialize)]
struct WireEvent {
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

impl From<WireEvent> for Change {
    fn from(event: WireEvent) -> Self {
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
            .stream(&request, options.silence)
            .map_err(WatchError::Call)?;
        Ok(Watch {
            client: self.clone(),
            reader,
            line: Vec::new(),
        })
    }
}

impl Watch {
    /// Waits for the next line.
    ///
    /// # Errors
    /// See [`WatchError`]; the watch is of no more use.
    pub fn next_batch(&mut self) -> Result<WatchBatch, WatchError> {
        self.line.clear();
        let mut reader = Read::take(&mut self.reader, MAX_LINE_BYTES);
        reader
            .read_until(b'\n', &mut self.line)
            .map_err(|error| read_error(&error))?;
        if self.line.last() != Some(&b'\n') {
            return Err(WatchError::Broken);
        }
        let line: WatchLine =
            serde_json::from_slice(&self.line).map_err(|_| WatchError::Malformed)?;
        if line.result.canceled {
            return Err(WatchError::Cancelled);
        }
        self.client.note_answer();
        self.client.note_received(self.line.len());
        Ok(WatchBatch {
            revision: line.result.header.revision.0,
            changes: line.result.events.into_iter().map(Change::from).collect(),
        })
    }
}

/// `ureq` wraps its own timeout in an error of the reader.
fn read_error(error: &io::Error) -> WatchError {
    let inner = error.get_ref().and_then(|inner| inner.downcast_ref());
    match (error.kind(), inner) {
        (_, Some(ureq::Error::Timeout(_))) | (io::ErrorKind::TimedOut, _) => WatchError::Silent,
        _ => WatchError::Broken,
    }
}
