//! A violation that the checker misses lets a faulty run pass. It must find gaps, repeats, altered
//! tokens and tokens of another generation.

use mimosagap_load::check::{EventKind, StreamChecker};
use rstest::rstest;

fn created_event() -> String {
    r#"{"type":"response.created","sequence_number":0,"response":{"id":"key"}}"#.to_owned()
}

fn token_event(sequence: u32, text: &str) -> String {
    format!(
        r#"{{"type":"response.output_text.delta","sequence_number":{sequence},"delta":"{text}"}}"#
    )
}

fn count_violations(events: &[String]) -> usize {
    let mut checker = StreamChecker::default();
    for event in events {
        checker.check_event(event).unwrap();
    }
    checker.violations.len()
}

#[rstest]
#[case::complete(vec![created_event(), token_event(1, "a:1 "), token_event(2, "a:2 ")], 0)]
#[case::gap(vec![created_event(), token_event(1, "a:1 "), token_event(3, "a:3 ")], 1)]
#[case::repeated(vec![created_event(), token_event(1, "a:1 "), token_event(1, "a:1 ")], 1)]
#[case::other_generation(vec![created_event(), token_event(1, "a:1 "), token_event(2, "b:2 ")], 1)]
#[case::wrong_token_number(vec![created_event(), token_event(1, "a:2 ")], 1)]
#[case::no_created_event(vec![token_event(1, "a:1 ")], 1)]
#[case::malformed_token(vec![created_event(), token_event(1, "hello ")], 1)]
fn violations_are_counted(#[case] events: Vec<String>, #[case] expected: usize) {
    assert_eq!(count_violations(&events), expected);
}

#[rstest]
#[case(r#"{"type":"response.failed","sequence_number":0,"error":{"code":"overloaded","outcome":"not_run"}}"#)]
#[case(r#"{"type":"response.failed","sequence_number":0,"response":{"error":{"code":"overloaded","outcome":"not_run"}}}"#)]
fn refusal_in_a_stream_has_code_and_outcome(#[case] event: &str) {
    let mut checker = StreamChecker::default();
    let kind = checker.check_event(event).unwrap();
    let EventKind::Failed { code, outcome } = kind else {
        panic!("{kind:?}");
    };
    assert_eq!(code, "overloaded");
    assert!(outcome.is_some());
    assert!(checker.violations.is_empty());
}

#[test]
fn unstreamed_response_is_checked_token_by_token() {
    let mut checker = StreamChecker::default();
    assert_eq!(checker.check_text("a:1 a:2 a:3 "), 3);
    assert!(checker.violations.is_empty());
    checker.check_text("a:1 b:2 ");
    assert_eq!(checker.violations.len(), 1);
}

#[test]
fn short_response_is_a_violation() {
    let mut checker = StreamChecker::default();
    checker.check_token_count(4, 5);
    assert_eq!(checker.violations.len(), 1);
}
