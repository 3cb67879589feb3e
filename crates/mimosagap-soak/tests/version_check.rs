//! The checks that the soak holds streams against: that joined streams and unserved resumptions are
//! found, and sound ones are not.

use mimosagap_soak::transcript::StreamTranscript;
use mimosagap_soak::version_check::{StreamAttempt, VersionChecker, VersionOutcome};
use rstest::rstest;

/// Events of a whole stream.
const STREAM_EVENTS: u64 = 40;

fn event(number: u64, id: &str, version: &str) -> String {
    format!("id: {number}\ndata: {id} {version}\n\n")
}

/// A stream that goes on in another attempt, at the version given.
fn resumed_transcript(version: &str) -> StreamTranscript {
    let mut transcript = StreamTranscript::default();
    let partial = format!("{}id: 2\nda", event(1, "a", "v1"));
    transcript.push("a", partial.as_bytes()).unwrap();
    transcript.discard_partial();
    for number in 2..=STREAM_EVENTS {
        let event = event(number, "b", version);
        transcript.push("b", event.as_bytes()).unwrap();
    }
    transcript
}

#[rstest]
#[case::same_version("v1", false)]
#[case::another_version("v2", true)]
fn a_joined_stream_is_found_over_two_attempts(#[case] version: &str, #[case] is_joined: bool) {
    let transcript = resumed_transcript(version);
    assert_eq!(transcript.is_joined(), is_joined);
    assert!(transcript.is_complete(STREAM_EVENTS));
    assert_eq!(transcript.first_attempt(), Some("a"));
}

#[rstest]
#[case::missing(3)]
#[case::repeated(1)]
fn an_event_out_of_order_is_an_error(#[case] number: u64) {
    let mut transcript = StreamTranscript::default();
    transcript
        .push("a", event(1, "a", "v1").as_bytes())
        .unwrap();
    let event = event(number, "a", "v1");
    assert!(transcript.push("a", event.as_bytes()).is_err());
}

/// The outcome of new streams that all begin, and of resumed ones of which some go on.
fn outcome(resumed: usize, went_on: usize, serving_engines: usize) -> VersionOutcome {
    let mut checker = VersionChecker::default();
    for number in 0..resumed {
        checker.record_attempt(StreamAttempt {
            were_hosts_connected: true,
            has_event: true,
            serving_engines: None,
        });
        checker.record_attempt(StreamAttempt {
            were_hosts_connected: true,
            has_event: number < went_on,
            serving_engines: Some(serving_engines),
        });
    }
    checker.outcome()
}

#[rstest]
#[case::half_go_on(12, 6, 2, 0)]
#[case::fewer_go_on(12, 5, 2, 1)]
#[case::too_few_to_judge(11, 0, 2, 0)]
#[case::one_engine_serves(12, 0, 1, 0)]
fn too_few_resumed_streams_go_on(
    #[case] resumed: usize,
    #[case] went_on: usize,
    #[case] serving_engines: usize,
    #[case] violations: usize,
) {
    let outcome = outcome(resumed, went_on, serving_engines);
    assert_eq!(outcome.violations().len(), violations, "{outcome:?}");
}

/// Around a kill, hosts have not heard yet what the store holds.
#[test]
fn attempts_around_a_disruption_do_not_count() {
    let mut checker = VersionChecker::default();
    for _ in 0..20 {
        checker.record_attempt(StreamAttempt {
            were_hosts_connected: false,
            has_event: false,
            serving_engines: Some(2),
        });
    }
    let outcome = checker.outcome();
    assert_eq!((outcome.all_resumed.sent, outcome.resumed.sent), (20, 0));
    assert!(outcome.violations().is_empty());
}

#[rstest]
#[case::tolerated(2, 0)]
#[case::too_many(3, 1)]
fn joined_streams_are_counted(#[case] joined: usize, #[case] violations: usize) {
    let mut checker = VersionChecker::default();
    for _ in 0..joined {
        checker.record_joined("a");
    }
    assert_eq!(checker.outcome().violations().len(), violations);
}
