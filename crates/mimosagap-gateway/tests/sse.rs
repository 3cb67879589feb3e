//! Streams that arrive in pieces, end early or never end an event.

use mimosagap_gateway::sse::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};
use rstest::rstest;

type IdAndBytes = (Option<u64>, Vec<u8>);

fn split(pieces: &[&str]) -> (Vec<IdAndBytes>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for piece in pieces {
        splitter.push(piece.as_bytes());
        while let Some(event) = splitter.next_event().expect("no event is too long") {
            events.push((event.id, event.bytes.to_vec()));
        }
    }
    (events, splitter.is_empty())
}

#[rstest]
#[case::whole(&["id: 1\ndata: a\n\n"])]
#[case::in_two(&["id: 1\nda", "ta: a\n\n"])]
#[case::between_the_line_ends(&["id: 1\ndata: a\n", "\n"])]
fn an_event_is_taken_when_it_is_whole(#[case] pieces: &[&str]) {
    let (events, is_empty) = split(pieces);
    assert_eq!(events, [(Some(1), b"id: 1\ndata: a\n\n".to_vec())]);
    assert!(is_empty);
}

#[test]
fn every_cut_gives_the_same_events() {
    let text = "id: 1\r\ndata: a\r\n\r\nmodel: 2\nid: 2\ndata: b\n\ndata: c\n\n";
    let whole = split(&[text]);
    assert_eq!(whole.0.len(), 3);
    assert_eq!(whole.0[1].0, Some(2));
    for cut in 0..text.len() {
        assert_eq!(split(&[&text[..cut], &text[cut..]]), whole, "cut at {cut}");
    }
}

#[test]
fn the_beginning_of_an_event_is_kept_back() {
    let (events, is_empty) = split(&["id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!is_empty);
}

/// Hundreds of streams may each keep an event that is not whole; with a megabyte each they took
/// more than the memory of a small host.
#[test]
fn an_event_without_end_is_refused() {
    let mut splitter = EventSplitter::default();
    let part = [b'x'; 1 << 10];
    for _ in 0..MAX_EVENT_BYTES / part.len() {
        splitter.push(&part);
        assert_eq!(splitter.next_event(), Ok(None));
    }
    splitter.push(&part);
    assert_eq!(splitter.next_event(), Err(EventTooLong));
}
