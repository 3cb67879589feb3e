//! Connections to peers and exchanges over them.

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

const PING_PERIOD: Duration = Duration::from_secs(1);
const SILENCE: Duration = Duration::from_secs(3);
/// At 320 daemons a connection that stayed open to each peer would need 11 KB/s for pings alone;
/// closing idle ones leaves about 15 open.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);
const MAX_HEADER_BYTES: u32 = 4_096;
const MAX_POOLED: usize = 1_024;
const URI: &str = "http://peer/mg/1";

/// What a client needs.
#[derive(Clone)]
pub struct ClientOptions {
    /// The daemon that asks.
    pub daemon: DaemonId,
    /// The keys that sign and verify.
    pub keys: FleetKeys,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// Where traffic is counted.
    pub counters: Arc<PeerCounters>,
}

/// One exchange.
#[derive(Debug, Clone)]
pub struct ExchangeOptions {
    /// The peer's address.
    pub peer: SocketAddr,
    /// What to send.
    pub request: Request,
    /// How long the exchange may take, including a new connection.
    pub timeout: Duration,
}

/// A completed exchange.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ExchangeOutcome {
    /// The peer that answered, proved by its signature.
    pub peer: DaemonId,
    /// Its answer.
    pub reply: Reply,
}

/// Sends requests to peers. Cheap to clone; clones share connections.
#[derive(Clone)]
pub struct PeerClient {
    shared: Arc<Shared>,
}

struct Shared {
    options: ClientOptions,
    pool: Mutex<HashMap<SocketAddr, Arc<Slot>>>,
}

/// The connection to one address; the lock makes concurrent exchanges share a new connection.
type Slot = tokio::sync::Mutex<Option<Link>>;

#[derive(Clone)]
struct Link {
    sender: SendRequest<Bytes>,
    peer: Option<DaemonId>,
    state: Arc<LinkState>,
}

struct LinkState {
    closed: AtomicBool,
    used: Mutex<Instant>,
}

impl LinkState {
    fn is_closed(&self) -> bool {
        self.closed.load(Ordering::Acquire)
    }

    fn close(&self) {
        self.closed.store(true, Ordering::Release);
    }

    fn touch(&self) {
        *self.used.lock().unwrap_or_else(PoisonError::into_inner) = Instant::now();
    }

    fn idle(&self) -> Duration {
        let used = *self.used.lock().unwrap_or_else(PoisonError::into_inner);
        used.elapsed()
    }
}

impl PeerClient {
    /// A client that connects with its first exchange.
    #[must_use]
    pub fn new(options: ClientOptions) -> Self {
        Self {
            shared: Arc::new(Shared {
                options,
                pool: Mutex::new(HashMap::new()),
            }),
        }
    }

    /// Sends a request and waits for the reply.
    ///
    /// # Errors
    /// See [`ExchangeError`]; the connection of a failed exchange is given up.
    pub async fn exchange(
        &self,
        options: ExchangeOptions,
    ) -> Result<ExchangeOutcome, ExchangeError> {
        let counters = &self.shared.options.counters;
        counters.exchange();
        let slot = self.slot(options.peer);
        let exchange = self.exchange_over(&slot, &options);
        let result = timeout(options.timeout, exchange)
            .await
            .unwrap_or_else(|_| {
                discard(&slot);
                Err(ExchangeError::TimedOut)
            });
        if result.is_err() {
            counters.failed_exchange();
        }
        result
    }

    /// The peer may have closed a kept connection in the moment of its use, so an exchange that
    /// breaks on a kept one is tried once more on a new one.
    async fn exchange_over(
        &self,
        slot: &Slot,
        options: &ExchangeOptions,
    ) -> Result<ExchangeOutcome, ExchangeError> {
        let (link, fresh) = self.link(slot, options.peer).await?;
        let first = self.ask(&link, &options.request).await;
        match first {
            Err(ExchangeError::Broken) if !fresh => {
                link.state.close();
                let (link, _) = self.link(slot, options.peer).await?;
                self.ask(&link, &options.request)
                    .await
                    .inspect_err(|_| link.state.close())
            }
            other => other.inspect_err(|_| link.state.close()),
        }
    }

    fn slot(&self, peer: SocketAddr) -> Arc<Slot> {
        let pool = self.shared.pool.lock();
        let mut pool = pool.unwrap_or_else(PoisonError::into_inner);
        if pool.len() >= MAX_POOLED {
            pool.retain(|_, slot| Arc::strong_count(slot) > 1);
        }
        Arc::clone(pool.entry(peer).or_default())
    }

