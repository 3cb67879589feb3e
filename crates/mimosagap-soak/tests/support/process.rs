//! Gateway processes and targets that a test runs by itself.

use std::io::Read;
use std::net::TcpStream;
use std::path::PathBuf;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(5);

/// Reads up to the end of a head; the requests of this test have no body.
pub fn read_head(stream: &mut TcpStream) -> String {
    stream
        .set_read_timeout(Some(TIMEOUT))
        .expect("the timeout is valid");
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") && stream.read(&mut byte).is_ok_and(|count| count > 0) {
        bytes.push(byte[0]);
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// The gateway program, which `cargo build --bins` places beside the tests.
pub fn gateway_program() -> PathBuf {
    let mut directory = std::env::current_exe().expect("a test has a path");
    directory.pop();
    directory.pop();
    directory.join("mimosagapd")
}

/// Runs the processes of a test on one thread.
pub fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    tokio::task::LocalSet::new().block_on(&runtime, test)
}
