//! Limits, refusals and malformed requests at the HTTP API for callers.

mod common;

use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const LIMITED_BOUNDS: &str =
    r#""max_body_bytes": 2048, "max_header_bytes": 8192, "read_timeout_ms": 300"#;

async fn start_limited_daemon() -> TestDaemon {
    start_daemon_with(TestReducer::new(&[]), test_settings(LIMITED_BOUNDS)).await
}

/// Guards against refusals without the documented body and headers, also where the HTTP library
/// responds by itself.
#[rstest]
#[case::not_http(400, "bad_request", b"hello\r\n\r\n".to_vec())]
#[case::not_http_1_1(400, "bad_request", b"GET /v1/addresses HTTP/9.9\r\n\r\n".to_vec())]
#[case::two_lengths(400, "bad_request",
    b"POST /v1/responses HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd".to_vec())]
#[case::not_json(
    400,
    "bad_request",
    encode_request("POST", "/v1/responses", TOKEN, "", "{")
)]
#[case::list(
    400,
    "bad_request",
    encode_request("POST", "/v1/responses", TOKEN, "", "[]")
)]
#[case::no_model(
    400,
    "bad_request",
    encode_request("POST", "/v1/responses", TOKEN, "", r#"{"input":"x"}"#)
)]
#[case::no_input(
    400,
    "bad_request",
    encode_request("POST", "/v1/responses", TOKEN, "", r#"{"model":"quotes"}"#)
)]
#[case::negative_bound(
    400,
    "bad_request",
    encode_request(
        "POST",
        "/v1/responses",
        TOKEN,
        "",
        r#"{"model":"m","input":"x","max_output_tokens":-1}"#
    )
)]
#[case::bad_class(400, "bad_request",
    encode_request("POST", "/v1/responses", TOKEN, "x-request-class: a b\r\n", &generation_request(true)))]
#[case::empty_key(
    400,
    "bad_request",
    encode_request("POST", "/v1/services/agenda/x", TOKEN, "idempotency-key: \r\n", "")
)]
#[case::bad_token(401, "unauthenticated", encode_request("POST", "/v1/responses", "wrong", "", &generation_request(true)))]
#[case::no_token(401, "unauthenticated", b"GET /v1/services/agenda/visits HTTP/1.1\r\n\r\n".to_vec())]
#[case::bad_resume_token(
    403,
    "forbidden",
    encode_request("GET", "/v1/responses/resp_x?stream=true", TOKEN, "", "")
)]
#[case::no_path(404, "not_found", encode_request("GET", "/v2", TOKEN, "", ""))]
#[case::no_service(
    404,
    "not_found",
    encode_request("GET", "/v1/services/assistant/x", TOKEN, "", "")
)]
#[case::slow_body(408, "bad_request",
    b"POST /v1/responses HTTP/1.1\r\nauthorization: Bearer token-of-quotes\r\ncontent-length: 9\r\n\r\n{".to_vec())]
#[case::long_body(413, "bad_request", encode_request("POST", "/v1/responses", TOKEN, "", &"x".repeat(2_049)))]
#[case::long_chunks(413, "bad_request",
    format!("POST /v1/responses HTTP/1.1\r\nauthorization: Bearer {TOKEN}\r\n\
             transfer-encoding: chunked\r\n\r\n801\r\n{}\r\n0\r\n\r\n", "x".repeat(2_049)).into_bytes())]
#[case::long_header(431, "bad_request",
    encode_request("POST", "/v1/responses", TOKEN, &format!("x-a: {}\r\n", "x".repeat(8_200)), ""))]
#[case::endless_header(431, "bad_request",
    encode_request("POST", "/v1/responses", TOKEN, &format!("x-a: {}\r\n", "x".repeat(90_000)), ""))]
