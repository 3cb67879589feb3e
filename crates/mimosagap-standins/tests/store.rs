//! Behaviour of the store stand-in on which the tests of the daemon rely.

mod support;

use std::io::{BufRead, BufReader};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{StandIn, encode, http_status, wait_until};

fn parse_int64(value: &Value) -> u64 {
    let text = value.as_str().expect("64-bit integers are strings");
    text.parse().expect("a number")
}

/// Opens a watch. Its lines arrive on the channel, which closes with the connection.
fn open_watch(store: &StandIn, prefix: &str, start_revision: u64) -> mpsc::Receiver<Value> {
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

/// Returns the next event of a watch, skipping progress lines.
fn next_event(watch_lines: &mpsc::Receiver<Value>) -> Value {
    loop {
        let line = watch_lines
            .recv_timeout(Duration::from_secs(2))
            .expect("a line at least every second");
        if let Some(event) = line["result"]["events"].get(0) {
            return event.clone();
        }
    }
}

/// Guards against two callers that both create the same claim.
#[test]
fn create_succeeds_only_once() {
    let store = StandIn::start("store", &[]);
    assert!(store.create("mg/o/a/1", "first").expect("a response"));
    assert!(!store.create("mg/o/a/1", "second").expect("a response"));
    assert_eq!(store.read("mg/o/a/1").as_deref(), Some("first"));
}

/// Guards against a lost update when two operators edit the same revision.
#[test]
fn mod_revision_is_compared() {
    let store = StandIn::start("store", &[]);
    let response = store.put("mg/c/rules/text", "one").expect("a response");
    let revision = parse_int64(&response["header"]["revision"]);
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
        store.post("/v3/kv/txn", &body).expect("a response")["succeeded"] == json!(true)
    };
    assert!(swap("two"));
    assert!(!swap("three"));
    assert_eq!(store.read("mg/c/rules/text").as_deref(), Some("two"));
    assert_eq!(store.read("mg/c/rules/delta/2").as_deref(), Some("d"));
}

/// Guards against a partially applied transaction.
#[test]
fn transaction_fails_as_a_whole() {
    let store = StandIn::start("store", &[]);
    let body = json!({"success": [
        {"request_put": {"key": encode("a"), "value": encode("1")}},
        {"request_put": {"key": encode("b"), "value": encode("1"), "lease": "99"}},
    ]});
    let error = store.post("/v3/kv/txn", &body).expect_err("no such lease");
    assert_eq!(http_status(&error), Some(404));
    assert_eq!(store.read("a"), None);
}

/// Guards against a prefix read that misses keys or returns keys outside the prefix.
#[test]
fn range_end_bounds_a_prefix() {
    let store = StandIn::start("store", &[]);
    for key in ["a/0", "a/1", "b/0"] {
        store.put(key, "x").expect("a response");
    }
    let body = json!({"key": encode("a/"), "range_end": encode("a0")});
    let response = store.post("/v3/kv/range", &body).expect("a response");
    assert_eq!(response["kvs"].as_array().map(Vec::len), Some(2));
    assert_eq!(response["count"], json!("2"));
}

/// Guards against accepting values that the real store refuses.
#[test]
fn value_over_one_megabyte_is_refused() {
    let store = StandIn::start("store", &[]);
    store
        .put("a", &"x".repeat(1_000_000))
        .expect("1 MB is accepted");
    let error = store
        .put("a", &"x".repeat(1_000_001))
        .expect_err("over 1 MB");
    assert_eq!(http_status(&error), Some(400));
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
    store.post("/v3/kv/put", &body).expect("a response");
    store.set_fault(&json!({"kind": "down"}));
    let present = || !store.get("/control/dump")["keys"]["k"].is_null();
    assert!(present());
    wait_until(Duration::from_secs(3), || !present());
    let elapsed = start.elapsed();
    assert!(
        elapsed >= Duration::from_secs(1) && elapsed < Duration::from_millis(1_500),
        "expired after {elapsed:?}"
    );
}

/// Guards against a keepalive that has no effect, or that revives an expired lease.
#[test]
fn keepalive_extends_only_a_live_lease() {
    let store = StandIn::start("store", &[]);
    let lease = store
        .post("/v3/lease/grant", &json!({"TTL": "1"}))
        .expect("a lease");
    let body = json!({"ID": lease["ID"]});
    std::thread::sleep(Duration::from_millis(700));
    let renewed = store
        .post("/v3/lease/keepalive", &body)
        .expect("a response");
    assert_eq!(renewed["result"]["TTL"], json!("1"));
    std::thread::sleep(Duration::from_millis(700));
    let renewed = store
        .post("/v3/lease/keepalive", &body)
        .expect("a response");
    assert_eq!(renewed["result"]["TTL"], json!("1"));
    std::thread::sleep(Duration::from_millis(1_300));
    let expired = store
        .post("/v3/lease/keepalive", &body)
        .expect("a response");
    assert_eq!(expired["result"]["TTL"], Value::Null);
}

