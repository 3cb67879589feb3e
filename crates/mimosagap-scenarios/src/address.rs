//! Loopback addresses, one for each host of a test.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// The port that reserves an address. Nothing else listens on it.
const GUARD_PORT: u16 = 7_999;
/// Addresses that a process numbers before the next process's numbers begin.
const BLOCK: u32 = 256;
const ATTEMPTS: u32 = 4_096;

static NEXT: AtomicU32 = AtomicU32::new(0);

/// The address of a host, reserved for this value's lifetime.
///
/// It is derived from the process id and a counter. The reservation covers the case that two
/// processes derive the same address.
#[derive(Debug)]
pub struct HostAddress {
    ip: Ipv4Addr,
    _guard: TcpListener,
}

impl HostAddress {
    /// Reserves an address that no other test uses.
    ///
    /// # Errors
    /// If no address is free.
    pub fn new() -> io::Result<Self> {
        for _ in 0..ATTEMPTS {
            let number = NEXT.fetch_add(1, Ordering::Relaxed);
            let seed = std::process::id().wrapping_mul(BLOCK).wrapping_add(number);
            let ip = loopback(seed);
            if let Ok(guard) = TcpListener::bind((ip, GUARD_PORT)) {
                return Ok(Self { ip, _guard: guard });
            }
        }
        Err(io::Error::other(
            "no loopback address is free; end earlier test runs",
        ))
    }

    /// A port on the host.
    #[must_use]
    pub fn port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}

/// Maps a number to 127.64.0.1 – 127.127.255.254; lower addresses are left to examples and tools.
fn loopback(seed: u32) -> Ipv4Addr {
    let [_, high, middle, low] = (seed % (64 << 16)).to_be_bytes();
    Ipv4Addr::new(127, 64 + high, middle, low.clamp(1, 254))
}
