//! Small requests to one address over a kept connection.

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

/// The longest wait for an answer.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Longest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 4 << 20;

/// A whole answer.
pub struct WholeAnswer {
    /// The status.
    pub status: StatusCode,
    /// The body.
    pub body: Bytes,
}

/// A client of one address. Only for requests that may be repeated.
pub struct TargetClient {
    address: SocketAddr,
    sender: Option<SendRequest<Full<Bytes>>>,
}

impl TargetClient {
    /// A client without a connection.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            sender: None,
        }
    }

    /// Fetches a path. A kept connection that breaks is replaced once; one that is silent is not
    /// used again.
    ///
    /// # Errors
    /// See [`SendError`].
    pub async fn get(&mut self, path: &str) -> Result<WholeAnswer, SendError> {
        if let Some(sender) = self.sender.take()
            && !sender.is_closed()
        {
            match self.exchange(sender, path).await {
                Err(SendError::Broken) => {}
                result => return result,
            }
        }
        let sender = self.open().await?;
        self.exchange(sender, path).await
    }

    async fn open(&self) -> Result<SendRequest<Full<Bytes>>, SendError> {
        let stream = connect(self.address).await?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) =
            handshake.map_err(|_| SendError::NotConnected { refused: false })?;
        // Ends when the sender is dropped or the connection breaks.
        tokio::spawn(connection);
        Ok(sender)
    }

    async fn exchange(
        &mut self,
        mut sender: SendRequest<Full<Bytes>>,
        path: &str,
    ) -> Result<WholeAnswer, SendError> {
        let mut request = Request::new(Full::default());
        *request.uri_mut() = path.parse().map_err(|_| SendError::Broken)?;
        let host = HeaderValue::from_str(&self.address.to_string());
        request
            .headers_mut()
            .insert(HOST, host.map_err(|_| SendError::Broken)?);
        let exchange = async {
            let response = sender.send_request(request).await;
            let response = response.map_err(|_| SendError::Broken)?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES);
            let body = body.collect().await.map_err(|_| SendError::Broken)?;
            Ok(WholeAnswer {
                status,
                body: body.to_bytes(),
            })
        };
        let answer = timeout(TIMEOUT, exchange)
            .await
            .map_err(|_| SendError::Silent)??;
        self.sender = Some(sender);
        Ok(answer)
    }
}