#[tokio::test]
async fn bad_request_gets_complete_refusal(
    #[case] status: u16,
    #[case] code: &str,
    #[case] mut bytes: Vec<u8>,
) {
    let daemon = start_limited_daemon().await;
    if !bytes
        .windows(17)
        .any(|window| window == b"connection: close")
    {
        // Closes the connection, because this refusal leaves it open.
        let line_end = bytes
            .windows(2)
            .position(|window| window == b"\r\n")
            .unwrap();
        if status == 401 {
            bytes.splice(line_end..line_end, b"\r\nconnection: close".iter().copied());
        }
    }
    let response = send_raw(daemon.caller_address, &bytes).await;
    assert_eq!(response.status, status, "{response:?}");
    assert_eq!(response.error("code"), code);
    assert_eq!(response.error("outcome"), "not_run");
    assert_eq!(response.header("x-outcome"), Some("not_run"));
    assert_eq!(response.header("x-rules-revision"), Some("41"));
    assert!(!response.error("message").as_str().unwrap().is_empty());
    assert_eq!(daemon.observed.lock().unwrap().submission_count, 0);
}

/// Guards against connections that stay open although the caller sends no complete request head.
#[rstest]
#[case::nothing(b"")]
#[case::half_a_head(b"POST /v1/resp")]
#[tokio::test]
async fn caller_without_request_is_disconnected(#[case] bytes: &[u8]) {
    let daemon = start_limited_daemon().await;
    let started_at = Instant::now();
    let response = send_raw(daemon.caller_address, bytes).await;
    assert_eq!(response.status, 0);
    assert!(started_at.elapsed() < Duration::from_secs(2));
}

/// Guards against a caller that stops reading and makes the daemon buffer the engine's output.
#[tokio::test]
async fn caller_that_does_not_read_is_disconnected() {
    let engine = FakeEngine {
        token_interval: Duration::ZERO,
        ..FakeEngine::new(10_000_000)
    };
    let target = engine.start().await;
    let daemon =
        start_daemon_with(TestReducer::new(&[target]), test_settings(LIMITED_BOUNDS)).await;
    let mut stream = TcpStream::connect(daemon.caller_address).await.unwrap();
    let bytes = encode_request(
        "POST",
        "/v1/responses",
        TOKEN,
        "",
        &generation_request(true),
    );
    stream.write_all(&bytes).await.unwrap();
    let requests = &daemon.daemon.shared().requests;
    let request_closed = async {
        while requests.open_count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        while requests.open_count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, request_closed)
        .await
        .expect("the stream is still open");
}

