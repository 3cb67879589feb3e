//! Clients that respect no limits: crowds of large bodies, of chunked bodies and of bodies over the
//! limit, most of which stop before their end and stay open.
//!
//! The machine in the settings is small, so that a small crowd exceeds it.

mod support;
#[path = "support/targets.rs"]
mod targets;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Barrier, Mutex, PoisonError};
use std::time::Duration;

use mimosagap_soak::process::GatewayLimits;
use rstest::rstest;
use serde_json::json;
use support::{Scene, read_head};
use targets::{attempt_id, start_target};

/// Memory of the machine in MiB.
const MEMORY_MB: u32 = 48;

/// Descriptors of the machine.
const MAX_FDS: u32 = 328;

/// Descriptors that are reserved for files on every machine.
const RESERVED_FDS: u32 = 200;

/// Longest body that the configuration allows.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Connections of the crowd.
const CLIENTS: usize = 120;

/// Connections of the crowd that sends no request. The heads that never end are cut off even without
/// a bound, so only two thirds of the connections stay.
const CLIENTS_WITHOUT_REQUEST: usize = 240;

/// Length of the bodies that are sent in chunks of one to sixteen bytes.
const TINY_CHUNKED_BYTES: usize = 96 << 10;

/// What a body over the limit announces, and what its client sends of it at most.
const EXCESSIVE_BYTES: usize = 64 << 20;
const EXCESSIVE_SENT_BYTES: usize = 4 << 20;

/// Length of a piece of a body.
const PIECE_BYTES: usize = 16 << 10;

/// How long the crowd stays after it has sent everything.
const STAY_TIME: Duration = Duration::from_millis(1500);

/// Limit on a write and on a read of a client.
const IO_TIMEOUT: Duration = Duration::from_secs(10);

/// The cases measure the memory of a process, and must not compete for that of the machine.
static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// Answers at once and reads the rest of the request.
fn start_reading_target() -> SocketAddr {
    start_target(|stream| {
        let request = read_head(stream);
        let id = attempt_id(&request);
        let response = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n\
             connection: close\r\ncontent-length: 4\r\n\r\ndone"
        );
        if stream.write_all(response.as_bytes()).is_ok() {
            let mut rest = vec![0; PIECE_BYTES];
            while stream.read(&mut rest).is_ok_and(|count| count > 0) {}
        }
    })
}

fn head(number: usize, framing: &str) -> String {
    format!(
        "POST /once/x HTTP/1.1\r\nhost: soak.example\r\nx-attempt-id: c{number}\r\n{framing}\r\n\r\n"
    )
}

/// Frames a body of this length in chunks whose sizes repeat, without the last chunk of the body.
fn chunked(length: usize, sizes: &[usize]) -> Vec<u8> {
    let mut bytes = Vec::new();
    let mut left = length;
    for size in sizes.iter().cycle() {
        if left == 0 {
            break;
        }
        let size = left.min(*size);
        bytes.extend_from_slice(format!("{size:x}\r\n").as_bytes());
        bytes.resize(bytes.len() + size, b'x');
        bytes.extend_from_slice(b"\r\n");
        left -= size;
    }
    bytes
}

/// One client in eight sends its body to the end.
fn is_complete(number: usize) -> bool {
    number.is_multiple_of(8)
}

/// Large bodies of legal size, every second one in pieces.
fn send_large_body(stream: &mut TcpStream, number: usize, _: &Barrier) -> std::io::Result<()> {
    let framing = format!("content-length: {MAX_BODY_BYTES}");
    stream.write_all(head(number, &framing).as_bytes())?;
    let left_out = usize::from(!is_complete(number));
    let body = vec![b'x'; MAX_BODY_BYTES - left_out];
    if number.is_multiple_of(2) {
        return stream.write_all(&body);
    }
    for piece in body.chunks(PIECE_BYTES) {
        stream.write_all(piece)?;
        std::thread::sleep(Duration::from_millis(1));
    }
    Ok(())
}

