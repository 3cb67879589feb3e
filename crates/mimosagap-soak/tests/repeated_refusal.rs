//! A faulty target writes a refusal again, on a kept connection, in place of the answer to a request
//! that it executes.

#[path = "support/responses.rs"]
mod responses;
mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use rstest::rstest;
use support::read_head;

/// Executes the first request of each connection, and answers each further one with a refusal that
/// belongs to no request, or to another one, before it executes that one, too. Counts the requests
/// that it executes after the refusal.
fn start_target(refusal_id: Option<&'static str>) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let executed = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&executed);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connections are accepted");
            let counter = Arc::clone(&counter);
            std::thread::spawn(move || answer_requests(&mut stream, refusal_id, &counter));
        }
    });
    (address, executed)
}

fn answer_requests(stream: &mut TcpStream, refusal_id: Option<&str>, executed: &AtomicUsize) {
    for number in 0.. {
        let request = read_head(stream);
        let id = request
            .lines()
            .find_map(|line| line.strip_prefix("x-attempt-id: "));
        let Some(id) = id else {
            return;
        };
        if number > 0 {
            let id_line =
                refusal_id.map_or_else(String::new, |id| format!("x-attempt-id: {id}\r\n"));
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\nx-not-executed: 1\r\nretry-after: 9\r\n\
                 {id_line}content-length: 0\r\n\r\n"
            );
            // The gateway closes a connection that brings an answer to no request.
            let _ = stream.write_all(refusal.as_bytes());
            executed.fetch_add(1, Ordering::Relaxed);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n\
             content-length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).is_err() {
            return;
        }
    }
}

/// The caller of an order that was executed must not be told that it was not. What the refusal says
/// of the target does not count either: the third request is served at once.
#[rstest]
#[case::refusal_without_an_id(None, 24_400)]
#[case::refusal_of_another_request(Some("a1"), 24_410)]
fn an_executed_order_is_refused_as_not_run(
    #[case] refusal_id: Option<&'static str>,
    #[case] base_port: u16,
) {
    let (target, executed) = start_target(refusal_id);
    let requests = [("/once/x", "a1"), ("/once/x", "a2"), ("/once/x", "a3")];
    let responses = responses::responses(target, &requests, base_port, |_| {}, |_| {});
    assert!(responses[0].starts_with("HTTP/1.1 200"), "{responses:?}");
    assert!(responses[1].starts_with("HTTP/1.1 502"), "{responses:?}");
    assert!(responses[2].starts_with("HTTP/1.1 200"), "{responses:?}");
    assert_eq!(executed.load(Ordering::Relaxed), 1);
}
