//! A caller resumes a stream of which no host knows, at a gateway that has heard of one version.

#[path = "support/responses.rs"]
mod responses;
mod support;
#[path = "support/targets.rs"]
mod targets;

use std::io::Write;
use std::net::TcpStream;

use mimosagap_soak::standins::store::StoreStandin;
use rstest::rstest;
use serde_json::json;
use support::read_head;
use targets::{attempt_id, start_target};

/// Answers with the second and last event of a stream.
fn answer(stream: &mut TcpStream) {
    let request = read_head(stream);
    let id = attempt_id(&request);
    let body = "id: 2\ndata: b\n\n";
    let answer = format!(
        "HTTP/1.1 200 OK\r\nx-attempt-id: {id}\r\nx-server-signature: signed\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    // The gateway may have given the request up.
    let _ = stream.write_all(answer.as_bytes());
}

/// Another host has admitted a second version, and the watch has not brought it yet. The gateway
/// assumes the version that it knows, and must not take its own assumption for an answer of the
/// store.
#[rstest]
#[case::one_version(&["v1"], "HTTP/1.1 200", 24_700)]
#[case::another_version_is_admitted(&["v1", "v2"], "HTTP/1.1 502", 24_710)]
fn an_assumed_version_confirms_itself(
    #[case] admitted: &[&str],
    #[case] expected: &str,
    #[case] base_port: u16,
) {
    let requests = [("/resumable/x", "a1")];
    let change_store = |store: &StoreStandin| {
        for version in admitted {
            let key = format!("mimosagap/versions/{version}");
            store.put_unwatched(&key, &json!(["model", version]));
        }
    };
    let target = start_target(answer);
    let responses = responses::responses(target, &requests, base_port, |_| {}, change_store);
    assert!(responses[0].starts_with(expected), "{responses:?}");
}

/// The store has come back from a copy since its list of versions was complete, and the gateway
/// starts afterwards. It took the only version of the copy for that of every stream.
#[rstest]
#[case::same_era(1, "HTTP/1.1 200", 24_720)]
#[case::after_a_drill(0, "HTTP/1.1 503", 24_730)]
fn the_only_version_of_a_copy_is_taken_for_the_only_one(
    #[case] recorded_era: u64,
    #[case] expected: &str,
    #[case] base_port: u16,
) {
    let requests = [("/resumable/x", "a1")];
    let prepare_store = |store: &StoreStandin| {
        store.put("mimosagap/versions/v1", &json!(["model", "v1"]));
        store.put("mimosagap/versions-era", &json!(recorded_era));
    };
    let target = start_target(answer);
    let responses = responses::responses(target, &requests, base_port, prepare_store, |_| {});
    assert!(responses[0].starts_with(expected), "{responses:?}");
}
