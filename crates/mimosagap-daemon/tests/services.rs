//! Calls to plain services.

mod common;

use std::time::Duration;

use common::*;
use mimosagap_core::AttemptEnd;
use mimosagap_types::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const CREATED_RESPONSE: &str = "HTTP/1.1 201 Created\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\
                    connection: close\r\n\r\ndone";

/// Guards against a call that reaches the service modified, or with the team's token.
#[tokio::test]
async fn call_is_forwarded_and_its_response_returned() {
    let (target, requests) = start_service(CREATED_RESPONSE).await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let extra_headers = "idempotency-key: job-7\r\ncontent-type: text/x\r\n";
    let path = "/v1/services/agenda/bookings?day=3";
    let bytes = encode_request("PUT", path, TOKEN, extra_headers, "van 1");
    let response = send_raw(daemon.caller_address, &bytes).await;
    assert_eq!((response.status, response.body.as_str()), (201, "done"));
    assert_eq!(response.header("x-outcome"), Some("ran"));
    assert_eq!(response.header("idempotency-key"), Some("job-7"));
    let received = requests.lock().unwrap()[0].clone();
    assert!(
        received.starts_with("PUT /bookings?day=3 HTTP/1.1\r\n"),
        "{received}"
    );
    assert!(received.contains("idempotency-key: job-7\r\n") && received.ends_with("van 1"));
    assert!(!received.contains(TOKEN), "the token was forwarded");
}

/// Guards against sending an order again after an attempt that may have run it.
#[tokio::test]
async fn order_on_silent_target_has_unknown_outcome() {
    let (target, requests) = start_service("").await;
    let (other, other_requests) = start_service(CREATED_RESPONSE).await;
    let daemon = start_daemon(TestReducer::new(&[target, other])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/services/agenda/bookings",
        "van",
    )
    .await;
    assert_eq!(
        (response.status, response.error("code")),
        (504, "target_silent".into())
    );
    assert_eq!(response.header("x-outcome"), Some("unknown"));
    assert_eq!(requests.lock().unwrap().len(), 1);
    assert_eq!(other_requests.lock().unwrap().len(), 0);
    let lost = AttemptEnd::Lost {
        delivered_tokens: 0,
        target_died: false,
    };
    assert_eq!(daemon.observed.lock().unwrap().attempt_ends, [lost]);
}

/// Guards against refusing an order that no target has received, or that its target has not run.
#[tokio::test]
async fn order_that_was_not_run_goes_to_the_next_target() {
    let closed_address = unused_address();
    let (leaving, rejected_requests) = start_service(
        "HTTP/1.1 503 Service Unavailable\r\nx-outcome: not_run\r\ncontent-length: 0\r\n\r\n",
    )
    .await;
    let (target, requests) = start_service(CREATED_RESPONSE).await;
    let daemon = start_daemon(TestReducer::new(&[closed_address, leaving, target])).await;
    let response = send_request(
        daemon.caller_address,
        "POST",
        "/v1/services/agenda/bookings",
        "van",
    )
    .await;
    assert_eq!((response.status, response.body.as_str()), (201, "done"));
    let key = response.header("idempotency-key").unwrap();
    assert!(key.starts_with("daemon-"), "{key}");
    assert!(
        requests.lock().unwrap()[0].contains(key),
        "the idempotency key was not forwarded"
    );
    assert_eq!(rejected_requests.lock().unwrap().len(), 1);
    let rejected = AttemptEnd::Rejected {
        retry_after: None,
        leaving: false,
    };
    let completed = AttemptEnd::Completed { tokens: 0 };
    let ends = &daemon.observed.lock().unwrap().attempt_ends;
    assert_eq!(*ends, [AttemptEnd::NotSent, rejected, completed]);
}

/// Guards against losing the result of an order whose caller disconnects while it runs.
#[tokio::test]
async fn order_runs_to_its_end_without_its_caller() {
    let target = unused_address();
    let listener = TcpListener::bind(target).await.unwrap();
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let mut caller = TcpStream::connect(daemon.caller_address).await.unwrap();
    let bytes = encode_request("POST", "/v1/services/agenda/bookings", TOKEN, "", "van");
    caller.write_all(&bytes).await.unwrap();
    let (mut order_stream, _) = listener.accept().await.unwrap();
    read_request(&mut order_stream).await.unwrap();
    drop(caller);
    tokio::time::sleep(Duration::from_millis(100)).await;
    order_stream
        .write_all(CREATED_RESPONSE.as_bytes())
        .await
        .unwrap();
    while daemon.daemon.shared().requests.open_count() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let observed = daemon.observed.lock().unwrap();
    assert_eq!(observed.attempt_ends, [AttemptEnd::Completed { tokens: 0 }]);
    assert!(observed.departed_callers.is_empty());
}

/// Guards against running an order whose caller disconnects before it is sent.
#[tokio::test]
async fn queued_order_is_withdrawn_when_its_caller_disconnects() {
    let reducer = TestReducer {
        holds_submissions: true,
        ..TestReducer::new(&[])
    };
    let daemon = start_daemon(reducer).await;
    let mut caller = TcpStream::connect(daemon.caller_address).await.unwrap();
    let bytes = encode_request("POST", "/v1/services/agenda/bookings", TOKEN, "", "van");
    caller.write_all(&bytes).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        daemon.observed.lock().unwrap().departed_callers,
        [RequestTicket(1)]
    );
    assert_eq!(daemon.daemon.shared().requests.open_count(), 0);
}
