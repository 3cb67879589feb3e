//! Clients: requests on connections of their own, read at a chosen pace.

use std::ffi::c_void;
use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, SocketAddrV4, TcpStream};
use std::os::fd::FromRawFd;
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::{Message, is_chunked, read_chunk, read_head};

#[repr(C)]
struct SockAddrIn {
    family: u16,
    port: u16,
    address: u32,
    zero: [u8; 8],
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn connect(fd: i32, address: *const SockAddrIn, length: u32) -> i32;
    fn setsockopt(fd: i32, level: i32, name: i32, value: *const c_void, length: u32) -> i32;
}

const AF_INET: i32 = 2;
const SOCK_STREAM: i32 = 1;
const SOL_SOCKET: i32 = 1;
const SO_RCVBUF: i32 = 8;

/// Connects with a receive buffer of this many bytes, which bounds what waits unread at the client.
pub fn connect_with_buffer(address: SocketAddr, bytes: i32) -> io::Result<TcpStream> {
    let SocketAddr::V4(address) = address else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    // SAFETY: plain calls of the C library with values that live until they return.
    unsafe {
        let fd = socket(AF_INET, SOCK_STREAM, 0);
        if fd < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(fd);
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, (&raw const bytes).cast(), 4);
        let name = raw_address(address);
        if connect(fd, &name, size_of::<SockAddrIn>() as u32) < 0 {
            return Err(io::Error::last_os_error());
        }
        Ok(stream)
    }
}

fn raw_address(address: SocketAddrV4) -> SockAddrIn {
    SockAddrIn {
        family: AF_INET as u16,
        port: address.port().to_be(),
        address: u32::from_ne_bytes(address.ip().octets()),
        zero: [0; 8],
    }
}

/// What a client saw of one request.
#[derive(Debug, Clone, Default)]
pub struct Outcome {
    pub attempt: String,
    pub status: u16,
    pub is_signed: bool,
    /// Whether the whole answer arrived.
    pub is_whole: bool,
    pub body: Vec<u8>,
    pub took: Duration,
    pub error: String,
}

impl Outcome {
    /// A request that could not be sent.
    pub fn failed(attempt: &str, error: &io::Error) -> Self {
        Self {
            attempt: attempt.to_owned(),
            error: error.to_string(),
            ..Self::default()
        }
    }

    /// One line for the record.
    pub fn line(&self) -> String {
        let whole = if self.is_whole { "whole" } else { "broken off" };
        format!(
            "{}: answered with status {}, {} bytes, {whole}, after {} ms {}",
            self.attempt,
            self.status,
            self.body.len(),
            self.took.as_millis(),
            self.error
        )
    }
}

/// A connection of a client to a gateway.
pub struct Connection {
    writer: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection with the default buffers.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(
            &address,
            Duration::from_secs(1),
        )?)
    }

    /// Uses a connection that is open.
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        Ok(Self {
            writer: stream.try_clone()?,
            reader: BufReader::with_capacity(1024, stream),
        })
    }

    /// Sends a request with these header lines.
    pub fn send(&mut self, start: &str, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("{start} HTTP/1.1\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        text.push_str("\r\n");
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.writer.write_all(&bytes)
    }

    /// Reads the answer. `pause` is called before each piece of the body with the bytes so far.
    pub fn receive(&mut self, attempt: &str, pause: impl FnMut(usize)) -> Outcome {
        let started_at = Instant::now();
        let mut outcome = Outcome {
            attempt: attempt.to_owned(),
            ..Outcome::default()
        };
        if let Err(error) = self.try_receive(&mut outcome, pause) {
            outcome.error = error.to_string();
        }
        outcome.took = started_at.elapsed();
        outcome
    }

    fn try_receive(
        &mut self,
        outcome: &mut Outcome,
        mut pause: impl FnMut(usize),
    ) -> io::Result<()> {
        let Some(head) = read_head(&mut self.reader)? else {
            return Err(io::ErrorKind::UnexpectedEof.into());
        };
        outcome.status = head.status();
        outcome.is_signed = head.header("x-server-signature").is_some();
        self.read_body(&head, outcome, &mut pause)?;
        outcome.is_whole = true;
        Ok(())
    }

    fn read_body(
        &mut self,
        head: &Message,
        outcome: &mut Outcome,
        pause: &mut impl FnMut(usize),
    ) -> io::Result<()> {
        if is_chunked(head) {
            loop {
                pause(outcome.body.len());
                let chunk = read_chunk(&mut self.reader)?;
                if chunk.is_empty() {
                    return Ok(());
                }
                outcome.body.extend(chunk);
            }
        }
        let length = head.header("content-length").unwrap_or("0");
        let mut left: usize = length.parse().map_err(io::Error::other)?;
        let mut piece = vec![0; 4096];
        while left > 0 {
            pause(outcome.body.len());
            let wanted = left.min(piece.len());
            let count = self.reader.read(&mut piece[..wanted])?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            outcome.body.extend_from_slice(&piece[..count]);
            left -= count;
        }
        Ok(())
    }
}

/// A pause that keeps a reader at this many bytes per second.
pub fn at_rate(bytes_per_second: usize) -> impl FnMut(usize) {
    let started_at = Instant::now();
    move |bytes| {
        let due = Duration::from_secs_f64(bytes as f64 / bytes_per_second as f64);
        thread::sleep(due.saturating_sub(started_at.elapsed()));
    }
}
