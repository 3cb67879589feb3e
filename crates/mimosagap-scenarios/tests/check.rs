//! Tests of the invariant checks. A check that misses violations would let every scenario pass.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use mimosagap_scenarios::check::{
    AppliedRules, CheckInput, DaemonDrain, LeaveNotice, Outage, Violation, check_invariants,
};
use mimosagap_scenarios::cluster::TargetKind;
use mimosagap_scenarios::poller::RevisionSample;
use mimosagap_scenarios::record::{RequestKind, RequestRecord, SendRecord, SendState};
use rstest::rstest;
use serde_json::{Value, json};

fn send_record(endpoint: &str, state: SendState) -> SendRecord {
    SendRecord {
        endpoint: endpoint.to_owned(),
        started: Instant::now(),
        ended: Some(Instant::now()),
        state,
        is_resume: false,
    }
}

fn refused_state(code: &str, outcome: &str, retry_after: Option<Duration>) -> SendState {
    SendState::Refused {
        code: code.to_owned(),
        outcome: outcome.to_owned(),
        retry_after,
    }
}

fn answered_state() -> SendState {
    SendState::Answered { status: 200 }
}

fn order_record(key: &str, states: Vec<SendState>) -> RequestRecord {
    let kind = RequestKind::Order {
        key: key.to_owned(),
    };
    let mut record = RequestRecord::new(key, kind);
    record.sends = states
        .into_iter()
        .map(|state| send_record("d1", state))
        .collect();
    record
}

fn generation_record(name: &str) -> RequestRecord {
    let mut record = RequestRecord::new(name, RequestKind::Generation { tokens: 3 });
    record.sends = vec![send_record("d1", answered_state())];
    record
}

fn add_target_stats(input: &mut CheckInput, name: &str, kind: TargetKind, stats: Value) {
    let entry = (kind, vec![stats]);
    input.target_stats.stats.insert(name.to_owned(), entry);
}

fn violated_invariants(input: &CheckInput) -> Vec<u8> {
    let violations: Vec<Violation> = check_invariants(input);
    violations
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

/// Guards against a check that reports permitted results as violations.
#[test]
fn correct_run_has_no_violations() {
    let mut input = CheckInput {
        requests: vec![
            generation_record("g1"),
            order_record("k1", vec![answered_state(), answered_state()]),
            order_record(
                "k2",
                vec![refused_state("x", "not_run", None), answered_state()],
            ),
            order_record("k3", vec![refused_state("x", "unknown", None)]),
        ],
        ..CheckInput::default()
    };
    let ledger = json!({"ledger": {"k1": 1, "k2": 1, "k3": 1}});
    add_target_stats(&mut input, "s1", TargetKind::Service, ledger);
    assert_eq!(check_invariants(&input), vec![]);
}

/// Guards against ignoring violations that a caller found.
#[test]
fn violations_of_callers_are_reported() {
    let mut request = generation_record("g1");
    request.violations.push("sequence 3 follows 1".to_owned());
    let input = CheckInput {
        requests: vec![request],
        ..CheckInput::default()
    };
    assert_eq!(violated_invariants(&input), vec![1]);
}

/// Guards against missing a response that belongs to another request.
#[test]
fn swapped_generations_are_reported() {
    let mut request = generation_record("g1");
    request.generation_id = Some("resp_1".to_owned());
    let mut input = CheckInput {
        requests: vec![request],
        ..CheckInput::default()
    };
    let stats = json!({"generations": [{"id": "resp_1", "request": "g2", "started_ms": 1}]});
    add_target_stats(&mut input, "e1", TargetKind::Engine, stats);
    assert_eq!(violated_invariants(&input), vec![2]);
}

/// Guards against missing a request that never got a response.
#[test]
fn open_request_is_reported() {
    let input = CheckInput {
        requests: vec![order_record("k1", vec![SendState::Open])],
        ..CheckInput::default()
    };
    assert_eq!(violated_invariants(&input), vec![2]);
}

/// Guards against missing a double execution, a false refusal or a response without an execution.
#[rstest]
#[case::executed_twice(vec![answered_state()], 2, vec![4])]
#[case::executed_twice_over_two_services(vec![answered_state()], 1, vec![4])]
#[case::false_refusal(vec![refused_state("x", "not_run", None)], 1, vec![3])]
#[case::false_refusal_after_unknown(
    vec![refused_state("x", "unknown", None), refused_state("x", "not_run", None)], 1, vec![3]
)]
#[case::unreachable_but_executed(vec![SendState::Unreachable], 1, vec![3])]
#[case::answered_but_not_executed(vec![answered_state()], 0, vec![3])]
#[case::refused_as_ran_but_not_executed(vec![refused_state("x", "ran", None)], 0, vec![3])]
fn false_order_responses_are_reported(
    #[case] states: Vec<SendState>,
    #[case] executions: u64,
    #[case] expected: Vec<u8>,
) {
    let mut input = CheckInput {
        requests: vec![order_record("k1", states)],
        ..CheckInput::default()
    };
    let ledger = json!({"ledger": {"k1": executions}});
    add_target_stats(&mut input, "s1", TargetKind::Service, ledger.clone());
    if executions == 1 && expected == vec![4] {
        add_target_stats(&mut input, "s2", TargetKind::Service, ledger);
    }
    assert_eq!(violated_invariants(&input), expected);
}

