//! Generations from an engine to a caller.

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

/// Guards against lost, repeated or reordered tokens and against leaking the engine's own id.
fn check_stream(reply: &TestResponse, tokens: u64, origin: &str) {
    assert_eq!(reply.status, 200, "{reply:?}");
    assert_eq!(reply.header("x-rules-revision"), Some("41"));
    let events = parse_events(&reply.body);
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
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    check_stream(&reply, 50, &target.to_string());
    let requests = engine.requests.lock().unwrap();
    assert!(requests[0].contains(r#""priority":10"#), "{requests:?}");
    assert!(!requests[0].contains(TOKEN), "the token was passed on");
    let seen = daemon.observed.lock().unwrap();
    assert_eq!(seen.ends, [AttemptEnd::Completed { tokens: 50 }]);
}

/// Guards against an answer that is not the concatenation of its tokens.
#[tokio::test]
async fn a_whole_answer_has_the_text_of_all_tokens() {
    let engine = FakeEngine::new(20);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(false),
    )
    .await;
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
    let daemon = start_daemon(TestReducer::new(&[unused_address()])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    assert_eq!(reply.status, 503, "{reply:?}");
    assert_eq!(reply.header("retry-after"), Some("2"));
    assert_eq!(reply.header("x-outcome"), Some("not_run"));
    assert_eq!(reply.error("code"), "no_target");
    assert_eq!(reply.error("retry_after_ms"), 1_200);
    assert_eq!(daemon.observed.lock().unwrap().ends, [AttemptEnd::NotSent]);
}

/// Guards against a lost or repeated token when a link breaks, goes silent, repeats or skips.
#[rstest]
#[case::broken(&[0, 5, 17], &[], false, &[])]
#[case::silent(&[], &[7], false, &[])]
#[case::repeated(&[], &[], true, &[])]
#[case::gap(&[], &[], false, &[9, 12])]
#[case::all_at_once(&[3], &[10], true, &[20])]
#[tokio::test]
async fn a_disturbed_link_changes_nothing(
    #[case] cuts: &[u64],
    #[case] silences: &[u64],
    #[case] repeat: bool,
    #[case] gaps: &[u64],
    #[values(true, false)] stream: bool,
) {
    let engine = FakeEngine {
        repeat,
        disconnect_after: Arc::new(Mutex::new(cuts.to_vec())),
        silent_after: Arc::new(Mutex::new(silences.to_vec())),
        skip: Arc::new(Mutex::new(gaps.to_vec())),
        ..FakeEngine::new(30)
    };
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(stream),
    )
    .await;
    if stream {
        check_stream(&reply, 30, &target.to_string());
    } else {
        let text: Vec<String> = (1..=30).map(|n| format!("{target}:{n} ")).collect();
        assert_eq!(
            reply.json()["output"][0]["content"][0]["text"],
            text.concat()
        );
    }
    let starts = engine.count_requests("POST /v1/responses ");
    assert_eq!(starts, 1, "a resume must not start the work again");
}

/// Guards against joining two generations after the engine restarted.
#[tokio::test]
async fn a_generation_lost_after_a_token_ends_with_its_cause() {
    let engine = FakeEngine {
        disconnect_after: Arc::new(Mutex::new(vec![5])),
        restart_on_disconnect: true,
        ..FakeEngine::new(30)
    };
    let other = FakeEngine::new(30);
    let (target, other_target) = (engine.start().await, other.start().await);
    let daemon = start_daemon(TestReducer::new(&[target, other_target])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    let events = parse_events(&reply.body);
    assert_eq!(events.len(), 7, "{reply:?}");
    let last = &events[6];
    assert_eq!(last["type"], "response.failed");
    assert_eq!(last["sequence_number"], 6);
    assert_eq!(last["error"]["code"], "generation_lost");
    assert_eq!(last["error"]["outcome"], "unknown");
    assert_eq!(other.count_requests("POST"), 0);
    let end = AttemptEnd::Lost {
        delivered: 5,
        target_died: true,
    };
    assert_eq!(daemon.observed.lock().unwrap().ends, [end]);
}

/// Guards against giving up a generation of which the caller has seen nothing, and against tokens
/// of the lost engine in the answer of the next.
#[rstest]
#[case::stream_before_its_first_token(true, 0)]
#[case::whole_answer(false, 12)]
#[tokio::test]
async fn an_undelivered_generation_starts_again(#[case] stream: bool, #[case] cut: u64) {
    let engine = FakeEngine {
        disconnect_after: Arc::new(Mutex::new(vec![cut])),
        restart_on_disconnect: true,
        ..FakeEngine::new(30)
    };
    let (target, other_target) = (engine.start().await, FakeEngine::new(30).start().await);
    let daemon = start_daemon(TestReducer::new(&[target, other_target])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(stream),
    )
    .await;
    if stream {
        check_stream(&reply, 30, &other_target.to_string());
    } else {
        let text = reply.json()["output"][0]["content"][0]["text"].to_string();
        assert!(text.contains(&format!("{other_target}:30 ")), "{text}");
        assert!(!text.contains(&format!("{target}:")), "{text}");
    }
}

/// Guards against a refusal that is called an answer, and one that hides whether the work ran.
#[tokio::test]
async fn a_target_that_did_not_run_the_work_is_reported_as_such() {
    let engine = FakeEngine {
        create_response: Some(
            "HTTP/1.1 503 Service Unavailable\r\nx-outcome: not_run\r\nretry-after: 2\r\n\
             x-target-state: leaving\r\ncontent-length: 0\r\n\r\n",
        ),
        ..FakeEngine::new(5)
    };
    let (target, other) = (engine.start().await, FakeEngine::new(5).start().await);
    let daemon = start_daemon(TestReducer::new(&[target, other])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    check_stream(&reply, 5, &other.to_string());
    let rejected = AttemptEnd::Rejected {
        retry_after: Some(Duration::from_secs(2)),
        leaving: true,
    };
    assert_eq!(daemon.observed.lock().unwrap().ends[0], rejected);
}

async fn finished_id(daemon: &TestDaemon) -> String {
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    let id = &parse_events(&reply.body)[0]["response"]["id"];
    id.as_str().unwrap().to_owned()
}

/// Guards against a token given twice or left out when a caller resumes, also at another daemon.
#[tokio::test]
async fn a_caller_resumes_exactly_where_it_was() {
    let engine = FakeEngine::new(30);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = finished_id(&daemon).await;
    engine.disconnect_after.lock().unwrap().push(20);
    let other = start_daemon(TestReducer::new(&[])).await;
    for after in [0_u64, 10, 29, 30] {
        let path = format!("/v1/responses/{id}?stream=true&starting_after={after}");
        let reply = send_request(other.caller_address, "GET", &path, "").await;
        assert_eq!(reply.status, 200, "{reply:?}");
        let numbers: Vec<u64> = parse_events(&reply.body)
            .iter()
            .map(|event| event["sequence_number"].as_u64().unwrap())
            .collect();
        assert_eq!(numbers, (after + 1..=31).collect::<Vec<_>>());
    }
    assert_eq!(
        other.observed.lock().unwrap().submitted,
        0,
        "a resume starts no work"
    );
}

/// Guards against reading or stopping another team's generation, and against forged keys.
#[tokio::test]
async fn foreign_and_forged_keys_are_refused() {
    let target = FakeEngine::new(5).start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = finished_id(&daemon).await;
    let replaced = if &id[20..21] == "A" { "B" } else { "A" };
    let forged = format!("{}{replaced}{}", &id[..20], &id[21..]);
    for (id, token) in [(&id, OTHER_TOKEN), (&forged, TOKEN)] {
        for (method, rest) in [
            ("GET", "?stream=true&starting_after=1"),
            ("POST", "/cancel"),
        ] {
            let path = format!("/v1/responses/{id}{rest}");
            let reply = send_raw(
                daemon.caller_address,
                &encode_request(method, &path, token, "", ""),
            )
            .await;
            assert_eq!(reply.status, 403, "{reply:?}");
            assert_eq!(reply.error("code"), "forbidden");
            assert_eq!(reply.error("outcome"), "not_run");
        }
    }
}

/// Guards against a resume that waits for a generation which its engine has lost.
#[tokio::test]
async fn resuming_a_lost_generation_is_refused_at_once() {
    let engine = FakeEngine::new(5);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = finished_id(&daemon).await;
    *engine.incarnation.lock().unwrap() = 8;
    let path = format!("/v1/responses/{id}?stream=true&starting_after=2");
    let reply = send_request(daemon.caller_address, "GET", &path, "").await;
    assert_eq!(
        (reply.status, reply.error("code")),
        (502, "generation_lost".into())
    );
}

/// Guards against a cancel that does not reach the engine or shows the engine's own id.
#[tokio::test]
async fn a_cancel_reaches_the_engine() {
    let engine = FakeEngine::new(5);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = finished_id(&daemon).await;
    let path = format!("/v1/responses/{id}/cancel");
    let reply = send_request(daemon.caller_address, "POST", &path, "").await;
    assert_eq!(
        (reply.status, reply.json()["status"].clone()),
        (200, "cancelled".into())
    );
    assert_eq!(reply.json()["id"], id);
    assert_eq!(
        engine.count_requests("POST /v1/responses/inner-1/cancel "),
        1
    );
}

async fn leave_after(daemon: &TestDaemon, stream: bool, wanted: &str, pause: Duration) {
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
    while !text.contains(wanted) {
        let count = connection.read(&mut buffer).await.unwrap();
        text += &String::from_utf8_lossy(&buffer[..count]);
    }
    tokio::time::sleep(pause).await;
}

async fn until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, wait)
        .await
        .expect("did not come true");
}

/// Guards against work that runs on for a caller that cannot come back for it, and against
/// cancelling a stream that its caller may resume at another daemon.
#[rstest]
#[case::stream_with_tokens(true, "\"sequence_number\":3", 0)]
#[case::whole_answer(false, "", 1)]
#[tokio::test]
async fn a_caller_that_leaves(#[case] stream: bool, #[case] wanted: &str, #[case] cancels: usize) {
    let engine = FakeEngine {
        token_interval: Duration::from_millis(20),
        ..FakeEngine::new(500)
    };
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    leave_after(&daemon, stream, wanted, Duration::from_millis(200)).await;
    until(|| daemon.observed.lock().unwrap().left.len() == 1).await;
    until(|| daemon.observed.lock().unwrap().ends == [AttemptEnd::Cancelled]).await;
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        engine.count_requests("POST /v1/responses/inner-1/cancel "),
        cancels
    );
    assert_eq!(daemon.daemon.shared().requests.open_count(), 0);
}

