//! What all parts of the caller side use.

use std::sync::Arc;

use mimosagap_settings::Settings;
use mimosagap_types::prelude::*;
use mimosagap_types::resume::{FleetKeys, ResumeToken};

use crate::control::ControlHandle;
use crate::driver::EventSender;
use crate::metrics::Metrics;
use crate::requests::RequestTable;
use crate::snapshot::SnapshotSource;
use crate::view::View;

/// The parts of a running daemon.
pub struct Shared {
    /// The checked settings.
    pub settings: Arc<Settings>,
    /// The keys that sign and verify resume keys.
    pub keys: FleetKeys,
    /// This process.
    pub daemon: DaemonId,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// The way to the reducer.
    pub events: EventSender,
    /// The open requests.
    pub requests: Arc<RequestTable>,
    /// What is known of rules, targets and quarantine.
    pub view: Arc<View>,
    /// Counters and histograms.
    pub metrics: Arc<Metrics>,
    /// The reducer's state.
    pub snapshots: SnapshotSource,
    /// Store and peers.
    pub control: ControlHandle,
}

impl Shared {
    /// Seconds since the Unix epoch.
    #[must_use]
    pub fn wall_seconds(&self) -> u64 {
        self.clock
            .wall_time()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |age| age.as_secs())
    }

    /// Checks a response id of a caller.
    ///
    /// # Errors
    /// A refusal with status 403.
    pub fn open_key(&self, text: &str, team: &TeamName) -> Result<ResumeToken, Refusal> {
        ResumeToken::verify(text, &self.keys, team, self.clock.wall_time())
            .map_err(|error| Refusal::new(RefusalCause::Forbidden, error.to_string()))
    }
}
