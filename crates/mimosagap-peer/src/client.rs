//! Client side of the protocol: connections to peers and exchanges over them.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use h2::client::{Connection, SendRequest};
use h2::{Ping, PingPong};
use mimosagap_types::prelude::*;
use mimosagap_types::resume::FleetKeys;
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::connection::{BodyError, CountedStream, read_body};
use crate::counters::PeerCounters;
use crate::envelope::{
    Direction, Envelope, MAX_MESSAGE_BYTES, MAX_RULES_BYTES, random_nonce, unix_millis,
};
use crate::error::{ExchangeError, MessageError};
use crate::message::{Reply, Request};

const PING_INTERVAL: Duration = Duration::from_secs(1);
const PING_TIMEOUT: Duration = Duration::from_secs(3);
/// In a fleet of 320 daemons the pings of one permanent connection per peer would take 11 KB/s per
/// daemon. Closing idle connections leaves about 15 open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEADER_BYTES: u32 = 4_096;
const MAX_POOLED_PEERS: usize = 1_024;
const REQUEST_URI: &str = "http://peer/mg/1";

/// Options of a [`PeerClient`].
#[derive(Clone)]
pub struct ClientOptions {
    /// Id of this daemon.
    pub daemon: DaemonId,
    /// Keys that sign requests and verify replies.
    pub keys: FleetKeys,
    /// Clock for the times of messages.
    pub clock: Arc<dyn Clock>,
    /// Counters of the traffic.
    pub counters: Arc<PeerCounters>,
}

/// Options of [`PeerClient::exchange`].
#[derive(Debug, Clone)]
pub struct ExchangeOptions {
    /// Address of the peer.
    pub peer: SocketAddr,
    /// Request to send.
    pub request: Request,
    /// Timeout of the exchange, including the time to connect.
    pub timeout: Duration,
}

/// Result of an exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeOutcome {
    /// Id of the peer, authenticated by its signature.
    pub peer: DaemonId,
    /// Reply of the peer.
    pub reply: Reply,
}

/// Sends requests to peers. Clones are cheap and share connections.
#[derive(Clone)]
pub struct PeerClient {
    state: Arc<ClientState>,
}

struct ClientState {
    options: ClientOptions,
    pool: Mutex<HashMap<SocketAddr, Arc<ConnectionSlot>>>,
}

/// Connection to one address. The lock is held while connecting, so that concurrent exchanges share
/// the new connection.
type ConnectionSlot = tokio::sync::Mutex<Option<PeerConnection>>;

#[derive(Clone)]
struct PeerConnection {
    sender: SendRequest<Bytes>,
    peer: Option<DaemonId>,
    state: Arc<ConnectionState>,
}

struct ConnectionState {
    closed: AtomicBool,
    last_used: Mutex<Instant>,
}

