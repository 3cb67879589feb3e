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

type SendBody = fn(&mut TcpStream, usize, &Barrier) -> std::io::Result<()>;

/// Connects the crowd and sends its bodies, each on a thread. Returns the connections, which stay
/// open until they are dropped.
fn send_crowd(gateway: SocketAddr, send_body: SendBody) -> Vec<TcpStream> {
    let limit_reached = Arc::new(Barrier::new(CLIENTS));
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            let limit_reached = Arc::clone(&limit_reached);
            std::thread::spawn(move || {
                let mut stream = TcpStream::connect(gateway).expect("the gateway listens");
                stream
                    .set_write_timeout(Some(IO_TIMEOUT))
                    .expect("the timeout is valid");
                // The gateway may refuse the request or close the connection.
                let _ = send_body(&mut stream, number, &limit_reached);
                stream
            })
        })
        .collect();
    let streams = clients.into_iter().map(std::thread::JoinHandle::join);
    streams
        .map(|stream| stream.expect("a client does not panic"))
        .collect()
}

/// Checks that a gateway on a small machine survives a crowd, stays within the machine and answers
/// an ordinary request afterwards, while the crowd is still connected.
fn check_crowd(send_body: SendBody, base_port: u16) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    support::run(async {
        let limits = GatewayLimits {
            memory_mb: MEMORY_MB,
            max_fds: Some(MAX_FDS),
        };
        let target = start_reading_target();
        let scene = Scene::start_with_limits(target, base_port, limits, |store| {
            let mut config = support::config();
            config["limits"] = json!({
                "max_header_bytes": 16384, "max_body_bytes": MAX_BODY_BYTES,
                "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
            });
            // The crowd must not run into the deadline of its requests before it is measured.
            for route in config["routes"].as_array_mut().expect("a list") {
                route["timeout_ms"] = json!(30_000);
            }
            store.put("op/config", &config);
        });
        let mut scene = scene.await;
        let address = scene.gateway.client_address;
        let crowd = tokio::task::spawn_blocking(move || send_crowd(address, send_body));
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
    check_crowd(send_large_body, 27_300);
}

/// A gateway kept the read buffers of chunked bodies, which are a multiple of tiny chunks.
#[test]
fn chunked_bodies_that_stop_before_their_end_fill_the_memory() {
    check_crowd(send_chunked_body, 27_310);
}

/// A gateway read bodies up to the limit before it refused them, announced or not.
#[test]
fn bodies_far_over_the_limit_fill_the_memory() {
    check_crowd(send_excessive_body, 27_320);
}
