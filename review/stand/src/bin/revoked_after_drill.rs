//! A key is revoked; seconds later all hosts are killed while the store comes back from a copy in
//! which the key still stands. Do requests with the key run after the bound on revocations?

use std::time::{Duration, Instant};

use review_stand::client::Connection;
use review_stand::engine::{Engine, Runs};
use review_stand::gateway::Fleet;
use review_stand::operator;
use review_stand::record::Record;
use review_stand::store::Store;
use review_stand::{finish, has_trouble};

const REVOKED_KEY: &str = "xd9dnn2ctnfzs989anu6";
const OTHER_KEY: &str = "wsjnbanfqasnmgkcuyj8";
/// `revoke_ms` of the settings.
const REVOKE: Duration = Duration::from_millis(5000);

fn main() {
    let record = Record::create();
    let trouble = has_trouble();
    let killed = match std::env::var("TROUBLE").unwrap_or_default().as_str() {
        "drill" => 0,
        "one" => 1,
        _ => 3,
    };
    let has_drill = std::env::var("TROUBLE").unwrap_or_default() != "kill";
    let (store, runs) = (Store::start(), Runs::default());
    let both = format!(
        "{{\"name\":\"huka270\",\"api_keys\":[\"{REVOKED_KEY}\"]}},{{\"name\":\"lomo115\",\"api_keys\":[\"{OTHER_KEY}\"]}}"
    );
    let other = format!(
        "{{\"name\":\"huka270\",\"api_keys\":[]}},{{\"name\":\"lomo115\",\"api_keys\":[\"{OTHER_KEY}\"]}}"
    );
    store.put("op/config", &operator::config(7, &both));
    for id in ["i-a1", "i-a2", "i-a3"] {
        Engine::start(id, "agenda", "v1", 6, &record, &runs).register(&store, "norte-a");
    }
    let mut fleet = Fleet::new(3, store.address, 110);
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
    let mut sent = 0;
    let mut send = |key: &str, label: &str| -> (String, u16) {
        sent += 1;
        let attempt = format!("{sent:08x}2fd1077b");
        let address = addresses[sent % addresses.len()];
        let headers = [
            ("X-Attempt-Id", attempt.clone()),
            ("X-Deadline-Ms", "3000".to_owned()),
            ("Authorization", format!("Bearer {key}")),
        ];
        record.line(&format!(
            "client sends {attempt} with the {label} key to {address}"
        ));
        let status = Connection::open(address).map_or(0, |mut connection| {
            connection.send("POST", "/marcacao/2f", &headers, b"work_ms=10");
            connection.read_answer(|_, _| {}).status
        });
        record.line(&format!("client gets {status} for {attempt}"));
        (attempt, status)
    };
    for _ in 0..3 {
        if send(REVOKED_KEY, "later revoked").1 != 200 {
            finish(
                &mut fleet,
                &record,
                2,
                "the key is not accepted before it is revoked",
            );
        }
    }
    let backup = store.copy();
    let backup_at = Instant::now();
    std::thread::sleep(Duration::from_millis(700));
    store.put("op/config", &operator::config(9, &other));
    let revoked_at = Instant::now();
    record.line("the store acknowledges version 9, which takes the key away");
    let sleep_until = |after: u64| {
        let at = revoked_at + Duration::from_millis(after);
        std::thread::sleep(at.saturating_duration_since(Instant::now()));
    };
    sleep_until(3000);
    send(REVOKED_KEY, "revoked");
    sleep_until(3700);
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
        sleep_until(4300);
        if has_drill {
            store.come_back_from(backup);
            let age = backup_at.elapsed().as_secs_f64();
            record.line(&format!(
                "DISRUPTION: the store is back from a copy that is {age:.1} s old"
            ));
        }
    }
    let rewriter = {
        let (store, record) = (store.clone(), record.clone());
        std::thread::spawn(move || {
            std::thread::sleep(
                (revoked_at + Duration::from_millis(6300))
                    .saturating_duration_since(Instant::now()),
            );
            store.rewrite("");
            record.line("operator and engines have written again what the copy lacked");
        })
    };
    sleep_until(5050);
    let mut late = Vec::new();
    while revoked_at.elapsed() < Duration::from_millis(6250) {
        late.push((send(REVOKED_KEY, "revoked"), revoked_at.elapsed()));
        send(OTHER_KEY, "other");
        std::thread::sleep(Duration::from_millis(60));
    }
    let _ = rewriter.join();
    std::thread::sleep(Duration::from_millis(700));
    let (_, end) = send(REVOKED_KEY, "revoked");
    let ran = late
        .iter()
        .filter(|((attempt, _), _)| !runs.of(attempt).is_empty())
        .count();
    let text = format!(
        "{ran} of {} requests with the revoked key ran although they were sent more than {} ms after the acknowledgement; after the operator's rewrite the key gets {end}",
        late.len(),
        REVOKE.as_millis()
    );
    finish(&mut fleet, &record, i32::from(ran > 0), &text);
}
