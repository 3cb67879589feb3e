//! A client: it sends requests on connections that it keeps, and reads whole answers and streams.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use crate::http::{self, Head, Reader};

/// A connection to a gateway.
pub struct Connection {
    writer: TcpStream,
    reader: Reader,
}

/// What a client got for one request.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// Whether the answer came to its end.
    pub is_complete: bool,
}

impl Connection {
    /// Clients allow a new connection one second.
    pub fn open(address: SocketAddr) -> Option<Self> {
        let writer = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        writer.set_nodelay(true).ok()?;
        let reader = BufReader::new(writer.try_clone().ok()?);
        Some(Self { writer, reader })
    }

    pub fn set_timeout(&self, timeout: Duration) {
        let _ = self.writer.set_read_timeout(Some(timeout));
    }

    /// Sends a request with a body of a known length.
    pub fn send(
        &mut self,
        method: &str,
        path: &str,
        headers: &[(&str, String)],
        body: &[u8],
    ) -> bool {
        let mut out = format!("{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\n");
        for (name, value) in headers {
            out.push_str(&format!("{name}: {value}\r\n"));
        }
        out.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = out.into_bytes();
        bytes.extend_from_slice(body);
        self.writer.write_all(&bytes).is_ok()
    }

    pub fn read_head(&mut self) -> Option<Head> {
        http::read_head(&mut self.reader)
    }

    /// Reads the answer to the end. Each event of a stream is passed on as it comes.
    pub fn read_answer(&mut self, mut on_event: impl FnMut(u64, &str)) -> Answer {
        let Some(head) = self.read_head() else {
            return Answer::default();
        };
        let mut answer = Answer {
            status: head.status(),
            head: head.clone(),
            ..Answer::default()
        };
        if head.get("transfer-encoding").is_none() {
            if let Some(body) = http::read_body(&mut self.reader, &head) {
                answer.body = body;
                answer.is_complete = true;
            }
            return answer;
        }
        let mut pending = String::new();
        while let Some(chunk) = http::read_chunk(&mut self.reader) {
            if chunk.is_empty() {
                answer.is_complete = true;
                break;
            }
            answer.body.extend_from_slice(&chunk);
            pending.push_str(&String::from_utf8_lossy(&chunk));
            while let Some(end) = pending.find("\n\n") {
                let event: String = pending.drain(..end + 2).collect();
                let id = event
                    .lines()
                    .find_map(|line| line.strip_prefix("id: ")?.trim().parse().ok());
                if let Some(id) = id {
                    on_event(id, &event);
                }
            }
        }
        answer
    }
}

/// The value of `name=` in the data of an event.
pub fn field<'a>(event: &'a str, name: &str) -> &'a str {
    event
        .split_whitespace()
        .find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
        .unwrap_or("")
}
