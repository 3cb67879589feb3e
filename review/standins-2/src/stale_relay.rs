//! A gateway that reaches no server hands requests to other gateways, one of which has an older
//! configuration because it is partitioned from the store.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::{Duration, Instant};

use crate::Record;
use crate::client::{Connection, Outcome};
use crate::config::{AUTHORIZATION, HOST, Route, config};
use crate::fleet::{Gateway, Link, Place, Run, Server, Work, signed};
use crate::store::Store;
use crate::wire::{Message, decode_base64, encode_base64, write_response};

const OLD: &str = "desk-old";
const NEW: &str = "desk-new";

/// Servers of each service.
const SERVERS: usize = 3;

/// A machine regresses if it handles a request by an older version that is sent this long after a
/// server saw the effect of a newer one.
const ROLLBACK_SLACK: Duration = Duration::from_millis(250);

const SEND_INTERVAL: Duration = Duration::from_millis(25);
const ROUNDS: usize = 130;

fn route(service: &str) -> Route<'_> {
    Route {
        name: "r-order",
        prefix: "/order/",
        kind: "unsafe",
        service,
        timeout_ms: 3000,
        objective_ms: 300,
        max_attempts: 1,
        is_public: false,
        is_resumable: false,
    }
}

/// Replaces the addresses of servers in an item of the store by those of the links to them.
fn through_links(key: &str, text: &str, links: &[(SocketAddr, SocketAddr)]) -> Option<String> {
    if !key.starts_with("servers/") {
        return None;
    }
    let encoded = text.split("\"value\":\"").nth(1)?.split('"').next()?;
    let mut value = String::from_utf8(decode_base64(encoded)).ok()?;
    for (server, link) in links {
        value = value.replace(&format!("\"{server}\""), &format!("\"{link}\""));
    }
    Some(text.replace(encoded, &encode_base64(value.as_bytes())))
}

pub fn play(record: &mut Record) -> io::Result<bool> {
    let store = Store::new();
    let work: Arc<Work> = Arc::new(|request: &Message, stream: &mut TcpStream| {
        thread::sleep(Duration::from_millis(5));
        let attempt = request.header("x-attempt-id").unwrap_or("");
        write_response(stream, "200 OK", &signed(attempt), &[b'a'; 800])
    });
    let mut servers = Vec::new();
    for service in [OLD, NEW] {
        for number in 0..SERVERS {
            let id = format!("i-{service}-{number}");
            servers.push(Server::start(&id, service, Arc::clone(&work))?);
        }
    }
    let links = servers.iter().map(|server| Link::open(server.address));
    let links: Vec<Link> = links.collect::<io::Result<_>>()?;
    let pairs = servers.iter().zip(&links);
    let pairs: Vec<_> = pairs
        .map(|(server, link)| (server.address, link.address))
        .collect();
    store.write("op/config", &config(3, &[route(OLD)], &[OLD, NEW]));
    for server in &servers {
        store.write(&format!("servers/{}", server.id), &server.entry("z1", 6));
    }
    let linked_door = store.open(move |key, text| through_links(key, text, &pairs));
    let stale_door = store.open(|_, _| None);
    let sound_door = store.open(|_, _| None);
    let start = |name, store| {
        let place = Place {
            name,
            zone: "z1",
            region: "r1",
        };
        Gateway::start(&record.directory, &place, store)
    };
    let cut = start("edge-z1-1", linked_door.address)?;
    let stale = start("edge-z1-2", stale_door.address)?;
    let sound = start("edge-z1-3", sound_door.address)?;
    thread::sleep(Duration::from_millis(5500));
    record.add(format!(
        "edge-z1-1 is cut off from all servers, {}; edge-z1-2 from the store, {}; edge-z1-3 is sound, {}",
        cut.callers, stale.callers, sound.callers
    ));
    let started_at = Instant::now();
    if record.has_trouble {
        for link in &links {
            link.cut();
        }
    }
    let mut sent = Vec::new();
    for number in 0..40 {
        sent.push(send(cut.callers, number));
        thread::sleep(SEND_INTERVAL);
    }
    if record.has_trouble {
        stale_door.is_silent.store(true, Ordering::SeqCst);
        record.add(format!(
            "{} ms: edge-z1-2 is partitioned from the store",
            ms(started_at)
        ));
    }
    thread::sleep(Duration::from_millis(100));
    store.write("op/config", &config(5, &[route(NEW)], &[OLD, NEW]));
    record.add(format!(
        "{} ms: version 5 is acknowledged, which moves the route to {NEW}",
        ms(started_at)
    ));
    for number in 40..40 + ROUNDS {
        sent.push(send(cut.callers, number));
        thread::sleep(SEND_INTERVAL);
    }
    let runs: Vec<Run> = servers.iter().flat_map(Server::runs).collect();
    let mut effect_at: Option<Instant> = None;
    let mut regressions = 0;
    for (sent_at, outcome) in &sent {
        let run = runs.iter().find(|run| run.attempt == outcome.attempt);
        let server = run.map_or("not run", |run| run.server.as_str());
        let is_late = effect_at.is_some_and(|at| *sent_at > at + ROLLBACK_SLACK);
        let is_old = run.is_some_and(|run| run.server.contains(OLD));
        if let Some(run) = run.filter(|_| !is_old) {
            effect_at = Some(effect_at.map_or(run.at, |at| at.min(run.at)));
        }
        let is_regression = is_late && is_old;
        regressions += usize::from(is_regression);
        record.add(format!(
            "{} ms: sent to edge-z1-1; {}; {server}{}",
            (*sent_at - started_at).as_millis(),
            outcome.line(),
            if is_regression {
                ", after the effect of version 5"
            } else {
                ""
            }
        ));
    }
    record.add(format!(
        "{regressions} requests were handled as only version 3 allows"
    ));
    if effect_at.is_none() {
        return Err(io::Error::other("no request showed the new version"));
    }
    Ok(regressions > 0)
}

fn ms(since: Instant) -> u128 {
    since.elapsed().as_millis()
}

/// Sends one request on a connection of its own.
fn send(address: SocketAddr, number: usize) -> (Instant, Outcome) {
    let attempt = format!("9c41d07be2a3{number:04x}");
    let sent_at = Instant::now();
    let exchange = || -> io::Result<Outcome> {
        let mut connection = Connection::open(address)?;
        let headers = [
            ("Host", HOST),
            ("X-Attempt-Id", &attempt),
            ("X-Deadline-Ms", "3000"),
            ("Authorization", AUTHORIZATION),
        ];
        connection.send("POST /order/2f", &headers, b"{}")?;
        Ok(connection.receive(&attempt, |_| {}))
    };
    let outcome = exchange().unwrap_or_else(|error| Outcome::failed(&attempt, &error));
    (sent_at, outcome)
}
