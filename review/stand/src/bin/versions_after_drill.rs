//! All hosts are killed while the store comes back from a copy that is older than the second
//! software version of a service. Do resumed streams stay at the version that began them?

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_stand::client::{Connection, field};
use review_stand::engine::{Engine, Runs};
use review_stand::gateway::Fleet;
use review_stand::operator;
use review_stand::record::Record;
use review_stand::store::Store;
use review_stand::{finish, has_trouble};

const STREAMS: usize = 16;
const EVENTS: u64 = 60;
/// Clients retry a few times.
const MOST_RETRIES: usize = 4;
/// Shortest time from a failed try to the next.
const RETRY_PAUSE_S: f64 = 0.7;
/// Streams that may hold events of two versions; more break the rule.
const MOST_JOINED: usize = 2;

#[derive(Debug, Default, Clone)]
struct Stream {
    versions: Vec<String>,
    first_attempt: String,
    last_event: u64,
    is_complete: bool,
}

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    // `TROUBLE=kill`, `drill` and `one` show the parts: the kill alone, the drill alone, and the drill
    // with one gateway killed instead of all.
    let mode = std::env::var("TROUBLE").unwrap_or_default();
    let (has_drill, killed) = match mode.as_str() {
        "kill" => (false, 3),
        "drill" => (true, 0),
        "one" => (true, 1),
        _ => (true, 3),
    };
    let (store, runs) = (Store::start(), Runs::default());
    store.put("op/config", &operator::config(7, ""));
    let start = |id: &str, version: &str| {
        let engine = Engine::start(id, "assistente", version, 48, &record, &runs);
        engine.register(&store, "norte-a");
        record.line(&format!("engine {id} of version {version} registers"));
    };
    for id in ["i-a1", "i-a2", "i-a3"] {
        start(id, "v1");
    }
    let mut fleet = Fleet::new(3, store.address, 110);
    fleet.start_all();
    if !fleet.wait_ready(Duration::from_secs(15)) {
        finish(&mut fleet, &record, 2, "the gateways are not ready");
    }
    record.line("three gateways are ready");
    std::thread::sleep(Duration::from_secs(7));
    // What the drill brings back, if there is one: a backup taken just before the new engines come.
    let backup = store.copy();
    let backup_at = Instant::now();
    for id in ["i-b1", "i-b2", "i-b3"] {
        start(id, "v2");
    }
    std::thread::sleep(Duration::from_millis(2500));
    let addresses: Vec<_> = fleet
        .gateways
        .iter()
        .map(|gateway| gateway.callers)
        .collect();
    let streams: Arc<Mutex<Vec<Stream>>> = Arc::new(Mutex::new(vec![Stream::default(); STREAMS]));
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (record, streams, addresses) =
            (record.clone(), Arc::clone(&streams), addresses.clone());
        clients.push(std::thread::spawn(move || {
            run_client(number, &record, &streams, &addresses)
        }));
        std::thread::sleep(Duration::from_millis(20));
    }
    std::thread::sleep(Duration::from_millis(1000));
    if trouble {
        if has_drill {
            store.go_away();
            record.line("DISRUPTION: the store is away");
        }
        for gateway in fleet.gateways.iter_mut().take(killed) {
            gateway.kill();
            record.line(&format!("DISRUPTION: {} is killed", gateway.name));
        }
        std::thread::sleep(Duration::from_millis(300));
        for gateway in fleet.gateways.iter_mut().take(killed) {
            gateway.start();
            record.line(&format!("the platform starts {} again", gateway.name));
        }
        std::thread::sleep(Duration::from_millis(200));
        if has_drill {
            store.come_back_from(backup);
            record.line(&format!(
                "DISRUPTION: the store is back from a copy that is {:.1} s old",
                backup_at.elapsed().as_secs_f64()
            ));
            std::thread::sleep(Duration::from_millis(1500));
            store.rewrite("");
            record.line("operator and engines have written again what the copy lacked");
        }
    }
    for client in clients {
        let _ = client.join();
    }
    let streams = streams.lock().unwrap().clone();
    let mut joined = 0;
    for stream in &streams {
        let versions = stream.versions.join(",");
        record.line(&format!(
            "STREAM begun by {}: versions {versions}, last event {}, complete {}",
            stream.first_attempt, stream.last_event, stream.is_complete
        ));
        joined += usize::from(stream.versions.len() > 1);
    }
    let begun = |version: &str| {
        streams
            .iter()
            .filter(|s| s.versions.first().is_some_and(|v| v == version))
            .count()
    };
    let text = format!(
        "{joined} of {STREAMS} streams hold events of two versions ({} began at v1, {} at v2); more than {MOST_JOINED} break the rule",
        begun("v1"),
        begun("v2")
    );
    if begun("v2") <= MOST_JOINED {
        finish(
            &mut fleet,
            &record,
            2,
            &format!("too few streams began at v2: {text}"),
        );
    }
    let is_broken = joined > MOST_JOINED || (!trouble && streams.iter().any(|s| !s.is_complete));
    finish(&mut fleet, &record, i32::from(is_broken), &text);
}

