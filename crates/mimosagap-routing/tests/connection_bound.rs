//! Bounds on connections, and which one is closed for a new one.

use std::collections::BTreeMap;
use std::time::Duration;

use mimosagap_routing::connection_bound::{
    CONNECTION_BYTES, ConnectionKey, ConnectionLimits, ConnectionPhase, ConnectionState,
    connection_to_close, is_unread_excess,
};
use rstest::rstest;

const MIB: usize = 1 << 20;

fn connection(key: u64, phase: ConnectionPhase, since_s: u64) -> ConnectionState {
    ConnectionState {
        key: ConnectionKey(key),
        phase,
        since: Duration::from_secs(since_s),
    }
}

/// Connections of clients, the connections to targets for their requests and the reserve for files
/// must fit into the descriptors together.
#[rstest]
#[case::smallest(88, 2_870)]
#[case::largest(512, 8_192)]
fn the_limits_fit_the_machine(#[case] memory_mb: usize, #[case] descriptors: usize) {
    let limits = ConnectionLimits::with_resources(memory_mb * MIB, Some(descriptors));
    let ConnectionLimits {
        callers,
        peers,
        status,
    } = limits;
    assert!(200 + 2 * callers + peers + status < descriptors);
    assert!(callers * CONNECTION_BYTES <= memory_mb * MIB / 6);
    // A fleet of 106 hosts reads changes from each other.
    assert!(peers >= 106, "{limits:?}");
    // On a day with 7.5 times the usual load, 79 hosts get 20 requests/s each. If every request has a
    // connection of its own, 300 are idle for up to 15 s and 91 have a long generation.
    assert!(callers >= 391, "{limits:?}");
}

#[test]
fn a_host_without_a_limit_on_descriptors_is_bounded_by_its_memory() {
    let limits = ConnectionLimits::with_resources(64 * MIB, None);
    assert_eq!(limits.callers, 64 * MIB / 6 / CONNECTION_BYTES);
}

#[rstest]
#[case::head_before_idle(&[
    connection(1, ConnectionPhase::Idle, 1),
    connection(2, ConnectionPhase::ReceivingHead, 5),
    connection(3, ConnectionPhase::Silent, 6),
], Some(2))]
#[case::oldest_idle(&[
    connection(1, ConnectionPhase::Idle, 4),
    connection(2, ConnectionPhase::Idle, 3),
    connection(3, ConnectionPhase::Busy, 1),
], Some(2))]
#[case::never_busy(&[connection(3, ConnectionPhase::Busy, 1)], None)]
fn the_connection_that_waited_longest_is_closed(
    #[case] connections: &[ConnectionState],
    #[case] expected: Option<u64>,
) {
    let closed = connection_to_close(connections.iter().copied());
    assert_eq!(closed.map(|closed| closed.key.0), expected);
}

/// Connections that send nothing filled all descriptors, and ordinary callers could not connect.
/// With the bound a caller whose request follows within a moment is served.
#[test]
fn silent_connections_do_not_shut_out_callers() {
    let limit = ConnectionLimits::with_resources(48 * MIB, Some(328)).callers;
    let mut open: BTreeMap<u64, ConnectionState> = BTreeMap::new();
    let mut without_bound = 0;
    for number in 0..5_000 {
        without_bound += 1;
        if open.len() >= limit {
            let closed = connection_to_close(open.values().copied()).expect("one is silent");
            open.remove(&closed.key.0);
        }
        // Every tenth one is a caller, whose request is under way by the next connection.
        let phase = if number % 10 == 0 {
            ConnectionPhase::Busy
        } else {
            ConnectionPhase::Silent
        };
        open.insert(number, connection(number, phase, number));
        if number % 10 == 9 {
            let served = open.remove(&(number - 9));
            assert!(served.is_some(), "the caller {number} was closed");
        }
        assert!(open.len() <= limit);
    }
    assert!(
        without_bound > 328,
        "the crowd exceeds the descriptors of the host"
    );
}

/// Responses that nobody read filled the memory. Slow callers must not be cut off while there is
/// room, nor those that still take something.
#[test]
fn unread_responses_are_cut_off_only_when_they_use_too_much() {
    let (long, moment) = (Duration::from_millis(300), Duration::from_millis(200));
    assert!(is_unread_excess(12 * MIB, 88 * MIB, long));
    assert!(!is_unread_excess(12 * MIB, 88 * MIB, moment));
    assert!(!is_unread_excess(10 * MIB, 88 * MIB, long));
}

#[test]
fn a_head_is_overdue_after_its_limit() {
    let timeout = Duration::from_secs(3);
    let head = connection(1, ConnectionPhase::ReceivingHead, 10);
    assert!(!head.is_head_overdue(timeout, Duration::from_secs(13)));
    assert!(head.is_head_overdue(timeout, Duration::from_millis(14_001)));
    let idle = connection(1, ConnectionPhase::Idle, 10);
    assert!(!idle.is_head_overdue(timeout, Duration::from_secs(30)));
}
