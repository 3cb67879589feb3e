//! The invariant checks find what they look for. A check that finds nothing would let every
//! scenario pass.

use std::collections::BTreeMap;
use std::time::{Duration, Instant, SystemTime};

use mimosagap_scenarios::check::{
    AppliedRules, Departure, Drain, Evidence, Outage, Violation, check,
};
use mimosagap_scenarios::cluster::TargetKind;
use mimosagap_scenarios::observer::RevisionSample;
use mimosagap_scenarios::record::{RequestKind, RequestRecord, SendEnd, SendRecord};
use rstest::rstest;
use serde_json::{Value, json};

fn send(to: &str, end: SendEnd) -> SendRecord {
    SendRecord {
        to: to.to_owned(),
        started: Instant::now(),
        ended: Some(Instant::now()),
        end,
        is_resume: false,
    }
}

fn refused(code: &str, outcome: &str, retry_after: Option<Duration>) -> SendEnd {
    SendEnd::Refused {
        code: code.to_owned(),
        outcome: outcome.to_owned(),
        retry_after,
    }
}

fn answered() -> SendEnd {
    SendEnd::Answered { status: 200 }
}

fn order(key: &str, ends: Vec<SendEnd>) -> RequestRecord {
    let kind = RequestKind::Order {
        key: key.to_owned(),
    };
    let mut record = RequestRecord::new(key, kind);
    record.sends = ends.into_iter().map(|end| send("d1", end)).collect();
    record
}

fn generation(name: &str) -> RequestRecord {
    let mut record = RequestRecord::new(name, RequestKind::Generation { tokens: 3 });
    record.sends = vec![send("d1", answered())];
    record
}

fn with_target(evidence: &mut Evidence, name: &str, kind: TargetKind, stats: Value) {
    let entry = (kind, vec![stats]);
    evidence.targets.stats.insert(name.to_owned(), entry);
}

fn invariants(evidence: &Evidence) -> Vec<u8> {
    let violations: Vec<Violation> = check(evidence);
    violations
        .iter()
        .map(|violation| violation.invariant)
        .collect()
}

/// Guards against a check that reports what is allowed.
#[test]
fn correct_run_has_no_violation() {
    let mut evidence = Evidence {
        requests: vec![
            generation("g1"),
            order("k1", vec![answered(), answered()]),
            order("k2", vec![refused("x", "not_run", None), answered()]),
            order("k3", vec![refused("x", "unknown", None)]),
        ],
        ..Evidence::default()
    };
    let ledger = json!({"ledger": {"k1": 1, "k2": 1, "k3": 1}});
    with_target(&mut evidence, "s1", TargetKind::Service, ledger);
    assert_eq!(check(&evidence), vec![]);
}

/// Guards against missing what the caller itself saw.
#[test]
fn violations_of_callers_are_reported() {
    let mut request = generation("g1");
    request.violations.push("sequence 3 follows 1".to_owned());
    let evidence = Evidence {
        requests: vec![request],
        ..Evidence::default()
    };
    assert_eq!(invariants(&evidence), vec![1]);
}

/// Guards against an answer that belongs to another request.
#[test]
fn swapped_generations_are_reported() {
    let mut request = generation("g1");
    request.generation = Some("resp_1".to_owned());
    let mut evidence = Evidence {
        requests: vec![request],
        ..Evidence::default()
    };
    let stats = json!({"generations": [{"id": "resp_1", "request": "g2", "started_ms": 1}]});
    with_target(&mut evidence, "e1", TargetKind::Engine, stats);
    assert_eq!(invariants(&evidence), vec![2]);
}

/// Guards against a request that never ended.
#[test]
fn open_request_is_reported() {
    let evidence = Evidence {
        requests: vec![order("k1", vec![SendEnd::Open])],
        ..Evidence::default()
    };
    assert_eq!(invariants(&evidence), vec![2]);
}

