//! A burst that fills the memory of all engines.

use std::time::Duration;

use mimosagap_routing::waiting::{Waiting, WaitingList, patience};

const TARGET: Duration = Duration::from_millis(1800);

fn arrive(list: &mut WaitingList, ticket: u64, rank: usize, at_ms: u64) -> Waiting {
    let waiting = Waiting::new(ticket, rank, Duration::from_millis(at_ms), TARGET);
    list.push(waiting);
    waiting
}

#[test]
fn the_most_urgent_goes_first_then_the_oldest() {
    let mut list = WaitingList::default();
    arrive(&mut list, 1, 1, 0);
    arrive(&mut list, 2, 0, 10);
    arrive(&mut list, 3, 0, 20);
    for ticket in [2, 3, 1] {
        assert!(list.is_first(ticket));
        list.remove(ticket);
    }
    assert!(list.is_empty());
}

#[test]
fn a_request_is_turned_away_while_it_can_still_be_on_time_elsewhere() {
    let mut list = WaitingList::default();
    let waiting = arrive(&mut list, 1, 1, 0);
    assert!(waiting.until < TARGET);
    assert_eq!(waiting.until, waiting.arrived + patience(TARGET));
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
    assert!(list.is_behind(1));
    assert!(!list.is_behind(0));
}
