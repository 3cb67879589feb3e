//! The cause that is derived from each kind of terminal record.

use mimosagap_explain::{FailureCause, LogRecord, LogSet, MayHaveRun};
use mimosagap_routing::refusal::RefusalReason;
use rstest::rstest;

fn parse_record(fields: &str) -> LogRecord {
    let line = format!("{{\"time_ms\":1000,\"boot_ms\":10,\"id\":\"a\",{fields}}}");
    let mut logs = LogSet::default();
    logs.read_log("h", line.as_bytes())
        .expect("memory can be read");
    logs.records()[0].clone()
}

#[test]
fn refusal_cause_agrees_with_its_reason_and_status() {
    for reason in RefusalReason::ALL {
        let line = format!("\"event\":\"refused\",\"reason\":\"{}\"", reason.name());
        let cause = FailureCause::of(&parse_record(&line)).expect("a refusal is a failure");
        assert_eq!(cause.name, reason.name());
        if matches!(reason.status(), 503 | 429) {
            assert_eq!(cause.may_have_run, MayHaveRun::No, "{reason:?}");
        }
        if matches!(
            reason,
            RefusalReason::DeadlineAfterSend | RefusalReason::TargetAborted
        ) {
            assert_eq!(cause.may_have_run, MayHaveRun::Unknown, "{reason:?}");
        }
    }
}

#[rstest]
#[case::served(r#""event":"answered","target":"i-1","status":200"#, None)]
#[case::error_status(
    r#""event":"answered","target":"i-1","status":500"#,
    Some("target_answered")
)]
#[case::complete_stream(r#""event":"stream_ended","how":"complete","last_event":9"#, None)]
#[case::broken_stream(
    r#""event":"stream_ended","how":"broken","last_event":9"#,
    Some("stream_broken")
)]
#[case::caller_left_during_stream(
    r#""event":"stream_ended","how":"caller_left","last_event":9"#,
    Some("stream_caller_left")
)]
#[case::caller_left_before_response(r#""event":"caller_left","after_ms":7"#, Some("caller_left"))]
#[case::unknown_reason(r#""event":"refused","reason":"too_blue""#, Some("too_blue"))]
#[case::not_terminal(r#""event":"sent","target":"i-1""#, None)]
fn terminal_record_has_its_cause(#[case] line: &str, #[case] expected: Option<&str>) {
    let cause = FailureCause::of(&parse_record(line));
    assert_eq!(cause.map(|cause| cause.name).as_deref(), expected);
}
