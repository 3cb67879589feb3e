//! The proxy's fault modes.

mod support;

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

use serde_json::json;
use support::{StandIn, post};

const SILENCE: Duration = Duration::from_millis(300);

/// A proxy in front of an echo server.
struct Link {
    proxy: StandIn,
    control: SocketAddr,
}

impl Link {
    fn new() -> Self {
        let echo = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let to = echo.local_addr().expect("an address").to_string();
        std::thread::spawn(move || {
            for stream in echo.incoming().map_while(Result::ok) {
                std::thread::spawn(move || echo_bytes(stream));
            }
        });
        let control = free_address();
        let proxy = StandIn::start("proxy", &["--to", &to, "--control", &control.to_string()]);
        Self { proxy, control }
    }

    fn set(&self, mode: &str, delay_ms: u64) {
        let url = format!("http://{}/control/mode", self.control);
        post(&url, &json!({"mode": mode, "delay_ms": delay_ms})).expect("a control answer");
    }

    fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.proxy.address).expect("the proxy accepts");
        stream.set_read_timeout(Some(SILENCE)).expect("a timeout");
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
fn hears(stream: &mut TcpStream) -> bool {
    let mut buffer = [0; 4];
    match stream.read_exact(&mut buffer) {
        Ok(()) => true,
        Err(error) => {
            let silent = matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut);
            assert!(silent, "the connection is broken: {error}");
            false
        }
    }
}

fn assert_works(stream: &mut TcpStream) {
    send(stream);
    assert!(hears(stream));
}

fn assert_silent(stream: &mut TcpStream) {
    send(stream);
    assert!(!hears(stream));
}

/// Guards against a proxy that changes an undisturbed link.
#[test]
fn pass_relays_both_ways_and_the_end() {
    let link = Link::new();
    let mut stream = link.connect();
    assert_works(&mut stream);
    stream.shutdown(std::net::Shutdown::Write).expect("an end");
    assert_eq!(stream.read(&mut [0]).expect("the end comes back"), 0);
}

/// Guards against a cut that looks like an orderly end, or that still accepts connections.
#[test]
fn cut_resets_and_refuses() {
    let link = Link::new();
    let mut stream = link.connect();
    assert_works(&mut stream);
    link.set("cut", 0);
    let error = stream.read(&mut [0]).expect_err("a reset");
    assert_eq!(error.kind(), ErrorKind::ConnectionReset);
    let refused = TcpStream::connect(link.proxy.address).expect_err("refused");
    assert_eq!(refused.kind(), ErrorKind::ConnectionRefused);
    link.set("pass", 0);
    support::wait_until(Duration::from_secs(2), || {
        TcpStream::connect(link.proxy.address).is_ok()
    });
    assert_works(&mut link.connect());
}

/// Guards against a proxy that accepts connections for a target which is gone: its callers could not
/// tell a dead target from a broken link.
#[test]
fn refused_target_is_refused_by_the_proxy() {
    let to = free_address();
    let control = free_address().to_string();
    let options = ["--to", &to.to_string(), "--control", &control];
    let proxy = StandIn::start("proxy", &options);
    support::wait_until(Duration::from_secs(2), || {
        let refused = TcpStream::connect(proxy.address).map_err(|error| error.kind());
        refused.is_err_and(|kind| kind == ErrorKind::ConnectionRefused)
    });
    // Guards against a control call that waits for the target.
    let url = format!("http://{control}/control/mode");
    post(&url, &json!({"mode": "cut"})).expect("a control answer");
    post(&url, &json!({"mode": "pass"})).expect("a control answer");
    let _target = TcpListener::bind(to).expect("the port is still free");
    support::wait_until(Duration::from_secs(2), || {
        TcpStream::connect(proxy.address).is_ok()
    });
}

/// Guards against a delay that is not applied, or that limits the throughput instead.
#[test]
fn delay_is_added_to_each_direction() {
    let link = Link::new();
    let mut stream = link.connect();
    assert_works(&mut stream);
    link.set("delay", 50);
    let start = Instant::now();
    for _ in 0..10 {
        send(&mut stream);
        std::thread::sleep(Duration::from_millis(2));
    }
    for _ in 0..10 {
        assert!(hears(&mut stream));
    }
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(100), "took {elapsed:?}");
    assert!(elapsed < Duration::from_millis(300), "took {elapsed:?}");
}

/// Guards against a freeze that loses bytes.
#[test]
fn freeze_holds_bytes_until_changed() {
    let link = Link::new();
    let mut stream = link.connect();
    assert_works(&mut stream);
    link.set("freeze", 0);
    assert_silent(&mut stream);
    let mut new = link.connect();
    assert_silent(&mut new);
    link.set("pass", 0);
    assert!(hears(&mut stream));
    assert!(hears(&mut new));
}

/// Guards against silenced connections that recover or end, which a caller would notice.
#[test]
fn silence_spares_new_connections() {
    let link = Link::new();
    let mut old = link.connect();
    assert_works(&mut old);
    link.set("silence_existing", 0);
    assert_silent(&mut old);
    assert_works(&mut link.connect());
    link.set("pass", 0);
    assert_silent(&mut old);
}

/// Guards against answers that pass a link which loses one direction.
#[test]
fn one_way_passes_bytes_to_the_target_only() {
    let link = Link::new();
    let mut stream = link.connect();
    assert_works(&mut stream);
    link.set("one_way", 0);
    assert_silent(&mut stream);
    let mut new = link.connect();
    assert_silent(&mut new);
    link.set("pass", 0);
    // A stream with a hole is never delivered.
    assert_silent(&mut stream);
    assert_works(&mut link.connect());
}
