//! The host list, the plain service and the weight store.

mod support;

use std::time::{Duration, Instant};

use serde_json::{Value, json};
use support::{StandIn, agent, status, wait_until};

/// Guards against a host list without the lag that real ones have.
#[test]
fn host_list_lags() {
    let hosts = StandIn::start("hosts", &[]);
    assert_eq!(hosts.get("/"), json!([]));
    let list = json!([{"targets": ["127.0.0.9:80"], "labels": {"deployment": "assistant"}}]);
    let put = |list: &Value| {
        let url = hosts.url("/control/hosts");
        agent().put(url).send_json(list).expect("a control answer");
    };
    put(&list);
    assert_eq!(hosts.get("/"), list);
    hosts
        .post("/control/lag", &json!({"ms": 400}))
        .expect("a control answer");
    let start = Instant::now();
    put(&json!([]));
    assert_eq!(hosts.get("/"), list);
    wait_until(Duration::from_secs(2), || hosts.get("/") == json!([]));
    assert!(start.elapsed() >= Duration::from_millis(400));
}

fn order(service: &StandIn, key: &str, body: &str) -> Result<Value, ureq::Error> {
    let request = agent().post(service.url("/bookings?van=1"));
    let mut response = request.header("Idempotency-Key", key).send(body)?;
    response.body_mut().read_json()
}

/// Guards against executions that the ledger does not show.
#[test]
fn ledger_counts_executions_without_an_answer() {
    let service = StandIn::start("service", &[]);
    let answer = order(&service, "k1", "tuesday").expect("an answer");
    assert_eq!(answer["body"], json!("tuesday"));
    assert_eq!(answer["path"], json!("/bookings?van=1"));
    service
        .post(
            "/control/behaviour",
            &json!({"delay_ms": 50, "close": true}),
        )
        .expect("a control answer");
    order(&service, "k1", "tuesday").expect_err("no answer");
    assert_eq!(service.get("/control/ledger"), json!({"k1": 2}));
}

/// Guards against a leaving service that carries out what it refuses.
#[test]
fn leaving_service_refuses_without_running() {
    let service = StandIn::start("service", &[]);
    service
        .post("/control/leave", &json!({}))
        .expect("a control answer");
    let error = order(&service, "k1", "tuesday").expect_err("refused");
    assert_eq!(status(&error), Some(503));
    assert_eq!(service.get("/control/ledger"), json!({}));
    assert_eq!(service.get("/control/stats")["refused_leaving"], json!(1));
}

/// Guards against an unpaced weight store, which would hide the cost of a model load.
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
                    .expect("an answer");
                let bytes = response.body_mut().read_to_vec().expect("a body");
                assert_eq!(bytes.len(), 100_000);
            });
        }
    });
    let elapsed = start.elapsed();
    assert!(elapsed >= Duration::from_millis(450), "took {elapsed:?}");
    assert_eq!(weights.get("/control/calls"), json!({"quotes": 2}));
}
