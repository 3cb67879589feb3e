//! Generations relayed from a fake engine to a caller.

mod common;

use std::sync::{Arc, Mutex};
use std::time::Duration;

use common::*;
use mimosagap_core::AttemptEnd;
use mimosagap_daemon::requests::RequestCommand;
use mimosagap_types::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Checks that a stream has all tokens of the engine `origin`, once and in order, and that it does
/// not reveal the engine's response id.
fn check_stream(response: &TestResponse, token_count: u64, origin: &str) {
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.header("x-rules-revision"), Some("41"));
    let events = parse_events(&response.body);
    let numbers: Vec<u64> = events
        .iter()
        .map(|event| event["sequence_number"].as_u64().unwrap())
        .collect();
    let expected: Vec<u64> = (0..=token_count + 1).collect();
    assert_eq!(numbers, expected);
    for number in 1..=token_count {
        let delta = &events[usize::try_from(number).unwrap()]["delta"];
        assert_eq!(delta, &format!("{origin}:{number} "));
    }
    assert!(
        !response.body.contains("inner-1"),
        "the engine's response id was forwarded"
    );
    let id = &events[0]["response"]["id"];
    assert_eq!(&events.last().unwrap()["response"]["id"], id);
}

#[tokio::test]
async fn stream_arrives_complete_and_in_order() {
    let engine = FakeEngine::new(50);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    check_stream(&response, 50, &target.to_string());
    let requests = engine.received_requests.lock().unwrap();
    assert!(requests[0].contains(r#""priority":10"#), "{requests:?}");
    assert!(
        !requests[0].contains(TOKEN),
        "the caller's token was forwarded"
    );
    let observed = daemon.observed.lock().unwrap();
    assert_eq!(
        observed.attempt_ends,
        [AttemptEnd::Completed { tokens: 50 }]
    );
}

/// Guards against a response text that is not the concatenation of its tokens.
#[tokio::test]
async fn buffered_response_contains_all_tokens() {
    let engine = FakeEngine::new(20);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(false),
    )
    .await;
    assert_eq!(response.status, 200, "{response:?}");
    assert_eq!(response.header("x-outcome"), Some("ran"));
    let expected: Vec<String> = (1..=20)
        .map(|number| format!("{target}:{number} "))
        .collect();
    let json = response.json();
    assert_eq!(json["output"][0]["content"][0]["text"], expected.concat());
    assert!(json["id"].as_str().unwrap().starts_with("resp_"));
}

/// Guards against a request that gets neither a response nor a refusal while no engine is reachable.
#[tokio::test]
async fn unreachable_engine_leads_to_refusal() {
    let daemon = start_daemon(TestReducer::new(&[unused_address()])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    assert_eq!(response.status, 503, "{response:?}");
    assert_eq!(response.header("retry-after"), Some("2"));
    assert_eq!(response.header("x-outcome"), Some("not_run"));
    assert_eq!(response.error("code"), "no_target");
    assert_eq!(response.error("retry_after_ms"), 1_200);
    assert_eq!(
        daemon.observed.lock().unwrap().attempt_ends,
        [AttemptEnd::NotSent]
    );
}

/// Guards against lost or repeated tokens when a connection to the engine closes, goes silent, or
/// repeats or skips events.
#[rstest]
#[case::disconnected(&[0, 5, 17], &[], false, &[])]
#[case::silent(&[], &[7], false, &[])]
#[case::repeated(&[], &[], true, &[])]
#[case::gap(&[], &[], false, &[9, 12])]
#[case::all_at_once(&[3], &[10], true, &[20])]
#[tokio::test]
async fn connection_faults_do_not_change_the_output(
    #[case] disconnects: &[u64],
    #[case] silences: &[u64],
    #[case] repeats_events: bool,
    #[case] gaps: &[u64],
    #[values(true, false)] stream: bool,
) {
    let engine = FakeEngine {
        repeats_events,
        disconnect_after: Arc::new(Mutex::new(disconnects.to_vec())),
        silent_after: Arc::new(Mutex::new(silences.to_vec())),
        skipped_events: Arc::new(Mutex::new(gaps.to_vec())),
        ..FakeEngine::new(30)
    };
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(stream),
    )
    .await;
    if stream {
        check_stream(&response, 30, &target.to_string());
    } else {
        let text: Vec<String> = (1..=30).map(|n| format!("{target}:{n} ")).collect();
        assert_eq!(
            response.json()["output"][0]["content"][0]["text"],
            text.concat()
        );
    }
    let creation_count = engine.count_requests("POST /v1/responses ");
    assert_eq!(
        creation_count, 1,
        "a resume must not start a new generation"
    );
}

/// Guards against joining the output of two generations after an engine restart.
#[tokio::test]
async fn generation_lost_after_a_token_ends_with_failed_event() {
    let engine = FakeEngine {
        disconnect_after: Arc::new(Mutex::new(vec![5])),
        restarts_on_disconnect: true,
        ..FakeEngine::new(30)
    };
    let other = FakeEngine::new(30);
    let (target, other_target) = (engine.start().await, other.start().await);
    let daemon = start_daemon(TestReducer::new(&[target, other_target])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    let events = parse_events(&response.body);
    assert_eq!(events.len(), 7, "{response:?}");
    let last_event = &events[6];
    assert_eq!(last_event["type"], "response.failed");
    assert_eq!(last_event["sequence_number"], 6);
    assert_eq!(last_event["error"]["code"], "generation_lost");
    assert_eq!(last_event["error"]["outcome"], "unknown");
    assert_eq!(other.count_requests("POST"), 0);
    let attempt_end = AttemptEnd::Lost {
        delivered_tokens: 5,
        target_died: true,
    };
    assert_eq!(daemon.observed.lock().unwrap().attempt_ends, [attempt_end]);
}

/// Guards against refusing a generation of which the caller has received nothing, and against tokens
/// of the lost engine in the output of the next one.
#[rstest]
#[case::stream_before_its_first_token(true, 0)]
#[case::buffered_response(false, 12)]
#[tokio::test]
async fn undelivered_generation_is_retried(#[case] stream: bool, #[case] disconnect: u64) {
    let engine = FakeEngine {
        disconnect_after: Arc::new(Mutex::new(vec![disconnect])),
        restarts_on_disconnect: true,
        ..FakeEngine::new(30)
    };
    let (target, other_target) = (engine.start().await, FakeEngine::new(30).start().await);
    let daemon = start_daemon(TestReducer::new(&[target, other_target])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(stream),
    )
    .await;
    if stream {
        check_stream(&response, 30, &other_target.to_string());
    } else {
        let text = response.json()["output"][0]["content"][0]["text"].to_string();
        assert!(text.contains(&format!("{other_target}:30 ")), "{text}");
        assert!(!text.contains(&format!("{target}:")), "{text}");
    }
}

/// Guards against returning a target's rejection to the caller, and against losing its details on the
/// way to the reducer.
#[tokio::test]
async fn rejection_by_a_target_is_reported_and_retried() {
    let engine = FakeEngine {
        create_response: Some(
            "HTTP/1.1 503 Service Unavailable\r\nx-outcome: not_run\r\nretry-after: 2\r\n\
             x-target-state: leaving\r\ncontent-length: 0\r\n\r\n",
        ),
        ..FakeEngine::new(5)
    };
    let (target, other) = (engine.start().await, FakeEngine::new(5).start().await);
    let daemon = start_daemon(TestReducer::new(&[target, other])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    check_stream(&response, 5, &other.to_string());
    let rejected = AttemptEnd::Rejected {
        retry_after: Some(Duration::from_secs(2)),
        leaving: true,
    };
    assert_eq!(daemon.observed.lock().unwrap().attempt_ends[0], rejected);
}

async fn completed_response_id(daemon: &TestDaemon) -> String {
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    let id = &parse_events(&response.body)[0]["response"]["id"];
    id.as_str().unwrap().to_owned()
}

/// Guards against repeated or missing tokens when a caller resumes, also at another daemon.
#[tokio::test]
async fn caller_resumes_after_its_last_event() {
    let engine = FakeEngine::new(30);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = completed_response_id(&daemon).await;
    engine.disconnect_after.lock().unwrap().push(20);
    let other = start_daemon(TestReducer::new(&[])).await;
    for after in [0_u64, 10, 29, 30] {
        let path = format!("/v1/responses/{id}?stream=true&starting_after={after}");
        let response = send_request(other.caller_address, "GET", &path, "").await;
        assert_eq!(response.status, 200, "{response:?}");
        let numbers: Vec<u64> = parse_events(&response.body)
            .iter()
            .map(|event| event["sequence_number"].as_u64().unwrap())
            .collect();
        assert_eq!(numbers, (after + 1..=31).collect::<Vec<_>>());
    }
    assert_eq!(
        other.observed.lock().unwrap().submission_count,
        0,
        "a resume must not submit a request"
    );
}

/// Guards against reading or cancelling another team's generation, and against forged resume tokens.
#[tokio::test]
async fn foreign_and_forged_resume_tokens_are_refused() {
    let target = FakeEngine::new(5).start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = completed_response_id(&daemon).await;
    let replacement = if &id[20..21] == "A" { "B" } else { "A" };
    let forged = format!("{}{replacement}{}", &id[..20], &id[21..]);
    for (id, token) in [(&id, OTHER_TOKEN), (&forged, TOKEN)] {
        for (method, path_suffix) in [
            ("GET", "?stream=true&starting_after=1"),
            ("POST", "/cancel"),
        ] {
            let path = format!("/v1/responses/{id}{path_suffix}");
            let response = send_raw(
                daemon.caller_address,
                &encode_request(method, &path, token, "", ""),
            )
            .await;
            assert_eq!(response.status, 403, "{response:?}");
            assert_eq!(response.error("code"), "forbidden");
            assert_eq!(response.error("outcome"), "not_run");
        }
    }
}

/// Guards against a resume that waits for a generation that its engine no longer has.
#[tokio::test]
async fn resume_of_lost_generation_is_refused_at_once() {
    let engine = FakeEngine::new(5);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = completed_response_id(&daemon).await;
    *engine.incarnation.lock().unwrap() = 8;
    let path = format!("/v1/responses/{id}?stream=true&starting_after=2");
    let response = send_request(daemon.caller_address, "GET", &path, "").await;
    assert_eq!(
        (response.status, response.error("code")),
        (502, "generation_lost".into())
    );
}

/// Guards against a cancel that does not reach the engine or reveals the engine's response id.
#[tokio::test]
async fn cancel_reaches_the_engine() {
    let engine = FakeEngine::new(5);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = completed_response_id(&daemon).await;
    let path = format!("/v1/responses/{id}/cancel");
    let response = send_request(daemon.caller_address, "POST", &path, "").await;
    assert_eq!(
        (response.status, response.json()["status"].clone()),
        (200, "cancelled".into())
    );
    assert_eq!(response.json()["id"], id);
    assert_eq!(
        engine.count_requests("POST /v1/responses/inner-1/cancel "),
        1
    );
}

async fn read_until_then_disconnect(
    daemon: &TestDaemon,
    stream: bool,
    expected_text: &str,
    delay: Duration,
) {
    let mut connection = TcpStream::connect(daemon.caller_address).await.unwrap();
    let bytes = encode_request(
        "POST",
        "/v1/responses",
        TOKEN,
        "",
        &generation_request(stream),
    );
    connection.write_all(&bytes).await.unwrap();
    let mut text = String::new();
    let mut buffer = [0; 1_024];
    while !text.contains(expected_text) {
        let count = connection.read(&mut buffer).await.unwrap();
        text += &String::from_utf8_lossy(&buffer[..count]);
    }
    tokio::time::sleep(delay).await;
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    let condition_holds = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, condition_holds)
        .await
        .expect("the condition did not become true");
}

/// Guards against a generation that continues although its caller cannot resume it, and against
/// cancelling a stream that its caller may resume at another daemon.
#[rstest]
#[case::stream_with_tokens(true, "\"sequence_number\":3", 0)]
#[case::buffered_response(false, "", 1)]
#[tokio::test]
async fn disconnect_cancels_only_generations_that_cannot_be_resumed(
    #[case] stream: bool,
    #[case] expected_text: &str,
    #[case] cancel_count: usize,
) {
    let engine = FakeEngine {
        token_interval: Duration::from_millis(20),
        ..FakeEngine::new(500)
    };
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    read_until_then_disconnect(&daemon, stream, expected_text, Duration::from_millis(200)).await;
    wait_until(|| daemon.observed.lock().unwrap().departed_callers.len() == 1).await;
    wait_until(|| daemon.observed.lock().unwrap().attempt_ends == [AttemptEnd::Cancelled]).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        engine.count_requests("POST /v1/responses/inner-1/cancel "),
        cancel_count
    );
    assert_eq!(daemon.daemon.shared().requests.open_count(), 0);
}

/// Guards against a queued request that outlives its caller, and against a caller that takes its
/// connection for dead while it waits. A late refusal arrives as an event.
#[tokio::test]
async fn queued_request_sends_keepalives_until_disconnect_or_refusal() {
    let reducer = TestReducer {
        holds_submissions: true,
        ..TestReducer::new(&[])
    };
    let daemon = start_daemon(reducer).await;
    read_until_then_disconnect(&daemon, true, ": keepalive", Duration::ZERO).await;
    wait_until(|| daemon.observed.lock().unwrap().departed_callers == [RequestTicket(1)]).await;
    let body = generation_request(true);
    let queued_request = send_request(daemon.caller_address, "POST", "/v1/responses", &body);
    let refuse = async {
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let refusal = Refusal::new(RefusalCause::Overloaded, "waited too long");
        let command = RequestCommand::Refuse(refusal.with_retry_after(Duration::from_secs(3)));
        daemon
            .daemon
            .shared()
            .requests
            .send_command(RequestTicket(2), command)
    };
    let (response, is_open) = tokio::join!(queued_request, refuse);
    assert!(is_open);
    assert_eq!(response.status, 200);
    let event = &parse_events(&response.body)[0];
    assert_eq!(event["type"], "response.failed");
    assert_eq!(event["error"]["code"], "overloaded");
    assert_eq!(event["error"]["outcome"], "not_run");
    assert_eq!(event["error"]["retry_after_ms"], 3_000);
}

/// Guards against retries of a request that every engine rejects.
#[tokio::test]
async fn request_rejected_by_the_engine_is_refused_with_its_message() {
    let engine = FakeEngine {
        create_response: Some(
            "HTTP/1.1 400 Bad Request\r\ncontent-length: 38\r\n\r\n\
             {\"error\":{\"message\":\"input too long\"}}",
        ),
        ..FakeEngine::new(5)
    };
    let (target, other) = (engine.start().await, FakeEngine::new(5));
    let daemon = start_daemon(TestReducer::new(&[target, other.start().await])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    assert_eq!(
        (response.status, response.error("message")),
        (400, "input too long".into())
    );
    assert_eq!(response.header("x-outcome"), Some("not_run"));
    assert_eq!(other.count_requests("POST"), 0);
}

/// Guards against a resume that interrupts another reader of the same generation.
#[tokio::test]
async fn readers_of_one_generation_are_independent() {
    let engine = FakeEngine {
        token_interval: Duration::from_millis(5),
        ..FakeEngine::new(60)
    };
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = completed_response_id(&daemon).await;
    let path = format!("/v1/responses/{id}?stream=true&starting_after=5");
    let second_reader = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        send_request(daemon.caller_address, "GET", &path, "").await
    };
    let (first, second) = tokio::join!(
        send_request(daemon.caller_address, "GET", &path, ""),
        second_reader
    );
    assert_eq!(parse_events(&first.body).len(), 56);
    assert_eq!(parse_events(&second.body).len(), 56);
}

/// Guards against a stream that stalls, or loses or repeats tokens, when its caller reads more slowly
/// than the engine writes.
#[tokio::test]
async fn slow_reader_receives_all_tokens() {
    let engine = FakeEngine {
        token_interval: Duration::ZERO,
        ..FakeEngine::new(60_000)
    };
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let mut connection = TcpStream::connect(daemon.caller_address).await.unwrap();
    let bytes = encode_request(
        "POST",
        "/v1/responses",
        TOKEN,
        "",
        &generation_request(true),
    );
    connection.write_all(&bytes).await.unwrap();
    tokio::time::sleep(Duration::from_secs(4)).await;
    let response = read_response(&mut connection).await;
    check_stream(&response, 60_000, &target.to_string());
    assert_eq!(
        engine.count_requests("GET"),
        0,
        "a full output buffer must not cause a reconnect"
    );
}
