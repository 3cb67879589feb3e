//! Order of the states of the store.
//!
//! The store numbers its changes with increasing revisions. It may come back from an older copy of
//! its data: then revisions and lease ids are given out again for other contents, and it names
//! another era from then on. So revisions order only the states of one era.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Counts how often the store came back from an older copy of its data.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StoreEra(pub u64);

/// A state of the store. Later eras come after earlier ones.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[derive(Serialize, Deserialize)]
pub struct StoreRevision {
    /// The era in which the store gave out the number.
    pub era: StoreEra,
    /// The revision; 0 comes before all revisions of the era.
    pub number: u64,
}

impl StoreRevision {
    /// The state of an era after a revision.
    #[must_use]
    pub fn new(era: StoreEra, number: u64) -> Self {
        Self { era, number }
    }
}

/// What the era in a response says.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum EraObservation {
    /// The store goes on from the state that this host knows.
    Same,
    /// The store came back from a copy: what this host knows of its revisions and leases is void.
    Changed {
        /// The era before.
        previous: StoreEra,
    },
    /// The response is one of an earlier era that arrived late.
    Outdated,
}

/// The era of the store as one host knows it.
#[derive(Debug, Clone, Copy, Default)]
pub struct EraTracker {
    /// The era, and when this host learned of it; `None` before the first response.
    current: Option<(StoreEra, Duration)>,
}

impl EraTracker {
    /// The era in force; the first one before any response named one.
    #[must_use]
    pub fn current(&self) -> StoreEra {
        self.current.map_or_else(StoreEra::default, |(era, _)| era)
    }

    /// Notes the era that a response names to a request sent at `requested_at`. A response that
    /// names none says nothing about it.
    ///
    /// A lower era than before is an old response if it was asked for before the higher one was
    /// known, and otherwise the store's own word.
    pub fn observe(
        &mut self,
        named: Option<StoreEra>,
        requested_at: Duration,
        now: Duration,
    ) -> EraObservation {
        let Some(named) = named else {
            return EraObservation::Same;
        };
        let Some((current, learned_at)) = self.current else {
            self.current = Some((named, now));
            return EraObservation::Same;
        };
        if named == current {
            return EraObservation::Same;
        }
        if named < current && requested_at < learned_at {
            return EraObservation::Outdated;
        }
        self.current = Some((named, now));
        EraObservation::Changed { previous: current }
    }
}
