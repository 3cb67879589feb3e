//! Calls to plain services.

mod common;

use std::time::Duration;

use common::*;
use mimosagap_core::AttemptEnd;
use mimosagap_types::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};

const DONE: &str = "HTTP/1.1 201 Created\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\
                    connection: close\r\n\r\ndone";

/// Guards against a call that reaches the service changed, or with the team's token.
#[tokio::test]
async fn a_call_is_passed_on_and_answered() {
    let (target, requests) = start_service(DONE).await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let extra = "idempotency-key: job-7\r\ncontent-type: text/x\r\n";
    let path = "/v1/services/agenda/bookings?day=3";
    let bytes = encode_request("PUT", path, TOKEN, extra, "van 1");
    let reply = send_raw(daemon.caller_address, &bytes).await;
    assert_eq!((reply.status, reply.body.as_str()), (201, "done"));
    assert_eq!(reply.header("x-outcome"), Some("ran"));
    assert_eq!(reply.header("idempotency-key"), Some("job-7"));
    let seen = requests.lock().unwrap()[0].clone();
    assert!(
        seen.starts_with("PUT /bookings?day=3 HTTP/1.1\r\n"),
        "{seen}"
    );
    assert!(seen.contains("idempotency-key: job-7\r\n") && seen.ends_with("van 1"));
    assert!(!seen.contains(TOKEN), "the token was passed on");
}

/// Guards against a second execution of an order whose first may have run.
#[tokio::test]
async fn a_silent_target_leaves_an_order_unknown() {
    let (target, requests) = start_service("").await;
    let (other, other_requests) = start_service(DONE).await;
    let daemon = start_daemon(TestReducer::new(&[target, other])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/services/agenda/bookings",
        "van",
    )
    .await;
    assert_eq!(
        (reply.status, reply.error("code")),
        (504, "target_silent".into())
    );
    assert_eq!(reply.header("x-outcome"), Some("unknown"));
    assert_eq!(requests.lock().unwrap().len(), 1);
    assert_eq!(other_requests.lock().unwrap().len(), 0);
    let lost = AttemptEnd::Lost {
        delivered: 0,
        target_died: false,
    };
    assert_eq!(daemon.observed.lock().unwrap().ends, [lost]);
}

/// Guards against giving up an order that no target has seen, or that its target did not run.
#[tokio::test]
async fn an_order_that_was_not_run_goes_to_the_next_target() {
    let dead = unused_address();
    let (leaving, refused) = start_service(
        "HTTP/1.1 503 Service Unavailable\r\nx-outcome: not_run\r\ncontent-length: 0\r\n\r\n",
    )
    .await;
    let (target, requests) = start_service(DONE).await;
    let daemon = start_daemon(TestReducer::new(&[dead, leaving, target])).await;
    let reply = send_request(
        daemon.caller_address,
        "POST",
        "/v1/services/agenda/bookings",
        "van",
    )
    .await;
    assert_eq!((reply.status, reply.body.as_str()), (201, "done"));
    let key = reply.header("idempotency-key").unwrap();
    assert!(key.starts_with("daemon-"), "{key}");
    assert!(
        requests.lock().unwrap()[0].contains(key),
        "the target does not know the key"
    );
    assert_eq!(refused.lock().unwrap().len(), 1);
    let rejected = AttemptEnd::Rejected {
        retry_after: None,
        leaving: false,
    };
    let completed = AttemptEnd::Completed { tokens: 0 };
    let ends = &daemon.observed.lock().unwrap().ends;
    assert_eq!(*ends, [AttemptEnd::NotSent, rejected, completed]);
}

/// Guards against losing the result of an order because its caller left while it ran.
#[tokio::test]
async fn an_order_is_followed_to_its_end_without_its_caller() {
    let target = unused_address();
    let listener = TcpListener::bind(target).await.unwrap();
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let mut caller = TcpStream::connect(daemon.caller_address).await.unwrap();
    let bytes = encode_request("POST", "/v1/services/agenda/bookings", TOKEN, "", "van");
    caller.write_all(&bytes).await.unwrap();
    let (mut order, _) = listener.accept().await.unwrap();
    read_request(&mut order).await.unwrap();
    drop(caller);
    tokio::time::sleep(Duration::from_millis(100)).await;
    order.write_all(DONE.as_bytes()).await.unwrap();
    while daemon.daemon.shared().requests.open_count() > 0 {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    tokio::time::sleep(Duration::from_millis(20)).await;
    let seen = daemon.observed.lock().unwrap();
    assert_eq!(seen.ends, [AttemptEnd::Completed { tokens: 0 }]);
    assert!(seen.left.is_empty());
}

/// Guards against running an order whose caller left before it was sent.
#[tokio::test]
async fn a_waiting_order_is_withdrawn_with_its_caller() {
    let placement = TestReducer {
        holds_submissions: true,
        ..TestReducer::new(&[])
    };
    let daemon = start_daemon(placement).await;
    let mut caller = TcpStream::connect(daemon.caller_address).await.unwrap();
    let bytes = encode_request("POST", "/v1/services/agenda/bookings", TOKEN, "", "van");
    caller.write_all(&bytes).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    drop(caller);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(daemon.observed.lock().unwrap().left, [RequestTicket(1)]);
    assert_eq!(daemon.daemon.shared().requests.open_count(), 0);
}
