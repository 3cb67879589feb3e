//! Generations from an engine to a caller.

mod common;

use common::*;
use mimosagap_core::AttemptEnd;

/// Guards against lost, repeated or reordered tokens and against leaking the engine's own id.
fn check_stream(reply: &Reply, tokens: u64, origin: &str) {
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.header("x-rules-revision"), Some("41"));
    let events = events(&reply.body);
    let numbers: Vec<u64> = events
        .iter()
        .map(|event| event["sequence_number"].as_u64().unwrap())
        .collect();
    let expected: Vec<u64> = (0..=tokens + 1).collect();
    assert_eq!(numbers, expected);
    for number in 1..=tokens {
        let delta = &events[usize::try_from(number).unwrap()]["delta"];
        assert_eq!(delta, &format!("{origin}:{number} "));
    }
    assert!(!reply.body.contains("inner-1"), "the engine's id leaked");
    let id = &events[0]["response"]["id"];
    assert_eq!(&events.last().unwrap()["response"]["id"], id);
}

#[tokio::test]
async fn a_stream_arrives_whole_and_in_order() {
    let engine = FakeEngine::new(50);
    let target = engine.start().await;
    let daemon = start(Placement::new(&[target])).await;
    let reply = call(daemon.callers, "POST", "/v1/responses", &generation(true)).await;
    check_stream(&reply, 50, &target.to_string());
    let requests = engine.requests.lock().unwrap();
    assert!(requests[0].contains(r#""priority":10"#), "{requests:?}");
    assert!(!requests[0].contains(TOKEN), "the token was passed on");
    let seen = daemon.seen.lock().unwrap();
    assert_eq!(seen.ends, [AttemptEnd::Completed { tokens: 50 }]);
}

/// Guards against an answer that is not the concatenation of its tokens.
#[tokio::test]
async fn a_whole_answer_has_the_text_of_all_tokens() {
    let engine = FakeEngine::new(20);
    let target = engine.start().await;
    let daemon = start(Placement::new(&[target])).await;
    let reply = call(daemon.callers, "POST", "/v1/responses", &generation(false)).await;
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.header("x-outcome"), Some("ran"));
    let expected: Vec<String> = (1..=20)
        .map(|number| format!("{target}:{number} "))
        .collect();
    let json = reply.json();
    assert_eq!(json["output"][0]["content"][0]["text"], expected.concat());
    assert!(json["id"].as_str().unwrap().starts_with("resp_"));
}

/// Guards against an answer that is neither delivered nor refused when no engine is there.
#[tokio::test]
async fn a_dead_engine_gives_a_truthful_refusal() {
    let daemon = start(Placement::new(&[address()])).await;
    let reply = call(daemon.callers, "POST", "/v1/responses", &generation(true)).await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!(reply.header("retry-after"), Some("2"));
    assert_eq!(reply.header("x-outcome"), Some("not_run"));
    assert_eq!(reply.error("code"), "no_target");
    assert_eq!(reply.error("retry_after_ms"), 1_200);
    assert_eq!(daemon.seen.lock().unwrap().ends, [AttemptEnd::NotSent]);
}
