//! Reports of a request over several hosts and attempts.

use mimosagap_explain::{ExplainError, ExplainOptions, LogSet, RequestReport, explain};
use rstest::rstest;

/// Attempt `a` fails with its target, `b` is its retry at another host and succeeds, `c` is an
/// equal request after that. The other lines are related events, or events of other requests and
/// targets.
const FIRST_HOST: &str = r#"
{"time_ms":49900,"boot_ms":0,"event":"started","host":"h1","version":"0"}
{"time_ms":60000,"boot_ms":10100,"event":"sent","id":"a","request":"77","target":"i-1","attempt":1}
{"time_ms":60010,"boot_ms":10110,"event":"sent","id":"other","request":"78","target":"i-2","attempt":1}
{"time_ms":60300,"boot_ms":10400,"event":"attempt_failed","id":"a","target":"i-1","cause":"broken"}
{"time_ms":60300,"boot_ms":10400,"event":"refused","id":"a","request":"77","reason":"target_broke","status":502}
{"time_ms":61000,"boot_ms":11100,"event":"lines_left_out","kind":"sent","count":4}
"#;
const SECOND_HOST: &str = r#"
{"time_ms":49900,"boot_ms":0,"event":"started","host":"h2","version":"0"}
{"time_ms":59400,"boot_ms":9500,"event":"target_leaving","target":"i-1","source":"entry"}
{"time_ms":59500,"boot_ms":9600,"event":"target_leaving","target":"i-9","source":"entry"}
{"time_ms":60290,"boot_ms":10390,"event":"attempt_failed","id":"x","target":"i-1","cause":"broken"}
{"time_ms":60295,"boot_ms":10395,"event":"attempt_failed","id":"y","target":"i-1","cause":"broken"}
{"time_ms":60900,"boot_ms":11000,"event":"sent","id":"b","request":"77","target":"i-2","attempt":1}
{"time_ms":60950,"boot_ms":11050,"event":"answered","id":"b","target":"i-2","status":200}
{"time_ms":60960,"boot_ms":11060,"event":"sent","id":"c","request":"77","target":"i-2","attempt":1}
"#;

fn logs() -> LogSet {
    let mut logs = LogSet::default();
    for log in [SECOND_HOST, FIRST_HOST] {
        logs.read_log("file", log.as_bytes())
            .expect("memory can be read");
    }
    logs
}

fn attempt_ids(report: &RequestReport) -> Vec<&str> {
    report
        .attempts
        .iter()
        .map(|attempt| attempt.id.as_str())
        .collect()
}

#[rstest]
#[case::id_of_failed_attempt("a")]
#[case::id_of_retry("b")]
fn failed_attempt_and_its_retry_are_one_request(#[case] id: &str) {
    let report = explain(&logs(), id, ExplainOptions::default()).expect("the id is there");
    assert_eq!(attempt_ids(&report), ["a", "b"]);
    let cause = report.attempts[0].cause().expect("it failed");
    assert_eq!(cause.name, "target_broke");
    assert!(report.attempts[1].cause().is_none(), "it was served");
}

#[test]
fn equal_request_after_a_success_is_a_new_request() {
    let report = explain(&logs(), "c", ExplainOptions::default()).expect("the id is there");
    assert_eq!(attempt_ids(&report), ["c"]);
    assert!(report.warnings[0].contains("has no end"), "{report:?}");
}

#[test]
fn events_of_a_target_are_reported_from_any_host() {
    let report = explain(&logs(), "a", ExplainOptions::default()).expect("the id is there");
    let related: Vec<(&str, Option<&str>)> = report
        .related_records
        .iter()
        .map(|record| (record.event.as_str(), record.text_field("target")))
        .collect();
    assert_eq!(
        related,
        [
            ("target_leaving", Some("i-1")),
            ("attempt_failed", Some("i-1")),
            ("lines_left_out", None)
        ]
    );
    assert!(report.warnings[0].contains("left out 4 lines"));
}

#[test]
fn unknown_id_is_an_error_with_the_number_of_omitted_lines() {
    let error = explain(&logs(), "zz", ExplainOptions::default()).expect_err("no line has it");
    let expected = ExplainError::NotFound {
        id: "zz".to_owned(),
        omitted_lines: 4,
    };
    assert_eq!(error, expected);
    assert!(error.to_string().contains("all hosts"), "{error}");
}

/// A refused request was never sent, so only the limits of the targets that it could not use explain
/// it. A limit that changed is reported with each value.
#[test]
fn a_request_refused_for_a_rate_limit_shows_the_limits() {
    let lines = [
        r#"{"time_ms":1000,"boot_ms":10,"event":"target_rate_limit","target":"i-1","source":"host","per_second":3.7}"#,
        r#"{"time_ms":1500,"boot_ms":510,"event":"target_rate_limit","target":"i-1","source":"host","per_second":2.0}"#,
        r#"{"time_ms":2000,"boot_ms":1010,"event":"rate_permit","id":"r","target":"i-1","result":"held","keeper":"","per_second":2.0,"named_ms":1000,"wait_ms":0,"ask_in_ms":300}"#,
        r#"{"time_ms":2000,"boot_ms":1010,"event":"refused","id":"r","request":"","reason":"rate_limited","status":503,"after_ms":0}"#,
    ];
    let mut logs = LogSet::default();
    logs.read_log("h", lines.join("\n").as_bytes())
        .expect("memory can be read");
    let report = explain(&logs, "r", ExplainOptions::default()).expect("the id is there");
    let limits: Vec<Option<f64>> = report
        .related_records
        .iter()
        .filter(|record| record.event == "target_rate_limit")
        .map(|record| record.fields["per_second"].as_f64())
        .collect();
    assert_eq!(limits, [Some(3.7), Some(2.0)]);
    assert_eq!(report.attempts[0].records.len(), 2);
}

/// A request that is refused for a part of its prompt was never sent, and the crashes under that part
/// happened under other requests, at other hosts and long before.
#[test]
fn a_request_refused_for_a_part_shows_the_crashes_under_it() {
    let mut logs = LogSet::default();
    let log = [
        r#"{"time_ms":1000,"boot_ms":10,"event":"started","host":"h1","version":"0"}"#,
        r#"{"time_ms":2000,"boot_ms":1010,"event":"target_crashed","target":"i-1","id":"x","request":"1","parts":"aa,bad,x","events":0}"#,
        r#"{"time_ms":2000,"boot_ms":1010,"event":"target_crashed","target":"i-2","id":"y","request":"2","parts":"aa,cc,y","events":9}"#,
        r#"{"time_ms":3000,"boot_ms":2010,"event":"quarantined","what":"parts bad","crashes":3,"source":"crash"}"#,
        r#"{"time_ms":3000,"boot_ms":2010,"event":"quarantined","what":"parts worse","crashes":3,"source":"crash"}"#,
        r#"{"time_ms":900000,"boot_ms":899010,"event":"refused","id":"r","request":"3","suspect":"parts bad","reason":"quarantined","status":502,"after_ms":0}"#,
    ];
    logs.read_log("file", log.join("\n").as_bytes())
        .expect("memory can be read");
    let report = explain(&logs, "r", ExplainOptions::default()).expect("the id is there");
    let related: Vec<(&str, Option<&str>)> = report
        .related_records
        .iter()
        .map(|record| {
            let what = record.text_field("target").or(record.text_field("what"));
            (record.event.as_str(), what)
        })
        .collect();
    assert_eq!(
        related,
        [
            ("target_crashed", Some("i-1")),
            ("quarantined", Some("parts bad"))
        ]
    );
}
