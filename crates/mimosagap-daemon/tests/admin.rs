//! Tests of the administration API and the metrics.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::*;
use mimosagap_core::{Event, ListedTarget, LoadReport, SuspectState, TargetKind};
use mimosagap_daemon::daemon::{RunningDaemon, generate_daemon_id, new_reducer};
use mimosagap_daemon::metrics::DaemonMetrics;
use mimosagap_types::prelude::*;
use rstest::rstest;

fn listed_target(leaving: bool) -> ListedTarget {
    ListedTarget {
        address: unused_address(),
        deployment: DeploymentName::new("assistant"),
        kind: TargetKind::Engine {
            models: vec![ModelName::new("quotes")],
        },
        zone: ZoneName::new("norte-a1"),
        region: RegionName::new("norte-a"),
        leaving,
    }
}

/// Guards against pages that differ from the state on which the reducer decides.
#[tokio::test]
async fn pages_show_the_state_of_the_reducer() {
    let settings = Arc::new(test_settings(""));
    let daemon_id = generate_daemon_id(&settings);
    let reducer = Box::new(new_reducer(&settings, &daemon_id));
    let admin = settings.listen.admin;
    let daemon = RunningDaemon::start(settings, daemon_id, reducer).unwrap();
    let events = &daemon.shared().events;
    let (live, leaving) = (listed_target(false), listed_target(true));
    let digest = RequestDigest::of(&[b"poison"]);
    events.send(Event::RulesReceived(Arc::new(test_rules(41))));
    events.send(Event::TargetsListed(vec![live.clone(), leaving.clone()]));
    events.send(Event::TargetReported {
        address: live.address,
        report: LoadReport {
            incarnation: Incarnation(7),
            running: 3,
            waiting: 1,
            memory_usage: 0.5,
            kv_capacity_tokens: 1_000,
            preemptions: 2,
            leaving: false,
            age: Duration::ZERO,
        },
    });
    events.send(Event::SuspectsChanged(vec![(
        digest,
        SuspectState::Suspect,
    )]));
    let fetch_page = async |name: &str| {
        let path = format!("/admin/v1/{name}");
        send_raw(admin, &encode_request("GET", &path, "", "", ""))
            .await
            .json()
    };
    let rules_page = fetch_page("rules").await;
    assert_eq!(rules_page["revision"], 41);
    assert_eq!(rules_page["text"], test_rules(41).text.as_ref());
    let targets_page = fetch_page("targets").await;
    let find_entry = |address: TargetAddress| {
        let entries = targets_page.as_array().unwrap().iter();
        entries
            .clone()
            .find(|entry| entry["address"] == address.to_string())
            .unwrap()
    };
    assert_eq!(find_entry(live.address)["state"], "up");
    assert_eq!(find_entry(live.address)["memory_tokens"], 1_000);
    assert_eq!(find_entry(leaving.address)["state"], "leaving");
    let leaving_page = fetch_page("leaving").await;
    assert_eq!(leaving_page.as_array().unwrap().len(), 1);
    assert_eq!(leaving_page[0]["address"], leaving.address.to_string());
    let limits_page = fetch_page("limits").await;
    assert_eq!(
        (&limits_page[0]["team"], &limits_page[0]["burst"]),
        (&"quotes".into(), &50.into())
    );
    assert_eq!(limits_page[0]["rule"]["asked_by"], "insurer: bounded load");
    let quarantine_page = fetch_page("quarantine").await;
    assert_eq!(quarantine_page[0]["digest"], digest.to_string());
    assert_eq!(quarantine_page[0]["state"], "suspect");
    let health_page = fetch_page("health").await;
    assert_eq!(health_page["rules_revision"], 41);
    assert!(fetch_page("daemons").await.is_array());
}

/// Guards against an administration API that accepts changes.
#[rstest]
#[case("POST")]
#[case("PUT")]
#[case("DELETE")]
#[tokio::test]
async fn methods_other_than_get_are_refused(#[case] method: &str) {
    let daemon = start_daemon(TestReducer::new(&[])).await;
    let reply = send_raw(
        daemon.admin_address,
        &encode_request(method, "/admin/v1/rules", "", "", "x"),
    )
    .await;
    assert_eq!(reply.status, 405);
}

/// Guards against histograms without the team and class labels, which the teams' insurers require.
#[tokio::test]
async fn streams_are_measured_by_team_and_class() {
    let engine = FakeEngine::new(5);
    engine.silent_after.lock().unwrap().push(3);
    let target = engine.start().await;
    let daemon = start_daemon(TestReducer::new(&[target])).await;
    let bytes = encode_request(
        "POST",
        "/v1/responses",
        TOKEN,
        "x-request-class: urgent\r\n",
        &generation_request(true),
    );
    assert_eq!(send_raw(daemon.caller_address, &bytes).await.status, 200);
    let text = send_raw(
        daemon.admin_address,
        &encode_request("GET", "/metrics", "", "", ""),
    )
    .await
    .body;
    let labels = r#"{class="urgent",team="quotes"}"#;
    for line in [
        format!("mimosagap_first_token_seconds_count{labels} 1"),
        format!("mimosagap_between_tokens_seconds_count{labels} 4"),
        format!("mimosagap_stall_seconds_count{labels} 1"),
        r#"mimosagap_stream_resumes_total{result="found"} 1"#.to_owned(),
    ] {
        assert!(text.contains(&line), "{line} is missing in {text}");
    }
}

/// Guards against memory that grows with the number of class names, which callers choose.
#[test]
fn class_labels_are_bounded() {
    let metrics = DaemonMetrics::new();
    for number in 0..1_000 {
        let _ = metrics.stream_metrics("quotes", &format!("class-{number}"));
    }
    let text = metrics.encode_text();
    let count = text.matches("mimosagap_stall_seconds_count{").count();
    assert_eq!(count, 33);
    assert!(text.contains(r#"mimosagap_stall_seconds_count{class="other",team="quotes"}"#));
}