/// Chunked bodies of legal size, every second one in chunks of one to sixteen bytes.
fn send_chunked_body(stream: &mut TcpStream, number: usize, _: &Barrier) -> std::io::Result<()> {
    stream.write_all(head(number, "transfer-encoding: chunked").as_bytes())?;
    let tiny_sizes: Vec<usize> = (1..=16).collect();
    let body = if number.is_multiple_of(2) {
        chunked(MAX_BODY_BYTES, &[PIECE_BYTES])
    } else {
        chunked(TINY_CHUNKED_BYTES, &tiny_sizes)
    };
    for piece in body.chunks(PIECE_BYTES) {
        stream.write_all(piece)?;
    }
    if is_complete(number) {
        stream.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Bodies far over the limit, every second one announced. All clients reach the limit before any
/// exceeds it, and every fourth one stops there.
fn send_excessive_body(
    stream: &mut TcpStream,
    number: usize,
    limit_reached: &Barrier,
) -> std::io::Result<()> {
    let is_announced = number.is_multiple_of(2);
    let framing = if is_announced {
        format!("content-length: {EXCESSIVE_BYTES}")
    } else {
        "transfer-encoding: chunked".to_owned()
    };
    let piece = if is_announced {
        vec![b'x'; PIECE_BYTES]
    } else {
        chunked(PIECE_BYTES, &[PIECE_BYTES])
    };
    let send_pieces = |stream: &mut TcpStream, length: usize| -> std::io::Result<()> {
        for _ in 0..length / PIECE_BYTES {
            stream.write_all(&piece)?;
        }
        Ok(())
    };
    let sent = stream
        .write_all(head(number, &framing).as_bytes())
        .and_then(|()| send_pieces(stream, MAX_BODY_BYTES - PIECE_BYTES));
    limit_reached.wait();
    sent?;
    if number % 4 < 2 {
        return Ok(());
    }
    send_pieces(stream, EXCESSIVE_SENT_BYTES)
}

/// A configuration with this limit on bodies.
fn config(max_body_bytes: usize) -> serde_json::Value {
    let mut config = support::config();
    config["limits"] = json!({
        "max_header_bytes": 16384, "max_body_bytes": max_body_bytes,
        "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
    });
    // The crowd must not run into the deadline of its requests before it is measured.
    for route in config["routes"].as_array_mut().expect("a list") {
        route["timeout_ms"] = json!(30_000);
    }
    config
}

/// Which listeners of the gateway the crowd connects to.
#[derive(Debug, Clone, Copy)]
enum Listeners {
    Callers,
    /// Those for callers, readiness, lookups and other hosts.
    All,
}

impl Listeners {
    fn addresses(self, callers: SocketAddr) -> Vec<SocketAddr> {
        let count = match self {
            Self::Callers => 1,
            Self::All => 4,
        };
        let ports = (0..count).map(|offset| callers.port() + offset);
        ports
            .map(|port| SocketAddr::new(callers.ip(), port))
            .collect()
    }
}

type SendRequest = fn(&mut TcpStream, usize, &Barrier) -> std::io::Result<()>;

/// Clients that connect at the same time.
#[derive(Debug, Clone, Copy)]
struct Crowd {
    clients: usize,
    listeners: Listeners,
    send: SendRequest,
    target: fn() -> SocketAddr,
}

impl Crowd {
    /// A crowd of callers.
    fn new(send: SendRequest) -> Self {
        Self {
            clients: CLIENTS,
            listeners: Listeners::Callers,
            send,
            target: start_reading_target,
        }
    }

    /// Connects the clients, to each listener in turn, and sends what each has to send on a thread.
    /// Returns the connections, which stay open until they are dropped.
    fn send(self, callers: SocketAddr) -> Vec<TcpStream> {
        let addresses = self.listeners.addresses(callers);
        let limit_reached = Arc::new(Barrier::new(self.clients));
        let clients: Vec<_> = (0..self.clients)
            .map(|number| {
                let address = addresses[number % addresses.len()];
                let limit_reached = Arc::clone(&limit_reached);
                std::thread::spawn(move || {
                    let mut stream = TcpStream::connect(address).expect("the gateway listens");
                    stream
                        .set_write_timeout(Some(IO_TIMEOUT))
                        .expect("the timeout is valid");
                    // The gateway may refuse the request or close the connection.
                    let _ = (self.send)(&mut stream, number, &limit_reached);
                    stream
                })
            })
            .collect();
        let streams = clients.into_iter().map(std::thread::JoinHandle::join);
        streams
            .map(|stream| stream.expect("a client does not panic"))
            .collect()
    }
}

/// Checks that a gateway on a small machine survives a crowd, stays within the machine and answers
/// an ordinary request afterwards, while the crowd is still connected.
fn check_crowd(crowd: Crowd, base_port: u16) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    support::run(async {
        let limits = GatewayLimits {
            memory_mb: MEMORY_MB,
            max_fds: Some(MAX_FDS),
        };
        let target = (crowd.target)();
        let scene = Scene::start_with_limits(target, base_port, limits, |store| {
            store.put("op/config", &config(MAX_BODY_BYTES));
        });
        let mut scene = scene.await;
        let address = scene.gateway.client_address;
        let crowd = tokio::task::spawn_blocking(move || crowd.send(address));
        let crowd = crowd.await.expect("the crowd has sent");
        tokio::time::sleep(STAY_TIME).await;
        let usage = scene.gateway.resource_usage();
        let response = scene.exchange("/once/sound", "b1").await;
        let is_alive = !scene.gateway.has_exited();
        let usage_afterwards = scene.gateway.resource_usage();
        drop(crowd);
        assert!(is_alive, "the gateway has exited");
        let usages = [usage, usage_afterwards].map(|usage| usage.expect("the gateway runs"));
        let peak = usages.map(|usage| usage.peak_memory_bytes);
        let peak = peak.into_iter().max().unwrap_or(0);
        let descriptors = usages.map(|usage| usage.descriptors);
        let descriptors = descriptors.into_iter().max().unwrap_or(0);
        println!("peak memory {peak} bytes, {descriptors} descriptors, {response:?}");
        assert!(
            peak <= u64::from(MEMORY_MB) << 20,
            "{peak} bytes of {MEMORY_MB} MiB"
        );
        assert!(
            descriptors <= (MAX_FDS - RESERVED_FDS) as usize,
            "{descriptors} descriptors of {MAX_FDS}, {RESERVED_FDS} of them reserved"
        );
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    });
}

/// A gateway read every body of legal size into memory, and the sum exceeded the machine.
#[test]
fn large_bodies_that_stop_before_their_end_fill_the_memory() {
    check_crowd(Crowd::new(send_large_body), 27_300);
}

/// A gateway kept the read buffers of chunked bodies, which are a multiple of tiny chunks.
#[test]
fn chunked_bodies_that_stop_before_their_end_fill_the_memory() {
    check_crowd(Crowd::new(send_chunked_body), 27_310);
}

/// A gateway read bodies up to the limit before it refused them, announced or not.
#[test]
fn bodies_far_over_the_limit_fill_the_memory() {
    check_crowd(Crowd::new(send_excessive_body), 27_320);
}

/// Connections that send nothing, heads that stop before their end, and heads that never end.
fn send_no_head(stream: &mut TcpStream, number: usize, _: &Barrier) -> std::io::Result<()> {
    // The clients of each listener do all three.
    match number / 4 % 3 {
        0 => Ok(()),
        1 => stream.write_all(head(number, "x-unfinished: ").trim_end().as_bytes()),
        _ => {
            stream.write_all(b"GET /once/x HTTP/1.1\r\nx-endless: ")?;
            for _ in 0..MAX_BODY_BYTES / PIECE_BYTES {
                stream.write_all(&[b'x'; PIECE_BYTES])?;
            }
            Ok(())
        }
    }
}

/// Connections without a request used up the descriptors of the machine.
#[test]
fn connections_without_a_request_fill_the_descriptors() {
    let crowd = Crowd {
        clients: CLIENTS_WITHOUT_REQUEST,
        listeners: Listeners::All,
        ..Crowd::new(send_no_head)
    };
    check_crowd(crowd, 27_330);
}

/// Reads a response until the gateway closes the connection.
fn read_response(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(IO_TIMEOUT))
        .expect("the timeout is valid");
    let mut response = Vec::new();
    // A connection whose request was not read to its end may be reset after the response.
    let _ = stream.read_to_end(&mut response);
    String::from_utf8_lossy(&response).into_owned()
}

