//! Which version of a service began each stream, by the caller's attempt that brought its first
//! event.
//!
//! Callers resume a stream at any host and name that attempt. A host remembers the streams that it
//! sent to engines. While several versions serve, it also records them in the store, so that other
//! hosts know of them when it is gone. Most streams are short, and at hundreds of hosts a write for
//! each would cost more than all other calls and keep the hosts' watches busy; so a stream is
//! recorded if it still runs [`record_delay`] after it was sent. The records of a host form
//! segments, one key of the store each: the open segment grows until it is full, and a segment is
//! written again when it changes.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::hashing::stable_hash;

/// Time from the send of a stream until it is recorded, for each host of the fleet, and at most.
const RECORD_DELAY_PER_HOST: Duration = Duration::from_millis(6);
const MAX_RECORD_DELAY: Duration = Duration::from_millis(500);

/// Streams in one segment.
const SEGMENT_STREAMS: usize = 64;

/// Most streams that a host remembers, its own and those of others: about 6 MB.
const MAX_STREAMS: usize = 1 << 16;

/// Most segments of one write; the store takes 32 keys in a transaction.
const MAX_SEGMENTS_PER_WRITE: usize = 16;

/// Longest time for which a stream is remembered, whatever its caller asks for.
pub const MAX_STREAM_TIME: Duration = Duration::from_mins(2);

/// Time from the send of a stream until it is recorded, unless it has ended by then.
#[must_use]
pub fn record_delay(host_count: usize) -> Duration {
    let host_count = u32::try_from(host_count).unwrap_or(u32::MAX);
    RECORD_DELAY_PER_HOST
        .saturating_mul(host_count)
        .min(MAX_RECORD_DELAY)
}

/// Identifies an attempt of a team. Teams cannot name each other's attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct StreamId(pub u64);

impl StreamId {
    /// The id of the attempt that a team's caller named so.
    #[must_use]
    pub fn new(team: &str, attempt_id: &str) -> Self {
        Self(stable_hash(&[team.as_bytes(), attempt_id.as_bytes()]))
    }
}

/// Where a stream began.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamOrigin {
    /// Service that the stream was sent to.
    pub service: DeploymentName,
    /// Version of the engine.
    pub version: SoftwareVersion,
}

/// One stream in a record: its id, when its caller gives up, in milliseconds from the writing, and
/// the index of its origin.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
struct RecordedStream(StreamId, u32, u16);

/// The value of a segment.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct StreamRecord {
    origins: Vec<StreamOrigin>,
    streams: Vec<RecordedStream>,
}

/// A segment that is to be written; without a record its key is to be removed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SegmentWrite {
    /// Number of the segment within this process.
    pub segment: u32,
    /// The new value.
    pub record: Option<StreamRecord>,
}

/// Why the origin of a stream cannot be set.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OriginError {
    /// The store may hold another origin for the stream, which is to be replaced first.
    Recorded,
}

/// Whether the store holds a stream as this host knows it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum WriteState {
    Unwritten,
    InFlight,
    Stored,
}

#[derive(Debug, Clone)]
struct KnownStream {
    origin: StreamOrigin,
    expires_at: Duration,
    /// Segment of this host that holds it; `None` if it is not recorded or another host's.
    segment: Option<u32>,
    write_state: WriteState,
    /// Whether two records disagree, so that none can be trusted.
    is_disputed: bool,
}

#[derive(Debug, Clone, Default)]
struct Segment {
    streams: Vec<StreamId>,
    is_dirty: bool,
}

/// The streams that a host knows.
#[derive(Debug, Clone, Default)]
pub struct StreamOrigins {
    streams: HashMap<StreamId, KnownStream>,
    segments: BTreeMap<u32, Segment>,
    next_segment: u32,
    /// Streams that are to be recorded if they still run then, in order of time.
    scheduled: VecDeque<(Duration, StreamId)>,
}

impl StreamOrigins {
    /// Where a stream began; `None` if this host does not know.
    #[must_use]
    pub fn get(&self, id: StreamId, now: Duration) -> Option<&StreamOrigin> {
        let known = self.streams.get(&id)?;
        (now < known.expires_at && !known.is_disputed).then_some(&known.origin)
    }

