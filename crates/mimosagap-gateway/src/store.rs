//! The client of the platform's store.

use std::cell::RefCell;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::{self, HeaderValue};
use http_body_util::Full;
use mimosagap_platform::DecodeError;
use mimosagap_platform::store::{StoreCall, StoreStatusError, check_status};
use prometheus::IntCounterVec;
use tokio::time::timeout;

use crate::connection::{CallError, HttpConnection, SendError};

/// Longest answer in bytes: a page holds at most about a megabyte of items.
const MAX_ANSWER: usize = 8 << 20;

/// A call without an answer for this long is given up; the store answers in milliseconds, and in
/// about half a second when it is slow.
const CALL_TIMEOUT: Duration = Duration::from_millis(1300);

/// Why a call to the store failed.
#[derive(Debug)]
pub enum StoreError {
    /// No connection, or it broke; the call may have been executed.
    Link(String),
    /// No answer in time; the call may be executed later.
    Silent,
    /// The store said no.
    Refused(StoreStatusError),
    /// The answer could not be read.
    Decode(DecodeError),
}

impl StoreError {
    /// A fixed name for logs and metrics.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Link(_) => "link",
            Self::Silent => "silent",
            Self::Refused(StoreStatusError::HistoryGone) => "history_gone",
            Self::Refused(StoreStatusError::NotFound) => "not_found",
            Self::Refused(StoreStatusError::TooMany) => "too_many",
            Self::Refused(StoreStatusError::Unavailable) => "unavailable",
            Self::Refused(StoreStatusError::Other(_)) => "other_status",
            Self::Decode(_) => "unreadable",
        }
    }
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Link(cause) => write!(f, "the store cannot be reached: {cause}"),
            Self::Silent => write!(f, "the store did not answer in time"),
            Self::Refused(refusal) => write!(f, "the store refused: {refusal:?}"),
            Self::Decode(error) => error.fmt(f),
        }
    }
}

/// One connection to the store. Calls of one client are made one after the other.
pub struct StoreClient {
    address: SocketAddr,
    link: RefCell<Option<HttpConnection>>,
    /// Calls by kind and result.
    calls: IntCounterVec,
}

impl StoreClient {
    /// A client which connects with its first call.
    pub fn new(address: SocketAddr, calls: IntCounterVec) -> Self {
        Self {
            address,
            link: RefCell::new(None),
            calls,
        }
    }

    /// Makes a call. Nothing that failed leaves a connection behind, because a connection on which
    /// an answer was lost brings nothing more.
    pub async fn call(&self, call: &StoreCall) -> Result<Bytes, StoreError> {
        let wait = match call {
            StoreCall::Watch { wait, .. } => CALL_TIMEOUT + *wait,
            _ => CALL_TIMEOUT,
        };
        let result = timeout(wait, self.try_call(call))
            .await
            .unwrap_or(Err(StoreError::Silent));
        let label = result.as_ref().map_or_else(StoreError::name, |_| "ok");
        self.calls.with_label_values(&[call.name(), label]).inc();
        result
    }

    async fn try_call(&self, call: &StoreCall) -> Result<Bytes, StoreError> {
        let kept = self
            .link
            .borrow_mut()
            .take()
            .filter(HttpConnection::is_open);
        let mut link = match kept {
            Some(link) => link,
            None => self.open().await?,
        };
        let answer = match link.call(self.message(call), MAX_ANSWER).await {
            Err(CallError::Send(SendError::NotSent)) => {
                link = self.open().await?;
                link.call(self.message(call), MAX_ANSWER).await
            }
            other => other,
        };
        let (head, body) = answer.map_err(|error| StoreError::Link(error.to_string()))?;
        self.link.replace(Some(link));
        check_status(head.status).map_err(StoreError::Refused)?;
        Ok(body)
    }

    async fn open(&self) -> Result<HttpConnection, StoreError> {
        HttpConnection::open(self.address)
            .await
            .map_err(|error| StoreError::Link(error.to_string()))
    }

    fn message(&self, call: &StoreCall) -> Request<Full<Bytes>> {
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
