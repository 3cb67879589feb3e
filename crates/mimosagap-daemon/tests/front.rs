//! Bounds, refusals and malformed requests.

mod common;

use std::fmt::Write;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

const SMALL: &str = r#""max_body_bytes": 2048, "max_header_bytes": 8192, "read_timeout_ms": 300"#;

async fn small() -> TestDaemon {
    start_with(Placement::new(&[]), settings(SMALL)).await
}

/// Guards against refusals without the promised body and headers, also where the HTTP library
/// would answer by itself.
#[rstest]
#[case::not_http(400, "bad_request", b"hello\r\n\r\n".to_vec())]
#[case::not_http_1_1(400, "bad_request", b"GET /v1/addresses HTTP/9.9\r\n\r\n".to_vec())]
#[case::two_lengths(400, "bad_request",
    b"POST /v1/responses HTTP/1.1\r\ncontent-length: 3\r\ncontent-length: 4\r\n\r\nabcd".to_vec())]
#[case::not_json(400, "bad_request", request("POST", "/v1/responses", TOKEN, "", "{"))]
#[case::list(400, "bad_request", request("POST", "/v1/responses", TOKEN, "", "[]"))]
#[case::no_model(
    400,
    "bad_request",
    request("POST", "/v1/responses", TOKEN, "", r#"{"input":"x"}"#)
)]
#[case::no_input(
    400,
    "bad_request",
    request("POST", "/v1/responses", TOKEN, "", r#"{"model":"quotes"}"#)
)]
#[case::negative_bound(
    400,
    "bad_request",
    request(
        "POST",
        "/v1/responses",
        TOKEN,
        "",
        r#"{"model":"m","input":"x","max_output_tokens":-1}"#
    )
)]
#[case::bad_class(400, "bad_request",
    request("POST", "/v1/responses", TOKEN, "x-request-class: a b\r\n", &generation(true)))]
#[case::empty_key(
    400,
    "bad_request",
    request("POST", "/v1/services/agenda/x", TOKEN, "idempotency-key: \r\n", "")
)]
#[case::bad_token(401, "unauthenticated", request("POST", "/v1/responses", "wrong", "", &generation(true)))]
#[case::no_token(401, "unauthenticated", b"GET /v1/services/agenda/visits HTTP/1.1\r\n\r\n".to_vec())]
#[case::bad_resume_key(
    403,
    "forbidden",
    request("GET", "/v1/responses/resp_x?stream=true", TOKEN, "", "")
)]
#[case::no_path(404, "not_found", request("GET", "/v2", TOKEN, "", ""))]
#[case::no_service(
    404,
    "not_found",
    request("GET", "/v1/services/assistant/x", TOKEN, "", "")
)]
#[case::slow_body(408, "bad_request",
    b"POST /v1/responses HTTP/1.1\r\nauthorization: Bearer token-of-quotes\r\ncontent-length: 9\r\n\r\n{".to_vec())]
#[case::long_body(413, "bad_request", request("POST", "/v1/responses", TOKEN, "", &"x".repeat(2_049)))]
#[case::long_chunks(413, "bad_request",
    format!("POST /v1/responses HTTP/1.1\r\nauthorization: Bearer {TOKEN}\r\n\
             transfer-encoding: chunked\r\n\r\n801\r\n{}\r\n0\r\n\r\n", "x".repeat(2_049)).into_bytes())]
#[case::long_header(431, "bad_request",
    request("POST", "/v1/responses", TOKEN, &format!("x-a: {}\r\n", "x".repeat(8_200)), ""))]
#[case::endless_header(431, "bad_request",
    request("POST", "/v1/responses", TOKEN, &format!("x-a: {}\r\n", "x".repeat(90_000)), ""))]
