//! A connection to a target that is made for one request.

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
use super::local_waker::LocalWake;

/// The longest wait for a connection.
pub const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Read buffer of a connection, in bytes; bounds the memory of a stream.
const READ_BUFFER: usize = 32 << 10;

type Connection = http1::Connection<TokioIo<TcpStream>, Full<Bytes>>;

/// Why there is no answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum SendError {
    /// The connection could not be made, so no byte of the request was sent.
    NotConnected {
        /// Whether the target's host refused it.
        refused: bool,
    },
    /// No answer in time.
    Silent,
    /// The connection broke.
    Broken,
}

/// Why an answer's body ended early.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReadError {
    /// No byte in time.
    Silent,
    /// The connection broke.
    Broken,
    /// The body is longer than the bound.
    TooLong,
}

/// An answer whose body is still to be read.
///
/// Whoever reads the body also drives the connection, so that a stream needs no task of its own.
pub struct Link {
    /// Status and headers.
    pub head: Parts,
    body: Incoming,
    connection: Option<Connection>,
    wake: LocalWake,
}

/// Connects to a target.
///
/// # Errors
/// [`SendError::NotConnected`].
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

/// Sends a request on a new connection and waits at most `limit` for the head of the answer.
///
/// # Errors
/// See [`SendError`].
pub async fn send(
    target: SocketAddr,
    request: Request<Full<Bytes>>,
    limit: Duration,
) -> Result<Link, SendError> {
    let stream = connect(target).await?;
    let handshake = http1::Builder::new()
        .max_buf_size(READ_BUFFER)
        .handshake(TokioIo::new(stream))
        .await;
    let (mut sender, connection) =
        handshake.map_err(|_| SendError::NotConnected { refused: false })?;
    let mut connection = Some(connection);
    let mut answer = Box::pin(sender.send_request(request));
    let answered = poll_fn(|context| {
        if let Poll::Ready(answer) = answer.as_mut().poll(context) {
            return Poll::Ready(answer);
        }
        drive(&mut connection, context);
        answer.as_mut().poll(context)
    });
    let response = timeout(limit, answered)
        .await
        .map_err(|_| SendError::Silent)?
        .map_err(|_| SendError::Broken)?;
    let (head, body) = response.into_parts();
    Ok(Link {
        head,
        body,
        connection,
        wake: LocalWake::default(),
    })
}

fn drive(connection: &mut Option<Connection>, context: &mut Context<'_>) {
    if let Some(active) = connection
        && Pin::new(active).poll(context).is_ready()
    {
        *connection = None;
    }
}

impl Link {
    /// Reads more of the body; `None` at its end.
    pub fn poll_data(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, ReadError>>> {
        let Self {
            body,
            connection,
            wake,
            ..
        } = self;
        wake.poll(context, |context| {
            drive(connection, context);
            poll_body(body, context)
        })
    }

    /// Reads more of the body unless `idle` expires first; `None` at the body's end.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn data(&mut self, idle: &mut IdleTimer) -> Result<Option<Bytes>, ReadError> {
        let data = poll_fn(|context| {
            if let Poll::Ready(data) = self.poll_data(context) {
                return Poll::Ready(data.transpose());
            }
            idle.poll_expired(context).map(|()| Err(ReadError::Silent))
        })
        .await?;
        idle.touch(Instant::now());
        Ok(data)
    }

    /// Reads the whole body of at most `bound` bytes.
    ///
    /// # Errors
    /// See [`ReadError`].
    pub async fn collect(mut self, bound: usize, silence: Duration) -> Result<Bytes, ReadError> {
        let mut idle = IdleTimer::new(silence);
        let mut whole = Vec::new();
        while let Some(data) = self.data(&mut idle).await? {
            if whole.len() + data.len() > bound {
                return Err(ReadError::TooLong);
            }
            whole.extend_from_slice(&data);
        }
        Ok(Bytes::from(whole))
    }

    /// Whether the target says that it did not run the work and will not.
    #[must_use]
    pub fn is_not_run(&self) -> bool {
        self.head.status == hyper::StatusCode::SERVICE_UNAVAILABLE
            && header(&self.head.headers, "x-outcome") == Some("not_run")
    }

    /// When the target wants to be asked again.
    #[must_use]
    pub fn retry_after(&self) -> Option<Duration> {
        let seconds = header(&self.head.headers, "retry-after")?.parse().ok()?;
        Some(Duration::from_secs(seconds))
    }

    /// Whether the target says that it is leaving.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        header(&self.head.headers, "x-target-state") == Some("leaving")
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
            Poll::Ready(Some(Err(_))) => Poll::Ready(Some(Err(ReadError::Broken))),
            Poll::Ready(None) => Poll::Ready(None),
            Poll::Pending => Poll::Pending,
        };
    }
}

/// A header as text.
#[must_use]
pub fn header<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