/// Sends one request and returns its response.
fn send_alone(gateway: SocketAddr, framing: &str, body: &[u8]) -> String {
    let mut stream = TcpStream::connect(gateway).expect("the gateway listens");
    let framing = format!("connection: close\r\n{framing}");
    stream
        .write_all(head(1, &framing).as_bytes())
        .expect("the gateway reads");
    for piece in body.chunks(PIECE_BYTES) {
        stream.write_all(piece).expect("the gateway reads");
    }
    read_response(&mut stream)
}

/// The budget must not refuse a single body of the longest length that callers are promised, on the
/// smallest machines and however it arrives.
#[rstest]
#[case::smallest(88, 27_340)]
#[case::small(110, 27_350)]
fn a_single_body_of_the_longest_length_is_served(#[case] memory_mb: u32, #[case] base_port: u16) {
    const LONGEST_BYTES: usize = 4 << 20;
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    support::run(async {
        let limits = GatewayLimits {
            memory_mb,
            max_fds: Some(2_870),
        };
        let target = start_reading_target();
        let scene = Scene::start_with_limits(target, base_port, limits, |store| {
            store.put("op/config", &config(LONGEST_BYTES));
        });
        let scene = scene.await;
        let address = scene.gateway.client_address;
        let tiny_sizes: Vec<usize> = (1..=16).collect();
        let declared = format!("content-length: {LONGEST_BYTES}");
        let framed = "transfer-encoding: chunked";
        let end = b"0\r\n\r\n".to_vec();
        let requests = [
            (declared.as_str(), vec![b'x'; LONGEST_BYTES]),
            (
                framed,
                [chunked(LONGEST_BYTES, &[PIECE_BYTES]), end.clone()].concat(),
            ),
            (framed, [chunked(LONGEST_BYTES, &tiny_sizes), end].concat()),
        ];
        for (framing, body) in requests {
            let framing = framing.to_owned();
            let exchange =
                tokio::task::spawn_blocking(move || send_alone(address, &framing, &body));
            let response = exchange.await.expect("the exchange ends");
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        }
    });
}

