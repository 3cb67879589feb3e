//! Addresses and processes of the harness.

use std::collections::BTreeSet;
use std::time::Duration;

use mimosagap_scenarios::address::HostAddress;
use mimosagap_scenarios::control;
use mimosagap_scenarios::process::{ManagedProcess, binary_directory};
use mimosagap_scenarios::sse::EventSplitter;
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(5);

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
        .wait_for_log("listening on", LIMIT)
        .expect("the stand-in is ready");
    process
}

/// Guards against two hosts of parallel tests at one address.
#[test]
fn addresses_are_distinct_loopback_addresses() {
    let hosts: Vec<HostAddress> = (0..300)
        .map(|_| HostAddress::new().expect("a free address"))
        .collect();
    let addresses: BTreeSet<_> = hosts.iter().map(|host| host.port(1)).collect();
    assert_eq!(addresses.len(), hosts.len());
    assert!(addresses.iter().all(|address| address.ip().is_loopback()));
}

/// Guards against processes that outlive their test.
#[test]
fn dropped_process_has_ended() {
    let host = HostAddress::new().expect("a free address");
    let process = start_service("dropped", &host);
    control::get(host.port(8_000), "/control/ledger").expect("it answers");
    drop(process);
    control::get(host.port(8_000), "/control/ledger").expect_err("it is gone");
}

/// Guards against a pause that does not stop the process, and an orderly end that looks like a
/// failure.
#[test]
fn paused_process_answers_after_it_is_resumed() {
    let host = HostAddress::new().expect("a free address");
    let mut process = start_service("paused", &host);
    process.pause().expect("it is running");
    control::get(host.port(8_000), "/control/ledger").expect_err("it is stopped");
    process.resume().expect("it is stopped");
    control::get(host.port(8_000), "/control/ledger").expect("it answers");
    process.terminate().expect("it is running");
    let status = process.wait_for_exit(LIMIT).expect("it ends");
    assert!(status.success(), "ended with {status}");
}

/// Guards against events that are lost or garbled when a part ends within a line.
#[test]
fn events_survive_any_split() {
    let text = b": keepalive\n\nevent: a\ndata: {\"n\":1}\n\ndata: {\"n\":2}\r\n\r\n";
    for split in 0..text.len() {
        let mut splitter = EventSplitter::default();
        let mut events = splitter.push(&text[..split]).expect("well-formed");
        events.extend(splitter.push(&text[split..]).expect("well-formed"));
        assert_eq!(events, vec![json!({"n": 1}), json!({"n": 2})]);
    }
}
