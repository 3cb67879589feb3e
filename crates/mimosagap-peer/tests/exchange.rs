//! Exchanges between two daemons, and messages that must be refused.

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

const LIMIT: Duration = Duration::from_secs(1);

fn keys(text: &str) -> FleetKeys {
    FleetKeys::new(vec![text.as_bytes().to_vec()])
}

struct Peer {
    address: SocketAddr,
    counters: Arc<PeerCounters>,
    heard: Arc<Mutex<Vec<Request>>>,
}

impl Peer {
    /// A daemon that grants 7 to every question for credit.
    async fn start(id: &str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let counters = Arc::new(PeerCounters::default());
        let mut incoming = serve(
            listener,
            ServerOptions {
                daemon: DaemonId::new(id),
                keys: keys("fleet"),
                clock: Arc::new(SystemClock),
                counters: Arc::clone(&counters),
            },
        );
        let heard = Arc::new(Mutex::new(Vec::new()));
        let log = Arc::clone(&heard);
        tokio::spawn(async move {
            while let Some(message) = incoming.recv().await {
                log.lock().unwrap().push(message.request.clone());
                message.answer(Reply::Credit { granted: 7 });
            }
        });
        Self {
            address,
            counters,
            heard,
        }
    }

    fn heard(&self) -> usize {
        self.heard.lock().unwrap().len()
    }

