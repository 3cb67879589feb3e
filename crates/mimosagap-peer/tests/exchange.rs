//! Tests of exchanges between two daemons and of messages that must be refused.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use bytes::Bytes;
use mimosagap_peer::envelope::{Direction, Envelope, ReplayGuard, unix_millis};
use mimosagap_peer::{
    ClientOptions, ExchangeError, ExchangeOptions, ExchangeOutcome, MessageError, PeerClient,
    PeerCounters, Reply, Request, ServerOptions, serve,
};
use mimosagap_types::prelude::*;
use mimosagap_types::resume::FleetKeys;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

const EXCHANGE_TIMEOUT: Duration = Duration::from_secs(1);

fn keys(text: &str) -> FleetKeys {
    FleetKeys::new(vec![text.as_bytes().to_vec()])
}

struct TestPeer {
    address: SocketAddr,
    counters: Arc<PeerCounters>,
    received: Arc<Mutex<Vec<Request>>>,
}

impl TestPeer {
    /// Starts a daemon that answers every request with a credit of 7.
    async fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let counters = Arc::new(PeerCounters::default());
        let mut requests = serve(
            listener,
            ServerOptions {
                daemon: DaemonId::new(id),
                keys: keys("fleet"),
                clock: Arc::new(SystemClock),
                counters: Arc::clone(&counters),
            },
        );
        let received = Arc::new(Mutex::new(Vec::new()));
        let request_log = Arc::clone(&received);
        tokio::spawn(async move {
            while let Some(incoming) = requests.recv().await {
                request_log.lock().unwrap().push(incoming.request.clone());
                incoming.answer(Reply::Credit { granted: 7 });
            }
        });
        Self {
            address,
            counters,
            received,
        }
    }

    fn received_count(&self) -> usize {
        self.received.lock().unwrap().len()
    }

    /// Waits until a refused message is counted, and checks that it is the only one.
    async fn expect_one_error(&self, error: MessageError) {
        let deadline = Instant::now() + Duration::from_secs(3);
        while self.counters.snapshot().message_errors.total() == 0 && Instant::now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(50)).await;
        let errors = self.counters.snapshot().message_errors;
        assert_eq!((errors.of(error), errors.total()), (1, 1), "{errors:?}");
    }
}

fn client(fleet: &str) -> (PeerClient, Arc<PeerCounters>) {
    let counters = Arc::new(PeerCounters::default());
    let client = PeerClient::new(ClientOptions {
        daemon: DaemonId::new("asker"),
        keys: keys(fleet),
        clock: Arc::new(SystemClock),
        counters: Arc::clone(&counters),
    });
    (client, counters)
}

fn credit_request() -> Request {
    Request::RequestCredit {
        team: TeamName::new("floors"),
        wanted: 9,
    }
}

async fn request_credit(
    client: &PeerClient,
    peer: SocketAddr,
) -> Result<ExchangeOutcome, ExchangeError> {
    let options = ExchangeOptions {
        peer,
        request: credit_request(),
        timeout: EXCHANGE_TIMEOUT,
    };
    client.exchange(options).await
}

fn request_envelope(sent_at: SystemTime) -> Envelope<Request> {
    Envelope {
        direction: Direction::Request,
        sender: DaemonId::new("asker"),
        receiver: Some(DaemonId::new("b")),
        sent_ms: unix_millis(sent_at),
        nonce: 42,
        message: credit_request(),
    }
}

/// Sends raw bodies over one connection, each after the answer to the one before. Returns how
/// many were answered.
async fn send_raw_bodies(peer: SocketAddr, bodies: Vec<Vec<u8>>) -> usize {
    let stream = TcpStream::connect(peer).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let mut reply_count = 0;
    for body in bodies {
        let Ok(mut sender) = sender.clone().ready().await else {
            break;
        };
        let request_head = http::Request::post("http://peer/mg/1").body(()).unwrap();
        let (response, mut stream) = sender.send_request(request_head, false).unwrap();
        let _ = stream.send_data(Bytes::from(body), true);
        reply_count += usize::from(response.await.is_ok());
    }
    reply_count
}

/// Fails if each exchange opens its own connection, or if the outcome does not name the peer that
/// signed the reply.
#[tokio::test]
async fn exchanges_share_a_connection() {
    let peer = TestPeer::start("b").await;
    let (client, counters) = client("fleet");
    for _ in 0..3 {
        let outcome = request_credit(&client, peer.address).await.unwrap();
        assert_eq!(outcome.peer, DaemonId::new("b"));
        assert_eq!(outcome.reply, Reply::Credit { granted: 7 });
    }
    let counts = counters.snapshot();
    assert_eq!((counts.connections, counts.exchanges), (1, 3));
    assert!(counts.bytes_sent > 0 && counts.bytes_received > 0);
}

