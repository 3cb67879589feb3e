//! Requests whose caller leaves while the reducer decides.

use std::sync::Arc;

use mimosagap_core::{AttemptEnd, Event};
use mimosagap_daemon::driver::EventSender;
use mimosagap_daemon::requests::{RequestCommand, RequestTable};

/// Guards against an order whose attempt nobody starts and nobody ends: the reducer would wait for
/// its end, and a drain with it.
#[test]
fn a_queued_attempt_of_a_closed_request_is_reported_as_not_sent() {
    let (sender, mut events) = EventSender::new();
    let table = Arc::new(RequestTable::new(sender));
    let request = table.open();
    let ticket = request.ticket;
    let target = "127.0.0.1:8000".parse().expect("an address");
    let command = RequestCommand::Dispatch {
        attempt: 1,
        target,
        priority: 0,
    };
    assert!(table.send_command(ticket, command));
    drop(request);
    let event = events.try_recv().expect("an event");
    assert!(matches!(
        event,
        Event::AttemptEnded { ticket: ended, attempt: 1, end: AttemptEnd::NotSent }
            if ended == ticket
    ));
    assert_eq!(table.open_count(), 0);
}
