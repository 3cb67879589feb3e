//! Client of the platform's store.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::{self, HeaderValue};
use http_body_util::Full;
use mimosagap_platform::DecodeError;
use mimosagap_platform::store::{StoreCall, StoreStatusError, check_status, named_era};
use mimosagap_routing::store_revision::StoreEra;
use prometheus::IntCounterVec;
use tokio::time::timeout;

use crate::connection::{CallError, HttpConnection, SendError};

/// Longest response in bytes: a page holds at most about a megabyte of items.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Time after which a call without a response is abandoned. The store responds in milliseconds, and
/// in about half a second when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1300);

/// Why a call to the store failed.
#[derive(Debug)]
pub enum StoreError {
    /// The connection could not be opened or failed; the call may have been executed.
    Connection(String),
    /// No response in time; the call may still be executed.
    Timeout,
    /// The store rejected the call.
    Rejected(StoreStatusError),
    /// The response could not be decoded.
    Decode(DecodeError),
    /// The response is one of before the store came back from a copy.
    OutdatedEra,
    /// The store came back from a copy, so the call referred to something that is void.
    NewEra,
}

impl StoreError {
    /// Fixed name of the error, for logs and metric labels.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Connection(_) => "link",
            Self::Timeout => "silent",
            Self::Rejected(StoreStatusError::HistoryGone) => "history_gone",
            Self::Rejected(StoreStatusError::NotFound) => "not_found",
            Self::Rejected(StoreStatusError::TooMany) => "too_many",
            Self::Rejected(StoreStatusError::Unavailable) => "unavailable",
            Self::Rejected(StoreStatusError::Other(_)) => "other_status",
            Self::Decode(_) => "unreadable",
            Self::OutdatedEra => "outdated_era",
            Self::NewEra => "new_era",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(cause) => write!(f, "the store cannot be reached: {cause}"),
            Self::Timeout => write!(f, "the store did not respond in time"),
            Self::Rejected(status_error) => {
                write!(f, "the store rejected the call: {status_error:?}")
            }
            Self::Decode(error) => error.fmt(f),
            Self::OutdatedEra => {
                write!(
                    f,
                    "the response is older than the store's return from a copy"
                )
            }
            Self::NewEra => write!(f, "the store came back from an older copy of its data"),
        }
    }
}

/// What a call brought: the store names its era in refusals too.
#[derive(Debug)]
pub struct StoreReply {
    /// The body, or why there is none.
    pub result: Result<Bytes, StoreError>,
    /// The era that the response names; `None` if there was no response or it names none.
    pub era: Option<StoreEra>,
    /// Why the era of the response cannot be read.
    pub era_error: Option<DecodeError>,
}

impl From<StoreError> for StoreReply {
    fn from(error: StoreError) -> Self {
        Self {
            result: Err(error),
            era: None,
            era_error: None,
        }
    }
}

/// A client that keeps one connection to the store. Its user makes one call at a time.
pub struct StoreClient {
    address: SocketAddr,
    connection: RefCell<Option<HttpConnection>>,
    /// Counts calls by kind and result.
    calls: IntCounterVec,
}

impl StoreClient {
    /// Creates a client, which connects on its first call.
    pub fn new(address: SocketAddr, calls: IntCounterVec) -> Self {
        Self {
            address,
            connection: RefCell::new(None),
            calls,
        }
    }

    /// Makes a call and counts its result. A failed call closes its connection, because nothing
    /// more arrives on a connection that lost a response.
    pub async fn call(&self, call: &StoreCall) -> StoreReply {
        let call_timeout = match call {
            StoreCall::Watch { wait, .. } => CALL_TIMEOUT + *wait,
            _ => CALL_TIMEOUT,
        };
        let reply = match timeout(call_timeout, self.try_call(call)).await {
            Ok(Ok(reply)) => reply,
            Ok(Err(error)) => error.into(),
            Err(_) => StoreError::Timeout.into(),
        };
        let label = reply
            .result
            .as_ref()
            .map_or_else(StoreError::name, |_| "ok");
        self.calls.with_label_values(&[call.name(), label]).inc();
        reply
    }

    async fn try_call(&self, call: &StoreCall) -> Result<StoreReply, StoreError> {
        let idle_connection = self
            .connection
            .borrow_mut()
            .take()
            .filter(HttpConnection::is_open);
        let mut connection = match idle_connection {
            Some(connection) => connection,
            None => self.connect().await?,
        };
        let response = match connection
            .call(self.encode_request(call), MAX_RESPONSE_BYTES)
            .await
        {
            Err(CallError::Send(SendError::NotSent)) => {
                connection = self.connect().await?;
                connection
                    .call(self.encode_request(call), MAX_RESPONSE_BYTES)
                    .await
            }
            other => other,
        };
        let (head, body) = response.map_err(|error| StoreError::Connection(error.to_string()))?;
        self.connection.replace(Some(connection));
        let result = check_status(head.status).map_err(StoreError::Rejected);
        let (era, era_error) = match named_era(&head.headers) {
            Ok(era) => (era, None),
            Err(error) => (None, Some(error)),
        };
        Ok(StoreReply {
            result: result.map(|()| body),
            era,
            era_error,
        })
    }

    async fn connect(&self) -> Result<HttpConnection, StoreError> {
        HttpConnection::open(self.address)
            .await
            .map_err(|error| StoreError::Connection(error.to_string()))
    }

    fn encode_request(&self, call: &StoreCall) -> Request<Full<Bytes>> {
        let (method, path, body) = call.encode();
        let mut request = Request::new(Full::new(Bytes::from(body)));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().unwrap_or_default();
        let headers = request.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/json"),
        );
        if let Ok(host) = HeaderValue::from_str(&self.address.to_string()) {
            headers.insert(header::HOST, host);
        }
        request
    }
}
