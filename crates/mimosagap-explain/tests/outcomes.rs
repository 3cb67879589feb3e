//! Each request is counted with one outcome, whatever happened to its attempts.

use mimosagap_explain::{LogSet, SummaryOptions, count_outcomes};
use rstest::rstest;

/// Counts a log whose lines have the given events and fields and are 100 ms apart. Returns the
/// labels of the outcomes of generations and of calls.
fn outcome_labels(lines: &[(&str, &str)]) -> (Vec<String>, Vec<String>) {
    let text: Vec<String> = lines
        .iter()
        .zip(0..)
        .map(|((event, fields), number)| {
            let time_ms = 1000 + 100 * number;
            format!(
                "{{\"time_ms\":{time_ms},\"boot_ms\":{time_ms},\"event\":\"{event}\",{fields}}}"
            )
        })
        .collect();
    let mut logs = LogSet::default();
    let text = text.join("\n");
    logs.read_log("h", text.as_bytes())
        .expect("memory can be read");
    let counts = count_outcomes(&logs, SummaryOptions::default());
    let labels = |outcomes: std::collections::BTreeMap<mimosagap_explain::RequestOutcome, u64>| {
        outcomes
            .keys()
            .map(mimosagap_explain::RequestOutcome::label)
            .collect()
    };
    (labels(counts.generations), labels(counts.calls))
}

const SENT: (&str, &str) = ("sent", r#""id":"a","request":"m","tokens":3000"#);
const FIRST_EVENT: (&str, &str) = (
    "first_event",
    r#""id":"a","after_ms":400,"expected_ms":380"#,
);

#[rstest]
#[case::served(
    &[SENT, FIRST_EVENT, ("stream_ended", r#""id":"a","how":"complete","moves":0,"longest_gap_ms":40"#)],
    "served"
)]
#[case::late_first_event(
    &[SENT, ("first_event", r#""id":"a","after_ms":2400,"expected_ms":380"#),
      ("stream_ended", r#""id":"a","how":"complete","moves":0,"longest_gap_ms":40"#)],
    "late: first event"
)]
#[case::paused_in_move(
    &[SENT, FIRST_EVENT, ("stream_ended", r#""id":"a","how":"complete","moves":1,"longest_gap_ms":400"#)],
    "late: pause in a move"
)]
#[case::lost_without_copy(
    &[SENT, FIRST_EVENT, ("stream_ended", r#""id":"a","how":"broken","moves":0"#)],
    "lost: engine ended, no copy"
)]
#[case::copy_incomplete(
    &[SENT, FIRST_EVENT, ("move", r#""id":"a","step":"no_room""#), ("move", r#""id":"a","step":"copy""#),
      ("stream_ended", r#""id":"a","how":"broken","moves":0"#)],
    "lost: engine ended, copy too late"
)]
#[case::copies_refused(
    &[SENT, FIRST_EVENT, ("move", r#""id":"a","step":"copy""#), ("move", r#""id":"a","step":"no_room""#),
      ("stream_ended", r#""id":"a","how":"broken","moves":0"#)],
    "lost: engine ended, copies refused"
)]
#[case::host_ended(&[SENT, FIRST_EVENT], "lost: host ended")]
#[case::served_after_refusal(
    &[("refused", r#""id":"a","request":"m","reason":"overload""#),
      ("sent", r#""id":"b","request":"m","tokens":3000"#),
      ("stream_ended", r#""id":"b","how":"complete","moves":0,"longest_gap_ms":40"#)],
    "served after a refusal: overload"
)]
fn generation_has_one_outcome(#[case] lines: &[(&str, &str)], #[case] expected: &str) {
    assert_eq!(outcome_labels(lines), (vec![expected.to_owned()], vec![]));
}

#[test]
fn calls_are_counted_separately() {
    let lines = [
        ("sent", r#""id":"a","request":"m","tokens":0"#),
        ("answered", r#""id":"a","target":"i","status":500"#),
    ];
    let expected = vec!["failed: target_answered".to_owned()];
    assert_eq!(outcome_labels(&lines), (vec![], expected));
}