    /// Waits until a fault is counted, and checks that there is no other.
    async fn expect_one_fault(&self, fault: MessageError) {
        let deadline = Instant::now() + Duration::from_secs(3);
        while self.counters.snapshot().message_errors.total() == 0 && Instant::now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }
        sleep(Duration::from_millis(50)).await;
        let faults = self.counters.snapshot().message_errors;
        assert_eq!((faults.of(fault), faults.total()), (1, 1), "{faults:?}");
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

fn question() -> Request {
    Request::RequestCredit {
        team: TeamName::new("floors"),
        wanted: 9,
    }
}

async fn ask(client: &PeerClient, peer: SocketAddr) -> Result<ExchangeOutcome, ExchangeError> {
    let options = ExchangeOptions {
        peer,
        request: question(),
        timeout: LIMIT,
    };
    client.exchange(options).await
}

fn envelope(sent: SystemTime) -> Envelope<Request> {
    Envelope {
        direction: Direction::Request,
        sender: DaemonId::new("asker"),
        receiver: Some(DaemonId::new("b")),
        sent_ms: unix_millis(sent),
        nonce: 42,
        message: question(),
    }
}

/// Sends raw bodies over one connection, each after the answer to the one before. Returns how
/// many were answered.
async fn send_raw(peer: SocketAddr, bodies: Vec<Vec<u8>>) -> usize {
    let stream = TcpStream::connect(peer).await.unwrap();
    let (sender, connection) = h2::client::handshake(stream).await.unwrap();
    tokio::spawn(connection);
    let mut answered = 0;
    for body in bodies {
        let Ok(mut sender) = sender.clone().ready().await else {
            break;
        };
        let head = http::Request::post("http://peer/mg/1").body(()).unwrap();
        let (response, mut stream) = sender.send_request(head, false).unwrap();
        let _ = stream.send_data(Bytes::from(body), true);
        answered += usize::from(response.await.is_ok());
    }
    answered
}

/// Guards against exchanges that each open a connection, and against a reply whose sender is not
/// proved.
#[tokio::test]
async fn exchanges_share_a_connection() {
    let peer = Peer::start("b").await;
    let (client, counters) = client("fleet");
    for _ in 0..3 {
        let outcome = ask(&client, peer.address).await.unwrap();
        assert_eq!(outcome.peer, DaemonId::new("b"));
        assert_eq!(outcome.reply, Reply::Credit { granted: 7 });
    }
    let counts = counters.snapshot();
    assert_eq!((counts.connections, counts.exchanges), (1, 3));
    assert!(counts.bytes_sent > 0 && counts.bytes_received > 0);
}

/// Guards against a daemon of another fleet, or one with a retired key, being heard.
#[tokio::test]
async fn other_fleet_is_refused() {
    let peer = Peer::start("b").await;
    let (client, _) = client("other");
    assert_eq!(ask(&client, peer.address).await, Err(ExchangeError::Broken));
    peer.expect_one_fault(MessageError::Forged).await;
    assert_eq!(peer.heard(), 0);
}

/// Guards against a recorded message that takes effect a second time.
#[tokio::test]
async fn replayed_message_is_refused() {
    let peer = Peer::start("b").await;
    let body = envelope(SystemTime::now()).seal(&keys("fleet"));
    assert_eq!(send_raw(peer.address, vec![body.clone(), body]).await, 1);
    peer.expect_one_fault(MessageError::Replayed).await;
    assert_eq!(peer.heard(), 1);
}

#[derive(Debug, Clone, Copy)]
enum Tampering {
    FlippedBit,
    OtherReceiver,
    NoReceiver,
    ReplyAsRequest,
    Old,
    Future,
    TrailingBytes,
    NotAMessage,
    TooLarge,
}

fn tampered(tampering: Tampering) -> Vec<u8> {
    let now = SystemTime::now();
    let mut message = envelope(now);
    match tampering {
        Tampering::FlippedBit => {
            let mut bytes = message.seal(&keys("fleet"));
            bytes[10] ^= 1;
            return bytes;
        }
        Tampering::OtherReceiver => message.receiver = Some(DaemonId::new("c")),
        Tampering::NoReceiver => message.receiver = None,
        Tampering::ReplyAsRequest => message.direction = Direction::Reply,
        Tampering::Old => message = envelope(now - Duration::from_secs(31)),
        Tampering::Future => message = envelope(now + Duration::from_secs(40)),
        Tampering::TrailingBytes => return sign([message.seal(&keys("fleet")), vec![0]].concat()),
        Tampering::NotAMessage => return sign(vec![0xff; 40]),
        Tampering::TooLarge => return vec![0; 65 << 10],
    }
    message.seal(&keys("fleet"))
}

fn sign(mut bytes: Vec<u8>) -> Vec<u8> {
    let tag = keys("fleet").sign(&bytes);
    bytes.extend_from_slice(&tag);
    bytes
}

/// Guards against altered, foreign, stale and malformed messages taking effect, being answered,
/// or being counted more than once.
#[rstest]
#[case(Tampering::FlippedBit, MessageError::Forged)]
#[case(Tampering::OtherReceiver, MessageError::Foreign)]
#[case(Tampering::NoReceiver, MessageError::Foreign)]
#[case(Tampering::ReplyAsRequest, MessageError::Foreign)]
#[case(Tampering::Old, MessageError::Stale)]
#[case(Tampering::Future, MessageError::Stale)]
#[case(Tampering::TrailingBytes, MessageError::Malformed)]
#[case(Tampering::NotAMessage, MessageError::Malformed)]
#[case(Tampering::TooLarge, MessageError::Oversized)]
#[tokio::test]
async fn bad_message_closes_its_connection(
    #[case] tampering: Tampering,
    #[case] fault: MessageError,
) {
    let peer = Peer::start("b").await;
    let good = envelope(SystemTime::now()).seal(&keys("fleet"));
    assert_eq!(
        send_raw(peer.address, vec![tampered(tampering), good]).await,
        0
    );
    peer.expect_one_fault(fault).await;
    assert_eq!(peer.heard(), 0);
}

/// Guards against a malformed frame that disturbs other connections or is counted more than once.
#[rstest]
#[case::no_preface(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n".to_vec())]
#[case::bad_frame([b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n".as_slice(), &[0, 0, 3, 4, 0, 0, 0, 0, 0, 1, 2, 3]].concat())]
#[tokio::test]
async fn malformed_frame_closes_one_connection(#[case] bytes: Vec<u8>) {
    let peer = Peer::start("b").await;
    let (client, counters) = client("fleet");
    ask(&client, peer.address).await.unwrap();
    let mut stream = TcpStream::connect(peer.address).await.unwrap();
    stream.write_all(&bytes).await.unwrap();
    let mut rest = Vec::new();
    let closed = tokio::time::timeout(LIMIT, stream.read_to_end(&mut rest)).await;
    assert!(closed.is_ok(), "the connection stays open");
    ask(&client, peer.address).await.unwrap();
    assert_eq!(counters.snapshot().connections, 1);
    peer.expect_one_fault(MessageError::Malformed).await;
}

/// Guards against a reply that was made for another question.
#[tokio::test]
async fn reply_to_another_question_is_refused() {
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
                .send_data(reply.seal(&keys("fleet")).into(), true)
                .unwrap();
        }
    });
    let (client, counters) = client("fleet");
    let result = ask(&client, address).await;
    assert_eq!(result, Err(ExchangeError::BadReply(MessageError::Replayed)));
    assert_eq!(
        counters
            .snapshot()
            .message_errors
            .of(MessageError::Replayed),
        1
    );
}

