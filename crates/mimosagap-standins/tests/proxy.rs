//! Fault modes of the proxy.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;
use support::{StandIn, post};

const READ_TIMEOUT: Duration = Duration::from_millis(300);

/// A proxy in front of an echo server.
struct ProxiedEcho {
    proxy: StandIn,
    control: SocketAddr,
}

impl ProxiedEcho {
    fn new() -> Self {
        let echo = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let target_address = echo.local_addr().expect("an address").to_string();
        std::thread::spawn(move || {
            for stream in echo.incoming().map_while(Result::ok) {
                std::thread::spawn(move || echo_bytes(stream));
            }
        });
        let control = free_address();
        let proxy = StandIn::start(
            "proxy",
            &["--to", &target_address, "--control", &control.to_string()],
        );
        Self { proxy, control }
    }

    fn set_mode(&self, mode: &str, delay_ms: u64) {
        let url = format!("http://{}/control/mode", self.control);
        post(&url, &json!({"mode": mode, "delay_ms": delay_ms})).expect("a control response");
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.proxy.address).expect("the proxy accepts");
        stream
            .set_read_timeout(Some(READ_TIMEOUT))
            .expect("a timeout");
        stream
    }
}

fn echo_bytes(mut stream: TcpStream) {
    let mut buffer = [0; 64];
    while let Ok(count @ 1..) = stream.read(&mut buffer) {
        if stream.write_all(&buffer[..count]).is_err() {
            return;
        }
    }
}

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener.local_addr().expect("an address")
}

fn send(stream: &mut TcpStream) {
    stream.write_all(b"ping").expect("the proxy reads");
}

/// Whether an echo arrives before the read timeout.
fn receives_echo(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 4];
    match stream.read_exact(&mut buffer) {
        Ok(()) => true,
        Err(error) => {
            let silent = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            assert!(
                silent,
                "expected a read timeout, but the connection failed: {error}"
            );
            false
        }
    }
}

fn assert_echo(stream: &mut TcpStream) {
    send(stream);
    assert!(receives_echo(stream));
}

fn assert_silent(stream: &mut TcpStream) {
    send(stream);
    assert!(!receives_echo(stream));
}

/// Guards against a proxy that alters traffic in mode `pass`.
#[test]
fn pass_relays_both_directions_and_their_ends() {
    let link = ProxiedEcho::new();
    let mut stream = link.connect();
    assert_echo(&mut stream);
    stream
        .shutdown(std::net::Shutdown::Write)
        .expect("the write side closes");
    assert_eq!(
        stream
            .read(&mut [0])
            .expect("the end of the stream is relayed"),
        0
    );
}

/// Guards against a cut that looks like a graceful close, or that still accepts connections.
#[test]
fn cut_resets_connections_and_refuses_new_ones() {
    let link = ProxiedEcho::new();
    let mut stream = link.connect();
    assert_echo(&mut stream);
    link.set_mode("cut", 0);
    let error = stream.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let refused = TcpStream::connect(link.proxy.address).expect_err("refused");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    link.set_mode("pass", 0);
    support::wait_until(Duration::from_secs(2), || {
        TcpStream::connect(link.proxy.address).is_ok()
    });
    assert_echo(&mut link.connect());
}

/// Guards against a proxy that accepts connections for a target that has exited: callers could not
/// tell an exited target from a broken link.
#[test]
fn proxy_refuses_connections_while_the_target_does() {
    let target_address = free_address();
    let control = free_address().to_string();
    let options = ["--to", &target_address.to_string(), "--control", &control];
    let proxy = StandIn::start("proxy", &options);
    support::wait_until(Duration::from_secs(2), || {
        let refused = TcpStream::connect(proxy.address).map_err(|error| error.kind());
        refused.is_err_and(|kind| kind == ErrorKind::ConnectionRefused)
    });
    // A control call must not wait for the target.
    let url = format!("http://{control}/control/mode");
    post(&url, &json!({"mode": "cut"})).expect("a control response");
    post(&url, &json!({"mode": "pass"})).expect("a control response");
    let _target = TcpListener::bind(target_address).expect("the port is still free");
    support::wait_until(Duration::from_secs(2), || {
        TcpStream::connect(proxy.address).is_ok()
    });
}

/// Guards against a delay that is not applied, or that is applied to one chunk after the other and
/// so limits the throughput.
#[test]
fn delay_is_added_to_each_direction() {
    let link = ProxiedEcho::new();
    let mut stream = link.connect();
    assert_echo(&mut stream);
    link.set_mode("delay", 50);
    let start = Instant::now();
    for _ in 0..10 {
        send(&mut stream);
        std::thread::sleep(Duration::from_millis(2));
    }
    for _ in 0..10 {
        assert!(receives_echo(&mut stream));
    }
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(100), "took {elapsed:?}");
    assert!(elapsed < Duration::from_millis(300), "took {elapsed:?}");
}

/// Guards against a freeze that loses bytes.
#[test]
fn freeze_holds_bytes_until_the_mode_changes() {
    let link = ProxiedEcho::new();
    let mut stream = link.connect();
    assert_echo(&mut stream);
    link.set_mode("freeze", 0);
    assert_silent(&mut stream);
    let mut new = link.connect();
    assert_silent(&mut new);
    link.set_mode("pass", 0);
    assert!(receives_echo(&mut stream));
    assert!(receives_echo(&mut new));
}

/// Guards against silenced connections that recover or close, which a caller would notice.
#[test]
fn silence_existing_spares_new_connections() {
    let link = ProxiedEcho::new();
    let mut old = link.connect();
    assert_echo(&mut old);
    link.set_mode("silence_existing", 0);
    assert_silent(&mut old);
    assert_echo(&mut link.connect());
    link.set_mode("pass", 0);
    assert_silent(&mut old);
}

/// Guards against a one-way link that still delivers responses.
#[test]
fn one_way_passes_bytes_to_the_target_only() {
    let link = ProxiedEcho::new();
    let mut stream = link.connect();
    assert_echo(&mut stream);
    link.set_mode("one_way", 0);
    assert_silent(&mut stream);
    let mut new = link.connect();
    assert_silent(&mut new);
    link.set_mode("pass", 0);
    // A stream that lost bytes stays silent, because TCP delivers no stream with a gap.
    assert_silent(&mut stream);
    assert_echo(&mut link.connect());
}

/// Guards against a target that goes on with a response after its caller closed the connection while
/// the link was sending an endless head.
#[test]
fn an_endless_head_does_not_hide_the_close_of_the_caller() {
    let target = TcpListener::bind("127.0.0.1:0").expect("a free port");
    let target_address = target.local_addr().expect("an address").to_string();
    let (closed, close) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let (stream, _) = target.accept().expect("the proxy connects");
        echo_bytes(stream);
        closed.send(()).expect("the test waits");
    });
    let control = free_address().to_string();
    let options = ["--to", &target_address, "--control", &control];
    let proxy = StandIn::start("proxy", &options);
    let mut stream = TcpStream::connect(proxy.address).expect("the proxy accepts");
    stream
        .set_read_timeout(Some(READ_TIMEOUT))
        .expect("a timeout");
    assert_echo(&mut stream);
    let url = format!("http://{control}/control/mode");
    post(&url, &json!({"mode": "flood_head"})).expect("a control response");
    drop(stream);
    close
        .recv_timeout(Duration::from_secs(2))
        .expect("the target sees the close");
}
