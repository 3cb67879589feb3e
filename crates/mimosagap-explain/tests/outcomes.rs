//! Every request has one fate, whatever its tries met.

use mimosagap_explain::{LogSet, SummaryOptions, count_outcomes};
use rstest::rstest;

/// Lines of one request: event and further fields, a tenth of a second apart.
fn fates(lines: &[(&str, &str)]) -> (Vec<String>, Vec<String>) {
    let text: Vec<String> = lines
        .iter()
        .zip(0..)
        .map(|((event, fields), number)| {
            let at = 1000 + 100 * number;
            format!("{{\"time_ms\":{at},\"boot_ms\":{at},\"event\":\"{event}\",{fields}}}")
        })
        .collect();
    let mut logs = LogSet::default();
    let text = text.join("\n");
    logs.read_log("h", text.as_bytes())
        .expect("memory can be read");
    let counts = count_outcomes(&logs, SummaryOptions::default());
    let names = |fates: std::collections::BTreeMap<mimosagap_explain::RequestOutcome, u64>| {
        fates
            .keys()
            .map(mimosagap_explain::RequestOutcome::label)
            .collect()
    };
    (names(counts.generations), names(counts.calls))
}

const SENT: (&str, &str) = ("sent", r#""id":"a","request":"m","tokens":3000"#);
const FIRST: (&str, &str) = (
    "first_event",
    r#""id":"a","after_ms":400,"expected_ms":380"#,
);

#[rstest]
#[case::served(
    &[SENT, FIRST, ("stream_ended", r#""id":"a","how":"complete","moves":0,"longest_gap_ms":40"#)],
    "served"
)]
#[case::late(
    &[SENT, ("first_event", r#""id":"a","after_ms":2400,"expected_ms":380"#),
      ("stream_ended", r#""id":"a","how":"complete","moves":0,"longest_gap_ms":40"#)],
    "late: first event"
)]
#[case::paused(
    &[SENT, FIRST, ("stream_ended", r#""id":"a","how":"complete","moves":1,"longest_gap_ms":400"#)],
    "late: pause in a move"
)]
#[case::lost_without_copy(
    &[SENT, FIRST, ("stream_ended", r#""id":"a","how":"broken","moves":0"#)],
    "lost: engine ended, no copy"
)]
#[case::copy_too_late(
    &[SENT, FIRST, ("move", r#""id":"a","step":"no_room""#), ("move", r#""id":"a","step":"copy""#),
      ("stream_ended", r#""id":"a","how":"broken","moves":0"#)],
    "lost: engine ended, copy too late"
)]
#[case::copies_refused(
    &[SENT, FIRST, ("move", r#""id":"a","step":"copy""#), ("move", r#""id":"a","step":"no_room""#),
      ("stream_ended", r#""id":"a","how":"broken","moves":0"#)],
    "lost: engine ended, copies refused"
)]
#[case::host_ended(&[SENT, FIRST], "lost: host ended")]
#[case::came_back(
    &[("refused", r#""id":"a","request":"m","reason":"overload""#),
      ("sent", r#""id":"b","request":"m","tokens":3000"#),
      ("stream_ended", r#""id":"b","how":"complete","moves":0,"longest_gap_ms":40"#)],
    "served after a refusal: overload"
)]
fn a_generation_has_one_fate(#[case] lines: &[(&str, &str)], #[case] expected: &str) {
    assert_eq!(fates(lines), (vec![expected.to_owned()], vec![]));
}

#[test]
fn a_call_is_counted_apart() {
    let lines = [
        ("sent", r#""id":"a","request":"m","tokens":0"#),
        ("answered", r#""id":"a","target":"i","status":500"#),
    ];
    let expected = vec!["failed: target_answered".to_owned()];
    assert_eq!(fates(&lines), (vec![], expected));
}
