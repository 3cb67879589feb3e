//! Which hosts ask the store for changes, and whom the others ask.
//!
//! Load pattern: every host of a large fleet follows the same keys, which change many times a
//! second, and every call to the store is limited and paid for. One host of each zone asks the
//! store, and the others of the zone ask that host. Whoever gets no fresh answer asks the store.

use std::net::SocketAddr;
use std::time::Duration;

use mimosagap_types::prelude::*;

use crate::hosts::Hosts;
use crate::marks::stable_mark;

/// After a reader failed, the store is asked for this long.
const AVOID: Duration = Duration::from_secs(3);

/// A reader that has not heard of the store for this long may have lost it, and its answers are of
/// no use: two waits of its watch and a slow answer.
pub const MAX_AGE: Duration = Duration::from_millis(2500);

/// Where a host gets changes from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ChangeSource {
    /// From the store.
    Store,
    /// From the reader of its zone.
    Reader(SocketAddr),
}

/// Chooses the source of changes of one host.
#[derive(Debug, Clone, Default)]
pub struct SourceChoice {
    failed_at: Option<Duration>,
}

impl SourceChoice {
    /// The reader did not answer, or not with fresh changes.
    pub fn reader_failed(&mut self, now: Duration) {
        self.failed_at = Some(now);
    }

    /// The store did not answer either, so the reader is asked again.
    pub fn store_failed(&mut self) {
        self.failed_at = None;
    }

    /// The source for the next question.
    #[must_use]
    pub fn source(&self, hosts: &Hosts, own: &str, zone: &ZoneName, now: Duration) -> ChangeSource {
        if self.failed_at.is_some_and(|at| now < at + AVOID) {
            return ChangeSource::Store;
        }
        // Ordered by a hash, so that the first host of a zone by name has no other duty.
        let reader = hosts
            .live()
            .filter(|(_, record)| record.zone == *zone)
            .min_by_key(|(name, _)| stable_mark(&[name.as_bytes()]));
        match reader {
            Some((name, record)) if name != own => ChangeSource::Reader(record.peers),
            _ => ChangeSource::Store,
        }
    }
}
