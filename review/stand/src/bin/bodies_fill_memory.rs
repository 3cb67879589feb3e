//! Many users come at once and send requests with long bodies, within the operator's limit. Does the
//! host stay within its memory?

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_stand::client::Connection;
use review_stand::engine::{Engine, Runs};
use review_stand::gateway::Fleet;
use review_stand::operator;
use review_stand::record::Record;
use review_stand::store::Store;
use review_stand::{finish, has_trouble};

/// `memory_mb` of the settings: a process that exceeds it is killed.
const MEMORY_MB: u32 = 110;
/// Streams in flight on the host without the burst.
const USUAL: usize = 18;
/// The burst multiplies the traffic by 1.7.
const BURST: f64 = 1.7;
/// Clients that place bookings on kept connections meanwhile, one after the other.
const BOOKING_CLIENTS: usize = 16;
/// Length of a body; the operator's limit is 4,194,304 bytes.
const BODY_BYTES: usize = 4_000_000;

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    let (store, runs) = (Store::start(), Runs::default());
    store.put("op/config", &operator::config(7, ""));
    for id in ["i-a1", "i-a2", "i-a3"] {
        Engine::start(id, "assistente", "v1", 48, &record, &runs).register(&store, "norte-a");
    }
    for id in ["i-s1", "i-s2", "i-s3"] {
        Engine::start(id, "agenda", "v1", 6, &record, &runs).register(&store, "norte-a");
    }
    let mut fleet = Fleet::new(2, store.address, MEMORY_MB);
    fleet.start_all();
    if !fleet.wait_ready(Duration::from_secs(15)) {
        finish(&mut fleet, &record, 2, "the gateways are not ready");
    }
    std::thread::sleep(Duration::from_secs(5));
    let address = fleet.gateways[0].callers;
    let (most_kib, is_done) = (
        Arc::new(AtomicU64::new(0)),
        Arc::new(AtomicBool::new(false)),
    );
    let answers: Arc<Mutex<Vec<(String, u16, bool)>>> = Arc::default();
    let count = if trouble {
        (USUAL as f64 * BURST).round() as usize
    } else {
        USUAL
    };
    let mut clients = Vec::new();
    for number in 0..count {
        let (record, answers) = (record.clone(), Arc::clone(&answers));
        clients.push(std::thread::spawn(move || {
            let Some(mut connection) = Connection::open(address) else {
                return;
            };
            // The connection is kept: a short stream goes before.
            let _ = ask(&mut connection, &format!("{number:08x}00000001"), 3, 200);
            std::thread::sleep(Duration::from_millis(500 + 60 * number as u64));
            let attempt = format!("{number:08x}00000002");
            record.line(&format!(
                "client {number} sends {attempt} with a body of {BODY_BYTES} bytes"
            ));
            let (status, is_complete) = ask(&mut connection, &attempt, 240, BODY_BYTES);
            record.line(&format!(
                "client {number}: {attempt} ends with status {status}, complete {is_complete}"
            ));
            answers.lock().unwrap().push((attempt, status, is_complete));
        }));
    }
    let bookings: Arc<Mutex<Vec<String>>> = Arc::default();
    let mut booking_clients = Vec::new();
    for number in 0..BOOKING_CLIENTS {
        let (record, is_done, bookings) =
            (record.clone(), Arc::clone(&is_done), Arc::clone(&bookings));
        booking_clients.push(std::thread::spawn(move || {
            let mut connection = None;
            let mut sent = 0;
            while !is_done.load(Ordering::SeqCst) {
                let is_kept = connection.is_some();
                let Some(mut open) = connection.take().or_else(|| Connection::open(address)) else {
                    std::thread::sleep(Duration::from_millis(50));
                    continue;
                };
                sent += 1;
                let attempt = format!("{number:04x}{sent:04x}b00c0000");
                let headers = [
                    ("X-Attempt-Id", attempt.clone()),
                    ("X-Deadline-Ms", "3000".to_owned()),
                ];
                open.send("POST", "/marcacao/2f", &headers, b"work_ms=100");
                let answer = open.read_answer(|_, _| {});
                if answer.is_complete {
                    connection = Some(open);
                } else {
                    record.line(&format!(
                        "booking {attempt}: the connection is closed without an answer (status {}, kept connection: {is_kept})",
                        answer.status
                    ));
                    if is_kept && answer.status == 0 {
                        bookings.lock().unwrap().push(attempt);
                    }
                }
                // Clients don't keep step with each other.
                let pause = 5 + (number * 7 + sent * 13) % 31;
                std::thread::sleep(Duration::from_millis(pause as u64));
            }
        }));
    }
    // The platform: it kills a process that exceeds its memory, and starts it again.
    let mut kills = 0;
    let deadline = Instant::now() + Duration::from_secs(40);
    while clients.iter().any(|client| !client.is_finished()) && Instant::now() < deadline {
        let resident = fleet.gateways[0].resident_kib();
        most_kib.fetch_max(resident, Ordering::SeqCst);
        if resident > u64::from(MEMORY_MB) * 1024 {
            kills += 1;
            record.line(&format!(
                "the platform kills edge-norte-a-1: {resident} KiB of {MEMORY_MB} MiB in use"
            ));
            fleet.gateways[0].kill();
            std::thread::sleep(Duration::from_millis(300));
            fleet.gateways[0].start();
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    is_done.store(true, Ordering::SeqCst);
    for client in clients.into_iter().chain(booking_clients) {
        let _ = client.join();
    }
    let answers = answers.lock().unwrap().clone();
    let has_run = |attempt: &str| !runs.of(attempt).is_empty();
    let cut = answers
        .iter()
        .filter(|(attempt, _, is_complete)| !is_complete && has_run(attempt))
        .count();
    let unanswered = answers
        .iter()
        .filter(|(attempt, status, _)| *status == 0 && has_run(attempt))
        .count();
    let bookings = bookings
        .lock()
        .unwrap()
        .iter()
        .filter(|attempt| has_run(attempt))
        .count();
    let text = format!(
        "the process was killed {kills} times for its memory (most seen: {} KiB of {} KiB); passed on to a sound engine and closed without an answer: {bookings} bookings and {unanswered} streams (more than 3 break the rule); {cut} of {count} streams were cut",
        most_kib.load(Ordering::SeqCst),
        MEMORY_MB * 1024
    );
    let is_broken = bookings + unanswered > 3 || (!trouble && cut > 0);
    finish(&mut fleet, &record, i32::from(is_broken), &text);
}

fn ask(connection: &mut Connection, attempt: &str, events: u32, body_bytes: usize) -> (u16, bool) {
    let headers = [
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Model", "m".to_owned()),
        ("X-Token-Usage", "1460,1200".to_owned()),
        ("X-Length-Hint", "900".to_owned()),
        (
            "X-Prefix-Hash",
            format!("5c1e07a2:800,91bd3f06:410,{}:250", &attempt[..8]),
        ),
        ("X-Deadline-Ms", "39000".to_owned()),
    ];
    let mut body = format!("events={events} gap_ms=40 prefill_ms=150 ").into_bytes();
    body.resize(body_bytes, b'.');
    if !connection.send("POST", "/orcamento/2f", &headers, &body) {
        return (0, false);
    }
    let answer = connection.read_answer(|_, _| {});
    (answer.status, answer.is_complete)
}