    /// Notes that a stream of this host is sent to an engine; its caller gives up at `expires_at`.
    ///
    /// # Errors
    /// If it was sent to an engine of another version before and the store may hold that.
    pub fn note_sent(
        &mut self,
        id: StreamId,
        origin: StreamOrigin,
        expires_at: Duration,
        now: Duration,
    ) -> Result<(), OriginError> {
        let expires_at = expires_at.min(now + MAX_STREAM_TIME);
        match self.streams.get_mut(&id) {
            Some(known) if known.origin == origin => {
                known.expires_at = known.expires_at.max(expires_at);
                Ok(())
            }
            Some(known) if known.segment.is_some() => Err(OriginError::Recorded),
            _ => {
                self.insert(id, origin, expires_at, now);
                Ok(())
            }
        }
    }

    /// Replaces the origin of a stream of this host that is recorded. Nothing may be sent before
    /// [`Self::is_stored`] says that the store holds the new one.
    pub fn replace(&mut self, id: StreamId, origin: StreamOrigin) {
        if let Some(known) = self.streams.get_mut(&id) {
            known.origin = origin;
            known.write_state = WriteState::Unwritten;
            if let Some(segment) = known.segment {
                self.mark_dirty(segment);
            }
        }
    }

    fn insert(
        &mut self,
        id: StreamId,
        origin: StreamOrigin,
        expires_at: Duration,
        now: Duration,
    ) -> bool {
        if self.streams.len() >= MAX_STREAMS {
            self.purge(now);
            if self.streams.len() >= MAX_STREAMS {
                return false;
            }
        }
        let known = KnownStream {
            origin,
            expires_at,
            segment: None,
            write_state: WriteState::Unwritten,
            is_disputed: false,
        };
        self.streams.insert(id, known);
        true
    }

    /// Forgets the streams whose callers have given up. Segments of this host stay until the next
    /// write.
    fn purge(&mut self, now: Duration) {
        let Self {
            streams, segments, ..
        } = self;
        streams.retain(|_, known| {
            let is_kept = now < known.expires_at;
            if !is_kept
                && let Some(segment) = known.segment
                && let Some(segment) = segments.get_mut(&segment)
            {
                segment.is_dirty = true;
            }
            is_kept
        });
    }