/// Guards against missing a temporary refusal that has no retry time.
#[test]
fn missing_retry_time_is_reported() {
    let input = CheckInput {
        requests: vec![order_record(
            "k1",
            vec![refused_state("overloaded", "not_run", None)],
        )],
        ..CheckInput::default()
    };
    assert_eq!(violated_invariants(&input), vec![3]);
}

/// Guards against missing work that a target got after its leave notice.
#[rstest]
#[case::late(3_500, vec![5])]
#[case::in_time(2_500, vec![])]
fn late_work_is_reported(#[case] after_ms: u64, #[case] expected: Vec<u8>) {
    let given_at = SystemTime::now();
    let started = given_at + Duration::from_millis(after_ms);
    let since_epoch = started.duration_since(SystemTime::UNIX_EPOCH);
    let started_ms = u64::try_from(since_epoch.expect("after 1970").as_millis()).expect("fits");
    let mut input = CheckInput {
        leave_notices: vec![
            LeaveNotice {
                target: "e1".to_owned(),
                given_at,
                visibility_lag: Duration::ZERO,
            },
            LeaveNotice::new("s1", Duration::ZERO),
        ],
        ..CheckInput::default()
    };
    let stats = json!({"generations": [{"id": "a", "request": null, "started_ms": started_ms}]});
    add_target_stats(&mut input, "e1", TargetKind::Engine, stats);
    let stats = json!({"ledger": {}, "last_refused_after_ms": 10});
    add_target_stats(&mut input, "s1", TargetKind::Service, stats);
    assert_eq!(violated_invariants(&input), expected);
}

/// Guards against missing a connection that a healthy or draining daemon broke, and against
/// reporting one that a killed daemon broke.
#[rstest]
#[case::healthy(None, None, vec![6])]
#[case::draining(None, Some("d1"), vec![6])]
#[case::killed(Some("d1"), None, vec![])]
#[case::other_killed(Some("d2"), None, vec![6])]
fn broken_connections_are_reported(
    #[case] killed: Option<&str>,
    #[case] draining: Option<&str>,
    #[case] expected: Vec<u8>,
) {
    let input = CheckInput {
        outages: killed.into_iter().map(Outage::begin).collect(),
        drains: draining.into_iter().map(DaemonDrain::begin).collect(),
        requests: vec![order_record(
            "k1",
            vec![SendState::Broken("reset".to_owned())],
        )],
        ..CheckInput::default()
    };
    assert_eq!(violated_invariants(&input), expected);
}

const SECOND: Duration = Duration::from_secs(1);

fn revision_samples(
    start: Instant,
    readings: &[(u32, u64)],
) -> BTreeMap<String, Vec<RevisionSample>> {
    let samples = readings.iter().map(|(seconds, revision)| {
        let time = start + SECOND * *seconds;
        RevisionSample {
            request_started: time,
            response_received: time,
            revision: *revision,
        }
    });
    BTreeMap::from([("d1#1".to_owned(), samples.collect())])
}

/// Guards against missing rules that revert or come into force late, and against reporting a delay
/// that a store outage excuses.
#[rstest]
#[case::in_time(&[(0, 1), (2, 2), (9, 2)], None, vec![])]
#[case::reverted(&[(0, 1), (1, 2), (2, 1)], None, vec![7])]
#[case::late(&[(0, 1), (4, 1), (5, 2)], None, vec![7])]
#[case::late_after_outage(&[(0, 1), (6, 1), (7, 2)], Some((0, 4)), vec![])]
#[case::too_late_after_outage(&[(0, 1), (8, 1), (9, 2)], Some((0, 4)), vec![7])]
#[case::reverted_in_outage(&[(1, 2), (2, 1)], Some((0, 4)), vec![7])]
fn stale_rules_are_reported(
    #[case] readings: &[(u32, u64)],
    #[case] outage: Option<(u32, u32)>,
    #[case] expected: Vec<u8>,
) {
    let start = Instant::now();
    let outage = outage.map(|(from, to)| Outage {
        name: "store".to_owned(),
        start: start + SECOND * from,
        end: Some(start + SECOND * to),
    });
    let input = CheckInput {
        applied_rules: vec![AppliedRules {
            revision: 2,
            accepted_at: start,
        }],
        revision_samples: revision_samples(start, readings),
        store_outages: outage.into_iter().collect(),
        ..CheckInput::default()
    };
    assert_eq!(violated_invariants(&input), expected);
}
