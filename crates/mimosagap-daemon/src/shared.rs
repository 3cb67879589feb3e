//! The state shared by all parts of a running daemon.

use std::sync::Arc;

use mimosagap_settings::Settings;
use mimosagap_types::prelude::*;
use mimosagap_types::resume::{FleetKeys, ResumeToken};

use crate::control::ControlHandle;
use crate::driver::EventSender;
use crate::metrics::DaemonMetrics;
use crate::requests::RequestTable;
use crate::snapshot::SnapshotClient;
use crate::view::ServingView;

/// Settings, handles and tables that request tasks, target watchers and the administration API use.
pub struct SharedState {
    /// The validated settings, which are fixed while the process runs.
    pub settings: Arc<Settings>,
    /// The fleet's keys, which sign and verify resume tokens.
    pub fleet_keys: FleetKeys,
    /// The id of this process.
    pub daemon_id: DaemonId,
    /// Source of the monotonic and the wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Queues events for the reducer.
    pub events: EventSender,
    /// The open requests, with the channels that carry commands to their tasks.
    pub requests: Arc<RequestTable>,
    /// The active rules, the targets' incarnations and the drain flag.
    pub view: Arc<ServingView>,
    /// Counters and histograms.
    pub metrics: Arc<DaemonMetrics>,
    /// Fetches snapshots of the reducer's state.
    pub snapshots: SnapshotClient,
    /// The tasks that talk to the store and the peers.
    pub control: ControlHandle,
}

impl SharedState {
    /// Returns the wall-clock time in seconds since the Unix epoch; 0 if the clock is before it.
    #[must_use]
    pub fn unix_time_secs(&self) -> u64 {
        self.clock
            .wall_time()
            .duration_since(std::time::UNIX_EPOCH)
            .map_or(0, |elapsed| elapsed.as_secs())
    }

    /// Verifies the resume token that a caller of `team` sends as response id.
    ///
    /// # Errors
    /// A refusal with status 403 if the token is not valid for the team.
    pub fn verify_resume_token(
        &self,
        token: &str,
        team: &TeamName,
    ) -> Result<ResumeToken, Refusal> {
        ResumeToken::verify(token, &self.fleet_keys, team, self.clock.wall_time())
            .map_err(|error| Refusal::new(RefusalCause::Forbidden, error.to_string()))
    }
}
