//! Requests that wait after a burst has filled the KV cache of all engines.

use std::time::Duration;

use mimosagap_routing::wait_queue::{QueuedRequest, WaitQueue, max_queue_time};

const LATENCY_OBJECTIVE: Duration = Duration::from_millis(1800);

fn enqueue(
    queue: &mut WaitQueue,
    ticket: u64,
    priority_level: usize,
    arrived_at_ms: u64,
) -> QueuedRequest {
    let request = QueuedRequest::new(
        ticket,
        priority_level,
        Duration::from_millis(arrived_at_ms),
        LATENCY_OBJECTIVE,
    );
    queue.push(request);
    request
}

#[test]
fn the_most_urgent_and_then_the_oldest_request_is_at_the_front() {
    let mut queue = WaitQueue::default();
    enqueue(&mut queue, 1, 1, 0);
    enqueue(&mut queue, 2, 0, 10);
    enqueue(&mut queue, 3, 0, 20);
    for ticket in [2, 3, 1] {
        assert!(queue.is_front(ticket));
        queue.remove(ticket);
    }
    assert!(queue.is_empty());
}

#[test]
fn a_request_expires_before_its_latency_objective() {
    let mut queue = WaitQueue::default();
    let request = enqueue(&mut queue, 1, 1, 0);
    assert!(request.expires_at < LATENCY_OBJECTIVE);
    assert_eq!(
        request.expires_at,
        request.arrived_at + max_queue_time(LATENCY_OBJECTIVE)
    );
}

#[test]
fn a_request_that_cannot_be_placed_in_time_is_not_admitted() {
    let mut queue = WaitQueue::default();
    assert!(queue.can_admit(1, 0));
    enqueue(&mut queue, 1, 1, 0);
    assert!(!queue.can_admit(1, 0));
    // With more running requests, more requests can be placed while it may wait.
    assert!(queue.can_admit(1, 10));
    // Less urgent requests in the queue do not count.
    assert!(queue.can_admit(0, 0));
}

#[test]
fn a_new_request_must_queue_behind_equally_urgent_ones() {
    let mut queue = WaitQueue::default();
    enqueue(&mut queue, 1, 1, 0);
    assert!(queue.must_queue(1));
    assert!(!queue.must_queue(0));
}
