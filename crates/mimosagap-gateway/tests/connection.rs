//! Connections to targets whose responses stop midway.

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Full};
use mimosagap_gateway::connection::HttpConnection;
use rstest::rstest;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;
use tokio::task::{LocalSet, spawn_local};
use tokio::time::timeout;

const HEAD: &str = "HTTP/1.1 200 OK\r\nX-Attempt-Id: a\r\nX-Server-Signature: s\r\n";

/// Starts a server that answers `complete` requests of a connection and then writes the first bytes of
/// a response and closes.
async fn truncating_server(response: String, length: usize, complete: u32) -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("a bound listener");
    spawn_local(async move {
        let (mut stream, _) = listener.accept().await.expect("a connection");
        let mut buffer = [0; 4096];
        for _ in 0..complete {
            let _ = stream.read(&mut buffer).await;
            let _ = stream
                .write_all(format!("{HEAD}Content-Length: 2\r\n\r\nok").as_bytes())
                .await;
        }
        let _ = stream.read(&mut buffer).await;
        let _ = stream.write_all(&response.as_bytes()[..length]).await;
        let _ = stream.shutdown().await;
    });
    address
}

fn request() -> Request<Full<Bytes>> {
    Request::post("/")
        .header("host", "h")
        .body(Full::default())
        .expect("a request")
}

/// A target that stops after any byte of its response's head, and closes, has not answered. Its
/// response was taken for a complete one with an empty or short body.
#[rstest]
#[case::new_connection(0)]
#[case::kept_connection(1)]
fn a_truncated_head_is_taken_for_a_response(#[case] complete: u32) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    for framing in [
        "Content-Length: 4\r\n",
        "Transfer-Encoding: chunked\r\n",
        "",
    ] {
        let response = format!("{HEAD}{framing}\r\n");
        for length in 0..response.len() {
            let outcome = LocalSet::new().block_on(&runtime, async {
                let address = truncating_server(response.clone(), length, complete).await;
                let mut connection = HttpConnection::open(address).await.expect("it listens");
                for _ in 0..complete {
                    connection.call(request(), 100).await.expect("a response");
                }
                timeout(Duration::from_secs(5), connection.send(request())).await
            });
            let outcome = outcome.expect("the close ends the exchange");
            assert!(
                outcome.is_err(),
                "{length} bytes of {response:?} count as a response"
            );
        }
    }
}

/// A body that is shorter than its head says, or lacks its last chunk, is not complete.
#[rstest]
#[case::length("Content-Length: 4\r\n\r\n", "abc")]
#[case::chunk("Transfer-Encoding: chunked\r\n\r\n", "4\r\nab")]
#[case::last_chunk("Transfer-Encoding: chunked\r\n\r\n", "2\r\nab\r\n")]
#[case::no_body("Content-Length: 4\r\n\r\n", "")]
fn a_truncated_body_is_taken_for_a_whole_one(#[case] framing: &str, #[case] body: &str) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("a runtime starts");
    let response = format!("{HEAD}{framing}{body}");
    let length = response.len();
    let result = LocalSet::new().block_on(&runtime, async {
        let address = truncating_server(response, length, 0).await;
        let mut connection = HttpConnection::open(address).await.expect("it listens");
        let response = connection.send(request()).await.expect("a whole head");
        timeout(Duration::from_secs(5), response.into_body().collect()).await
    });
    assert!(result.expect("the close ends the body").is_err());
}
