//! Targets whose responses have neither a length nor chunks and end with their connection. A gateway
//! must pass on a whole response as whole, and one that was broken off as broken off.

#[path = "support/responses.rs"]
mod responses;
mod support;

use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use rstest::rstest;
use socket2::SockRef;
use support::read_head;

/// How a target ends its response.
#[derive(Debug, Clone, Copy)]
enum End {
    /// It closes the connection in order.
    Close,
    /// It resets the connection.
    Reset,
}

/// Answers each connection with one response without a length, and counts the connections.
fn start_target(body: &'static str, end: End) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let connections = Arc::new(AtomicUsize::new(0));
    let counter = Arc::clone(&connections);
    std::thread::spawn(move || {
        for stream in listener.incoming() {
            let mut stream = stream.expect("connections are accepted");
            counter.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || answer(&mut stream, body, end));
        }
    });
    (address, connections)
}

fn answer(stream: &mut TcpStream, body: &str, end: End) {
    let request = read_head(stream);
    let id = request
        .lines()
        .find_map(|line| line.strip_prefix("x-attempt-id: "))
        .unwrap_or_default();
    let head =
        format!("HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n\r\n");
    stream
        .write_all((head + body).as_bytes())
        .expect("the gateway reads");
    // What was sent arrives before a reset does.
    std::thread::sleep(Duration::from_millis(50));
    if let End::Reset = end {
        SockRef::from(&*stream)
            .set_linger(Some(Duration::ZERO))
            .expect("the option is supported");
    }
}

/// Sends two requests to a gateway before a target, and returns their responses and the number of
/// connections to the target.
fn responses(
    path: &'static str,
    body: &'static str,
    end: End,
    base_port: u16,
) -> (Vec<String>, usize) {
    let (target, connections) = start_target(body, end);
    let responses = responses::responses(target, &[(path, "a1"); 2], base_port, |_| {}, |_| {});
    (responses, connections.load(Ordering::Relaxed))
}

/// The body of a response, and whether the gateway says that it is complete. It is framed in chunks
/// or by a length.
fn decode_body(response: &str) -> (String, bool) {
    let (head, rest) = response.split_once("\r\n\r\n").unwrap_or((response, ""));
    let head = head.to_ascii_lowercase();
    if let Some(length) = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length: "))
    {
        let length: usize = length.parse().expect("a number");
        return (rest.to_owned(), rest.len() == length);
    }
    assert!(head.contains("transfer-encoding: chunked"), "{response:?}");
    let (mut body, mut rest) = (String::new(), rest);
    while let Some((size, after)) = rest.split_once("\r\n") {
        let size = usize::from_str_radix(size, 16).expect("a chunk has a size");
        if size == 0 {
            return (body, true);
        }
        body.push_str(&after[..size]);
        rest = &after[size + 2..];
    }
    (body, false)
}

#[rstest]
#[case::safe("/safe/x", 23_600)]
#[case::unsafe_call("/once/x", 23_610)]
fn a_call_whose_response_ends_with_its_connection_is_whole(
    #[case] path: &'static str,
    #[case] base_port: u16,
) {
    let (responses, connections) = responses(path, "the whole answer", End::Close, base_port);
    for response in &responses {
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert_eq!(decode_body(response), ("the whole answer".to_owned(), true));
    }
    assert_eq!(connections, 2, "the connection is not used again");
}

#[rstest]
#[case::safe("/safe/x", 23_620)]
#[case::unsafe_call("/once/x", 23_630)]
fn a_call_whose_response_is_reset_is_not_passed_on_as_whole(
    #[case] path: &'static str,
    #[case] base_port: u16,
) {
    let (responses, _) = responses(path, "the beginning of an", End::Reset, base_port);
    for response in &responses {
        assert!(response.starts_with("HTTP/1.1 502"), "{response:?}");
        assert!(!response.contains("the beginning"), "{response:?}");
    }
}

#[test]
fn a_stream_that_ends_with_its_connection_is_whole() {
    let body = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
    let (responses, connections) = responses("/stream/x", body, End::Close, 23_640);
    for response in &responses {
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert_eq!(decode_body(response), (body.to_owned(), true));
    }
    assert_eq!(connections, 2, "the connection is not used again");
}

/// The end of the connection comes in order, but inside an event.
#[rstest]
#[case::closed_inside_an_event("id: 1\ndata: a\n\nid: 2\nda", End::Close, 23_650)]
#[case::closed_before_the_blank_line("id: 1\ndata: a\n\nid: 2\ndata: b\n", End::Close, 23_660)]
#[case::reset_inside_an_event("id: 1\ndata: a\n\nid: 2\nda", End::Reset, 23_670)]
#[case::reset_between_events("id: 1\ndata: a\n\n", End::Reset, 23_680)]
fn a_stream_that_is_broken_off_is_not_passed_on_as_whole(
    #[case] body: &'static str,
    #[case] end: End,
    #[case] base_port: u16,
) {
    let (responses, _) = responses("/stream/x", body, end, base_port);
    for response in &responses {
        assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
        assert_eq!(
            decode_body(response),
            ("id: 1\ndata: a\n\n".to_owned(), false)
        );
    }
}

/// Nothing of the stream had arrived, so the caller gets an error and no empty success.
#[rstest]
#[case::closed("", End::Close, 23_690)]
#[case::closed_inside_the_first_event("id: 1\nda", End::Close, 23_700)]
fn a_stream_without_an_event_is_not_a_success(
    #[case] body: &'static str,
    #[case] end: End,
    #[case] base_port: u16,
) {
    let (responses, _) = responses("/stream/x", body, end, base_port);
    for response in &responses {
        assert!(response.starts_with("HTTP/1.1 502"), "{response:?}");
    }
}
