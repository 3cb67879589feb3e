//! Server side of the protocol: accepts connections of peers and verifies their requests.

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
const REPLY_TIMEOUT: Duration = Duration::from_secs(2);
/// Peers close idle connections after 5 s, so one that is idle for longer is broken.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(100);
const MAX_CONNECTIONS: usize = 1_024;
const MAX_STREAMS: u32 = 64;
const MAX_HEADER_BYTES: u32 = 4_096;
const MAX_PENDING_REQUESTS: usize = 1_024;

/// Options of [`serve`].
#[derive(Clone)]
pub struct ServerOptions {
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Keys that verify requests and sign replies.
    pub keys: FleetKeys,
    /// Clock for the times of messages.
    pub clock: Arc<dyn Clock>,
    /// Counters of the traffic.
    pub counters: Arc<PeerCounters>,
}

/// Verified request of a peer that waits for its reply.
#[derive(Debug)]
pub struct IncomingRequest {
    /// Id of the peer, authenticated by its signature.
    pub sender: DaemonId,
    /// Request of the peer.
    pub request: Request,
    reply: oneshot::Sender<Reply>,
}

impl IncomingRequest {
    /// Sends the reply. If the request is dropped instead, its exchange fails.
    pub fn answer(self, reply: Reply) {
        let _ = self.reply.send(reply);
    }
}

struct PeerServer {
    options: ServerOptions,
    replay_guard: Mutex<ReplayGuard>,
    requests: mpsc::Sender<IncomingRequest>,
}

/// Accepts connections of peers on the current runtime until the receiver is dropped.
#[must_use]
pub fn serve(listener: TcpListener, options: ServerOptions) -> mpsc::Receiver<IncomingRequest> {
    let (requests, receiver) = mpsc::channel(MAX_PENDING_REQUESTS);
    let server = Arc::new(PeerServer {
        options,
        replay_guard: Mutex::new(ReplayGuard::default()),
        requests,
    });
    tokio::spawn(accept_connections(listener, server));
    receiver
}

async fn accept_connections(listener: TcpListener, server: Arc<PeerServer>) {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS));
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = server.requests.closed() => return,
        };
        let Ok((stream, _)) = accepted else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let Ok(permit) = Arc::clone(&permits).try_acquire_owned() else {
            continue;
        };
        let server = Arc::clone(&server);
        tokio::spawn(async move {
            serve_connection(stream, &server).await;
            drop(permit);
        });
    }
}

/// Serves a connection until it breaks, is idle or delivers a message that is refused.
async fn serve_connection(stream: TcpStream, server: &Arc<PeerServer>) {
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
        Ok(Err(error)) => return count_protocol_error(counters, &error),
        Err(_) => return,
    };
    let (error_sender, mut error_receiver) = mpsc::channel(1);
    loop {
        tokio::select! {
            accepted = timeout(IDLE_TIMEOUT, connection.accept()) => match accepted {
                Ok(Some(Ok((request, respond)))) => {
                    let (server, error_sender) = (Arc::clone(server), error_sender.clone());
                    tokio::spawn(async move {
                        if let Err(error) = serve_stream(request.into_body(), respond, &server).await {
                            let _ = error_sender.try_send(error);
                        }
                    });
                }
                Ok(Some(Err(error))) => return count_protocol_error(counters, &error),
                Ok(None) | Err(_) => return,
            },
            Some(error) = error_receiver.recv() => {
                counters.count_message_error(error);
                return;
            }
        }
    }
}

/// Counts errors that violate the protocol, but not connections that broke.
fn count_protocol_error(counters: &PeerCounters, error: &h2::Error) {
    if !error.is_io() && !error.is_remote() {
        counters.count_message_error(MessageError::Malformed);
    }
}

async fn serve_stream(
    mut body: RecvStream,
    mut respond: SendResponse<Bytes>,
    server: &PeerServer,
) -> Result<(), MessageError> {
    let read_result = timeout(BODY_TIMEOUT, read_body(&mut body, MAX_MESSAGE_BYTES)).await;
    let Ok(bytes) = read_result else {
        respond.send_reset(Reason::CANCEL);
        return Ok(());
    };
    let envelope = server.verify_request(&bytes?)?;
    server.options.counters.count_served_message();
    let Some(reply) = server.handle_request(&envelope).await else {
        respond.send_reset(Reason::REFUSED_STREAM);
        return Ok(());
    };
    let bytes = server.sign_reply(envelope, reply);
    let mut response = Response::new(());
    *response.status_mut() = StatusCode::OK;
    if let Ok(mut stream) = respond.send_response(response, false) {
        let _ = stream.send_data(bytes, true);
    }
    Ok(())
}

impl PeerServer {
    fn verify_request(&self, bytes: &[u8]) -> Result<Envelope<Request>, MessageError> {
        let now = self.options.clock.wall_time();
        let envelope = Envelope::<Request>::verify(bytes, &self.options.keys, now)?;
        let is_addressed_here = match &envelope.receiver {
            Some(receiver) => *receiver == self.options.daemon,
            None => envelope.message == Request::Hello,
        };
        if !is_addressed_here || envelope.direction != Direction::Request {
            return Err(MessageError::Misaddressed);
        }
        let replay_guard = self.replay_guard.lock();
        let mut replay_guard = replay_guard.unwrap_or_else(PoisonError::into_inner);
        replay_guard.accept(envelope.nonce, now)?;
        Ok(envelope)
    }

    /// Passes the request to the daemon and waits for the reply; `None` if too many requests are
    /// pending or no reply comes in time.
    async fn handle_request(&self, envelope: &Envelope<Request>) -> Option<Reply> {
        if envelope.message == Request::Hello {
            return Some(Reply::Hello);
        }
        let (reply, receiver) = oneshot::channel();
        let incoming = IncomingRequest {
            sender: envelope.sender.clone(),
            request: envelope.message.clone(),
            reply,
        };
        self.requests.try_send(incoming).ok()?;
        timeout(REPLY_TIMEOUT, receiver).await.ok()?.ok()
    }

    fn sign_reply(&self, request: Envelope<Request>, reply: Reply) -> Bytes {
        let envelope = Envelope {
            direction: Direction::Reply,
            sender: self.options.daemon.clone(),
            receiver: Some(request.sender),
            sent_ms: unix_millis(self.options.clock.wall_time()),
            nonce: request.nonce,
            message: reply,
        };
        Bytes::from(envelope.sign(&self.options.keys))
    }
}
