//! Accepts connections of peers.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use h2::server::SendResponse;
use h2::{Reason, RecvStream};
use http::{Response, StatusCode};
use mimosagap_types::prelude::*;
use mimosagap_types::resume::FleetKeys;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc, oneshot};
use tokio::time::{sleep, timeout};

use crate::connection::{CountedStream, read_body};
use crate::counters::PeerCounters;
use crate::envelope::{Direction, Envelope, MAX_MESSAGE_BYTES, ReplayGuard, unix_millis};
use crate::error::MessageError;
use crate::message::{Reply, Request};

const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);
const BODY_TIMEOUT: Duration = Duration::from_secs(1);
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers close their idle connections after 5 s, so a longer silence means a broken connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);
const MAX_CONNECTIONS: usize = 1_024;
const MAX_STREAMS: u32 = 64;
const MAX_HEADER_BYTES: u32 = 4_096;
const MAX_WAITING: usize = 1_024;

/// What a server needs.
#[derive(Clone)]
pub struct ServerOptions {
    /// The daemon that listens.
    pub daemon: DaemonId,
    /// The keys that sign and verify.
    pub keys: FleetKeys,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Where traffic is counted.
    pub counters: Arc<PeerCounters>,
}

/// A request of a peer, to be answered.
#[derive(Debug)]
pub struct IncomingRequest {
    /// The peer, proved by its signature.
    pub sender: DaemonId,
    /// What it sent.
    pub request: Request,
    reply: oneshot::Sender<Reply>,
}

impl IncomingRequest {
    /// Answers the request. Dropping it instead breaks the exchange.
    pub fn answer(self, reply: Reply) {
        let _ = self.reply.send(reply);
    }
}

struct Server {
    options: ServerOptions,
    guard: Mutex<ReplayGuard>,
    incoming: mpsc::Sender<IncomingRequest>,
}

/// Accepts peers on the current runtime until the receiver is dropped.
#[must_use]
pub fn serve(listener: TcpListener, options: ServerOptions) -> mpsc::Receiver<IncomingRequest> {
    let (incoming, receiver) = mpsc::channel(MAX_WAITING);
    let server = Arc::new(Server {
        options,
        guard: Mutex::new(ReplayGuard::default()),
        incoming,
    });
    tokio::spawn(accept_all(listener, server));
    receiver
}

async fn accept_all(listener: TcpListener, server: Arc<Server>) {
    let slots = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = server.incoming.closed() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let Ok(slot) = Arc::clone(&slots).try_acquire_owned() else {
            continue;
        };
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            serve_connection(stream, &server).await;
            drop(slot);
        });
    }
}

/// Serves one connection until it is idle, broken or sends a message that is refused.
async fn serve_connection(stream: TcpStream, server: &Arc<Server>) {
    let _ = stream.set_nodelay(true);
    let counters = &server.options.counters;
    let stream = CountedStream::new(stream, Arc::clone(counters));
    let mut builder = h2::server::Builder::new();
    builder
        .max_concurrent_streams(MAX_STREAMS)
        .max_header_list_size(MAX_HEADER_BYTES)
        .max_send_buffer_size(MAX_MESSAGE_BYTES);
    let handshake = builder.handshake(stream);
    let mut connection = match timeout(HANDSHAKE_TIMEOUT, handshake).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(error)) => return count_malformed(counters, &error),
        Err(_) => return,
    };
    let (faults, mut fault) = mpsc::channel(1);
    loop {
        tokio::select! {
            accepted = timeout(IDLE_TIMEOUT, connection.accept()) => match accepted {
                Ok(Some(Ok((request, respond)))) => {
                    let (server, faults) = (Arc::clone(server), faults.clone());
                    tokio::spawn(async move {
                        if let Err(fault) = serve_stream(request.into_body(), respond, &server).await {
                            let _ = faults.try_send(fault);
                        }
                    });
                }
                Ok(Some(Err(error))) => return count_malformed(counters, &error),
                Ok(None) | Err(_) => return,
            },
            Some(found) = fault.recv() => {
                counters.fault(found);
                return;
            }
        }
    }
}

/// Counts frames that violate the protocol, but not connections that simply broke.
fn count_malformed(counters: &PeerCounters, error: &h2::Error) {
    if !error.is_io() && !error.is_remote() {
        counters.fault(MessageError::Malformed);
    }
}

async fn serve_stream(
    mut body: RecvStream,
    mut respond: SendResponse<Bytes>,
    server: &Server,
) -> Result<(), MessageError> {
    let read = timeout(BODY_TIMEOUT, read_body(&mut body, MAX_MESSAGE_BYTES)).await;
    let Ok(bytes) = read else {
        respond.send_reset(Reason::CANCEL);
        return Ok(());
    };
    let envelope = server.open(&bytes?)?;
    server.options.counters.served();
    let Some(reply) = server.answer(&envelope).await else {
        respond.send_reset(Reason::REFUSED_STREAM);
        return Ok(());
    };
    let bytes = server.seal(envelope, reply);
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    if let Ok(mut stream) = respond.send_response(response, false) {
        let _ = stream.send_data(bytes, true);
    }
    Ok(())
}

impl Server {
    fn open(&self, bytes: &[u8]) -> Result<Envelope<Request>, MessageError> {
        let now = self.options.clock.wall_time();
        let envelope = Envelope::<Request>::open(bytes, &self.options.keys, now)?;
        let own = match &envelope.receiver {
            Some(receiver) => *receiver == self.options.daemon,
            None => envelope.message == Request::Hello,
        };
        if !own || envelope.direction != Direction::Request {
            return Err(MessageError::Foreign);
        }
        let guard = self.guard.lock();
        let mut guard = guard.unwrap_or_else(PoisonError::into_inner);
        guard.accept(envelope.nonce, now)?;
        Ok(envelope)
    }

    /// `None` if the daemon does not answer in time or is too busy.
    async fn answer(&self, envelope: &Envelope<Request>) -> Option<Reply> {
        if envelope.message == Request::Hello {
            return Some(Reply::Hello);
        }
        let (reply, answer) = oneshot::channel();
        let incoming = IncomingRequest {
            sender: envelope.sender.clone(),
            request: envelope.message.clone(),
            reply,
        };
        self.incoming.try_send(incoming).ok()?;
        timeout(ANSWER_TIMEOUT, answer).await.ok()?.ok()
    }

    fn seal(&self, request: Envelope<Request>, reply: Reply) -> Bytes {
        let envelope = Envelope {
            direction: Direction::Reply,
            sender: self.options.daemon.clone(),
            receiver: Some(request.sender),
            sent_ms: unix_millis(self.options.clock.wall_time()),
            nonce: request.nonce,
            message: reply,
        };
        Bytes::from(envelope.seal(&self.options.keys))
    }
}