    /// Forgets a stream that its caller received to the end.
    pub fn complete(&mut self, id: StreamId) {
        let Some(number) = self.streams.remove(&id).and_then(|known| known.segment) else {
            return;
        };
        let is_open = self
            .segments
            .last_key_value()
            .is_some_and(|(last, _)| *last == number);
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.streams.retain(|other| *other != id);
            // The record of a full segment goes with its last stream.
            segment.is_dirty |= segment.streams.is_empty() && !is_open;
        }
    }

    /// Adds all streams of a service to the records, which is mixed from now on.
    pub fn record_all(&mut self, service: &DeploymentName) {
        let mut unrecorded: Vec<StreamId> = self
            .streams
            .iter()
            .filter(|(_, known)| known.segment.is_none() && known.origin.service == *service)
            .map(|(id, _)| *id)
            .collect();
        unrecorded.sort_unstable();
        for id in unrecorded {
            self.record(id);
        }
    }

    /// Schedules a stream to be recorded if it still runs at `due_at`.
    pub fn schedule(&mut self, id: StreamId, due_at: Duration) {
        self.scheduled.push_back((due_at, id));
    }

    /// When the next stream is to be recorded.
    #[must_use]
    pub fn next_record_at(&self) -> Option<Duration> {
        self.scheduled.front().map(|(due_at, _)| *due_at)
    }

    /// Adds the streams to the records whose time has come.
    pub fn record_due(&mut self, now: Duration) {
        while let Some((due_at, id)) = self.scheduled.front().copied()
            && due_at <= now
        {
            self.scheduled.pop_front();
            self.record(id);
        }
    }

    /// Adds a stream to the records, unless it has ended.
    fn record(&mut self, id: StreamId) {
        let Some(known) = self.streams.get_mut(&id) else {
            return;
        };
        if known.segment.is_some() {
            return;
        }
        let open = self.segments.last_entry();
        let number = match open {
            Some(open) if open.get().streams.len() < SEGMENT_STREAMS => *open.key(),
            _ => {
                let number = self.next_segment;
                self.next_segment += 1;
                self.segments.insert(number, Segment::default());
                number
            }
        };
        known.segment = Some(number);
        if let Some(segment) = self.segments.get_mut(&number) {
            segment.streams.push(id);
            segment.is_dirty = true;
        }
    }

    fn mark_dirty(&mut self, segment: u32) {
        if let Some(segment) = self.segments.get_mut(&segment) {
            segment.is_dirty = true;
        }
    }

    /// Schedules all segments to be written again, because the store lost them.
    pub fn mark_all_dirty(&mut self) {
        for segment in self.segments.values_mut() {
            segment.is_dirty = true;
        }
    }

    /// Whether the store holds a stream as this host knows it.
    #[must_use]
    pub fn is_stored(&self, id: StreamId) -> bool {
        let known = self.streams.get(&id);
        known.is_some_and(|known| known.write_state == WriteState::Stored)
    }

    /// Whether segments are to be written.
    #[must_use]
    pub fn has_writes(&self) -> bool {
        self.segments.values().any(|segment| segment.is_dirty)
    }

    /// Whether the store holds streams of this host, so that their lease is to be kept.
    #[must_use]
    pub fn has_live_records(&self, now: Duration) -> bool {
        let mut streams = self.streams.values();
        streams.any(|known| known.segment.is_some() && now < known.expires_at)
    }

    /// Takes the segments that are to be written. Each is to be confirmed or failed afterwards.
    pub fn take_writes(&mut self, now: Duration) -> Vec<SegmentWrite> {
        self.purge(now);
        let Self {
            streams, segments, ..
        } = self;
        let dirty = segments.iter_mut().filter(|(_, segment)| segment.is_dirty);
        dirty
            .take(MAX_SEGMENTS_PER_WRITE)
            .map(|(number, segment)| {
                segment.is_dirty = false;
                segment.streams.retain(|id| streams.contains_key(id));
                for id in &segment.streams {
                    if let Some(known) = streams.get_mut(id) {
                        known.write_state = WriteState::InFlight;
                    }
                }
                let live = segment
                    .streams
                    .iter()
                    .filter_map(|id| streams.get(id).map(|known| (*id, known)));
                let record = StreamRecord::new(live, now);
                SegmentWrite {
                    segment: *number,
                    record: (!record.streams.is_empty()).then_some(record),
                }
            })
            .collect()
    }

    /// Notes that the store executed writes.
    pub fn confirm_writes(&mut self, writes: &[SegmentWrite]) {
        for write in writes {
            self.end_write(write.segment, WriteState::Stored);
            let is_unused = |segment: &Segment| segment.streams.is_empty() && !segment.is_dirty;
            if write.record.is_none() && self.segments.get(&write.segment).is_some_and(is_unused) {
                self.segments.remove(&write.segment);
            }
        }
    }

    /// Notes that writes may not have been executed; they are repeated.
    pub fn fail_writes(&mut self, writes: &[SegmentWrite]) {
        for write in writes {
            self.end_write(write.segment, WriteState::Unwritten);
            self.mark_dirty(write.segment);
        }
    }

    /// Sets the state of the streams of a segment that did not change since it was taken.
    fn end_write(&mut self, segment: u32, state: WriteState) {
        let segment = self.segments.get(&segment);
        for id in segment.iter().flat_map(|segment| &segment.streams) {
            if let Some(known) = self.streams.get_mut(id)
                && known.write_state == WriteState::InFlight
            {
                known.write_state = state;
            }
        }
    }

    /// Learns the streams of another host's record, read or received at `now`. Of two records that
    /// disagree none counts.
    pub fn learn(&mut self, record: &StreamRecord, now: Duration) {
        for RecordedStream(id, time_left_ms, index) in &record.streams {
            let Some(origin) = record.origins.get(usize::from(*index)) else {
                continue;
            };
            let time_left = Duration::from_millis(u64::from(*time_left_ms));
            let expires_at = now + time_left.min(MAX_STREAM_TIME);
            match self.streams.get_mut(id) {
                Some(known) if known.origin == *origin => {
                    known.expires_at = known.expires_at.max(expires_at);
                }
                Some(known) if known.segment.is_none() => known.is_disputed = true,
                // This host sent the stream itself and knows better.
                Some(_) => {}
                None => {
                    self.insert(*id, origin.clone(), expires_at, now);
                }
            }
        }
    }
}

impl StreamRecord {
    fn new<'a>(streams: impl Iterator<Item = (StreamId, &'a KnownStream)>, now: Duration) -> Self {
        let mut record = Self::default();
        for (id, known) in streams {
            let position = record
                .origins
                .iter()
                .position(|origin| *origin == known.origin);
            let index = position.unwrap_or_else(|| {
                record.origins.push(known.origin.clone());
                record.origins.len() - 1
            });
            let time_left = known.expires_at.saturating_sub(now).as_millis();
            record.streams.push(RecordedStream(
                id,
                u32::try_from(time_left).unwrap_or(u32::MAX),
                u16::try_from(index).unwrap_or(u16::MAX),
            ));
        }
        record
    }
}