/// Fails if a request is accepted that is signed with a key of another fleet or a retired key.
#[tokio::test]
async fn message_of_other_fleet_is_refused() {
    let peer = TestPeer::start("b").await;
    let (client, _) = client("other");
    assert_eq!(
        request_credit(&client, peer.address).await,
        Err(ExchangeError::Broken)
    );
    peer.expect_one_error(MessageError::BadSignature).await;
    assert_eq!(peer.received_count(), 0);
}

/// Fails if a message takes effect again when somebody who recorded it sends it a second time.
#[tokio::test]
async fn replayed_message_is_refused() {
    let peer = TestPeer::start("b").await;
    let body = request_envelope(SystemTime::now()).sign(&keys("fleet"));
    assert_eq!(
        send_raw_bodies(peer.address, vec![body.clone(), body]).await,
        1
    );
    peer.expect_one_error(MessageError::Replayed).await;
    assert_eq!(peer.received_count(), 1);
}

#[derive(Debug, Clone, Copy)]
enum Tampering {
    FlippedBit,
    OtherReceiver,
    NoReceiver,
    ReplyAsRequest,
    ExpiredTime,
    FutureTime,
    TrailingBytes,
    NotAnEnvelope,
    TooLarge,
}

fn tampered_message(tampering: Tampering) -> Vec<u8> {
    let now = SystemTime::now();
    let mut message = request_envelope(now);
    match tampering {
        Tampering::FlippedBit => {
            let mut bytes = message.sign(&keys("fleet"));
            bytes[10] ^= 1;
            return bytes;
        }
        Tampering::OtherReceiver => message.receiver = Some(DaemonId::new("c")),
        Tampering::NoReceiver => message.receiver = None,
        Tampering::ReplyAsRequest => message.direction = Direction::Reply,
        Tampering::ExpiredTime => message = request_envelope(now - Duration::from_secs(31)),
        Tampering::FutureTime => message = request_envelope(now + Duration::from_secs(40)),
        Tampering::TrailingBytes => return sign([message.sign(&keys("fleet")), vec![0]].concat()),
        Tampering::NotAnEnvelope => return sign(vec![0xff; 40]),
        Tampering::TooLarge => return vec![0; 65 << 10],
    }
    message.sign(&keys("fleet"))
}

fn sign(mut bytes: Vec<u8>) -> Vec<u8> {
    let signature = keys("fleet").sign(&bytes);
    bytes.extend_from_slice(&signature);
    bytes
}

/// Fails if an altered, misaddressed, outdated or malformed message takes effect, gets a reply, is
/// counted more than once, or leaves its connection usable.
#[rstest]
#[case(Tampering::FlippedBit, MessageError::BadSignature)]
#[case(Tampering::OtherReceiver, MessageError::Misaddressed)]
#[case(Tampering::NoReceiver, MessageError::Misaddressed)]
#[case(Tampering::ReplyAsRequest, MessageError::Misaddressed)]
#[case(Tampering::ExpiredTime, MessageError::BadTimestamp)]
#[case(Tampering::FutureTime, MessageError::BadTimestamp)]
#[case(Tampering::TrailingBytes, MessageError::Malformed)]
#[case(Tampering::NotAnEnvelope, MessageError::Malformed)]
#[case(Tampering::TooLarge, MessageError::Oversized)]
#[tokio::test]
async fn bad_message_closes_its_connection(
    #[case] tampering: Tampering,
    #[case] error: MessageError,
) {
    let peer = TestPeer::start("b").await;
    let valid_message = request_envelope(SystemTime::now()).sign(&keys("fleet"));
    assert_eq!(
        send_raw_bodies(
            peer.address,
            vec![tampered_message(tampering), valid_message]
        )
        .await,
        0
    );
    peer.expect_one_error(error).await;
    assert_eq!(peer.received_count(), 0);
}

/// Fails if a malformed frame closes other connections too, is counted more than once, or leaves
/// its own connection open.
#[rstest]
#[case::no_preface(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec())]
#[case::bad_frame([b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".as_slice(), &[0, 0, 3, 4, 0, 0, 0, 0, 0, 1, 2, 3]].concat())]
#[tokio::test]
async fn malformed_frame_closes_one_connection(#[case] bytes: Vec<u8>) {
    let peer = TestPeer::start("b").await;
    let (client, counters) = client("fleet");
    request_credit(&client, peer.address).await.unwrap();
    let mut stream = TcpStream::connect(peer.address).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    let mut rest = Vec::new();
    let close_result = tokio::time::timeout(EXCHANGE_TIMEOUT, stream.read_to_end(&mut rest)).await;
    assert!(close_result.is_ok(), "the connection was not closed");
    request_credit(&client, peer.address).await.unwrap();
    assert_eq!(counters.snapshot().connections, 1);
    peer.expect_one_error(MessageError::Malformed).await;
}