/// Guards against double execution, untrue refusals and answers without an execution.
#[rstest]
#[case::ran_twice(vec![answered()], 2, vec![4])]
#[case::ran_twice_over_two_services(vec![answered()], 1, vec![4])]
#[case::untrue_refusal(vec![refused("x", "not_run", None)], 1, vec![3])]
#[case::untrue_after_unknown(
    vec![refused("x", "unknown", None), refused("x", "not_run", None)], 1, vec![3]
)]
#[case::unreachable_but_ran(vec![SendEnd::Unreachable], 1, vec![3])]
#[case::answered_but_not_run(vec![answered()], 0, vec![3])]
#[case::told_ran_but_not_run(vec![refused("x", "ran", None)], 0, vec![3])]
fn untrue_orders_are_reported(
    #[case] ends: Vec<SendEnd>,
    #[case] executions: u64,
    #[case] expected: Vec<u8>,
) {
    let mut evidence = Evidence {
        requests: vec![order("k1", ends)],
        ..Evidence::default()
    };
    let ledger = json!({"ledger": {"k1": executions}});
    with_target(&mut evidence, "s1", TargetKind::Service, ledger.clone());
    if executions == 1 && expected == vec![4] {
        with_target(&mut evidence, "s2", TargetKind::Service, ledger);
    }
    assert_eq!(invariants(&evidence), expected);
}

/// Guards against a temporary refusal that leaves the caller without a time for a new try.
#[test]
fn missing_retry_time_is_reported() {
    let evidence = Evidence {
        requests: vec![order("k1", vec![refused("overloaded", "not_run", None)])],
        ..Evidence::default()
    };
    assert_eq!(invariants(&evidence), vec![3]);
}

/// Guards against work that is sent to a leaving target.
#[rstest]
#[case::late(3_500, vec![5])]
#[case::in_time(2_500, vec![])]
fn late_work_is_reported(#[case] after_ms: u64, #[case] expected: Vec<u8>) {
    let noticed = SystemTime::now();
    let started = noticed + Duration::from_millis(after_ms);
    let since = started.duration_since(SystemTime::UNIX_EPOCH);
    let started_ms = u64::try_from(since.expect("after 1970").as_millis()).expect("fits");
    let mut evidence = Evidence {
        departures: vec![
            Departure {
                target: "e1".to_owned(),
                noticed,
                lag: Duration::ZERO,
            },
            Departure::new("s1", Duration::ZERO),
        ],
        ..Evidence::default()
    };
    let stats = json!({"generations": [{"id": "a", "request": null, "started_ms": started_ms}]});
    with_target(&mut evidence, "e1", TargetKind::Engine, stats);
    let stats = json!({"ledger": {}, "last_refused_after_ms": 10});
    with_target(&mut evidence, "s1", TargetKind::Service, stats);
    assert_eq!(invariants(&evidence), expected);
}

/// Guards against a connection that a healthy or draining daemon breaks; a killed one may.
#[rstest]
#[case::healthy(None, None, vec![6])]
#[case::draining(None, Some("d1"), vec![6])]
#[case::killed(Some("d1"), None, vec![])]
#[case::other_killed(Some("d2"), None, vec![6])]
fn broken_connections_are_reported(
    #[case] killed: Option<&str>,
    #[case] drained: Option<&str>,
    #[case] expected: Vec<u8>,
) {
    let evidence = Evidence {
        outages: killed.into_iter().map(Outage::begin).collect(),
        drains: drained.into_iter().map(Drain::begin).collect(),
        requests: vec![order("k1", vec![SendEnd::Broken("reset".to_owned())])],
        ..Evidence::default()
    };
    assert_eq!(invariants(&evidence), expected);
}

const SECOND: Duration = Duration::from_secs(1);

fn samples(start: Instant, readings: &[(u32, u64)]) -> BTreeMap<String, Vec<RevisionSample>> {
    let samples = readings.iter().map(|(second, revision)| {
        let time = start + SECOND * *second;
        RevisionSample {
            asked: time,
            answered: time,
            revision: *revision,
        }
    });
    BTreeMap::from([("d1#1".to_owned(), samples.collect())])
}

/// Guards against rules that revert or come into force late, with the time of a store outage
/// excused.
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
    let evidence = Evidence {
        applied: vec![AppliedRules {
            revision: 2,
            at: start,
        }],
        samples: samples(start, readings),
        store_outages: outage.into_iter().collect(),
        ..Evidence::default()
    };
    assert_eq!(invariants(&evidence), expected);
}
