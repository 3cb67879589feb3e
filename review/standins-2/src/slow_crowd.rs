//! Forty clients read answers of a megabyte, each steadily and well within its deadline.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::Record;
use crate::client::{Connection, Outcome, at_rate, connect_with_buffer};
use crate::config::{AUTHORIZATION, HOST, Route, config};
use crate::fleet::{Gateway, Place, Server, Work, signed};
use crate::store::Store;
use crate::wire::{Message, write_response};

const CLIENTS: usize = 40;

/// Time between the requests of two clients.
const SPACING: Duration = Duration::from_millis(50);

/// Answer to the call by which a connection becomes a kept one.
const LOOK_BYTES: usize = 800;

const BODY_BYTES: usize = 1_000_000;

/// A client reads its answer in 4 s.
const BYTES_PER_SECOND: usize = 250_000;

/// The rule allows three closed connections.
const ALLOWED: usize = 3;

const RECEIVE_BUFFER_BYTES: i32 = 64 << 10;

pub fn play(record: &mut Record) -> io::Result<bool> {
    let store = Store::new();
    let work: Arc<Work> = Arc::new(|request: &Message, stream: &mut TcpStream| {
        let attempt = request.header("x-attempt-id").unwrap_or("");
        let length = if request.target().ends_with("/look") {
            LOOK_BYTES
        } else {
            BODY_BYTES
        };
        write_response(stream, "200 OK", &signed(attempt), &vec![b'a'; length])
    });
    let server = Server::start("i-7f3a91c2", "desk", work)?;
    let route = Route {
        name: "r-list",
        prefix: "/list/",
        kind: "safe",
        service: "desk",
        timeout_ms: 20_000,
        objective_ms: 300,
        max_attempts: 2,
        is_public: false,
        is_resumable: false,
    };
    store.write("op/config", &config(3, &[route], &["desk"]));
    store.write("servers/i-7f3a91c2", &server.entry("z1", 6));
    let door = store.open(|_, _| None);
    let place = Place {
        name: "edge-z1-1",
        zone: "z1",
        region: "r1",
    };
    let gateway = Gateway::start(&record.directory, &place, door.address)?;
    thread::sleep(Duration::from_millis(5500));
    let mut clients = Vec::new();
    let is_slow = record.has_trouble;
    for number in 0..CLIENTS {
        let address = gateway.callers;
        let attempt = format!("9c41d07be2a35f{number:02x}");
        record.add(format!("{attempt}: sent to {address}"));
        clients.push(thread::spawn(move || {
            let stream = connect_with_buffer(address, RECEIVE_BUFFER_BYTES);
            stream
                .and_then(|stream| ask(stream, &attempt, is_slow))
                .unwrap_or_else(|error| Outcome::failed(&attempt, &error))
        }));
        thread::sleep(SPACING);
    }
    let mut broken = 0;
    for client in clients {
        let outcome = client.join().unwrap_or_default();
        let runs = server.runs();
        let run = runs.iter().find(|run| run.attempt == outcome.attempt);
        record.add(outcome.line());
        record.add(run.map_or_else(|| format!("{}: not run", outcome.attempt), |run| run.line()));
        let is_done = run.is_some_and(|run| run.ended_at.is_some());
        let is_whole = outcome.is_whole && outcome.body.len() == BODY_BYTES;
        broken += usize::from(is_done && outcome.status == 200 && !is_whole);
    }
    record.add(format!(
        "{broken} of {CLIENTS} connections ended without a complete answer that the server had made"
    ));
    Ok(broken > ALLOWED)
}

fn ask(stream: TcpStream, attempt: &str, is_slow: bool) -> io::Result<Outcome> {
    let mut connection = Connection::new(stream)?;
    let look = format!("{attempt}-look");
    let headers = |attempt| {
        [
            ("Host", HOST),
            ("X-Attempt-Id", attempt),
            ("X-Deadline-Ms", "20000"),
            ("Authorization", AUTHORIZATION),
        ]
    };
    connection.send("GET /list/look", &headers(&look), b"")?;
    let outcome = connection.receive(&look, |_| {});
    if outcome.status != 200 || !outcome.is_whole {
        return Err(io::Error::other(format!("short call: {}", outcome.line())));
    }
    connection.send("GET /list/all", &headers(attempt), b"")?;
    let mut pause = at_rate(BYTES_PER_SECOND);
    Ok(connection.receive(attempt, |bytes| {
        if is_slow {
            pause(bytes);
        }
    }))
}
