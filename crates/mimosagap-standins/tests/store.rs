//! The store's behaviours that the daemon's tests rely on.

mod support;

use std::io::{BufRead, BufReader};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{StandIn, encode, status, wait_until};

fn number(value: &Value) -> u64 {
    let text = value.as_str().expect("64-bit integers are strings");
    text.parse().expect("a number")
}

/// Opens a watch; its lines arrive on the channel, which ends with the connection.
fn watch(store: &StandIn, prefix: &str, start_revision: u64) -> mpsc::Receiver<Value> {
    let mut end = prefix.as_bytes().to_vec();
    *end.last_mut().expect("a prefix") += 1;
    let end = String::from_utf8(end).expect("an ASCII prefix");
    let body = json!({"create_request": {
        "key": encode(prefix),
        "range_end": encode(&end),
        "start_revision": start_revision.to_string(),
    }});
    let agent: ureq::Agent = ureq::Agent::config_builder().build().into();
    let response = agent
        .post(store.url("/v3/watch"))
        .send_json(&body)
        .expect("the watch opens");
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let reader = response.into_body().into_reader();
        for line in BufReader::new(reader).lines().map_while(Result::ok) {
            let line = serde_json::from_str(&line).expect("a JSON line");
            if sender.send(line).is_err() {
                return;
            }
        }
    });
    receiver
}

/// The next event of a watch, without lines that only show progress.
fn next_event(lines: &mpsc::Receiver<Value>) -> Value {
    loop {
        let line = lines
            .recv_timeout(Duration::from_secs(2))
            .expect("a line at least every second");
        if let Some(event) = line["result"]["events"].get(0) {
            return event.clone();
        }
    }
}

/// Guards against two winners of one claim.
#[test]
fn create_succeeds_once() {
    let store = StandIn::start("store", &[]);
    assert!(store.create("mg/o/a/1", "first").expect("an answer"));
    assert!(!store.create("mg/o/a/1", "second").expect("an answer"));
    assert_eq!(store.read("mg/o/a/1").as_deref(), Some("first"));
}

/// Guards against a lost update when two operators edit the same revision.
#[test]
fn mod_revision_is_compared() {
    let store = StandIn::start("store", &[]);
    let answer = store.put("mg/c/rules/text", "one").expect("an answer");
    let revision = number(&answer["header"]["revision"]);
    let swap = |value: &str| {
        let key = encode("mg/c/rules/text");
        let body = json!({
            "compare": [{"target": "MOD", "result": "EQUAL", "key": key,
                         "mod_revision": revision.to_string()}],
            "success": [
                {"request_put": {"key": key, "value": encode(value)}},
                {"request_put": {"key": encode("mg/c/rules/delta/2"), "value": encode("d")}},
            ],
        });
        store.post("/v3/kv/txn", &body).expect("an answer")["succeeded"] == json!(true)
    };
    assert!(swap("two"));
    assert!(!swap("three"));
    assert_eq!(store.read("mg/c/rules/text").as_deref(), Some("two"));
    assert_eq!(store.read("mg/c/rules/delta/2").as_deref(), Some("d"));
}

/// Guards against a half-applied transaction.
#[test]
fn transaction_fails_as_a_whole() {
    let store = StandIn::start("store", &[]);
    let body = json!({"success": [
        {"request_put": {"key": encode("a"), "value": encode("1")}},
        {"request_put": {"key": encode("b"), "value": encode("1"), "lease": "99"}},
    ]});
    let error = store.post("/v3/kv/txn", &body).expect_err("no such lease");
    assert_eq!(status(&error), Some(404));
    assert_eq!(store.read("a"), None);
}

/// Guards against a prefix read that misses keys or includes foreign ones.
#[test]
fn range_end_bounds_a_prefix() {
    let store = StandIn::start("store", &[]);
    for key in ["a/0", "a/1", "b/0"] {
        store.put(key, "x").expect("an answer");
    }
    let body = json!({"key": encode("a/"), "range_end": encode("a0")});
    let answer = store.post("/v3/kv/range", &body).expect("an answer");
    assert_eq!(answer["kvs"].as_array().map(Vec::len), Some(2));
    assert_eq!(answer["count"], json!("2"));
}

/// Guards against values that the real service refuses.
#[test]
fn value_over_one_megabyte_is_refused() {
    let store = StandIn::start("store", &[]);
    store
        .put("a", &"x".repeat(1_000_000))
        .expect("1 MB is accepted");
    let error = store
        .put("a", &"x".repeat(1_000_001))
        .expect_err("over 1 MB");
    assert_eq!(status(&error), Some(400));
}

/// Guards against a lease that expires early, late, or not at all during an outage.
#[test]
fn lease_expires_on_time_during_an_outage() {
    let store = StandIn::start("store", &[]);
    let start = Instant::now();
    let lease = store
        .post("/v3/lease/grant", &json!({"TTL": "1"}))
        .expect("a lease");
    let body = json!({"key": encode("k"), "value": encode("v"), "lease": lease["ID"]});
    store.post("/v3/kv/put", &body).expect("an answer");
    store.fault(&json!({"kind": "down"}));
    let present = || !store.get("/control/dump")["keys"]["k"].is_null();
    assert!(present());
    wait_until(Duration::from_secs(3), || !present());
    let elapsed = start.elapsed();
    assert!(
        elapsed >= Duration::from_secs(1) && elapsed < Duration::from_millis(1_500),
        "expired after {elapsed:?}"
    );
}

