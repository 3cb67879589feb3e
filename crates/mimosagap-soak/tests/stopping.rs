//! Requests that a gateway gets after SIGTERM, from callers who still use its connections.

mod support;
#[path = "support/targets.rs"]
mod targets;

use std::io::Write;
use std::net::TcpStream;
use std::time::Duration;

use rstest::rstest;
use rustix::process::Signal;
use support::{Scene, read_head};
use targets::{attempt_id, start_target};

/// Time for which the target is silent before it answers a call.
const SILENCE: Duration = Duration::from_millis(1300);

/// Events of a stream and the time between two.
const EVENTS: u32 = 10;
const EVENT_INTERVAL: Duration = Duration::from_millis(200);

/// Answers streams event by event, and calls after a silence.
fn answer(stream: &mut TcpStream) -> std::io::Result<()> {
    let request = read_head(stream);
    let id = attempt_id(&request);
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\nconnection: close\r\n"
    );
    if !request.contains("/stream/") {
        std::thread::sleep(SILENCE);
        return write!(stream, "{head}content-length: 4\r\n\r\ndone");
    }
    write!(stream, "{head}\r\n")?;
    for id in 1..=EVENTS {
        std::thread::sleep(EVENT_INTERVAL);
        write!(stream, "id: {id}\ndata: x\n\n")?;
    }
    Ok(())
}

fn serve(stream: &mut TcpStream) {
    // The gateway may close the connection before the answer ends.
    let _ = answer(stream);
}

/// The gateway exits 3.2 s after SIGTERM. A request that arrives before is answered to the end, or
/// refused as not run; the mean time of such requests would fit, and the answer was cut by the exit.
#[rstest]
#[case::stream_in_time("/stream/x", 300, "HTTP/1.1 200", "id: 10\n", 24_740)]
#[case::stream_too_late("/stream/x", 2000, "HTTP/1.1 503", "leaving", 24_750)]
#[case::call_of_a_silent_service("/once/x", 2000, "HTTP/1.1 503", "leaving", 24_760)]
fn a_request_that_is_taken_while_stopping_is_cut(
    #[case] path: &'static str,
    #[case] sent_after_ms: u64,
    #[case] expected_head: &str,
    #[case] expected_end: &str,
    #[case] base_port: u16,
) {
    let response = support::run(async {
        let scene = Scene::start(start_target(serve), base_port, |_| {}).await;
        scene.gateway.send_signal(Signal::TERM);
        tokio::time::sleep(Duration::from_millis(sent_after_ms)).await;
        scene.exchange(path, "a1").await
    });
    assert!(response.starts_with(expected_head), "{response:?}");
    assert!(response.contains(expected_end), "{response:?}");
}
