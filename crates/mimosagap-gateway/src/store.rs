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
use mimosagap_platform::store::{StoreCall, StoreEra, StoreStatusError, check_status, named_era};
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
        }
    }
}

/// A successful response of the store.
#[derive(Debug)]
pub struct StoreResponse {
    /// The body.
    pub body: Bytes,
    /// The era that it names; `None` if it names none.
    pub era: Option<StoreEra>,
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
    pub async fn call(&self, call: &StoreCall) -> Result<StoreResponse, StoreError> {
        let call_timeout = match call {
            StoreCall::Watch { wait, .. } => CALL_TIMEOUT + *wait,
            _ => CALL_TIMEOUT,
        };
        let result = timeout(call_timeout, self.try_call(call))
            .await
            .unwrap_or(Err(StoreError::Timeout));
        let label = result.as_ref().map_or_else(StoreError::name, |_| "ok");
        self.calls.with_label_values(&[call.name(), label]).inc();
        result
    }

    async fn try_call(&self, call: &StoreCall) -> Result<StoreResponse, StoreError> {
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
        check_status(head.status).map_err(StoreError::Rejected)?;
        let era = named_era(&head.headers).map_err(StoreError::Decode)?;
        Ok(StoreResponse { body, era })
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
