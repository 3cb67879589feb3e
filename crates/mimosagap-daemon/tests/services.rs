//! Calls to plain services.

mod common;

use common::*;

const DONE: &str = "HTTP/1.1 201 Created\r\ncontent-type: text/plain\r\ncontent-length: 4\r\n\
                    connection: close\r\n\r\ndone";

/// Guards against a call that reaches the service changed, or with the team's token.
#[tokio::test]
async fn a_call_is_passed_on_and_answered() {
    let (target, requests) = service(DONE).await;
    let daemon = start(Placement::new(&[target])).await;
    let extra = "idempotency-key: job-7\r\ncontent-type: text/x\r\n";
    let path = "/v1/services/agenda/bookings?day=3";
    let bytes = request("PUT", path, TOKEN, extra, "van 1");
    let reply = raw(daemon.callers, &bytes).await;
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