impl ConnectionState {
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    fn mark_used(&self) {
        *self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn idle_time(&self) -> Duration {
        let last_used = *self
            .last_used
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        last_used.elapsed()
    }
}

impl PeerClient {
    /// Creates a client. It connects to a peer on the first exchange with it.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        Self {
            state: Arc::new(ClientState {
                options,
                pool: Mutex::new(HashMap::new()),
            }),
        }
    }

    /// Sends a request and waits for the reply.
    ///
    /// # Errors
    /// See [`ExchangeError`]; the connection of a failed exchange is closed.
    pub async fn exchange(
        &self,
        options: ExchangeOptions,
    ) -> Result<ExchangeOutcome, ExchangeError> {
        let counters = &self.state.options.counters;
        counters.count_exchange();
        let slot = self.connection_slot(options.peer);
        let exchange = self.exchange_over(&slot, &options);
        let result = timeout(options.timeout, exchange)
            .await
            .unwrap_or_else(|_| {
                discard_connection(&slot);
                Err(ExchangeError::TimedOut)
            });
        if result.is_err() {
            counters.count_failed_exchange();
        }
        result
    }

    /// Sends the request over the pooled connection, or over a new one if there is none. If the
    /// pooled one breaks, which the peer may have closed just before, a new one is tried once.
    async fn exchange_over(
        &self,
        slot: &ConnectionSlot,
        options: &ExchangeOptions,
    ) -> Result<ExchangeOutcome, ExchangeError> {
        let (connection, is_new) = self.get_connection(slot, options.peer).await?;
        let result = self.send_request_over(&connection, &options.request).await;
        match result {
            Err(ExchangeError::Broken) if !is_new => {
                connection.state.close();
                let (connection, _) = self.get_connection(slot, options.peer).await?;
                self.send_request_over(&connection, &options.request)
                    .await
                    .inspect_err(|_| connection.state.close())
            }
            other => other.inspect_err(|_| connection.state.close()),
        }
    }

    fn connection_slot(&self, peer: SocketAddr) -> Arc<ConnectionSlot> {
        let pool = self.state.pool.lock();
        let mut pool = pool.unwrap_or_else(PoisonError::into_inner);
        if pool.len() >= MAX_POOLED_PEERS {
            pool.retain(|_, slot| Arc::strong_count(slot) > 1);
        }
        Arc::clone(pool.entry(peer).or_default())
    }

    /// Returns the pooled connection and `false`, or a new connection and `true`.
    async fn get_connection(
        &self,
        slot: &ConnectionSlot,
        peer: SocketAddr,
    ) -> Result<(PeerConnection, bool), ExchangeError> {
        let mut slot = slot.lock().await;
        if let Some(connection) = slot
            .as_ref()
            .filter(|connection| !connection.state.is_closed())
        {
            connection.state.mark_used();
            return Ok((connection.clone(), false));
        }
        *slot = None;
        let mut connection = self.connect(peer).await?;
        let hello_outcome = self.send_request_over(&connection, &Request::Hello).await;
        let hello_outcome = hello_outcome.inspect_err(|_| connection.state.close())?;
        connection.peer = Some(hello_outcome.peer);
        *slot = Some(connection.clone());
        Ok((connection, true))
    }

    async fn connect(&self, peer: SocketAddr) -> Result<PeerConnection, ExchangeError> {
        let counters = &self.state.options.counters;
        let stream = TcpStream::connect(peer)
            .await
            .map_err(|error| match error.kind() {
                io::ErrorKind::ConnectionRefused => ExchangeError::Refused,
                _ => ExchangeError::Unreachable,
            })?;
        counters.count_connection();
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, Arc::clone(counters));
        let mut builder = h2::client::Builder::new();
        builder
            .enable_push(false)
            .max_header_list_size(MAX_HEADER_BYTES);
        let handshake = builder.handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| ExchangeError::Broken)?;
        let state = Arc::new(ConnectionState {
            closed: AtomicBool::new(false),
            last_used: Mutex::new(Instant::now()),
        });
        tokio::spawn(run_connection(
            connection,
            Arc::clone(&state),
            Arc::clone(counters),
        ));
        Ok(PeerConnection {
            sender,
            peer: None,
            state,
        })
    }

    async fn send_request_over(
        &self,
        connection: &PeerConnection,
        request: &Request,
    ) -> Result<ExchangeOutcome, ExchangeError> {
        let to_broken = |_| ExchangeError::Broken;
        let nonce = random_nonce();
        let bytes = self.sign_request(connection, nonce, request);
        let request_head = http::Request::post(REQUEST_URI)
            .body(())
            .map_err(|_| ExchangeError::Broken)?;
        let mut sender = connection.sender.clone().ready().await.map_err(to_broken)?;
        let (response, mut stream) = sender
            .send_request(request_head, false)
            .map_err(to_broken)?;
        stream.send_data(bytes, true).map_err(to_broken)?;
        let response = response.await.map_err(to_broken)?;
        let max_bytes = match request {
            Request::PullRules { .. } => MAX_RULES_BYTES,
            _ => MAX_MESSAGE_BYTES,
        };
        let body = read_body(&mut response.into_body(), max_bytes).await;
        connection.state.mark_used();
        let verified = match body {
            Ok(body) => self.verify_reply(connection, nonce, &body),
            Err(BodyError::Broken) => return Err(ExchangeError::Broken),
            Err(BodyError::Oversized) => Err(MessageError::Oversized),
        };
        verified.map_err(|error| {
            self.state.options.counters.count_message_error(error);
            ExchangeError::BadReply(error)
        })
    }

    fn sign_request(&self, connection: &PeerConnection, nonce: u128, request: &Request) -> Bytes {
        let options = &self.state.options;
        let envelope = Envelope {
            direction: Direction::Request,
            sender: options.daemon.clone(),
            receiver: connection.peer.clone(),
            sent_ms: unix_millis(options.clock.wall_time()),
            nonce,
            message: request,
        };
        Bytes::from(envelope.sign(&options.keys))
    }

    fn verify_reply(
        &self,
        connection: &PeerConnection,
        nonce: u128,
        body: &[u8],
    ) -> Result<ExchangeOutcome, MessageError> {
        let options = &self.state.options;
        let envelope = Envelope::<Reply>::verify(body, &options.keys, options.clock.wall_time())?;
        if envelope.nonce != nonce {
            return Err(MessageError::Replayed);
        }
        let is_expected = envelope.direction == Direction::Reply
            && envelope.receiver.as_ref() == Some(&options.daemon)
            && connection
                .peer
                .as_ref()
                .is_none_or(|peer| *peer == envelope.sender);
        if !is_expected {
            return Err(MessageError::Misaddressed);
        }
        Ok(ExchangeOutcome {
            peer: envelope.sender,
            reply: envelope.message,
        })
    }
}

/// Closes the connection of an exchange that timed out. If the slot is locked, another exchange is
/// already replacing the connection.
fn discard_connection(slot: &ConnectionSlot) {
    if let Ok(mut slot) = slot.try_lock()
        && let Some(connection) = slot.take()
    {
        connection.state.close();
    }
}

/// Drives a connection until it breaks, leaves a ping unanswered, is idle or is closed.
async fn run_connection(
    connection: Connection<CountedStream, Bytes>,
    state: Arc<ConnectionState>,
    counters: Arc<PeerCounters>,
) {
    let mut connection = connection;
    let ping = connection.ping_pong();
    tokio::select! {
        _ = connection => {}
        () = keep_alive(ping, &state, &counters) => {}
    }
    state.close();
}

async fn keep_alive(ping: Option<PingPong>, state: &ConnectionState, counters: &PeerCounters) {
    let Some(mut ping) = ping else {
        return;
    };
    loop {
        sleep(PING_INTERVAL).await;
        if state.is_closed() || state.idle_time() > IDLE_TIMEOUT {
            return;
        }
        match timeout(PING_TIMEOUT, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return,
            Err(_) => return counters.count_silent_connection(),
        }
    }
}
