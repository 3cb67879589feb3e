//! An engine that runs streams announces that it leaves. The gateway copies them to other engines and
//! goes on there. Does the first engine still work on them 400 ms later?

use std::time::{Duration, Instant};

use review_stand::client::Connection;
use review_stand::engine::{Engine, Runs};
use review_stand::gateway::Fleet;
use review_stand::operator;
use review_stand::record::Record;
use review_stand::store::Store;
use review_stand::{finish, has_trouble};

const STREAMS: usize = 9;
const EVENTS: u32 = 250;
const GAP_MS: u32 = 40;
/// Time for which two engines may work on one request.
const MAX_OVERLAP_S: f64 = 0.4;

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    let (store, runs) = (Store::start(), Runs::default());
    store.put("op/config", &operator::config(7, ""));
    let mut engines = Vec::new();
    for id in ["i-a1", "i-a2", "i-a3", "i-a4"] {
        let engine = Engine::start(id, "assistente", "v1", 48, &record, &runs);
        engine.register(&store, "norte-a");
        engines.push(engine);
    }
    // Three engines drop a request when its connection closes, one goes on with it.
    engines[0].keep_runs();
    let mut fleet = Fleet::new(2, store.address, 110);
    fleet.start_all();
    if !fleet.wait_ready(Duration::from_secs(15)) {
        finish(&mut fleet, &record, 2, "the gateways are not ready");
    }
    std::thread::sleep(Duration::from_secs(5));
    let addresses: Vec<_> = fleet
        .gateways
        .iter()
        .map(|gateway| gateway.callers)
        .collect();
    let mut clients = Vec::new();
    for number in 0..STREAMS {
        let (record, address) = (record.clone(), addresses[number % addresses.len()]);
        clients.push(std::thread::spawn(move || {
            let attempt = format!("{number:08x}9c41d07b");
            let headers = [
                ("X-Attempt-Id", attempt.clone()),
                ("X-Model", "m".to_owned()),
                ("X-Token-Usage", "1460,1200".to_owned()),
                ("X-Length-Hint", "1000".to_owned()),
                ("X-Prefix-Hash", format!("5c1e07a2:800,{number:08x}:660")),
                ("X-Deadline-Ms", "39000".to_owned()),
            ];
            let Some(mut connection) = Connection::open(address) else {
                return (attempt, false);
            };
            record.line(&format!("client {number} sends {attempt} to {address}"));
            let body = format!("events={EVENTS} gap_ms={GAP_MS} prefill_ms=150");
            connection.send("POST", "/orcamento/2f", &headers, body.as_bytes());
            let mut expected = 1;
            let mut is_in_order = true;
            let answer = connection.read_answer(|id, _| {
                is_in_order &= id == expected;
                expected = id + 1;
            });
            record.line(&format!(
                "client {number}: {attempt} ends with status {}, complete {}, in order {is_in_order}, last event {}",
                answer.status,
                answer.is_complete,
                expected - 1
            ));
            (attempt, answer.is_complete && is_in_order)
        }));
        std::thread::sleep(Duration::from_millis(100));
    }
    std::thread::sleep(Duration::from_secs(2));
    let began = Instant::now();
    if trouble {
        engines[0]
            .is_leaving
            .store(true, std::sync::atomic::Ordering::SeqCst);
        engines[0].register(&store, "norte-a");
        record.line("DISRUPTION: i-a1 announces in the store that it leaves (draining); it serves on for 3 s and more");
    }
    let answers: Vec<(String, bool)> = clients
        .into_iter()
        .filter_map(|client| client.join().ok())
        .collect();
    std::thread::sleep(Duration::from_secs(1));
    record.line(&format!(
        "all answers have ended {:.1} s after the notice",
        began.elapsed().as_secs_f64()
    ));
    let (mut moved, mut twice) = (0, 0);
    for (attempt, _) in &answers {
        let runs = runs.of(attempt);
        for (before, after) in runs.iter().zip(runs.iter().skip(1)) {
            moved += 1;
            let overlap = before.ended.min(after.ended) - after.began;
            if overlap > MAX_OVERLAP_S {
                twice += 1;
                record.line(&format!(
                    "TWICE: {attempt} goes on at {} from {:.2} s on, and {} works on it until {:.2} s, {overlap:.2} s longer",
                    after.engine, after.began, before.engine, before.ended
                ));
            }
        }
    }
    let whole = answers.iter().filter(|(_, is_whole)| *is_whole).count();
    let text = format!(
        "{moved} of {STREAMS} streams went on at another engine; at {twice} of them the engine before still worked more than 400 ms later; {whole} answers came whole"
    );
    if trouble && moved == 0 {
        finish(&mut fleet, &record, 2, &format!("no stream moved: {text}"));
    }
    let is_broken = twice > 0 || (!trouble && whole < STREAMS);
    finish(&mut fleet, &record, i32::from(is_broken), &text);
}