#[tokio::test]
async fn a_bad_request_gets_a_whole_refusal(
    #[case] status: u16,
    #[case] code: &str,
    #[case] mut bytes: Vec<u8>,
) {
    let daemon = small().await;
    if !bytes.windows(17).any(|part| part == b"connection: close") {
        // Ends the connection, for answers that leave it open.
        let line = bytes.windows(2).position(|part| part == b"\r\n").unwrap();
        if status == 401 {
            bytes.splice(line..line, b"\r\nconnection: close".iter().copied());
        }
    }
    let reply = raw(daemon.callers, &bytes).await;
    assert_eq!(reply.status, status, "{reply:?}");
    assert_eq!(reply.error("code"), code);
    assert_eq!(reply.error("outcome"), "not_run");
    assert_eq!(reply.header("x-outcome"), Some("not_run"));
    assert_eq!(reply.header("x-rules-revision"), Some("41"));
    assert!(!reply.error("message").as_str().unwrap().is_empty());
    assert_eq!(daemon.seen.lock().unwrap().submitted, 0);
}

/// Guards against connections held by callers that send nothing or too slowly.
#[rstest]
#[case::nothing(b"")]
#[case::half_a_head(b"POST /v1/resp")]
#[tokio::test]
async fn a_caller_without_a_request_is_disconnected(#[case] bytes: &[u8]) {
    let daemon = small().await;
    let begun = Instant::now();
    let reply = raw(daemon.callers, bytes).await;
    assert_eq!(reply.status, 0);
    assert!(begun.elapsed() < Duration::from_secs(2));
}