/// Guards against a watch that misses changes made before it was opened, or deletions.
#[test]
fn watch_starts_at_a_past_revision() {
    let store = StandIn::start("store", &[]);
    let first = store.put("a/1", "x").expect("a response");
    store.put("b/1", "x").expect("a response");
    let watch_lines = open_watch(&store, "a/", parse_int64(&first["header"]["revision"]));
    let event = next_event(&watch_lines);
    assert_eq!(event["kv"]["key"], json!(encode("a/1")));
    assert_eq!(event["type"], Value::Null);
    let body = json!({"key": encode("a/1")});
    store.post("/v3/kv/deleterange", &body).expect("a response");
    let event = next_event(&watch_lines);
    assert_eq!(event["type"], json!("DELETE"));
}

/// Guards against an idle watch that cannot be told from a broken one, and against counting a watch
/// twice.
#[test]
fn idle_watch_shows_progress_and_counts_once() {
    let store = StandIn::start("store", &[]);
    let watch_lines = open_watch(&store, "a/", 0);
    for _ in 0..4 {
        watch_lines
            .recv_timeout(Duration::from_secs(1))
            .expect("a line at least every second");
    }
    let calls = store.get("/control/calls");
    assert_eq!(calls["watch"], json!(1));
    assert_eq!(calls["watches_open"], json!(1));
}

/// Guards against a watch that stays open during an outage.
#[test]
fn outage_breaks_watches_and_refuses_calls() {
    let store = StandIn::start("store", &[]);
    let watch_lines = open_watch(&store, "a/", 0);
    store.set_fault(&json!({"kind": "down"}));
    wait_until(Duration::from_secs(2), || {
        matches!(
            watch_lines.try_recv(),
            Err(mpsc::TryRecvError::Disconnected)
        )
    });
    let error = store.put("a", "x").expect_err("the store is down");
    assert_eq!(http_status(&error), None);
    store.set_fault(&json!({"kind": "none"}));
    store.put("a", "x").expect("the store is up");
}

/// Guards against a dropped response that also drops the write.
#[test]
fn dropped_response_keeps_the_write() {
    let store = StandIn::start("store", &[]);
    store.set_fault(&json!({"kind": "lose_answers", "count": 1, "key_prefix": "mg/o/"}));
    assert!(store.create("mg/c/x", "1").expect("another prefix"));
    let error = store
        .create("mg/o/a/1", "nonce")
        .expect_err("the connection is closed without a response");
    assert_eq!(http_status(&error), None);
    assert_eq!(store.read("mg/o/a/1").as_deref(), Some("nonce"));
    assert!(store.create("mg/o/a/2", "nonce").expect("only one is lost"));
    assert_eq!(store.get("/control/fault")["hits"], json!(1));
}

/// Guards against dropping the response of a call that changed nothing, which would hide how a
/// caller resolves a dropped response.
#[test]
fn failed_compare_keeps_its_response() {
    let store = StandIn::start("store", &[]);
    store.set_fault(&json!({"kind": "lose_answers"}));
    store
        .create("mg/o/a/1", "first")
        .expect_err("the connection is closed without a response");
    assert!(!store.create("mg/o/a/1", "second").expect("a response"));
    let error = store.post("/v3/lease/grant", &json!({"TTL": "5"}));
    error.expect_err("a lease is an effect too");
}

/// Guards against a slow write that is cancelled when its caller gives up.
#[test]
fn slow_write_takes_effect_after_its_caller_gave_up() {
    let store = StandIn::start("store", &[]);
    store.set_fault(&json!({"kind": "slow", "delay_ms": 400, "count": 1}));
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

/// Guards against a store without rate limits, which would hide a daemon that calls too often.
#[test]
fn writes_over_the_rate_are_refused() {
    let store = StandIn::start("store", &["--writes-per-second", "40"]);
    let mut limited = 0;
    for _ in 0..30 {
        match store.put("a", "x") {
            Ok(_) => {}
            Err(error) if http_status(&error) == Some(429) => limited += 1,
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

/// Guards against a watch line that is buffered until more data follows.
#[test]
fn watch_delivers_events_at_once() {
    let store = StandIn::start("store", &[]);
    let watch_lines = open_watch(&store, "a/", 0);
    watch_lines
        .recv_timeout(Duration::from_secs(1))
        .expect("the first line");
    let start = Instant::now();
    store.put("a/1", "x").expect("a response");
    next_event(&watch_lines);
    let elapsed = start.elapsed();
    assert!(elapsed < Duration::from_millis(250), "took {elapsed:?}");
}
