//! A burst that fills the memory of all engines.

use std::time::Duration;

use mimosagap_routing::waiting::{Waiting, WaitingList, WaitingStage, patience};

const TARGET: Duration = Duration::from_millis(1800);

/// The time that a quote has.
const LEFT: Duration = Duration::from_secs(39);

/// Callers leave after this many targets without an answer.
const CALLER_PATIENCE: u32 = 4;

fn arrive(list: &mut WaitingList, ticket: u64, rank: usize, at_ms: u64) -> Waiting {
    let waiting = Waiting::new(ticket, rank, Duration::from_millis(at_ms), TARGET, LEFT);
    list.push(waiting);
    waiting
}

fn first(list: &WaitingList, at_ms: u64) -> Option<u64> {
    let first = list.first(Duration::from_millis(at_ms));
    first.map(|waiting| waiting.ticket)
}

#[test]
fn the_most_urgent_goes_first_then_the_oldest() {
    let mut list = WaitingList::default();
    arrive(&mut list, 1, 1, 0);
    arrive(&mut list, 2, 0, 10);
    arrive(&mut list, 3, 0, 20);
    for ticket in [2, 3, 1] {
        assert_eq!(first(&list, 100), Some(ticket));
        list.remove(ticket);
    }
    assert!(list.is_empty());
}

/// Load pattern: a crowd that is somewhat larger than the engines can serve, for many seconds.
/// Everyone who was turned away came back late and took the place of one who could be in time.
#[test]
fn a_late_request_lets_those_go_first_that_can_be_in_time() {
    let mut list = WaitingList::default();
    let late = arrive(&mut list, 1, 0, 0);
    let now = patience(TARGET).as_millis().try_into().unwrap();
    arrive(&mut list, 2, 1, now);
    assert_eq!(late.stage(Duration::from_millis(now)), WaitingStage::Late);
    assert_eq!(first(&list, now), Some(2));
    assert!(!list.is_behind(0, Duration::from_millis(now)));
}

/// It is turned away before its caller leaves, with time for its answer.
#[test]
fn a_late_request_does_not_wait_for_ever() {
    let quote = Waiting::new(1, 1, Duration::ZERO, TARGET, LEFT);
    assert!(quote.until < TARGET * CALLER_PATIENCE);
    let short = Waiting::new(2, 0, Duration::ZERO, TARGET, TARGET * 3);
    assert!(short.until <= TARGET * 3 / 2);
    let hurried = Waiting::new(3, 0, Duration::ZERO, TARGET, TARGET / 2);
    assert_eq!(hurried.until, patience(TARGET));
}

#[test]
fn a_request_without_prospect_is_turned_away_at_once() {
    let mut list = WaitingList::default();
    assert!(list.has_prospect(1, 0));
    arrive(&mut list, 1, 1, 0);
    assert!(!list.has_prospect(1, 0));
    // More running requests free more places in the time that it may wait.
    assert!(list.has_prospect(1, 10));
    // Less urgent ones ahead do not matter to a more urgent one.
    assert!(list.has_prospect(0, 0));
}

#[test]
fn a_newcomer_does_not_pass_those_who_wait() {
    let mut list = WaitingList::default();
    arrive(&mut list, 1, 1, 0);
    assert!(list.is_behind(1, Duration::ZERO));
    assert!(!list.is_behind(0, Duration::ZERO));
}