/// Fails if a client accepts a reply with the nonce of another request.
#[tokio::test]
async fn reply_to_another_request_is_refused() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (stream, _) = listener.accept().await.unwrap();
        let mut connection = h2::server::handshake(stream).await.unwrap();
        while let Some(Ok((_, mut respond))) = connection.accept().await {
            let reply = Envelope {
                direction: Direction::Reply,
                sender: DaemonId::new("b"),
                receiver: Some(DaemonId::new("asker")),
                sent_ms: unix_millis(SystemTime::now()),
                nonce: 1,
                message: Reply::Hello,
            };
            let mut stream = respond
                .send_response(http::Response::new(()), false)
                .unwrap();
            stream
                .send_data(reply.sign(&keys("fleet")).into(), true)
                .unwrap();
        }
    });
    let (client, counters) = client("fleet");
    let result = request_credit(&client, address).await;
    assert_eq!(result, Err(ExchangeError::BadReply(MessageError::Replayed)));
    assert_eq!(
        counters
            .snapshot()
            .message_errors
            .of(MessageError::Replayed),
        1
    );
}

/// Fails if a nonce is forgotten while a message with it would still be valid, or if it is
/// remembered forever, so that the memory grows without bound.
#[test]
fn nonces_are_remembered_while_messages_are_valid() {
    let mut guard = ReplayGuard::default();
    let start = SystemTime::now();
    guard.accept(1, start).unwrap();
    let before_expiry = start + Duration::from_secs(59);
    assert_eq!(guard.accept(1, before_expiry), Err(MessageError::Replayed));
    guard.accept(1, start + Duration::from_secs(61)).unwrap();
}

/// Starts a proxy that forwards bytes to `to`. Returns its address and, for each connection opened
/// through it, a flag that makes the proxy discard all further bytes.
async fn start_muting_proxy(to: SocketAddr) -> (SocketAddr, Arc<Mutex<Vec<Arc<AtomicBool>>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(Mutex::new(Vec::new()));
    let opened = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.unwrap();
            let muted = Arc::new(AtomicBool::new(false));
            opened.lock().unwrap().push(Arc::clone(&muted));
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(forward(near_read, far_write, Arc::clone(&muted)));
            tokio::spawn(forward(far_read, near_write, muted));
        }
    });
    (address, connections)
}

async fn forward(
    mut from: impl tokio::io::AsyncRead + Unpin,
    mut to: impl tokio::io::AsyncWrite + Unpin,
    muted: Arc<AtomicBool>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        if !muted.load(Ordering::SeqCst) && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

/// Fails if a client keeps using a connection that no longer responds while new connections work.
#[tokio::test]
async fn unresponsive_connection_is_replaced() {
    let peer = TestPeer::start("b").await;
    let (address, connections) = start_muting_proxy(peer.address).await;
    let (client, counters) = client("fleet");
    request_credit(&client, address).await.unwrap();
    connections.lock().unwrap()[0].store(true, Ordering::SeqCst);
    assert_eq!(
        request_credit(&client, address).await,
        Err(ExchangeError::TimedOut)
    );
    request_credit(&client, address).await.unwrap();
    assert_eq!(counters.snapshot().connections, 2);
}

/// Fails if an idle connection that no longer responds is not detected by its pings.
#[tokio::test]
async fn unanswered_ping_counts_as_silent() {
    let peer = TestPeer::start("b").await;
    let (address, connections) = start_muting_proxy(peer.address).await;
    let (client, counters) = client("fleet");
    request_credit(&client, address).await.unwrap();
    connections.lock().unwrap()[0].store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(4_500)).await;
    assert_eq!(counters.snapshot().silent_connections, 1);
}

/// Fails if an exchange with a peer that is not running waits for its timeout.
#[tokio::test]
async fn refused_connection_is_reported_at_once() {
    let address = "127.0.0.1:1".parse().unwrap();
    let (client, _) = client("fleet");
    let start = Instant::now();
    assert_eq!(
        request_credit(&client, address).await,
        Err(ExchangeError::Refused)
    );
    assert!(start.elapsed() < EXCHANGE_TIMEOUT);
}
