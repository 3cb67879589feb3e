//! Stand-ins of the host list, the plain service and the weight store.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{StandIn, agent, http_status, wait_until};

/// Guards against a host list that shows changes at once, unlike real ones.
#[test]
fn host_list_changes_are_delayed() {
    let hosts = StandIn::start("hosts", &[]);
    assert_eq!(hosts.get("/"), json!([]));
    let list = json!([{"targets": ["127.0.0.9:80"], "labels": {"deployment": "assistant"}}]);
    let put = |list: &Value| {
        let url = hosts.url("/control/hosts");
        agent()
            .put(url)
            .send_json(list)
            .expect("a control response");
    };
    put(&list);
    assert_eq!(hosts.get("/"), list);
    hosts
        .post("/control/lag", &json!({"ms": 400}))
        .expect("a control response");
    let start = Instant::now();
    put(&json!([]));
    assert_eq!(hosts.get("/"), list);
    wait_until(Duration::from_secs(2), || hosts.get("/") == json!([]));
    assert!(start.elapsed() >= Duration::from_millis(400));
}

fn post_booking(service: &StandIn, key: &str, body: &str) -> Result<Value, ureq::Error> {
    let request = agent().post(service.url("/bookings?van=1"));
    let mut response = request.header("Idempotency-Key", key).send(body)?;
    response.body_mut().read_json()
}

/// Guards against an execution without a response that is missing in the counts.
#[test]
fn ledger_counts_executions_without_a_response() {
    let service = StandIn::start("service", &[]);
    let response = post_booking(&service, "k1", "tuesday").expect("a response");
    assert_eq!(response["body"], json!("tuesday"));
    assert_eq!(response["path"], json!("/bookings?van=1"));
    service
        .post(
            "/control/behaviour",
            &json!({"delay_ms": 50, "close": true}),
        )
        .expect("a control response");
    post_booking(&service, "k1", "tuesday")
        .expect_err("the connection is closed without a response");
    assert_eq!(service.get("/control/ledger"), json!({"k1": 2}));
}

/// Guards against a leaving service that executes a call which it refuses.
#[test]
fn leaving_service_refuses_without_executing() {
    let service = StandIn::start("service", &[]);
    service
        .post("/control/leave", &json!({}))
        .expect("a control response");
    let error = post_booking(&service, "k1", "tuesday").expect_err("refused");
    assert_eq!(http_status(&error), Some(503));
    assert_eq!(service.get("/control/ledger"), json!({}));
    assert_eq!(service.get("/control/stats")["refused_leaving"], json!(1));
}

/// Guards against a weight store without a rate limit, which would hide the cost of a model load.
#[test]
fn weights_share_one_rate() {
    let options = ["--bytes-per-second", "400000", "--model-bytes", "100000"];
    let weights = StandIn::start("weights", &options);
    let start = Instant::now();
    std::thread::scope(|scope| {
        for _ in 0..2 {
            scope.spawn(|| {
                let mut response = agent()
                    .get(weights.url("/weights/quotes"))
                    .call()
                    .expect("a response");
                let bytes = response.body_mut().read_to_vec().expect("a body");
                assert_eq!(bytes.len(), 100_000);
            });
        }
    });
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(450), "took {elapsed:?}");
    assert_eq!(weights.get("/control/calls"), json!({"quotes": 2}));
}