/// Guards against one slow reader that holds memory, and against the engine being read ahead of it.
#[tokio::test]
async fn a_caller_that_does_not_read_is_disconnected() {
    let engine = FakeEngine {
        step: Duration::ZERO,
        ..FakeEngine::new(10_000_000)
    };
    let target = engine.start().await;
    let daemon = start_with(Placement::new(&[target]), settings(SMALL)).await;
    let mut stream = TcpStream::connect(daemon.callers).await.unwrap();
    let bytes = request("POST", "/v1/responses", TOKEN, "", &generation(true));
    stream.write_all(&bytes).await.unwrap();
    let requests = &daemon.daemon.shared().requests;
    let wait = async {
        while requests.count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        while requests.count() > 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    tokio::time::timeout(LIMIT, wait)
        .await
        .expect("the stream is still open");
}

/// Guards against unbounded connections, and against a silent end of those over the bound.
#[tokio::test]
async fn connections_over_the_bound_are_told_so() {
    let bounds = settings(r#""max_connections": 2"#);
    let daemon = start_with(Placement::new(&[]), bounds).await;
    let _first = TcpStream::connect(daemon.callers).await.unwrap();
    let _second = TcpStream::connect(daemon.callers).await.unwrap();
    tokio::time::sleep(Duration::from_millis(50)).await;
    let reply = call(daemon.callers, "GET", "/v1/addresses", "").await;
    assert_eq!(
        (reply.status, reply.error("code")),
        (503, "overloaded".into())
    );
    assert_eq!(reply.header("retry-after"), Some("1"));
}

/// Guards against refusals that hide the rule behind them.
#[tokio::test]
async fn a_refusal_names_its_rule() {
    use mimosagap_types::prelude::*;
    let rule = RuleReference {
        revision: RulesRevision(41),
        line: 3,
        asked_by: "insurer".to_owned(),
    };
    let refusal = Refusal::new(RefusalCause::LimitReached, "wait")
        .with_retry_after(Duration::from_millis(40))
        .with_rule(Some(rule));
    let placement = Placement {
        refusal: Some(refusal),
        ..Placement::new(&[])
    };
    let daemon = start(placement).await;
    let reply = call(daemon.callers, "POST", "/v1/responses", &generation(true)).await;
    assert_eq!(reply.status, 429);
    assert_eq!(reply.header("retry-after"), Some("1"));
    assert_eq!(reply.error("retry_after_ms"), 40);
    let rule = serde_json::json!({"revision": 41, "line": 3, "asked_by": "insurer"});
    assert_eq!(reply.error("rule"), rule);
    let metrics = raw(daemon.admin, &request("GET", "/metrics", "", "", ""))
        .await
        .body;
    assert!(
        metrics.contains(r#"mimosagap_refusals_total{cause="limit_reached"} 1"#),
        "{metrics}"
    );
}

/// Guards against address answers in the wrong form and against a daemon that hands out itself
/// while it leaves.
#[tokio::test]
async fn addresses_and_kept_connections_follow_a_drain() {
    let engine = FakeEngine {
        step: Duration::from_millis(20),
        ..FakeEngine::new(60)
    };
    let target = engine.start().await;
    let daemon = start(Placement::new(&[target])).await;
    let callers = daemon.callers;
    let addresses = call(callers, "GET", "/v1/addresses?zone=norte-a1", "")
        .await
        .json();
    assert_eq!(addresses["lifetime_ms"], 7_000);
    assert_eq!(addresses["addresses"][0]["address"], callers.to_string());
    assert_eq!(addresses["addresses"][0]["region"], "norte-a");

    let mut kept = TcpStream::connect(callers).await.unwrap();
    let mut idle = TcpStream::connect(callers).await.unwrap();
    let ask = b"GET /v1/addresses HTTP/1.1\r\nhost: x\r\n\r\n";
    for stream in [&mut kept, &mut idle] {
        stream.write_all(ask).await.unwrap();
        let mut buffer = [0; 4_096];
        let count = stream.read(&mut buffer).await.unwrap();
        let first = reply(&String::from_utf8_lossy(&buffer[..count]));
        assert_eq!((first.status, first.header("connection")), (200, None));
    }
    let running =
        tokio::spawn(
            async move { call(callers, "POST", "/v1/responses", &generation(true)).await },
        );
    tokio::time::sleep(Duration::from_millis(200)).await;
    daemon.daemon.drain();
    tokio::time::sleep(Duration::from_millis(100)).await;
    kept.write_all(ask).await.unwrap();
    let told = read_reply(&mut kept).await;
    assert_eq!(
        (told.status, told.header("connection")),
        (200, Some("close"))
    );
    assert_eq!(told.json()["addresses"], serde_json::json!([]));
    let late = call(callers, "GET", "/v1/addresses", "").await;
    assert_eq!(late.status, 200, "accepts until the addresses have expired");

    let ended = tokio::spawn(daemon.daemon.wait_until_stopped());
    assert_eq!(
        read_reply(&mut idle).await.status,
        0,
        "an idle connection is closed"
    );
    assert!(
        TcpStream::connect(callers).await.is_err(),
        "accepts no more"
    );
    let reply = running.await.unwrap();
    assert_eq!(
        events(&reply.body).len(),
        62,
        "the running stream was interrupted"
    );
    tokio::time::timeout(LIMIT, ended).await.unwrap().unwrap();
}

struct Capture(Arc<Mutex<String>>);

impl log::Log for Capture {
    fn enabled(&self, _: &log::Metadata) -> bool {
        true
    }

    fn log(&self, record: &log::Record) {
        let mut lines = self.0.lock().unwrap();
        writeln!(lines, "{} {}", record.target(), record.args()).unwrap();
    }

    fn flush(&self) {}
}

/// Guards against tokens, fleet keys, resume keys and bodies in logs, at any level.
#[tokio::test]
async fn logs_hold_no_secrets() {
    let lines = Arc::new(Mutex::new(String::new()));
    log::set_boxed_logger(Box::new(Capture(Arc::clone(&lines)))).unwrap();
    log::set_max_level(log::LevelFilter::Trace);
    let target = FakeEngine::new(5).start().await;
    let daemon = start(Placement::new(&[target])).await;
    let reply = call(daemon.callers, "POST", "/v1/responses", &generation(true)).await;
    let id = events(&reply.body)[0]["response"]["id"].to_string();
    let bytes = request(
        "POST",
        "/v1/services/agenda/x",
        TOKEN,
        "idempotency-key: key-1\r\n",
        "van",
    );
    raw(daemon.callers, &bytes).await;
    raw(
        daemon.callers,
        &request("POST", "/v1/responses", "wrong-token", "", "sand"),
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
