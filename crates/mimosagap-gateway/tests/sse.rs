//! Splitting a stream into events: arbitrary chunks, incomplete and oversized events.

use mimosagap_gateway::sse::{EventSplitter, EventTooLong, MAX_EVENT_BYTES};
use rstest::rstest;

type IdAndBytes = (Option<u64>, Vec<u8>);

fn split_chunks(chunks: &[&str]) -> (Vec<IdAndBytes>, bool) {
    let mut splitter = EventSplitter::default();
    let mut events = Vec::new();
    for chunk in chunks {
        splitter.push(chunk.as_bytes());
        while let Some(event) = splitter.next_event().expect("no event is too long") {
            events.push((event.id, event.bytes.to_vec()));
        }
    }
    (events, splitter.is_empty())
}

#[rstest]
#[case::whole(&["id: 1\ndata: a\n\n"])]
#[case::in_two(&["id: 1\nda", "ta: a\n\n"])]
#[case::between_line_ends(&["id: 1\ndata: a\n", "\n"])]
fn an_event_is_returned_once_it_is_complete(#[case] chunks: &[&str]) {
    let (events, is_empty) = split_chunks(chunks);
    assert_eq!(events, [(Some(1), b"id: 1\ndata: a\n\n".to_vec())]);
    assert!(is_empty);
}

#[test]
fn the_position_of_a_cut_does_not_change_the_events() {
    let text = "id: 1\r\ndata: a\r\n\r\nmodel: 2\nid: 2\ndata: b\n\ndata: c\n\n";
    let uncut = split_chunks(&[text]);
    assert_eq!(uncut.0.len(), 3);
    assert_eq!(uncut.0[1].0, Some(2));
    for cut in 0..text.len() {
        assert_eq!(
            split_chunks(&[&text[..cut], &text[cut..]]),
            uncut,
            "cut at {cut}"
        );
    }
}

#[test]
fn an_incomplete_event_is_buffered() {
    let (events, is_empty) = split_chunks(&["id: 1\ndata: a\n\nid: 2\nda"]);
    assert_eq!(events.len(), 1);
    assert!(!is_empty);
}

/// Hundreds of streams may each buffer an incomplete event. With a limit of a megabyte per event,
/// they exceed the memory of a small host.
#[test]
fn an_oversized_event_is_rejected() {
    let mut splitter = EventSplitter::default();
    let chunk = [b'x'; 1 << 10];
    for _ in 0..MAX_EVENT_BYTES / chunk.len() {
        splitter.push(&chunk);
        assert_eq!(splitter.next_event(), Ok(None));
    }
    splitter.push(&chunk);
    assert_eq!(splitter.next_event(), Err(EventTooLong));
}