/// Guards against a queued request whose caller left, and against a caller that thinks its
/// connection dead while it waits; a late refusal arrives as an event.
#[tokio::test]
async fn a_queued_request_sends_keepalives_and_can_be_left_or_refused() {
    let placement = TestReducer {
        holds_submissions: true,
        ..TestReducer::new(&[])
    };
    let daemon = start_daemon(placement).await;
    leave_after(&daemon, true, ": keepalive", Duration::ZERO).await;
    until(|| daemon.observed.lock().unwrap().left == [RequestTicket(1)]).await;
    let body = generation_request(true);
    let waiting = send_request(daemon.caller_address, "POST", "/v1/responses", &body);
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
    let (reply, is_open) = tokio::join!(waiting, refuse);
    assert!(is_open);
    assert_eq!(reply.status, 200);
    let event = &parse_events(&reply.body)[0];
    assert_eq!(event["type"], "response.failed");
    assert_eq!(event["error"]["code"], "overloaded");
    assert_eq!(event["error"]["outcome"], "not_run");
    assert_eq!(event["error"]["retry_after_ms"], 3_000);
}

/// Guards against retries of a request that every engine finds wrong.
#[tokio::test]
async fn a_request_that_the_engine_finds_wrong_is_refused_with_its_reason() {
    let engine = FakeEngine {
        create_response: Some(
            "HTTP/1.1 400 Bad Request\r\ncontent-length: 38\r\n\r\n\
             {\"error\":{\"message\":\"input too long\"}}",
        ),
        ..FakeEngine::new(5)
    };
    let (target, other) = (engine.start().await, FakeEngine::new(5));
    let daemon = start_daemon(TestReducer::new(&[target, other.start().await])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    assert_eq!(
        (reply.status, reply.error("message")),
        (400, "input too long".into())
    );
    assert_eq!(reply.header("x-outcome"), Some("not_run"));
    assert_eq!(other.count_requests("POST"), 0);
}

/// Guards against a resume that takes the stream away from another reader of the same generation.
#[tokio::test]
async fn two_readers_of_a_generation_do_not_disturb_each_other() {
    let engine = FakeEngine {
        token_interval: Duration::from_millis(5),
        ..FakeEngine::new(60)
    };
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let id = finished_id(&daemon).await;
    let path = format!("/v1/responses/{id}?stream=true&starting_after=5");
    let later = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        send_request(daemon.caller_address, "GET", &path, "").await
    };
    let (first, second) =
        tokio::join!(send_request(daemon.caller_address, "GET", &path, ""), later);
    assert_eq!(parse_events(&first.body).len(), 56);
    assert_eq!(parse_events(&second.body).len(), 56);
}

/// Guards against a stream that stops for good, loses or repeats tokens when its caller reads more
/// slowly than the engine writes.
#[tokio::test]
async fn a_slow_reader_gets_everything() {
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
    let reply = read_response(&mut connection).await;
    check_stream(&reply, 60_000, &target.to_string());
    assert_eq!(
        engine.count_requests("GET"),
        0,
        "a full outbox is not a silent link"
    );
}