/// Guards against an unlimited number of connections, and against closing one without a refusal.
#[tokio::test]
async fn connection_over_the_limit_gets_refusal() {
    let settings = test_settings(r#""max_connections": 2"#);
    let daemon = start_daemon_with(TestReducer::new(&[]), settings).await;
    let _first = TcpStream::connect(daemon.caller_address).await.unwrap();
    let _second = TcpStream::connect(daemon.caller_address).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let response = send_request(daemon.caller_address, "GET", "/v1/addresses", "").await;
    assert_eq!(
        (response.status, response.error("code")),
        (503, "overloaded".into())
    );
    assert_eq!(response.header("retry-after"), Some("1"));
}

/// Guards against refusals that do not name the rule that caused them.
#[tokio::test]
async fn refusal_names_its_rule() {
    use mimosagap_types::prelude::*;
    let rule = RuleReference {
        revision: RulesRevision(41),
        line: 3,
        asked_by: "insurer".to_owned(),
    };
    let refusal = Refusal::new(RefusalCause::LimitReached, "wait")
        .with_retry_after(Duration::from_millis(40))
        .with_rule(Some(rule));
    let reducer = TestReducer {
        refusal: Some(refusal),
        ..TestReducer::new(&[])
    };
    let daemon = start_daemon(reducer).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    assert_eq!(response.status, 429);
    assert_eq!(response.header("retry-after"), Some("1"));
    assert_eq!(response.error("retry_after_ms"), 40);
    let rule = serde_json::json!({"revision": 41, "line": 3, "asked_by": "insurer"});
    assert_eq!(response.error("rule"), rule);
    let metrics = send_raw(
        daemon.admin_address,
        &encode_request("GET", "/metrics", "", "", ""),
    )
    .await
    .body;
    assert!(
        metrics.contains(r#"mimosagap_refusals_total{cause="limit_reached"} 1"#),
        "{metrics}"
    );
}

/// Guards against an address list in the wrong form, and against a daemon that lists itself or
/// interrupts streams while it drains.
#[tokio::test]
async fn drain_ends_address_listing_and_idle_connections() {
    let engine = FakeEngine {
        token_interval: Duration::from_millis(20),
        ..FakeEngine::new(60)
    };
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let caller_address = daemon.caller_address;
    let addresses = send_request(caller_address, "GET", "/v1/addresses?zone=norte-a1", "")
        .await
        .json();
    assert_eq!(addresses["lifetime_ms"], 7_000);
    assert_eq!(
        addresses["addresses"][0]["address"],
        caller_address.to_string()
    );
    assert_eq!(addresses["addresses"][0]["region"], "norte-a");

    let mut kept_alive = TcpStream::connect(caller_address).await.unwrap();
    let mut idle = TcpStream::connect(caller_address).await.unwrap();
    let list_request = b"GET /v1/addresses HTTP/1.1\r\nhost: x\r\n\r\n";
    for stream in [&mut kept_alive, &mut idle] {
        stream.write_all(list_request).await.unwrap();
        let mut buffer = [0; 4_096];
        let count = stream.read(&mut buffer).await.unwrap();
        let response = parse_response(&String::from_utf8_lossy(&buffer[..count]));
        assert_eq!(
            (response.status, response.header("connection")),
            (200, None)
        );
    }
    let running_stream = tokio::spawn(async move {
        send_request(
            caller_address,
            "POST",
            "/v1/responses",
            &generation_request(true),
        )
        .await
    });
    tokio::time::sleep(Duration::from_millis(200)).await;
    daemon.daemon.drain();
    tokio::time::sleep(Duration::from_millis(100)).await;
    kept_alive.write_all(list_request).await.unwrap();
    let draining_response = read_response(&mut kept_alive).await;
    assert_eq!(
        (
            draining_response.status,
            draining_response.header("connection")
        ),
        (200, Some("close"))
    );
    assert_eq!(draining_response.json()["addresses"], serde_json::json!([]));
    let late_response = send_request(caller_address, "GET", "/v1/addresses", "").await;
    assert_eq!(
        late_response.status, 200,
        "a draining daemon accepts connections until the listed addresses expire"
    );

    let ended = tokio::spawn(daemon.daemon.wait_until_stopped());
    assert_eq!(
        read_response(&mut idle).await.status,
        0,
        "an idle connection was not closed"
    );
    assert!(
        TcpStream::connect(caller_address).await.is_err(),
        "the daemon still accepts connections"
    );
    let response = running_stream.await.unwrap();
    assert_eq!(
        parse_events(&response.body).len(),
        62,
        "the running stream was interrupted"
    );
    tokio::time::timeout(TEST_TIMEOUT, ended)
        .await
        .unwrap()
        .unwrap();
}

struct LogCapture(Arc<Mutex<String>>);

impl log::Log for LogCapture {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let mut lines = self.0.lock().unwrap();
        writeln!(lines, "{} {}", record.target(), record.args()).unwrap();
    }

    fn flush(&self) {}
}

/// Guards against tokens, fleet keys, resume tokens and request bodies in log lines of any level.
#[tokio::test]
async fn logs_contain_no_secrets() {
    let lines = Arc::new(Mutex::new(String::new()));
    log::set_boxed_logger(Box::new(LogCapture(Arc::clone(&lines)))).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let target = FakeEngine::new(5).start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/responses",
        &generation_request(true),
    )
    .await;
    let id = parse_events(&response.body)[0]["response"]["id"].to_string();
    let bytes = encode_request(
        "POST",
        "/v1/services/agenda/x",
        TOKEN,
        "idempotency-key: key-1\r\n",
        "van",
    );
    send_raw(daemon.caller_address, &bytes).await;
    send_raw(
        daemon.caller_address,
        &encode_request("POST", "/v1/responses", "wrong-token", "", "sand"),
    )
    .await;
    let lines = lines.lock().unwrap();
    assert!(
        lines.contains("event=rules_in_force revision=41"),
        "{lines}"
    );
    let id = id.trim_matches('"');
    for secret in [
        TOKEN,
        "wrong-token",
        id,
        "key-1",
        "sand the hall",
        "bWltb3Nh",
        "sha256",
    ] {
        assert!(!lines.contains(secret), "{secret} in {lines}");
    }
}