/// A status must say what happened: 413 only for a body that the configuration forbids, and 503 with
/// a time to return for one that the machine has no memory for.
#[test]
fn refusals_of_bodies_say_why() {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    support::run(async {
        let limits = GatewayLimits {
            memory_mb: MEMORY_MB,
            max_fds: Some(MAX_FDS),
        };
        let target = start_reading_target();
        let scene = Scene::start_with_limits(target, 27_360, limits, |store| {
            store.put("op/config", &config(MAX_BODY_BYTES));
        });
        let scene = scene.await;
        let address = scene.gateway.client_address;
        let checks = tokio::task::spawn_blocking(move || {
            let too_long = format!("content-length: {}", MAX_BODY_BYTES + 1);
            let response = send_alone(address, &too_long, b"");
            assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
            let body = chunked(MAX_BODY_BYTES + 1, &[PIECE_BYTES]);
            let response = send_alone(address, "transfer-encoding: chunked", &body);
            assert!(response.starts_with("HTTP/1.1 413"), "{response:?}");
            // All are of legal length and more than fit, and none sends its body.
            let mut stalled: Vec<TcpStream> = (0..12)
                .map(|number| {
                    let mut stream = TcpStream::connect(address).expect("the gateway listens");
                    let framing = format!("content-length: {MAX_BODY_BYTES}");
                    stream
                        .write_all(head(number, &framing).as_bytes())
                        .expect("the gateway reads");
                    stream
                })
                .collect();
            let last = stalled.last_mut().expect("there are some");
            let response = read_response(last).to_ascii_lowercase();
            assert!(response.starts_with("http/1.1 503"), "{response:?}");
            assert!(response.contains("retry-after: "), "{response:?}");
            assert!(response.contains("request_memory"), "{response:?}");
            // The stalled ones give way to a body that arrives.
            std::thread::sleep(STAY_TIME);
            let framing = format!("content-length: {MAX_BODY_BYTES}");
            let response = send_alone(address, &framing, &vec![b'x'; MAX_BODY_BYTES]);
            assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        });
        checks.await.expect("the checks pass");
    });
}

/// Answers with a long response at once and reads the rest of the request.
fn start_long_target() -> SocketAddr {
    start_target(|stream| {
        let request = read_head(stream);
        let id = attempt_id(&request);
        let length = if request.contains("/long") {
            MAX_BODY_BYTES
        } else {
            4
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n\
             connection: close\r\ncontent-length: {length}\r\n\r\n"
        );
        let _ = stream.write_all(head.as_bytes());
        let _ = stream.write_all(&vec![b'x'; length]);
        let mut rest = vec![0; PIECE_BYTES];
        while stream.read(&mut rest).is_ok_and(|count| count > 0) {}
    })
}

/// Callers who ask for long responses one after the other and read none of them.
fn send_and_read_nothing(
    stream: &mut TcpStream,
    number: usize,
    _: &Barrier,
) -> std::io::Result<()> {
    std::thread::sleep(Duration::from_millis(25) * u32::try_from(number).unwrap_or(0));
    let request =
        format!("GET /once/long HTTP/1.1\r\nhost: soak.example\r\nx-attempt-id: c{number}\r\n\r\n");
    stream.write_all(request.as_bytes())
}

/// Guards against responses that nobody reads filling the memory of the process. They do not fit into
/// the kernel's send buffers since these are bounded; before that the kernel kept them, which the
/// memory of the process does not show.
#[test]
fn responses_that_nobody_reads_fill_the_memory() {
    let crowd = Crowd {
        target: start_long_target,
        ..Crowd::new(send_and_read_nothing)
    };
    check_crowd(crowd, 27_370);
}
