//! Targets that a test plays by itself.

use std::net::{SocketAddr, TcpListener, TcpStream};

/// Starts a target that handles each connection on a thread of its own.
pub fn start_target(handle: impl Fn(&mut TcpStream) + Clone + Send + 'static) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connections are accepted");
            let handle = handle.clone();
            std::thread::spawn(move || handle(&mut stream));
        }
    });
    address
}

/// The id that a request bears, which its answer has to repeat.
pub fn attempt_id(request: &str) -> &str {
    let mut lines = request.lines();
    lines
        .find_map(|line| line.strip_prefix("x-attempt-id: "))
        .unwrap_or_default()
}
