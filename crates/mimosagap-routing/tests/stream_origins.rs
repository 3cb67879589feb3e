//! Hosts remember, and record for others, at which version each stream began.

use std::time::Duration;

use mimosagap_routing::stream_origins::{
    MAX_STREAM_TIME, OriginError, SegmentWrite, StreamId, StreamOrigin, StreamOrigins,
    StreamRecord, record_delay,
};
use mimosagap_types::prelude::*;
use rstest::rstest;

const NOW: Duration = Duration::from_secs(1000);
const PATIENCE: Duration = Duration::from_secs(39);

fn origin(version: &str) -> StreamOrigin {
    StreamOrigin {
        service: DeploymentName::new("model"),
        version: SoftwareVersion::new(version),
    }
}

fn stream(number: u64) -> StreamId {
    StreamId::new("team", &format!("{number:x}"))
}

/// A host that sent streams to a version, recorded.
fn recording_host(numbers: std::ops::Range<u64>, version: &str) -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    for number in numbers {
        let id = stream(number);
        let noted = origins.note_sent(id, origin(version), NOW + PATIENCE, NOW);
        assert_eq!(noted, Ok(()));
        origins.schedule(id, NOW);
    }
    origins.record_due(NOW);
    origins
}

fn records(writes: &[SegmentWrite]) -> Vec<StreamRecord> {
    writes
        .iter()
        .filter_map(|write| write.record.clone())
        .collect()
}

/// A host that starts after all were killed, and reads these records.
fn restarted_host(writes: &[SegmentWrite], now: Duration) -> StreamOrigins {
    let mut origins = StreamOrigins::default();
    for record in records(writes) {
        origins.learn(&record, now);
    }
    origins
}

#[test]
fn a_host_without_memory_knows_recorded_streams() {
    let mut host = recording_host(0..150, "v1");
    let writes = host.take_writes(NOW);
    assert!(writes.len() > 1);
    let restarted = restarted_host(&writes, NOW);
    for number in 0..150 {
        assert_eq!(restarted.get(stream(number), NOW), Some(&origin("v1")));
    }
    assert_eq!(restarted.get(stream(150), NOW), None);
}

/// A team must not learn or use where another team's stream began.
#[test]
fn the_attempt_of_another_team_is_another_stream() {
    let host = recording_host(1..2, "v1");
    assert_eq!(
        host.get(StreamId::new("team", "1"), NOW),
        Some(&origin("v1"))
    );
    assert_eq!(host.get(StreamId::new("other", "1"), NOW), None);
    assert_ne!(StreamId::new("te", "am1"), StreamId::new("team", "1"));
}

/// The first engine rejected the request, and the next one is of another version. A record that
/// still names the first version would join the stream after a kill.
#[test]
fn a_recorded_stream_changes_its_version_only_with_its_record() {
    let mut host = recording_host(1..2, "v1");
    let noted = host.note_sent(stream(1), origin("v2"), NOW + PATIENCE, NOW);
    assert_eq!(noted, Err(OriginError::Recorded));
    let writes = host.take_writes(NOW);
    // The replacement comes while the first write is on its way.
    host.replace(stream(1), origin("v2"));
    host.confirm_writes(&writes);
    assert!(!host.is_stored(stream(1)));
    let writes = host.take_writes(NOW);
    assert!(!host.is_stored(stream(1)));
    host.confirm_writes(&writes);
    assert!(host.is_stored(stream(1)));
    let restarted = restarted_host(&writes, NOW);
    assert_eq!(restarted.get(stream(1), NOW), Some(&origin("v2")));
}

/// While one version serves, nothing is recorded; a second engine may be of any version.
#[test]
fn an_unrecorded_stream_may_change_its_version() {
    let mut host = StreamOrigins::default();
    for version in ["v1", "v2"] {
        let noted = host.note_sent(stream(1), origin(version), NOW + PATIENCE, NOW);
        assert_eq!(noted, Ok(()));
    }
    assert_eq!(host.get(stream(1), NOW), Some(&origin("v2")));
    assert!(!host.has_writes());
}

/// A second version appears while streams run that were not recorded.
#[test]
fn running_streams_are_recorded_when_a_service_becomes_mixed() {
    let mut host = StreamOrigins::default();
    for number in 0..3 {
        let noted = host.note_sent(stream(number), origin("v1"), NOW + PATIENCE, NOW);
        assert_eq!(noted, Ok(()));
    }
    host.complete(stream(0));
    host.record_all(&DeploymentName::new("other"));
    assert!(!host.has_writes());
    host.record_all(&DeploymentName::new("model"));
    let restarted = restarted_host(&host.take_writes(NOW), NOW);
    assert_eq!(restarted.get(stream(0), NOW), None);
    assert_eq!(restarted.get(stream(1), NOW), Some(&origin("v1")));
}

