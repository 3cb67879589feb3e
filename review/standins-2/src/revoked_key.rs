//! The operator revokes a key; then the store comes back from an older copy, and all gateways are
//! killed while it is away.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::client::{Connection, Outcome};
use crate::config::{HOST, KEY, Route, config_with_keys};
use crate::fleet::{Gateway, Place, Server, Work, signed};
use crate::store::Store;
use crate::wire::{Message, write_response};

/// The key that is taken away.
const REVOKED_KEY: &str = "wsjnbanfqasnmgkcuyj8";

const REVOKE_TIME: Duration = Duration::from_secs(5);

/// Time from the acknowledgement of the revocation until the store goes away.
const DRILL_AFTER: Duration = Duration::from_millis(4300);

/// How long the store is away, and when gateways start again after they were killed.
const AWAY_TIME: Duration = Duration::from_millis(500);
const DOWN_TIME: Duration = Duration::from_millis(300);

/// Time after the store's return in which the operator and the servers write again what is gone.
const REWRITE_TIME: Duration = Duration::from_secs(1);

pub fn play(record: &mut Record) -> io::Result<bool> {
    let store = Store::new();
    let work: Arc<Work> = Arc::new(|request: &Message, stream: &mut TcpStream| {
        let attempt = request.header("x-attempt-id").unwrap_or("");
        write_response(stream, "200 OK", &signed(attempt), &[b'a'; 800])
    });
    let server = Server::start("i-7f3a91c2", "desk", work)?;
    let route = || Route {
        name: "r-order",
        prefix: "/order/",
        kind: "unsafe",
        service: "desk",
        timeout_ms: 3000,
        objective_ms: 300,
        max_attempts: 1,
        is_public: false,
        is_resumable: false,
    };
    let with_keys = |version, keys: &[&str]| config_with_keys(version, &[route()], &["desk"], keys);
    store.write("op/config", &with_keys(3, &[KEY, REVOKED_KEY]));
    store.write("servers/i-7f3a91c2", &server.entry("z1", 6));
    let door = store.open(|_, _| None);
    let start = |name, zone, region| {
        let place = Place { name, zone, region };
        Gateway::start(&record.directory, &place, door.address)
    };
    let mut gateways = [
        start("edge-z1-1", "z1", "r1")?,
        start("edge-z2-1", "z2", "r2")?,
    ];
    thread::sleep(Duration::from_millis(5500));
    let copy = store.copy();
    thread::sleep(Duration::from_millis(100));
    store.write("op/config", &with_keys(5, &[KEY]));
    let revoked_at = Instant::now();
    let ms = || revoked_at.elapsed().as_millis();
    record.add("0 ms: version 5 is acknowledged, which takes a key away");
    thread::sleep(DRILL_AFTER);
    let mut returned_at = revoked_at + DRILL_AFTER + AWAY_TIME;
    if record.has_trouble {
        store.leave();
        record.add(format!(
            "{} ms: the store is away, all gateways are killed",
            ms()
        ));
        for gateway in &mut gateways {
            gateway.kill()?;
        }
        let left_at = Instant::now();
        thread::sleep(DOWN_TIME);
        thread::sleep(AWAY_TIME.saturating_sub(left_at.elapsed()));
        store.come_back(copy);
        returned_at = Instant::now();
        record.add(format!("{} ms: the store is back from a copy", ms()));
        for gateway in &mut gateways {
            gateway.start_again()?;
        }
        record.add(format!("{} ms: all gateways are ready", ms()));
    }
    thread::sleep((REVOKE_TIME + Duration::from_millis(50)).saturating_sub(revoked_at.elapsed()));
    let mut sent = Vec::new();
    while returned_at.elapsed() < REWRITE_TIME {
        for gateway in &gateways {
            let number = sent.len();
            sent.push((ms(), send(gateway.callers, number)));
        }
        thread::sleep(Duration::from_millis(100));
    }
    store.write("op/config", &with_keys(5, &[KEY]));
    record.add(format!(
        "{} ms: the operator has written version 5 again",
        ms()
    ));
    let mut run = 0;
    for (sent_at, outcome) in &sent {
        let runs = server.runs();
        let is_run = runs.iter().any(|run| run.attempt == outcome.attempt);
        run += usize::from(is_run);
        let result = if is_run { "run" } else { "not run" };
        record.add(format!(
            "{sent_at} ms: sent with the key; {}; {result}",
            outcome.line()
        ));
    }
    let count = sent.len();
    record.add(format!(
        "{run} of {count} requests sent later than revoke_ms with the key were run"
    ));
    Ok(run > 0)
}

fn send(address: SocketAddr, number: usize) -> Outcome {
    let attempt = format!("9c41d07be2a3{number:04x}");
    let exchange = || -> io::Result<Outcome> {
        let mut connection = Connection::open(address)?;
        let authorization = format!("Bearer {REVOKED_KEY}");
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", attempt.as_str()),
            ("X-Deadline-Ms", "3000"),
            ("Authorization", authorization.as_str()),
        ];
        connection.send("POST /order/2f", &headers, b"{}")?;
        Ok(connection.receive(&attempt, |_| {}))
    };
    exchange().unwrap_or_else(|error| Outcome::failed(&attempt, &error))
}
