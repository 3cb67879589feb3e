//! A burst that fills the memory of all engines.

use std::time::Duration;

use mimosagap_routing::wait_queue::{QueuedRequest, WaitQueue, max_queue_time};

const TARGET: Duration = Duration::from_millis(1800);

fn arrive(list: &mut WaitQueue, ticket: u64, rank: usize, at_ms: u64) -> QueuedRequest {
    let waiting = QueuedRequest::new(ticket, rank, Duration::from_millis(at_ms), TARGET);
    list.push(waiting);
    waiting
}

#[test]
fn the_most_urgent_goes_first_then_the_oldest() {
    let mut list = WaitQueue::default();
    arrive(&mut list, 1, 1, 0);
    arrive(&mut list, 2, 0, 10);
    arrive(&mut list, 3, 0, 20);
    for ticket in [2, 3, 1] {
        assert!(list.is_front(ticket));
        list.remove(ticket);
    }
    assert!(list.is_empty());
}

#[test]
fn a_request_is_turned_away_while_it_can_still_be_on_time_elsewhere() {
    let mut list = WaitQueue::default();
    let waiting = arrive(&mut list, 1, 1, 0);
    assert!(waiting.expires_at < TARGET);
    assert_eq!(
        waiting.expires_at,
        waiting.arrived_at + max_queue_time(TARGET)
    );
}

#[test]
fn a_request_without_prospect_is_turned_away_at_once() {
    let mut list = WaitQueue::default();
    assert!(list.can_admit(1, 0));
    arrive(&mut list, 1, 1, 0);
    assert!(!list.can_admit(1, 0));
    // More running requests free more places in the time that it may wait.
    assert!(list.can_admit(1, 10));
    // Less urgent ones ahead do not matter to a more urgent one.
    assert!(list.can_admit(0, 0));
}

#[test]
fn a_newcomer_does_not_pass_those_who_wait() {
    let mut list = WaitQueue::default();
    arrive(&mut list, 1, 1, 0);
    assert!(list.must_queue(1));
    assert!(!list.must_queue(0));
}
