//! The check must find every broken promise of a stream, or runs would pass that are not whole.

use mimosagap_load::check::{EventMeaning, StreamCheck};
use rstest::rstest;

fn created() -> String {
    r#"{"type":"response.created","sequence_number":0,"response":{"id":"key"}}"#.to_owned()
}

fn token(sequence: u32, text: &str) -> String {
    format!(
        r#"{{"type":"response.output_text.delta","sequence_number":{sequence},"delta":"{text}"}}"#
    )
}

fn violations(events: &[String]) -> usize {
    let mut check = StreamCheck::default();
    for event in events {
        check.apply(event).unwrap();
    }
    check.violations.len()
}

#[rstest]
#[case::whole(vec![created(), token(1, "a:1 "), token(2, "a:2 ")], 0)]
#[case::gap(vec![created(), token(1, "a:1 "), token(3, "a:3 ")], 1)]
#[case::repeated(vec![created(), token(1, "a:1 "), token(1, "a:1 ")], 1)]
#[case::other_origin(vec![created(), token(1, "a:1 "), token(2, "b:2 ")], 1)]
#[case::changed_text(vec![created(), token(1, "a:2 ")], 1)]
#[case::no_start(vec![token(1, "a:1 ")], 1)]
#[case::strange_text(vec![created(), token(1, "hello ")], 1)]
fn violations_are_counted(#[case] events: Vec<String>, #[case] expected: usize) {
    assert_eq!(violations(&events), expected);
}

#[rstest]
#[case(r#"{"type":"response.failed","sequence_number":0,"error":{"code":"overloaded","outcome":"not_run"}}"#)]
#[case(r#"{"type":"response.failed","sequence_number":0,"response":{"error":{"code":"overloaded","outcome":"not_run"}}}"#)]
fn refusals_in_a_stream_name_their_cause(#[case] event: &str) {
    let mut check = StreamCheck::default();
    let meaning = check.apply(event).unwrap();
    let EventMeaning::Failed { code, outcome } = meaning else {
        panic!("{meaning:?}");
    };
    assert_eq!(code, "overloaded");
    assert!(outcome.is_some());
    assert!(check.violations.is_empty());
}

#[test]
fn whole_answers_are_checked_token_by_token() {
    let mut check = StreamCheck::default();
    assert_eq!(check.apply_whole("a:1 a:2 a:3 "), 3);
    assert!(check.violations.is_empty());
    check.apply_whole("a:1 b:2 ");
    assert_eq!(check.violations.len(), 1);
}

#[test]
fn a_short_answer_is_a_violation() {
    let mut check = StreamCheck::default();
    check.check_length(4, 5);
    assert_eq!(check.violations.len(), 1);
}
