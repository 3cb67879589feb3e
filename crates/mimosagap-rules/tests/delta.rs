//! A delta that yields another text than the new one would put unwritten rules in force. It must
//! give exactly the new text, or fail for any base but its own.

use mimosagap_rules::{DeltaError, RulesDelta, unified_diff};
use mimosagap_types::prelude::*;
use rstest::rstest;

#[rstest]
#[case::insert("a\nb\n", "a\nx\nb\n")]
#[case::remove("a\nb\nc\n", "a\nc\n")]
#[case::replace("a\nb\nc\n", "a\nB\nC\n")]
#[case::no_final_newline("a\nb", "a\nb\nc")]
#[case::from_empty("", "a\n")]
#[case::to_empty("a\n", "")]
#[case::carriage_returns("a\r\nb\r\n", "a\r\nc\r\n")]
#[case::same("a\n", "a\n")]
fn applied_delta_gives_the_new_text(#[case] old: &str, #[case] new: &str) {
    let delta = RulesDelta::between(RulesRevision(4), old, new);
    assert_eq!(delta.revision, RulesRevision(5));
    assert_eq!(delta.apply(RulesRevision(4), old).as_deref(), Ok(new));
}

#[test]
fn delta_is_refused_for_another_base() {
    let delta = RulesDelta::between(RulesRevision(4), "a\nkept\n", "b\nkept\n");
    let error = DeltaError::RevisionMismatch {
        text_revision: RulesRevision(3),
        base: RulesRevision(4),
    };
    assert_eq!(delta.apply(RulesRevision(3), "a\nkept\n"), Err(error));
    assert_eq!(
        delta.apply(RulesRevision(4), "a\nother\n"),
        Err(DeltaError::ContentMismatch)
    );
    assert_eq!(
        delta.apply(RulesRevision(4), ""),
        Err(DeltaError::ContentMismatch)
    );
}

#[test]
fn unified_diff_shows_both_sides() {
    let text = unified_diff("a\nb\n", "a\nc\n");
    assert!(text.contains("-b") && text.contains("+c"), "{text}");
}
