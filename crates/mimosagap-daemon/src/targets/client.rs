//! An HTTP client for small requests to one address over a kept-alive connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::time::timeout;

use crate::relay::connection::{SendError, connect};

/// Maximum time for a request and its complete response.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(1);

const MAX_RESPONSE_BYTES: usize = 4 << 20;

/// A response whose whole body was read.
pub struct FetchedResponse {
    /// HTTP status of any class; the user of the client checks for success.
    pub status: StatusCode,
    /// The whole response body.
    pub body: Bytes,
}

/// A client of one address. Requests must be idempotent, because the client may send them twice.
pub struct TargetClient {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl TargetClient {
    /// Creates a client; it connects with the first request.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Fetches a path. If a kept-alive connection fails, the request is repeated once on a new one. A
    /// connection that timed out is not used again.
    ///
    /// # Errors
    /// See [`SendError`].
    pub async fn get(&mut self, path: &str) -> Result<FetchedResponse, SendError> {
        if let Some(sender) = self.sender.take()
            && !sender.is_closed()
        {
            match self.exchange(sender, path).await {
                Err(SendError::Failed) => {}
                result => return result,
            }
        }
        let sender = self.open_connection().await?;
        self.exchange(sender, path).await
    }

    async fn open_connection(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let stream = connect(self.address).await?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|_| SendError::NotConnected { refused: false })?;
        // The task ends when the sender is dropped or the connection closes.
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn exchange(
        &mut self,
        mut sender: SendRequest<Full<Bytes>>,
        path: &str,
    ) -> Result<FetchedResponse, SendError> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().map_err(|_| SendError::Failed)?;
        let host = HeaderValue::from_str(&self.address.to_string());
        request
            .headers_mut()
            .insert(HOST, host.map_err(|_| SendError::Failed)?);
        let exchange = async {
            let response = sender.send_request(request).await;
            let response = response.map_err(|_| SendError::Failed)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES);
            let body = body.collect().await.map_err(|_| SendError::Failed)?;
            Ok(FetchedResponse {
                status,
                body: body.to_bytes(),
            })
        };
        let response = timeout(REQUEST_TIMEOUT, exchange)
            .await
            .map_err(|_| SendError::TimedOut)??;
        self.sender = Some(sender);
        Ok(response)
    }
}
