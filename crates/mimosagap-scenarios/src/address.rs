//! Allocates one loopback address for each host of a test, so that tests can run in parallel.

use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::sync::atomic::{AtomicU32, Ordering};

/// A listener on this port reserves the address. No process of a test uses the port.
const RESERVATION_PORT: u16 = 7_999;
/// Distance between the address indexes of consecutive process ids.
const ADDRESSES_PER_PROCESS: u32 = 256;
const MAX_ATTEMPTS: u32 = 4_096;

static NEXT_SEQUENCE: AtomicU32 = AtomicU32::new(0);

/// The address of a host, reserved until this value is dropped.
///
/// It is derived from the process id and a counter. The reservation keeps two processes that derive
/// the same address from both using it.
#[derive(Debug)]
pub struct HostAddress {
    ip: Ipv4Addr,
    _reservation: TcpListener,
}

impl HostAddress {
    /// Reserves an address that no other test uses.
    ///
    /// # Errors
    /// No address is free.
    pub fn new() -> io::Result<Self> {
        for _ in 0..MAX_ATTEMPTS {
            let sequence = NEXT_SEQUENCE.fetch_add(1, Ordering::Relaxed);
            let index = std::process::id()
                .wrapping_mul(ADDRESSES_PER_PROCESS)
                .wrapping_add(sequence);
            let ip = loopback_address(index);
            if let Ok(reservation) = TcpListener::bind((ip, RESERVATION_PORT)) {
                return Ok(Self {
                    ip,
                    _reservation: reservation,
                });
            }
        }
        Err(io::Error::other(
            "no loopback address is free; stop other test runs",
        ))
    }

    /// The socket address of a port on this host.
    #[must_use]
    pub fn port(&self, port: u16) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.ip), port)
    }
}

/// Maps an index to 127.64.0.1 – 127.127.255.254. Examples and tools use the lower addresses.
fn loopback_address(index: u32) -> Ipv4Addr {
    let [_, high, middle, low] = (index % (64 << 16)).to_be_bytes();
    Ipv4Addr::new(127, 64 + high, middle, low.clamp(1, 254))
}