/// Runs one stream to its end. A client takes a broken stream up again a few times, each time on a
/// new connection, and honours `Retry-After`.
fn run_client(
    number: usize,
    record: &Record,
    streams: &Mutex<Vec<Stream>>,
    addresses: &[std::net::SocketAddr],
) {
    let deadline = Instant::now() + Duration::from_secs(30);
    let mut tries = 0;
    while Instant::now() < deadline {
        let known = streams.lock().unwrap()[number].clone();
        if known.is_complete || tries > MOST_RETRIES {
            return;
        }
        let address = addresses[(number + tries) % addresses.len()];
        tries += 1;
        let Some(mut connection) = Connection::open(address) else {
            std::thread::sleep(Duration::from_secs_f64(RETRY_PAUSE_S));
            continue;
        };
        let attempt = format!("{number:04x}{tries:04x}9c41d07b");
        let left = deadline
            .saturating_duration_since(Instant::now())
            .as_millis();
        let mut headers = vec![
            ("X-Attempt-Id", attempt.clone()),
            ("X-Model", "m".to_owned()),
            ("X-Token-Usage", "300,240".to_owned()),
            ("X-Length-Hint", "240".to_owned()),
            (
                "X-Prefix-Hash",
                format!("5c1e07a2:200,{:08x}:100", 0x1000 + number),
            ),
            ("X-Deadline-Ms", left.to_string()),
        ];
        if known.last_event > 0 {
            headers.push(("Resumes", known.first_attempt.clone()));
            headers.push(("Last-Event-Id", known.last_event.to_string()));
        }
        record.line(&format!(
            "client {number} sends {attempt} to {address}, after event {}",
            known.last_event
        ));
        let body = format!("events={EVENTS} gap_ms=80 prefill_ms=50 client={number}");
        if !connection.send("POST", "/triagem/2f", &headers, body.as_bytes()) {
            continue;
        }
        let answer = connection.read_answer(|id, event| {
            let mut streams = streams.lock().unwrap();
            let stream = &mut streams[number];
            if stream.first_attempt.is_empty() {
                stream.first_attempt.clone_from(&attempt);
            }
            let version = field(event, "version").to_owned();
            if !stream.versions.contains(&version) {
                record.line(&format!(
                    "client {number} gets event {id} of version {version} by {attempt}"
                ));
                stream.versions.push(version);
            }
            stream.last_event = id;
        });
        record.line(&format!(
            "client {number}: {attempt} ends with status {}, complete {}",
            answer.status, answer.is_complete
        ));
        if answer.status == 200 && answer.is_complete {
            streams.lock().unwrap()[number].is_complete = true;
        }
        let wait = answer
            .head
            .get("retry-after")
            .and_then(|text| text.parse().ok())
            .unwrap_or(0.0);
        std::thread::sleep(Duration::from_secs_f64(RETRY_PAUSE_S.max(wait)));
    }
}
