//! Requests whose caller disconnects before their dispatch.

use std::sync::Arc;

use mimosagap_core::{AttemptEnd, Event};
use mimosagap_daemon::driver::EventSender;
use mimosagap_daemon::requests::{RequestCommand, RequestTable};

/// Guards against an attempt that is queued when its request closes and is neither started nor
/// reported as ended: the reducer, and with it a drain, would wait for its end forever.
#[test]
fn queued_attempt_of_closed_request_is_reported_as_not_sent() {
    let (sender, mut events) = EventSender::new();
    let table = Arc::new(RequestTable::new(sender));
    let request = table.open();
    let ticket = request.ticket;
    let target = "127.0.0.1:8000".parse().expect("the address is valid");
    let command = RequestCommand::Dispatch {
        attempt: 1,
        target,
        priority: 0,
    };
    assert!(table.send_command(ticket, command));
    drop(request);
    let event = events.try_recv().expect("the table sends an event");
    assert!(matches!(
        event,
        Event::AttemptEnded { ticket: ended, attempt: 1, end: AttemptEnd::NotSent }
            if ended == ticket
    ));
    assert_eq!(table.open_count(), 0);
}
