//! Accepts connections of callers, and stops accepting them when the daemon drains.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use mimosagap_types::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc, watch};
use tokio::time::{sleep, timeout};

use super::caller_io::{BusyFlag, CallerIo, raw_refusal_response};
use super::response::ResponseBody;
use crate::shared::SharedState;
use crate::view::ServingView;

/// Maximum number of connections that the kernel queues for `accept`.
const LISTEN_BACKLOG: u32 = 1_024;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// How long a closing listener waits for each further connection from its backlog.
const BACKLOG_TIMEOUT: Duration = Duration::from_millis(1);

/// The HTTP library's limit of a request head exceeds the configured one by this many bytes, so that
/// most oversized heads get a refusal that names the configured limit.
const HEAD_MARGIN_BYTES: usize = 16 << 10;

/// How long a caller over the connection limit may take to read its refusal.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);

/// `Retry-After` of a refusal at the connection limit.
const REFUSAL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How often a drain checks whether requests without a connection have ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Binds the address that callers connect to.
///
/// # Errors
/// If the address is in use or does not belong to this host.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(LISTEN_BACKLOG)
}

/// Serves callers until `stop` holds a delay, that delay has passed and every request has ended.
pub async fn serve(
    shared: Arc<SharedState>,
    listener: TcpListener,
    stop: watch::Receiver<Option<Duration>>,
) {
    let max_connections =
        usize::try_from(shared.settings.bounds.max_connections).unwrap_or(usize::MAX);
    let permits = Arc::new(Semaphore::new(max_connections.min(Semaphore::MAX_PERMITS)));
    let (is_closing, _) = watch::channel(false);
    let (connection_guard, mut all_ended) = mpsc::channel::<Infallible>(1);
    let mut stopped = std::pin::pin!(wait_for_stop(stop));
    let serve_connection = |stream| {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            shared.metrics.connections_refused.inc();
            tokio::spawn(refuse_connection(stream, Arc::clone(&shared.view)));
            return;
        };
        let connection = CallerConnection {
            shared: Arc::clone(&shared),
            is_closing: is_closing.subscribe(),
            _permit: permit,
            _guard: connection_guard.clone(),
        };
        tokio::spawn(connection.serve(stream));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stopped => break,
        };
        match accepted {
            Ok((stream, _)) => serve_connection(stream),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    // Closing the listener resets the connections in its backlog, so they are served first.
    while let Ok(Ok((stream, _))) = timeout(BACKLOG_TIMEOUT, listener.accept()).await {
        serve_connection(stream);
    }
    drop(listener);
    is_closing.send_replace(true);
    drop(connection_guard);
    let _ = all_ended.recv().await;
    while shared.requests.open_count() > 0 {
        sleep(DRAIN_POLL_INTERVAL).await;
    }
}

async fn wait_for_stop(mut stop: watch::Receiver<Option<Duration>>) {
    let delay = match stop.wait_for(Option::is_some).await {
        Ok(delay) => *delay,
        Err(_) => None,
    };
    match delay {
        Some(delay) => sleep(delay).await,
        // The sender is dropped, so no stop can follow.
        None => std::future::pending().await,
    }
}

/// Refuses a connection over the limit. Also reads what the caller sends, because closing a socket
/// with unread bytes discards the response.
async fn refuse_connection(mut stream: TcpStream, view: Arc<ServingView>) {
    let message = "too many connections are open here; use another address";
    let refusal =
        Refusal::new(RefusalCause::Overloaded, message).with_retry_after(REFUSAL_RETRY_AFTER);
    let response = raw_refusal_response("HTTP/1.1 503 Service Unavailable", &refusal, &view);
    let exchange = async {
        stream.write_all(&response).await?;
        stream.shutdown().await?;
        let mut discarded = [0; 1_024];
        while stream.read(&mut discarded).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = timeout(REFUSAL_TIMEOUT, exchange).await;
}

struct CallerConnection {
    shared: Arc<SharedState>,
    is_closing: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
    _guard: mpsc::Sender<Infallible>,
}

impl CallerConnection {
    async fn serve(mut self, stream: TcpStream) {
        let gauge = self.shared.metrics.connections.clone();
        gauge.inc();
        // Without TCP_NODELAY, a token would wait for the acknowledgement of the previous one.
        if stream.set_nodelay(true).is_ok() {
            self.run(stream).await;
        }
        gauge.dec();
    }

    async fn run(&mut self, stream: TcpStream) {
        let bounds = self.shared.settings.bounds;
        let busy_flag = BusyFlag::default();
        let read_timeout = Duration::from_millis(bounds.read_timeout_ms);
        let io = CallerIo::new(
            stream,
            Arc::clone(&self.shared.view),
            busy_flag.clone(),
            read_timeout,
        );
        let shared = Arc::clone(&self.shared);
        let service = service_fn(move |request| {
            let guard = busy_flag.mark_busy();
            let shared = Arc::clone(&shared);
            async move {
                let response = super::handle_request(shared, request).await;
                let response = response.map(|body| ResponseBody::guarded(body, guard));
                Ok::<_, Infallible>(response)
            }
        });
        let max_head_bytes = usize::try_from(bounds.max_header_bytes).unwrap_or(usize::MAX);
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(max_head_bytes.saturating_add(HEAD_MARGIN_BYTES))
            .serve_connection(TokioIo::new(io), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            biased;
            // An error on the connection affects only this caller.
            _ = connection.as_mut() => return,
            _ = self.is_closing.wait_for(|is_closing| *is_closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
