//! The host list, load reports and cache events.

mod common;

use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use common::*;
use mimosagap_core::{Effect, Event, ListedTarget, LoadReport, TargetKind};
use mimosagap_daemon::daemon::RunningDaemon;
use mimosagap_daemon::snapshot::{EventReducer, ReducerSnapshot};
use mimosagap_daemon::targets::{host_list, report};
use mimosagap_rules::RuleSet;
use mimosagap_types::prelude::*;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;

const REPORT: &str = "# TYPE vllm:num_requests_running gauge
vllm:num_requests_running{model_name=\"quotes\"} 3
vllm:num_requests_waiting 2
vllm:kv_cache_usage_perc 0.25
vllm:num_preemptions_total 9
engine_kv_capacity_tokens 2.0e4
engine_incarnation 18446744073709551557
engine_state{state=\"live\"} 0
engine_state{state=\"leaving\"} 1
something_else 5
";

fn expected_report() -> LoadReport {
    LoadReport {
        incarnation: Incarnation(18_446_744_073_709_551_557),
        running: 3,
        waiting: 2,
        memory_usage: 0.25,
        kv_capacity_tokens: 20_000,
        preemptions: 9,
        leaving: true,
        age: Duration::ZERO,
    }
}

/// Guards against parsing the incarnation as a float, which would make two restarts of an engine look
/// the same.
#[test]
fn report_is_parsed_exactly() {
    assert_eq!(report::parse(REPORT), Some(expected_report()));
    assert_eq!(report::parse("vllm:num_requests_running 3\n"), None);
}

/// Guards against using a target whose deployment is not in the settings.
#[test]
fn host_list_skips_unknown_deployments() {
    let text = br#"[
        {"targets": ["10.0.0.1:80", "10.0.0.2:80"],
         "labels": {"deployment": "assistant", "zone": "z", "region": "r", "state": "leaving"}},
        {"targets": ["10.0.0.3:80"], "labels": {"deployment": "agenda", "zone": "z", "region": "r"}},
        {"targets": ["10.0.0.4:80"], "labels": {"deployment": "other", "zone": "z", "region": "r"}}]"#;
    let list = host_list::parse(text, &test_settings("")).unwrap();
    let address_states: Vec<_> = list
        .iter()
        .map(|target| (target.address.to_string(), target.leaving))
        .collect();
    let expected = [
        ("10.0.0.1:80", true),
        ("10.0.0.2:80", true),
        ("10.0.0.3:80", false),
    ];
    assert_eq!(
        address_states,
        expected.map(|(address, leaving)| (address.to_owned(), leaving))
    );
    assert_eq!(list[2].kind, TargetKind::Service);
    assert!(host_list::parse(b"[{}]", &test_settings("")).is_err());
}

struct EventRecorder(Arc<Mutex<Vec<Event>>>);

impl EventReducer for EventRecorder {
    fn reduce(&mut self, _: Instant, event: Event, _: &mut Vec<Effect>) {
        if !matches!(event, Event::Tick) {
            self.0.lock().unwrap().push(event);
        }
    }

    fn rules(&self) -> Arc<RuleSet> {
        Arc::new(RuleSet::empty())
    }

    fn placements(&self) -> Vec<(TargetAddress, u64)> {
        Vec::new()
    }

    fn snapshot(&self, _: Instant) -> ReducerSnapshot {
        ReducerSnapshot::default()
    }
}

/// Serves each path with its body, and closes the connection for any other path.
async fn serve_pages(address: TargetAddress, pages: Vec<(&'static str, String)>) {
    let listener = TcpListener::bind(address).await.unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let request = read_request(&mut stream).await.unwrap_or_default();
            let path = request.split(' ').nth(1).unwrap_or_default();
            if let Some((_, body)) = pages.iter().find(|(page, _)| *page == path) {
                let head = format!(
                    "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\r\n",
                    body.len()
                );
                let _ = stream.write_all(format!("{head}{body}").as_bytes()).await;
            }
        }
    });
}

async fn wait_for_event<T>(
    events: &Mutex<Vec<Event>>,
    find_event: impl Fn(&Event) -> Option<T>,
) -> T {
    let search = async {
        loop {
            if let Some(found) = events.lock().unwrap().iter().find_map(&find_event) {
                return found;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    };
    tokio::time::timeout(TEST_TIMEOUT, search)
        .await
        .expect("the expected event did not arrive")
}

/// Guards against placement by stale or missing reports: a leaving engine, an unreachable one and a gap
/// in the cache events must be reported within seconds.
#[tokio::test]
async fn listed_targets_are_watched() {
    let settings = Arc::new(test_settings(""));
    let (engine, closed_address) = (unused_address(), unused_address());
    let list = format!(
        r#"[{{"targets": ["{engine}", "{closed_address}"],
             "labels": {{"deployment": "assistant", "zone": "z", "region": "r"}}}}]"#
    );
    serve_pages(settings.host_list, vec![("/", list)]).await;
    let first_events = r#"[{"sequence":1,"type":"stored","block_hashes":[1,2,18446744073709551615]},
                    {"sequence":2,"type":"removed","block_hashes":[2]}]"#;
    let second_events = r#"[{"sequence":5,"type":"stored","block_hashes":[3]}]"#;
    let pages = vec![
        ("/metrics", REPORT.to_owned()),
        ("/kv_events?since=0", first_events.to_owned()),
        ("/kv_events?since=2", second_events.to_owned()),
    ];
    serve_pages(engine, pages).await;
    let events = Arc::new(Mutex::new(Vec::new()));
    let core = Box::new(EventRecorder(Arc::clone(&events)));
    let _daemon = RunningDaemon::start(settings, DaemonId::new("test"), core).unwrap();

    let listed: Vec<ListedTarget> = wait_for_event(&events, |event| match event {
        Event::TargetsListed(list) => Some(list.clone()),
        _ => None,
    })
    .await;
    assert_eq!(listed.len(), 2);
    let report = wait_for_event(&events, |event| match event {
        Event::TargetReported { address, report } if *address == engine => Some(report.clone()),
        _ => None,
    })
    .await;
    assert_eq!(report, expected_report());
    let is_refused = wait_for_event(&events, |event| match event {
        Event::TargetUnreachable { address, refused } if *address == closed_address => {
            Some(*refused)
        }
        _ => None,
    })
    .await;
    assert!(is_refused);
    let cache_change = |has_gap: bool| {
        wait_for_event(&events, move |event| match event {
            Event::CacheChanged {
                stored,
                removed,
                gap,
                ..
            } if *gap == has_gap => Some((stored.clone(), removed.clone())),
            _ => None,
        })
    };
    let (mut stored, removed) = cache_change(false).await;
    stored.sort_unstable();
    assert_eq!((stored, removed), (vec![1, u64::MAX], vec![2]));
    assert_eq!(cache_change(true).await, (vec![3], vec![]));
}
