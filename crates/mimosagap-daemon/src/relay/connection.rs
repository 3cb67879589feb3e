//! A connection to a target that serves one request.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1;
use hyper::http::response::Parts;
use hyper::{HeaderMap, Request};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::idle_timer::IdleTimer;
use super::local_waker::LocalWaker;

/// Maximum time to establish a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of a connection's read buffer, in bytes; limits the memory of each stream.
const READ_BUFFER_BYTES: usize = 32 << 10;

type Connection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Why a request got no response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The connection was not established, so no byte of the request was sent.
    NotConnected {
        /// Whether the target's host refused the connection.
        refused: bool,
    },
    /// No response within the timeout.
    TimedOut,
    /// The connection failed, or the response is malformed.
    Failed,
}

/// Why a response body ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// No byte within the idle timeout.
    TimedOut,
    /// The connection failed, or the response is malformed.
    Failed,
    /// The body exceeds the maximum size.
    TooLong,
}

/// A response whose body is still to be read.
///
/// Reading the body also drives the connection, so a stream needs no task of its own.
pub struct TargetResponse {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: Option<Connection>,
    waker: LocalWaker,
}

/// Opens a TCP connection to a target.
///
/// # Errors
/// [`SendError::NotConnected`], also after [`CONNECT_TIMEOUT`].
pub async fn connect(target: SocketAddr) -> Result<TcpStream, SendError> {
    let stream = match timeout(CONNECT_TIMEOUT, TcpStream::connect(target)).await {
        Ok(Ok(stream)) => stream,
        Ok(Err(error)) => {
            let refused = error.kind() == std::io::ErrorKind::ConnectionRefused;
            return Err(SendError::NotConnected { refused });
        }
        Err(_) => return Err(SendError::NotConnected { refused: false }),
    };
    stream
        .set_nodelay(true)
        .map_err(|_| SendError::NotConnected { refused: false })?;
    Ok(stream)
}

/// Sends a request on a new connection and waits at most `response_timeout` for the response head.
///
/// # Errors
/// See [`SendError`].
pub async fn send_request(
    target: SocketAddr,
    request: Request<Full<Bytes>>,
    response_timeout: Duration,
) -> Result<TargetResponse, SendError> {
    let stream = connect(target).await?;
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER_BYTES)
        .handshake(TokioIo::new(stream))
        .await;
    let (mut sender, connection) =
        handshake.map_err(|_| SendError::NotConnected { refused: false })?;
    let mut connection = Some(connection);
    let mut response_future = Box::pin(sender.send_request(request));
    let pending_response = poll_fn(|context| {
        if let Poll::Ready(response) = response_future.as_mut().poll(context) {
            return Poll::Ready(response);
        }
        poll_connection(&mut connection, context);
        response_future.as_mut().poll(context)
    });
    let response = timeout(response_timeout, pending_response)
        .await
        .map_err(|_| SendError::TimedOut)?
        .map_err(|_| SendError::Failed)?;
    let (head, body) = response.into_parts();
    Ok(TargetResponse {
        head,
        body,
        connection,
        waker: LocalWaker::default(),
    })
}

fn poll_connection(connection: &mut Option<Connection>, context: &mut Context<'_>) {
    if let Some(active) = connection
        && Pin::new(active).poll(context).is_ready()
    {
        *connection = None;
    }
}

impl TargetResponse {
    /// Polls for the next bytes of the body; `None` at its end.
    pub fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ReadError>>> {
        let Self {
            body,
            connection,
            waker,
            ..
        } = self;
        waker.poll(context, |context| {
            poll_connection(connection, context);
            poll_body(body, context)
        })
    }

    /// Reads the next bytes of the body unless `idle_timer` expires first; `None` at the body's end.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn next_data(
        &mut self,
        idle_timer: &mut IdleTimer,
    ) -> Result<Option<Bytes>, ReadError> {
        let data = poll_fn(|context| {
            if let Poll::Ready(data) = self.poll_data(context) {
                return Poll::Ready(data.transpose());
            }
            idle_timer
                .poll_expired(context)
                .map(|()| Err(ReadError::TimedOut))
        })
        .await?;
        idle_timer.record_activity(Instant::now());
        Ok(data)
    }

    /// Reads the whole body, of at most `max_bytes`. Fails after `idle_timeout` without a byte.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn read_body(
        mut self,
        max_bytes: usize,
        idle_timeout: Duration,
    ) -> Result<Bytes, ReadError> {
        let mut idle_timer = IdleTimer::new(idle_timeout);
        let mut body = Vec::new();
        while let Some(data) = self.next_data(&mut idle_timer).await? {
            if body.len() + data.len() > max_bytes {
                return Err(ReadError::TooLong);
            }
            body.extend_from_slice(&data);
        }
        Ok(Bytes::from(body))
    }

    /// Whether the target reports that it has not run the request and will not run it.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.head.status == hyper::StatusCode::SERVICE_UNAVAILABLE
            && header_text(&self.head.headers, "x-outcome") == Some("not_run")
    }

    /// The delay from the `Retry-After` header; `None` without a header in whole seconds.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        let seconds = header_text(&self.head.headers, "retry-after")?
            .parse()
            .ok()?;
        Some(Duration::from_secs(seconds))
    }

    /// Whether the target reports the state `leaving`, in which it accepts no new requests.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        header_text(&self.head.headers, "x-target-state") == Some("leaving")
    }
}

fn poll_body(
    body: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Bytes, ReadError>>> {
    loop {
        return match Pin::new(&mut *body).poll_frame(context) {
            Poll::Ready(Some(Ok(frame))) => match frame.into_data() {
                Ok(data) => Poll::Ready(Some(Ok(data))),
                Err(_trailers) => continue,
            },
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(ReadError::Failed))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        };
    }
}

/// Returns the first value of a header; `None` if it is absent or not visible ASCII.
#[must_use]
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