/// Guards against the memory of nonces growing without bound or forgetting too early.
#[test]
fn nonces_are_remembered_for_the_window() {
    let mut guard = ReplayGuard::default();
    let start = SystemTime::now();
    guard.accept(1, start).unwrap();
    let late = start + Duration::from_secs(59);
    assert_eq!(guard.accept(1, late), Err(MessageError::Replayed));
    guard.accept(1, start + Duration::from_secs(61)).unwrap();
}

/// Passes bytes on until told to swallow those of the connections that are open then.
async fn silencing_proxy(to: SocketAddr) -> (SocketAddr, Arc<Mutex<Vec<Arc<AtomicBool>>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let connections = Arc::new(Mutex::new(Vec::new()));
    let opened = Arc::clone(&connections);
    tokio::spawn(async move {
        while let Ok((near, _)) = listener.accept().await {
            let far = TcpStream::connect(to).await.unwrap();
            let silent = Arc::new(AtomicBool::new(false));
            opened.lock().unwrap().push(Arc::clone(&silent));
            let (near_read, near_write) = near.into_split();
            let (far_read, far_write) = far.into_split();
            tokio::spawn(pass(near_read, far_write, Arc::clone(&silent)));
            tokio::spawn(pass(far_read, near_write, silent));
        }
    });
    (address, connections)
}

async fn pass(
    mut from: impl tokio::io::AsyncRead + Unpin,
    mut to: impl tokio::io::AsyncWrite + Unpin,
    silent: Arc<AtomicBool>,
) {
    let mut buffer = [0; 4_096];
    while let Ok(read @ 1..) = from.read(&mut buffer).await {
        if !silent.load(Ordering::SeqCst) && to.write_all(&buffer[..read]).await.is_err() {
            return;
        }
    }
}

/// Guards against a daemon that keeps asking over a connection which went silent for good while
/// new ones work.
#[tokio::test]
async fn silent_connection_is_replaced() {
    let peer = Peer::start("b").await;
    let (address, connections) = silencing_proxy(peer.address).await;
    let (client, counters) = client("fleet");
    ask(&client, address).await.unwrap();
    connections.lock().unwrap()[0].store(true, Ordering::SeqCst);
    assert_eq!(ask(&client, address).await, Err(ExchangeError::TimedOut));
    ask(&client, address).await.unwrap();
    assert_eq!(counters.snapshot().connections, 2);
}

/// Guards against a silent connection that nobody notices because nothing is asked over it.
#[tokio::test]
async fn unanswered_ping_counts_as_silent() {
    let peer = Peer::start("b").await;
    let (address, connections) = silencing_proxy(peer.address).await;
    let (client, counters) = client("fleet");
    ask(&client, address).await.unwrap();
    connections.lock().unwrap()[0].store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(4_500)).await;
    assert_eq!(counters.snapshot().silent_connections, 1);
}

/// Guards against a peer that is gone being waited for.
#[tokio::test]
async fn refused_connection_is_reported_at_once() {
    let address = "127.0.0.1:1".parse().unwrap();
    let (client, _) = client("fleet");
    let start = Instant::now();
    assert_eq!(ask(&client, address).await, Err(ExchangeError::Refused));
    assert!(start.elapsed() < LIMIT);
}
