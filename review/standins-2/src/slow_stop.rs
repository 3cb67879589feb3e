//! A gateway gets SIGTERM while clients read complete answers slowly, but fast enough to have them
//! whole within the grace period.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::client::{Connection, Outcome, at_rate, connect_with_buffer};
use crate::config::{AUTHORIZATION, HOST, Route, config};
use crate::fleet::{Gateway, Place, SIGTERM, Server, Work, signed};
use crate::store::Store;
use crate::wire::{Message, write_response};

const CLIENTS: usize = 3;

/// Time between the requests of two clients.
const SPACING: Duration = Duration::from_millis(100);

const BODY_BYTES: usize = 2_000_000;

/// A client reads its answer in 6.7 s.
const BYTES_PER_SECOND: usize = 300_000;

const RECEIVE_BUFFER_BYTES: i32 = 64 << 10;
const TERM_AFTER: Duration = Duration::from_millis(500);
const GRACE_PERIOD: Duration = Duration::from_secs(8);

pub fn play(record: &mut Record) -> io::Result<bool> {
    let store = Store::new();
    let work: Arc<Work> = Arc::new(|request: &Message, stream: &mut TcpStream| {
        let attempt = request.header("x-attempt-id").unwrap_or("");
        write_response(stream, "200 OK", &signed(attempt), &[b'a'; BODY_BYTES])
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
    let mut gateway = Gateway::start(&record.directory, &place, door.address)?;
    thread::sleep(Duration::from_millis(5500));
    let started_at = Instant::now();
    let mut clients = Vec::new();
    for number in 0..CLIENTS {
        let address = gateway.callers;
        let attempt = format!("9c41d07be2a35f{number:02x}");
        record.add(format!("{attempt}: sent to {address}"));
        clients.push(thread::spawn(move || {
            let stream = connect_with_buffer(address, RECEIVE_BUFFER_BYTES);
            stream
                .and_then(|stream| ask(stream, &attempt))
                .unwrap_or_else(|error| Outcome::failed(&attempt, &error))
        }));
        thread::sleep(SPACING);
    }
    thread::sleep(TERM_AFTER.saturating_sub(started_at.elapsed()));
    if record.has_trouble {
        gateway.signal(SIGTERM);
        record.add(format!("{} ms: SIGTERM", started_at.elapsed().as_millis()));
        while !gateway.has_ended() && started_at.elapsed() < TERM_AFTER + GRACE_PERIOD {
            thread::sleep(Duration::from_millis(20));
        }
        let ended_after = started_at.elapsed().as_millis();
        record.add(format!("{ended_after} ms: the process has ended"));
    }
    let mut broken = 0;
    for client in clients {
        let outcome = client.join().unwrap_or_default();
        let runs = server.runs();
        let run = runs.iter().find(|run| run.attempt == outcome.attempt);
        record.add(outcome.line());
        record.add(run.map_or_else(|| format!("{}: not run", outcome.attempt), |run| run.line()));
        // The server is done long before the last sixth of the grace period.
        let is_done = run.is_some_and(|run| run.ended_at.is_some());
        let is_whole = outcome.is_whole && outcome.body.len() == BODY_BYTES;
        broken += usize::from(is_done && outcome.status == 200 && !is_whole);
    }
    record.add(format!(
        "{broken} of {CLIENTS} connections ended without a complete answer that the server had made"
    ));
    Ok(broken > 0)
}

fn ask(stream: TcpStream, attempt: &str) -> io::Result<Outcome> {
    let mut connection = Connection::new(stream)?;
    let headers = [
        ("Host", HOST),
        ("X-Attempt-Id", attempt),
        ("X-Deadline-Ms", "20000"),
        ("Authorization", AUTHORIZATION),
    ];
    connection.send("GET /list/2f", &headers, b"")?;
    Ok(connection.receive(attempt, at_rate(BYTES_PER_SECOND)))
}
