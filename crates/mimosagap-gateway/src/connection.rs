//! HTTP/1 client connection to a target, another host or the store.

use std::fmt;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::response::Parts;
use http::{Request, Response};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;
use tokio::task::JoinHandle;
use tokio::time::timeout;

use crate::head_limit::{HeadLimitedStream, HeadLimiter};

/// Limit on opening a connection: the longest round trip of 60 ms with two lost packets.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(700);

/// A connection is closed when its data is not acknowledged for this long, which detects a peer
/// that lost power.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(2500);

/// Idle time before the first keepalive probe, and interval between probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered keepalive probes after which a connection is closed.
const KEEPALIVE_PROBES: u32 = 2;

/// Read buffer of a connection; bounds the memory of a stream.
const READ_BUFFER_BYTES: usize = 16 << 10;

/// A connection that carries one request at a time. Dropping it closes the socket at once.
#[derive(Debug)]
pub struct HttpConnection {
    sender: SendRequest<Full<Bytes>>,
    driver_task: JoinHandle<()>,
    limiter: Rc<HeadLimiter>,
    /// Requests sent on this connection so far.
    pub request_count: u32,
}

/// Why a request got no response head.
#[derive(Debug)]
pub enum SendError {
    /// The connection was closed before any of the request was sent.
    NotSent,
    /// The connection failed after some of the request may have been sent.
    ConnectionFailed(hyper::Error),
    /// The response head exceeds the limit on its size or its time.
    LimitExceeded,
}

/// Why a call got no complete response.
#[derive(Debug)]
pub enum CallError {
    /// No response head was received.
    Send(SendError),
    /// The body ended early or is too long.
    Body(String),
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Send(SendError::NotSent) => {
                f.write_str("connection closed before the request was sent")
            }
            Self::Send(SendError::ConnectionFailed(error)) => error.fmt(f),
            Self::Send(SendError::LimitExceeded) => {
                f.write_str("response head exceeds the limit on its size or time")
            }
            Self::Body(cause) => f.write_str(cause),
        }
    }
}

impl HttpConnection {
    /// Opens a connection and starts the task that drives it.
    ///
    /// # Errors
    /// If the peer does not accept it within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
        let stream = connect
            .await
            .map_err(|_| std::io::Error::from(std::io::ErrorKind::TimedOut))??;
        set_socket_options(&stream)?;
        let limiter = Rc::new(HeadLimiter::default());
        let stream = HeadLimitedStream::new(stream, Rc::clone(&limiter));
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(READ_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(std::io::Error::other)?;
        let driver_task = tokio::task::spawn_local(async move {
            // The pending request gets the same error.
            let _ = connection.await;
        });
        Ok(Self {
            sender,
            driver_task,
            limiter,
            request_count: 0,
        })
    }

    /// Sends a request and waits for the response head.
    ///
    /// # Errors
    /// If no whole head is received. Only [`SendError::NotSent`] means that the peer has none of the
    /// request.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, SendError> {
        if self.sender.ready().await.is_err() {
            return Err(SendError::NotSent);
        }
        self.request_count += 1;
        self.limiter.start();
        let response = self.sender.try_send_request(request);
        let result = tokio::select! {
            biased;
            result = response => result,
            () = self.limiter.exceeded() => return Err(SendError::LimitExceeded),
        };
        self.limiter.stop();
        result.map_err(|mut error| {
            if error.take_message().is_some() {
                return SendError::NotSent;
            }
            let error = error.into_error();
            if error.is_parse_too_large() {
                SendError::LimitExceeded
            } else {
                SendError::ConnectionFailed(error)
            }
        })
    }

    /// Sends a request and reads the whole response, with a body of up to `max_bytes`.
    ///
    /// # Errors
    /// If no whole response is received, or its body is longer.
    pub async fn call(
        &mut self,
        request: Request<Full<Bytes>>,
        max_bytes: usize,
    ) -> Result<(Parts, Bytes), CallError> {
        let (head, body) = self
            .send(request)
            .await
            .map_err(CallError::Send)?
            .into_parts();
        let body = Limited::new(body, max_bytes)
            .collect()
            .await
            .map_err(|error| CallError::Body(error.to_string()))?;
        Ok((head, body.to_bytes()))
    }

    /// Whether the connection can carry another request.
    #[must_use]
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed() && !self.driver_task.is_finished()
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver_task.abort();
    }
}

/// Disables Nagle's algorithm and sets the timeouts that detect an unresponsive peer.
///
/// # Errors
/// If the connection is closed already.
pub fn set_socket_options(stream: &TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    socket.set_tcp_keepalive(
        &TcpKeepalive::new()
            .with_time(KEEPALIVE_INTERVAL)
            .with_interval(KEEPALIVE_INTERVAL)
            .with_retries(KEEPALIVE_PROBES),
    )
}
