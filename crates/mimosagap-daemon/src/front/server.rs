//! Accepts callers, and stops accepting them when the daemon drains.

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

use super::answer::AnswerBody;
use super::caller_io::{BusyFlag, CallerIo, bare_answer};
use crate::shared::SharedState;
use crate::view::ServingView;

const BACKLOG: u32 = 1_024;

/// Pause after a failed accept, for example when file descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How long a closing listener waits for a connection from its backlog.
const BACKLOG_WAIT: Duration = Duration::from_millis(1);

/// The HTTP library's bound of a head is this much higher than the settings', so that most heads
/// which are too long get an answer that names the bound.
const HEAD_MARGIN: usize = 16 << 10;

/// How long a caller over the bound of connections may take to read its refusal.
const REFUSAL_TIME: Duration = Duration::from_secs(1);

/// When a caller over the bound of connections may come back.
const REFUSAL_RETRY: Duration = Duration::from_secs(1);

/// How often a drain looks for requests whose callers are gone.
const DRAIN_POLL: Duration = Duration::from_millis(50);

/// Binds the callers' address.
///
/// # Errors
/// If the address is in use or not of this host.
pub fn bind(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = if address.is_ipv4() {
        TcpSocket::new_v4()?
    } else {
        TcpSocket::new_v6()?
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves callers until `stop` names a time, that time has passed and every request has ended.
pub async fn serve(
    shared: Arc<SharedState>,
    listener: TcpListener,
    stop: watch::Receiver<Option<Duration>>,
) {
    let max = usize::try_from(shared.settings.bounds.max_connections).unwrap_or(usize::MAX);
    let permits = Arc::new(Semaphore::new(max.min(Semaphore::MAX_PERMITS)));
    let (closing, _) = watch::channel(false);
    let (alive, mut all_ended) = mpsc::channel::<Infallible>(1);
    let mut stopped = std::pin::pin!(stop_due(stop));
    let admit = |stream| {
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            shared.metrics.connections_refused.inc();
            tokio::spawn(refuse_connection(stream, Arc::clone(&shared.view)));
            return;
        };
        let connection = CallerConnection {
            shared: Arc::clone(&shared),
            closing: closing.subscribe(),
            _permit: permit,
            _alive: alive.clone(),
        };
        tokio::spawn(connection.serve(stream));
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = &mut stopped => break,
        };
        match accepted {
            Ok((stream, _)) => admit(stream),
            Err(_) => sleep(ACCEPT_PAUSE).await,
        }
    }
    // Closing the listener would reset the connections that wait in its backlog.
    while let Ok(Ok((stream, _))) = timeout(BACKLOG_WAIT, listener.accept()).await {
        admit(stream);
    }
    drop(listener);
    closing.send_replace(true);
    drop(alive);
    let _ = all_ended.recv().await;
    while shared.requests.count() > 0 {
        sleep(DRAIN_POLL).await;
    }
}

async fn stop_due(mut stop: watch::Receiver<Option<Duration>>) {
    let after = match stop.wait_for(Option::is_some).await {
        Ok(after) => *after,
        Err(_) => None,
    };
    match after {
        Some(after) => sleep(after).await,
        // Nobody can ask for a stop any more.
        None => std::future::pending().await,
    }
}

/// Reads what the caller sends meanwhile, since closing with unread bytes discards the answer.
async fn refuse_connection(mut stream: TcpStream, view: Arc<ServingView>) {
    let message = "too many connections are open here; use another address";
    let refusal = Refusal::new(RefusalCause::Overloaded, message).with_retry_after(REFUSAL_RETRY);
    let answer = bare_answer("HTTP/1.1 503 Service Unavailable", &refusal, &view);
    let refuse = async {
        stream.write_all(&answer).await?;
        stream.shutdown().await?;
        let mut rest = [0; 1_024];
        while stream.read(&mut rest).await? > 0 {}
        io::Result::Ok(())
    };
    let _ = timeout(REFUSAL_TIME, refuse).await;
}

struct CallerConnection {
    shared: Arc<SharedState>,
    closing: watch::Receiver<bool>,
    _permit: OwnedSemaphorePermit,
    _alive: mpsc::Sender<Infallible>,
}

impl CallerConnection {
    async fn serve(mut self, stream: TcpStream) {
        let gauge = self.shared.metrics.connections.clone();
        gauge.inc();
        // Tokens must not wait for the acknowledgement of earlier ones.
        if stream.set_nodelay(true).is_ok() {
            self.run(stream).await;
        }
        gauge.dec();
    }

    async fn run(&mut self, stream: TcpStream) {
        let bounds = self.shared.settings.bounds;
        let busy = BusyFlag::default();
        let limit = Duration::from_millis(bounds.read_timeout_ms);
        let io = CallerIo::new(stream, Arc::clone(&self.shared.view), busy.clone(), limit);
        let shared = Arc::clone(&self.shared);
        let service = service_fn(move |request| {
            let guard = busy.enter();
            let shared = Arc::clone(&shared);
            async move {
                let answer = super::handle(shared, request).await;
                let answer = answer.map(|body| AnswerBody::guarded(body, guard));
                Ok::<_, Infallible>(answer)
            }
        });
        let head = usize::try_from(bounds.max_header_bytes).unwrap_or(usize::MAX);
        let connection = http1::Builder::new()
            .header_read_timeout(None)
            .max_buf_size(head.saturating_add(HEAD_MARGIN))
            .serve_connection(TokioIo::new(io), service);
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            biased;
            // A broken connection concerns only its caller.
            _ = connection.as_mut() => return,
            _ = self.closing.wait_for(|closing| *closing) => {}
        }
        connection.as_mut().graceful_shutdown();
        let _ = connection.await;
    }
}
