//! A host gets SIGTERM. Clients place bookings on connections that they keep until the process is
//! gone, while the service falls silent for a second. Do bookings that the host takes get an answer?

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use review_stand::client::Connection;
use review_stand::engine::{Engine, Runs};
use review_stand::gateway::Fleet;
use review_stand::operator;
use review_stand::record::Record;
use review_stand::store::Store;
use review_stand::{finish, has_trouble};

const CLIENTS: usize = 6;
/// When the clients send, after the signal, and when the service falls silent.
const SENT_AFTER: Duration = Duration::from_millis(6300);
/// A sound engine may fall silent for a second or so.
const SILENCE: Duration = Duration::from_millis(1100);
const GRACE: Duration = Duration::from_secs(8);
/// `timeout_ms` of the route.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(1500);

struct Sent {
    attempt: String,
    after: Duration,
    ended: Duration,
    status: u16,
    is_complete: bool,
}

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    let (store, runs) = (Store::start(), Runs::default());
    store.put("op/config", &operator::config(7, ""));
    let mut services = Vec::new();
    for id in ["i-s1", "i-s2", "i-s3"] {
        let service = Engine::start(id, "agenda", "v1", 6, &record, &runs);
        service.register(&store, "norte-a");
        services.push(service);
    }
    Engine::start("i-a1", "assistente", "v1", 48, &record, &runs).register(&store, "norte-a");
    let mut fleet = Fleet::new(2, store.address, 110);
    fleet.start_all();
    if !fleet.wait_ready(Duration::from_secs(15)) {
        finish(&mut fleet, &record, 2, "the gateways are not ready");
    }
    std::thread::sleep(Duration::from_secs(5));
    let address = fleet.gateways[0].callers;
    let mut connections = Vec::new();
    for number in 0..CLIENTS {
        let Some(mut connection) = Connection::open(address) else {
            finish(&mut fleet, &record, 2, "no connection to the gateway");
        };
        connection.send(
            "POST",
            "/marcacao/2f",
            &headers(&format!("{number:08x}00000001")),
            b"work_ms=30",
        );
        if connection.read_answer(|_, _| {}).status != 200 {
            finish(&mut fleet, &record, 2, "a booking before the signal fails");
        }
        connections.push(connection);
    }
    // A quote of twelve seconds is in progress, for which the host stays until its time is over.
    let quote = std::thread::spawn(move || {
        let mut headers = headers("0000000000000003");
        headers[1].1 = "39000".to_owned();
        headers.push(("X-Token-Usage", "1460,1600".to_owned()));
        headers.push(("X-Prefix-Hash", "5c1e07a2:800,91bd3f06:660".to_owned()));
        if let Some(mut connection) = Connection::open(address) {
            connection.send("POST", "/orcamento/2f", &headers, b"events=300 gap_ms=40");
            connection.read_answer(|_, _| {});
        }
    });
    std::thread::sleep(Duration::from_millis(500));
    let signalled = Instant::now();
    if trouble {
        fleet.gateways[0].signal("-TERM");
        record.line("DISRUPTION: edge-norte-a-1 gets SIGTERM");
    }
    std::thread::sleep((signalled + SENT_AFTER).saturating_duration_since(Instant::now()));
    for service in &services {
        service.fall_silent(SILENCE);
    }
    record.line(&format!(
        "the service falls silent for {} ms",
        SILENCE.as_millis()
    ));
    let all = Arc::new(Mutex::new(Vec::new()));
    let mut clients = Vec::new();
    for (number, mut connection) in connections.into_iter().enumerate() {
        let (record, all) = (record.clone(), Arc::clone(&all));
        clients.push(std::thread::spawn(move || {
            let attempt = format!("{number:08x}00000002");
            let after = signalled.elapsed();
            record.line(&format!(
                "client {number} sends {attempt} on its open connection, {:.2} s after the signal",
                after.as_secs_f64()
            ));
            connection.send("POST", "/marcacao/2f", &headers(&attempt), b"work_ms=30");
            let answer = connection.read_answer(|_, _| {});
            record.line(&format!(
                "client {number}: {attempt} ends with status {}, complete {}",
                answer.status, answer.is_complete
            ));
            all.lock().unwrap().push(Sent {
                attempt,
                after,
                ended: signalled.elapsed(),
                status: answer.status,
                is_complete: answer.is_complete,
            });
        }));
        std::thread::sleep(Duration::from_millis(20));
    }
    for client in clients {
        let _ = client.join();
    }
    let _ = quote.join();
    let all = all.lock().unwrap();
    let mut broken = 0;
    for sent in all.iter() {
        // Counted: sent more than 3 s after the signal, passed on to a service, and ended without a
        // complete answer before the route's timeout and 1 s after the grace period.
        let is_counted = sent.after > Duration::from_secs(3)
            && sent.ended < GRACE + Duration::from_secs(1)
            && sent.ended < sent.after + ROUTE_TIMEOUT
            && !sent.is_complete
            && !runs.of(&sent.attempt).is_empty();
        if is_counted {
            broken += 1;
            record.line(&format!(
                "LOST: booking {} was taken {:.2} s after the signal and passed on; its connection ended without an answer {:.2} s after the signal",
                sent.attempt,
                sent.after.as_secs_f64(),
                sent.ended.as_secs_f64()
            ));
        }
    }
    let refused = all.iter().filter(|sent| sent.status == 503).count();
    let answered = all
        .iter()
        .filter(|sent| sent.status == 200 && sent.is_complete)
        .count();
    let text = format!(
        "{broken} of {CLIENTS} bookings that were sent {:.1} s after the SIGTERM were passed on and got no answer; {answered} were answered, {refused} refused with 503",
        SENT_AFTER.as_secs_f64()
    );
    let is_broken = broken > 0 || (!trouble && answered < all.len());
    drop(all);
    finish(&mut fleet, &record, i32::from(is_broken), &text);
}

fn headers(attempt: &str) -> Vec<(&'static str, String)> {
    vec![
        ("X-Attempt-Id", attempt.to_owned()),
        ("X-Deadline-Ms", "3000".to_owned()),
    ]
}