#[rstest]
#[case::while_the_caller_waits(PATIENCE.mul_f64(0.99), true)]
#[case::after_the_caller_gave_up(PATIENCE, false)]
fn a_stream_is_known_while_its_caller_waits(#[case] elapsed: Duration, #[case] is_known: bool) {
    let mut host = recording_host(1..2, "v1");
    let restarted = restarted_host(&host.take_writes(NOW), NOW);
    for origins in [&host, &restarted] {
        let later = origins.get(stream(1), NOW + elapsed);
        assert_eq!(later.is_some(), is_known);
    }
}

/// A caller may name any deadline.
#[test]
fn no_stream_is_remembered_for_longer_than_a_bound() {
    let mut host = StreamOrigins::default();
    let noted = host.note_sent(stream(1), origin("v1"), Duration::MAX, NOW);
    assert_eq!(noted, Ok(()));
    assert!(host.get(stream(1), NOW + MAX_STREAM_TIME).is_none());
}

/// Two hosts disagree about a stream, so neither can be trusted.
#[test]
fn a_disputed_stream_is_unknown() {
    let mut writes = recording_host(1..2, "v1").take_writes(NOW);
    writes.extend(recording_host(1..2, "v2").take_writes(NOW));
    assert_eq!(restarted_host(&writes, NOW).get(stream(1), NOW), None);
}

/// The store loses a lease, or comes back from a copy without the records.
#[test]
fn all_records_are_written_again_after_the_store_lost_them() {
    let mut host = recording_host(0..100, "v1");
    let writes = host.take_writes(NOW);
    host.confirm_writes(&writes);
    assert!(!host.has_writes());
    host.mark_all_dirty();
    assert_eq!(records(&host.take_writes(NOW)), records(&writes));
}

#[test]
fn a_write_that_failed_is_repeated() {
    let mut host = recording_host(1..2, "v1");
    let writes = host.take_writes(NOW);
    host.fail_writes(&writes);
    assert!(!host.is_stored(stream(1)));
    assert_eq!(host.take_writes(NOW), writes);
}

/// Records end with the streams in them, or they would fill the store.
#[test]
fn the_record_of_ended_streams_is_removed() {
    let mut host = recording_host(0..65, "v1");
    let writes = host.take_writes(NOW);
    host.confirm_writes(&writes);
    assert_eq!(writes.len(), 2);
    for number in 0..64 {
        host.complete(stream(number));
    }
    let removals = host.take_writes(NOW);
    assert_eq!(
        removals,
        [SegmentWrite {
            segment: 0,
            record: None
        }]
    );
    host.confirm_writes(&removals);
    assert!(!host.has_writes());
    assert!(host.has_live_records(NOW));
    assert!(!host.has_live_records(NOW + PATIENCE));
}

/// Hundreds of hosts send many short streams. A write for each would delay what hosts hear of
/// targets that leave.
#[test]
fn a_stream_that_ends_soon_is_not_recorded() {
    let mut host = StreamOrigins::default();
    for number in 0..2 {
        let noted = host.note_sent(stream(number), origin("v1"), NOW + PATIENCE, NOW);
        assert_eq!(noted, Ok(()));
        host.schedule(stream(number), NOW + record_delay(300));
    }
    assert_eq!(host.next_record_at(), Some(NOW + record_delay(300)));
    host.record_due(NOW + record_delay(300) / 2);
    assert!(!host.has_writes());
    host.complete(stream(0));
    host.record_due(NOW + record_delay(300));
    let restarted = restarted_host(&host.take_writes(NOW), NOW);
    assert_eq!(restarted.get(stream(0), NOW), None);
    assert_eq!(restarted.get(stream(1), NOW), Some(&origin("v1")));
}

/// A few hosts write little, so they lose little when they are killed.
#[rstest]
#[case::small_fleet(6, 36)]
#[case::large_fleet(77, 462)]
#[case::hundreds_of_hosts(300, 500)]
fn the_delay_of_a_record_grows_with_the_fleet(#[case] hosts: usize, #[case] millis: u64) {
    assert_eq!(record_delay(hosts), Duration::from_millis(millis));
}