/// Guards against a renewal that has no effect, or that revives an expired lease.
#[test]
fn keepalive_extends_only_a_live_lease() {
    let store = StandIn::start("store", &[]);
    let lease = store
        .post("/v3/lease/grant", &json!({"TTL": "1"}))
        .expect("a lease");
    let body = json!({"ID": lease["ID"]});
    std::thread::sleep(Duration::from_millis(700));
    let renewed = store.post("/v3/lease/keepalive", &body).expect("an answer");
    assert_eq!(renewed["result"]["TTL"], json!("1"));
    std::thread::sleep(Duration::from_millis(700));
    let renewed = store.post("/v3/lease/keepalive", &body).expect("an answer");
    assert_eq!(renewed["result"]["TTL"], json!("1"));
    std::thread::sleep(Duration::from_millis(1_300));
    let expired = store.post("/v3/lease/keepalive", &body).expect("an answer");
    assert_eq!(expired["result"]["TTL"], Value::Null);
}

/// Guards against a watch that misses changes made before it was opened, or deletions.
#[test]
fn watch_starts_at_a_past_revision() {
    let store = StandIn::start("store", &[]);
    let first = store.put("a/1", "x").expect("an answer");
    store.put("b/1", "x").expect("an answer");
    let lines = watch(&store, "a/", number(&first["header"]["revision"]));
    let event = next_event(&lines);
    assert_eq!(event["kv"]["key"], json!(encode("a/1")));
    assert_eq!(event["type"], Value::Null);
    let body = json!({"key": encode("a/1")});
    store.post("/v3/kv/deleterange", &body).expect("an answer");
    let event = next_event(&lines);
    assert_eq!(event["type"], json!("DELETE"));
}

/// Guards against a silent watch that looks like a broken one, and against counting it twice.
#[test]
fn idle_watch_shows_progress_and_counts_once() {
    let store = StandIn::start("store", &[]);
    let lines = watch(&store, "a/", 0);
    for _ in 0..4 {
        lines
            .recv_timeout(Duration::from_secs(1))
            .expect("a line at least every second");
    }
    let calls = store.get("/control/calls");
    assert_eq!(calls["watch"], json!(1));
    assert_eq!(calls["watches_open"], json!(1));
}

/// Guards against a watch that outlives an outage.
#[test]
fn outage_breaks_watches_and_refuses_calls() {
    let store = StandIn::start("store", &[]);
    let lines = watch(&store, "a/", 0);
    store.fault(&json!({"kind": "down"}));
    wait_until(Duration::from_secs(2), || {
        matches!(lines.try_recv(), Err(mpsc::TryRecvError::Disconnected))
    });
    let error = store.put("a", "x").expect_err("the store is down");
    assert_eq!(status(&error), None);
    store.fault(&json!({"kind": "none"}));
    store.put("a", "x").expect("the store is up");
}

/// Guards against a lost answer that also loses the write.
#[test]
fn lost_answer_keeps_the_write() {
    let store = StandIn::start("store", &[]);
    store.fault(&json!({"kind": "lose_answers", "count": 1, "key_prefix": "mg/o/"}));
    assert!(store.create("mg/c/x", "1").expect("another prefix"));
    let error = store.create("mg/o/a/1", "nonce").expect_err("no answer");
    assert_eq!(status(&error), None);
    assert_eq!(store.read("mg/o/a/1").as_deref(), Some("nonce"));
    assert!(store.create("mg/o/a/2", "nonce").expect("only one is lost"));
    assert_eq!(store.get("/control/fault")["hits"], json!(1));
}

/// Guards against a lost answer to a call that changed nothing, which would hide how a lost answer
/// is resolved.
#[test]
fn failed_compare_keeps_its_answer() {
    let store = StandIn::start("store", &[]);
    store.fault(&json!({"kind": "lose_answers"}));
    store.create("mg/o/a/1", "first").expect_err("no answer");
    assert!(!store.create("mg/o/a/1", "second").expect("an answer"));
    let error = store.post("/v3/lease/grant", &json!({"TTL": "5"}));
    error.expect_err("a lease is an effect too");
}

/// Guards against a slow write that is undone when its caller gives up.
#[test]
fn slow_write_takes_effect_after_its_caller_left() {
    let store = StandIn::start("store", &[]);
    store.fault(&json!({"kind": "slow", "delay_ms": 400, "count": 1}));
    let agent: ureq::Agent = ureq::Agent::config_builder()
        .timeout_global(Some(Duration::from_millis(100)))
        .build()
        .into();
    let body = json!({"key": encode("a"), "value": encode("late")});
    let result = agent.post(store.url("/v3/kv/put")).send_json(&body);
    result.expect_err("the caller gives up");
    assert_eq!(store.read("a"), None);
    wait_until(Duration::from_secs(2), || store.read("a").is_some());
}

/// Guards against a store without limits, which would hide a daemon that calls too often.
#[test]
fn writes_over_the_rate_are_refused() {
    let store = StandIn::start("store", &["--writes-per-second", "40"]);
    let mut limited = 0;
    for _ in 0..30 {
        match store.put("a", "x") {
            Ok(_) => {}
            Err(error) if status(&error) == Some(429) => limited += 1,
            Err(error) => panic!("unexpected error {error}"),
        }
    }
    assert!(limited > 0, "30 writes at once passed a limit of 40/s");
    let calls = store.get("/control/calls");
    assert_eq!(calls["put"], json!(30));
    assert_eq!(calls["limited"], json!(limited));
    std::thread::sleep(Duration::from_millis(300));
    store.put("a", "x").expect("the rate recovers");
}

/// Guards against a watch line that is held back until more data follows.
#[test]
fn watch_delivers_at_once() {
    let store = StandIn::start("store", &[]);
    let lines = watch(&store, "a/", 0);
    lines
        .recv_timeout(Duration::from_secs(1))
        .expect("the first line");
    let start = Instant::now();
    store.put("a/1", "x").expect("an answer");
    next_event(&lines);
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_millis(250), "took {elapsed:?}");
}
