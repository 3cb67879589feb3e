//! Engines that write streams, and clients that ask for them on a kept connection.

use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::client::{Connection, Outcome};
use crate::config::{AUTHORIZATION, HOST, Route};
use crate::fleet::{Run, Server, Work, signed};
use crate::store::Store;
use crate::wire::{Message, write_response};

/// Service of the streams.
pub const QUOTES: &str = "llm-quotes";

/// Service of the short calls by which a connection becomes a kept one.
pub const DESK: &str = "desk";

/// What an engine writes for each request.
#[derive(Debug, Clone, Copy)]
pub struct StreamShape {
    pub events: u32,
    pub event_bytes: usize,
    pub interval: Duration,
}

impl StreamShape {
    /// One event, of `event_bytes`.
    pub fn event(&self, number: u32) -> String {
        let head = format!("id: {number:04}\ndata: ");
        let data = "a".repeat(self.event_bytes - head.len() - 2);
        format!("{head}{data}\n\n")
    }

    /// The whole stream.
    pub fn whole(&self) -> String {
        (1..=self.events).map(|number| self.event(number)).collect()
    }

    fn write(self, request: &Message, stream: &mut TcpStream) -> io::Result<()> {
        let attempt = request.header("x-attempt-id").unwrap_or("");
        write!(
            stream,
            "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: {attempt}\r\n\
             X-Server-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\nX-Weight-Versions: 1\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        )?;
        for number in 1..=self.events {
            let event = self.event(number);
            write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(self.interval);
        }
        stream.write_all(b"0\r\n\r\n")
    }
}

/// Engines and a plain server, listed in the store.
pub struct QuoteServers(Vec<Server>);

impl QuoteServers {
    /// Starts `engines` engines and a plain server.
    pub fn start(store: &Store, engines: usize, shape: StreamShape) -> io::Result<Self> {
        let quote: Arc<Work> =
            Arc::new(move |request: &Message, stream: &mut TcpStream| shape.write(request, stream));
        let look: Arc<Work> = Arc::new(|request: &Message, stream: &mut TcpStream| {
            let attempt = request.header("x-attempt-id").unwrap_or("");
            write_response(stream, "200 OK", &signed(attempt), &[b'a'; 800])
        });
        let mut servers = vec![Server::start("i-00desk", DESK, look)?];
        for number in 0..engines {
            let id = format!("i-7f3a91c{number}");
            servers.push(Server::start(&id, QUOTES, Arc::clone(&quote))?);
        }
        for server in &servers {
            let slots = if server.service == DESK { 6 } else { 24 };
            store.write(
                &format!("servers/{}", server.id),
                &server.entry("z1", slots),
            );
        }
        Ok(Self(servers))
    }

    /// The run of an attempt.
    pub fn run(&self, attempt: &str) -> Option<Run> {
        let mut runs = self.0.iter().flat_map(Server::runs);
        runs.find(|run| run.attempt == attempt)
    }
}

/// Routes to both services.
pub fn routes() -> [Route<'static>; 2] {
    let look = Route {
        name: "r-look",
        prefix: "/look/",
        kind: "safe",
        service: DESK,
        timeout_ms: 3000,
        objective_ms: 300,
        max_attempts: 2,
        is_public: false,
        is_resumable: false,
    };
    let quote = Route {
        name: "r-quote",
        prefix: "/quote/",
        kind: "streaming",
        service: QUOTES,
        timeout_ms: 39_000,
        objective_ms: 1800,
        max_attempts: 1,
        is_public: false,
        is_resumable: false,
    };
    [look, quote]
}

/// Asks for a stream on a connection that has carried a short call before.
pub fn ask(stream: TcpStream, attempt: &str, pause: impl FnMut(usize)) -> io::Result<Outcome> {
    let mut connection = Connection::new(stream)?;
    let look = format!("{attempt}-look");
    let headers = |attempt, deadline| {
        [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", deadline),
            ("Authorization", AUTHORIZATION),
        ]
    };
    connection.send("GET /look/2f", &headers(&look, "3000"), b"")?;
    let outcome = connection.receive(&look, |_| {});
    if outcome.status != 200 || !outcome.is_whole {
        return Err(io::Error::other(format!("short call: {}", outcome.line())));
    }
    let mut headers = headers(attempt, "39000").to_vec();
    headers.push(("X-Model", "m"));
    headers.push(("X-Token-Usage", "3000,1800"));
    headers.push(("X-Prefix-Hash", "5c1e07a2:79,91bd3f06:2921"));
    connection.send("POST /quote/2f", &headers, b"rooms")?;
    Ok(connection.receive(attempt, pause))
}
