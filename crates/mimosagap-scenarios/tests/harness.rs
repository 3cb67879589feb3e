//! Tests of the process harness: addresses, child processes and the event parser.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosagap_scenarios::address::HostAddress;
use mimosagap_scenarios::control;
use mimosagap_scenarios::process::{ManagedProcess, binary_directory};
use mimosagap_scenarios::sse::EventParser;
use serde_json::json;

const TIMEOUT: Duration = Duration::from_secs(5);

fn start_service(name: &str, host: &HostAddress) -> ManagedProcess {
    let directory = binary_directory().join("scenario-logs");
    std::fs::create_dir_all(&directory).expect("the directory can be created");
    let name = format!("{name}-{}", std::process::id());
    let _ = std::fs::remove_file(directory.join(format!("{name}.log")));
    let listen = host.port(8_000).to_string();
    let arguments = ["service", "--listen", &listen].map(str::to_owned);
    let mut process = ManagedProcess::start(&name, "mimosagap-standins", &arguments, &directory)
        .expect("the stand-in starts");
    process
        .wait_for_log("listening on", TIMEOUT)
        .expect("the stand-in is ready");
    process
}

/// Guards against two hosts of parallel tests sharing an address.
#[test]
fn addresses_are_distinct_loopback_addresses() {
    let hosts: Vec<HostAddress> = (0..300)
        .map(|_| HostAddress::new().expect("a free address"))
        .collect();
    let addresses: BTreeSet<_> = hosts.iter().map(|host| host.port(1)).collect();
    assert_eq!(addresses.len(), hosts.len());
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
}

/// Guards against processes that keep running after their test.
#[test]
fn dropped_process_has_exited() {
    let host = HostAddress::new().expect("a free address");
    let process = start_service("dropped", &host);
    control::get(host.port(8_000), "/control/ledger").expect("the service responds");
    drop(process);
    control::get(host.port(8_000), "/control/ledger").expect_err("the service was killed");
}

/// Guards against a pause that does not suspend the process, and against a graceful shutdown that
/// reports a failure.
#[test]
fn paused_process_responds_after_it_is_resumed() {
    let host = HostAddress::new().expect("a free address");
    let mut process = start_service("paused", &host);
    process.pause().expect("the process is running");
    control::get(host.port(8_000), "/control/ledger").expect_err("the service is suspended");
    process.resume().expect("the process is suspended");
    control::get(host.port(8_000), "/control/ledger").expect("the service responds");
    process.terminate().expect("the process is running");
    let status = process.wait_for_exit(TIMEOUT).expect("the process exits");
    assert!(status.success(), "exited with {status}");
}

/// Guards against events that are lost or garbled when a chunk ends within a line.
#[test]
fn events_are_parsed_at_any_chunk_boundary() {
    let text = b": keepalive\n\nevent: a\ndata: {\"n\":1}\n\ndata: {\"n\":2}\r\n\r\n";
    for split in 0..text.len() {
        let mut parser = EventParser::default();
        let mut events = parser.push(&text[..split]).expect("well-formed");
        events.extend(parser.push(&text[split..]).expect("well-formed"));
        assert_eq!(events, vec![json!({"n": 1}), json!({"n": 2})]);
    }
}
