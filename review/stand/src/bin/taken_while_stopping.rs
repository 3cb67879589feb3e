//! A host gets SIGTERM. Clients that still have its address send streams on connections that they
//! keep. Does the host end streams that it took more than three seconds after the signal?

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_stand::client::Connection;
use review_stand::engine::{Engine, Runs};
use review_stand::gateway::Fleet;
use review_stand::operator;
use review_stand::record::Record;
use review_stand::store::Store;
use review_stand::{finish, has_trouble};

/// Clients and the factor by which the length of their answer exceeds their own estimate.
const FACTORS: [f64; 8] = [0.4, 0.6, 0.8, 1.0, 1.0, 2.0, 3.0, 3.5];
/// `X-Length-Hint` in tokens; an event of a stream holds 4 tokens.
const HINT: u32 = 160;
/// Time between two events: four steps of an engine that is about a sixth full.
const GAP_MS: u32 = 35;
/// When the clients send, after the signal. They may use an address for three times its time to live.
const SENT_AFTER: Duration = Duration::from_millis(3200);
const GRACE: Duration = Duration::from_secs(8);

struct Sent {
    attempt: String,
    events: u32,
    after: Duration,
    ended: Duration,
    status: u16,
    is_complete: bool,
    received: u64,
}

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    let (store, runs) = (Store::start(), Runs::default());
    store.put("op/config", &operator::config(7, ""));
    for id in ["i-a1", "i-a2", "i-a3"] {
        Engine::start(id, "assistente", "v1", 48, &record, &runs).register(&store, "norte-a");
    }
    let mut fleet = Fleet::new(2, store.address, 110);
    fleet.start_all();
    if !fleet.wait_ready(Duration::from_secs(15)) {
        finish(&mut fleet, &record, 2, "the gateways are not ready");
    }
    std::thread::sleep(Duration::from_secs(5));
    let address = fleet.gateways[0].callers;
    // Each client has used its connection before, a moment before the signal.
    let mut connections = Vec::new();
    for number in 0..FACTORS.len() {
        let Some(mut connection) = Connection::open(address) else {
            finish(&mut fleet, &record, 2, "no connection to the gateway");
        };
        let attempt = format!("{number:08x}00000001");
        if send(&mut connection, &attempt, 5) != 200 {
            finish(&mut fleet, &record, 2, "a stream before the signal fails");
        }
        connections.push(connection);
    }
    let signalled = Instant::now();
    if trouble {
        fleet.gateways[0].signal("-TERM");
        record.line("DISRUPTION: edge-norte-a-1 gets SIGTERM");
    }
    std::thread::sleep((signalled + SENT_AFTER).saturating_duration_since(Instant::now()));
    let all = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let (record, all) = (record.clone(), Arc::clone(&all));
        clients.push(std::thread::spawn(move || {
            let attempt = format!("{number:08x}00000002");
            let tokens = f64::from(HINT) * FACTORS[number];
            let events = (tokens / 4.0).round() as u32;
            let after = signalled.elapsed();
            record.line(&format!(
                "client {number} sends {attempt} on its open connection, {:.2} s after the signal; estimate {HINT} tokens",
                after.as_secs_f64()
            ));
            let body = format!("events={events} gap_ms={GAP_MS} prefill_ms=200");
            connection.send("POST", "/orcamento/2f", &headers(&attempt), body.as_bytes());
            let mut received = 0;
            let answer = connection.read_answer(|id, _| received = id);
            record.line(&format!(
                "client {number}: {attempt} ends with status {}, {received} of {events} events, complete {}",
                answer.status, answer.is_complete
            ));
            all.lock().unwrap().push(Sent {
                attempt,
                events,
                after,
                ended: signalled.elapsed(),
                status: answer.status,
                is_complete: answer.is_complete,
                received,
            });
        }));
        std::thread::sleep(Duration::from_millis(40));
    }
    for client in clients {
        let _ = client.join();
    }
    let mut broken = 0;
    let all = all.lock().unwrap();
    for sent in all.iter() {
        let has_run = !runs.of(&sent.attempt).is_empty();
        // Counted: sent more than 3 s after the signal, passed on to an engine, and ended without a
        // complete answer until 1 s after the grace period; the client's deadline is 39 s.
        let is_counted = sent.after > Duration::from_secs(3)
            && sent.ended < GRACE + Duration::from_secs(1)
            && has_run
            && !sent.is_complete;
        if is_counted {
            broken += 1;
            record.line(&format!(
                "LOST: {} was taken {:.2} s after the signal, run, and cut after {} of {} events, {:.2} s after the signal",
                sent.attempt,
                sent.after.as_secs_f64(),
                sent.received,
                sent.events,
                sent.ended.as_secs_f64()
            ));
        }
    }
    let refused = all.iter().filter(|sent| sent.status == 503).count();
    let complete = all
        .iter()
        .filter(|sent| sent.status == 200 && sent.is_complete)
        .count();
    let text = format!(
        "{broken} of {} streams that were sent more than 3 s after the SIGTERM were taken, run and cut; {complete} came whole, {refused} were refused with 503",
        all.len()
    );
    let is_broken = broken > 0 || (!trouble && complete < all.len());
    drop(all);
    finish(&mut fleet, &record, i32::from(is_broken), &text);
}

fn headers(attempt: &str) -> Vec<(&'static str, String)> {
    vec![
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Usage", "1460,800".to_owned()),
        ("X-Length-Hint", HINT.to_string()),
        (
            "X-Prefix-Hash",
            format!("5c1e07a2:800,91bd3f06:410,{}:250", &attempt[..8]),
        ),
        ("X-Deadline-Ms", "39000".to_owned()),
    ]
}

fn send(connection: &mut Connection, attempt: &str, events: u32) -> u16 {
    let body = format!("events={events} gap_ms={GAP_MS} prefill_ms=100");
    connection.send("POST", "/orcamento/2f", &headers(attempt), body.as_bytes());
    let answer = connection.read_answer(|_, _| {});
    if answer.is_complete { answer.status } else { 0 }
}