    /// The kept connection, or a new one and `true`.
    async fn link(&self, slot: &Slot, peer: SocketAddr) -> Result<(Link, bool), ExchangeError> {
        let mut slot = slot.lock().await;
        if let Some(link) = slot.as_ref().filter(|link| !link.state.is_closed()) {
            link.state.touch();
            return Ok((link.clone(), false));
        }
        *slot = None;
        let mut link = self.connect(peer).await?;
        let hello = self.ask(&link, &Request::Hello).await;
        let hello = hello.inspect_err(|_| link.state.close())?;
        link.peer = Some(hello.peer);
        *slot = Some(link.clone());
        Ok((link, true))
    }

    async fn connect(&self, peer: SocketAddr) -> Result<Link, ExchangeError> {
        let counters = &self.shared.options.counters;
        let stream = TcpStream::connect(peer)
            .await
            .map_err(|error| match error.kind() {
                io::ErrorKind::ConnectionRefused => ExchangeError::Refused,
                _ => ExchangeError::Unreachable,
            })?;
        counters.connection();
        let _ = stream.set_nodelay(true);
        let stream = CountedStream::new(stream, Arc::clone(counters));
        let mut builder = h2::client::Builder::new();
        builder
            .enable_push(false)
            .max_header_list_size(MAX_HEADER_BYTES);
        let handshake = builder.handshake(stream).await;
        let (sender, connection) = handshake.map_err(|_| ExchangeError::Broken)?;
        let state = Arc::new(LinkState {
            closed: AtomicBool::new(false),
            used: Mutex::new(Instant::now()),
        });
        tokio::spawn(drive(connection, Arc::clone(&state), Arc::clone(counters)));
        Ok(Link {
            sender,
            peer: None,
            state,
        })
    }

    async fn ask(&self, link: &Link, request: &Request) -> Result<ExchangeOutcome, ExchangeError> {
        let broken = |_| ExchangeError::Broken;
        let nonce = random_nonce();
        let bytes = self.seal(link, nonce, request);
        let head = http::Request::post(URI)
            .body(())
            .map_err(|_| ExchangeError::Broken)?;
        let mut sender = link.sender.clone().ready().await.map_err(broken)?;
        let (response, mut stream) = sender.send_request(head, false).map_err(broken)?;
        stream.send_data(bytes, true).map_err(broken)?;
        let response = response.await.map_err(broken)?;
        let limit = match request {
            Request::PullRules { .. } => MAX_RULES_BYTES,
            _ => MAX_MESSAGE_BYTES,
        };
        let body = read_body(&mut response.into_body(), limit).await;
        link.state.touch();
        let opened = match body {
            Ok(body) => self.open(link, nonce, &body),
            Err(BodyError::Broken) => return Err(ExchangeError::Broken),
            Err(BodyError::Oversized) => Err(MessageError::Oversized),
        };
        opened.map_err(|fault| {
            self.shared.options.counters.fault(fault);
            ExchangeError::BadReply(fault)
        })
    }

    fn seal(&self, link: &Link, nonce: u128, request: &Request) -> Bytes {
        let options = &self.shared.options;
        let envelope = Envelope {
            direction: Direction::Request,
            sender: options.daemon.clone(),
            receiver: link.peer.clone(),
            sent_ms: unix_millis(options.clock.wall_time()),
            nonce,
            message: request,
        };
        Bytes::from(envelope.seal(&options.keys))
    }

    fn open(&self, link: &Link, nonce: u128, body: &[u8]) -> Result<ExchangeOutcome, MessageError> {
        let options = &self.shared.options;
        let envelope = Envelope::<Reply>::open(body, &options.keys, options.clock.wall_time())?;
        if envelope.nonce != nonce {
            return Err(MessageError::Replayed);
        }
        let expected = envelope.direction == Direction::Reply
            && envelope.receiver.as_ref() == Some(&options.daemon)
            && link
                .peer
                .as_ref()
                .is_none_or(|peer| *peer == envelope.sender);
        if !expected {
            return Err(MessageError::Foreign);
        }
        Ok(ExchangeOutcome {
            peer: envelope.sender,
            reply: envelope.message,
        })
    }
}

/// Gives up the connection of an exchange that took too long. A lock that is still held belongs
/// to an exchange which is connecting anew.
fn discard(slot: &Slot) {
    if let Ok(mut slot) = slot.try_lock()
        && let Some(link) = slot.take()
    {
        link.state.close();
    }
}

/// Runs a connection until it breaks, falls silent, is idle or is given up.
async fn drive(
    connection: Connection<CountedStream, Bytes>,
    state: Arc<LinkState>,
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

async fn keep_alive(ping: Option<PingPong>, state: &LinkState, counters: &PeerCounters) {
    let Some(mut ping) = ping else {
        return;
    };
    loop {
        sleep(PING_PERIOD).await;
        if state.is_closed() || state.idle() > IDLE_TIMEOUT {
            return;
        }
        match timeout(SILENCE, ping.ping(Ping::opaque())).await {
            Ok(Ok(_)) => {}
            Ok(Err(_)) => return,
            Err(_) => return counters.silent_connection(),
        }
    }
}
