//! What all parts of the caller side use.

use std::sync::Arc;

use mimosagap_settings::Settings;
use mimosagap_types::prelude::*;
use mimosagap_types::resume::{FleetKeys, ResumeToken};

use crate::control::ControlHandle;
use crate::driver::EventSender;
use crate::metrics::DaemonMetrics;
use crate::requests::RequestTable;
use crate::snapshot::SnapshotSource;
use crate::view::ServingView;

/// The parts of a running daemon.
pub struct SharedState {
    /// The checked settings.
    pub settings: Arc<Settings>,
    /// The keys that sign and verify resume keys.
    pub fleet_keys: FleetKeys,
    /// This process.
    pub daemon_id: DaemonId,
    /// Time.
    pub clock: Arc<dyn Clock>,
    /// The way to the reducer.
    pub events: EventSender,
    /// The open requests.
    pub requests: Arc<RequestTable>,
    /// What is known of rules, targets and quarantine.
    pub view: Arc<ServingView>,
    /// Counters and histograms.
    pub metrics: Arc<DaemonMetrics>,
    /// The reducer's state.
    pub snapshots: SnapshotSource,
    /// Store and peers.
    pub control: ControlHandle,
}

impl SharedState {
    /// Seconds since the Unix epoch.
    #[must_use]
    pub fn unix_time_secs(&self) -> u64 {
        self.clock
            .wall_time()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |age| age.as_secs())
    }

    /// Checks a response id of a caller.
    ///
    /// # Errors
    /// A refusal with status 403.
    pub fn verify_resume_token(&self, text: &str, team: &TeamName) -> Result<ResumeToken, Refusal> {
        ResumeToken::verify(text, &self.fleet_keys, team, self.clock.wall_time())
            .map_err(|error| Refusal::new(RefusalCause::Forbidden, error.to_string()))
    }
}
