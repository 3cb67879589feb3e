//! Starts and stops the daemon as a whole.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use mimosagap_core::{DaemonReducer, Event};
use mimosagap_settings::Settings;
use mimosagap_types::prelude::*;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinHandle;

use crate::admin::AdminServer;
use crate::control::{ControlHandle, ControlOptions};
use crate::driver::{EventSender, ReducerDriver};
use crate::frontend::server;
use crate::metrics::DaemonMetrics;
use crate::requests::RequestTable;
use crate::shared::SharedState;
use crate::snapshot::{EventReducer, ReducerSnapshot, SnapshotClient};
use crate::targets;
use crate::view::ServingView;

/// The daemon cannot listen on an address of its settings.
#[derive(Debug)]
pub struct StartError {
    /// The path of the address in the settings, such as `listen.callers`.
    pub setting: &'static str,
    /// The address that could not be bound.
    pub address: SocketAddr,
    /// The error of the operating system.
    pub cause: String,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            setting,
            address,
            cause,
        } = self;
        write!(
            f,
            "{setting}: cannot listen on {address}: {cause}; name a free address of this host"
        )
    }
}

impl std::error::Error for StartError {}

/// A running daemon: the servers for callers and operators, and the background tasks.
pub struct RunningDaemon {
    shared: Arc<SharedState>,
    caller_server: JoinHandle<()>,
    background_tasks: Vec<JoinHandle<()>>,
    admin_server: AdminServer,
}

/// Creates the reducer of a daemon with the given settings and a random seed.
#[must_use]
pub fn new_reducer(settings: &Settings, daemon_id: &DaemonId) -> DaemonReducer {
    DaemonReducer::new(mimosagap_core::ReducerOptions {
        daemon: daemon_id.clone(),
        zone: settings.location.zone.clone(),
        region: settings.location.region.clone(),
        seed: random_u64(),
    })
}

/// Generates the id of a new process from its caller address and a random number.
#[must_use]
pub fn generate_daemon_id(settings: &Settings) -> DaemonId {
    let suffix = random_u64() >> 32;
    DaemonId::new(&format!("{}-{suffix:08x}", settings.listen.callers))
}

fn random_u64() -> u64 {
    rand::random()
}

impl RunningDaemon {
    /// Binds the addresses and starts all parts on the current runtime.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn start(
        settings: Arc<Settings>,
        daemon_id: DaemonId,
        reducer: Box<dyn EventReducer>,
    ) -> Result<Self, StartError> {
        let listen = settings.listen;
        let listener = server::bind(listen.callers)
            .map_err(|error| start_error("listen.callers", listen.callers, &error))?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let (events, receiver) = EventSender::new();
        let (snapshots, snapshot_requests) = SnapshotClient::new();
        let control = ControlHandle::start(ControlOptions {
            settings: Arc::clone(&settings),
            daemon_id: daemon_id.clone(),
            clock: Arc::clone(&clock),
            events: events.clone(),
        });
        let shared = Arc::new(SharedState {
            fleet_keys: settings.decode_fleet_keys(),
            settings,
            daemon_id,
            clock,
            requests: Arc::new(RequestTable::new(events.clone())),
            events,
            view: Arc::default(),
            metrics: Arc::new(DaemonMetrics::new()),
            snapshots,
            control,
        });
        let admin_server = AdminServer::start(Arc::clone(&shared), listen.admin)
            .map_err(|error| start_error("listen.admin", listen.admin, &error))?;
        let (stop_sender, stop_receiver) = watch::channel(None);
        let driver = new_driver(&shared, reducer, snapshot_requests, stop_sender);
        let background_tasks = vec![
            tokio::spawn(driver.run(receiver)),
            tokio::spawn(targets::watch(Arc::clone(&shared))),
        ];
        let caller_server =
            tokio::spawn(server::serve(Arc::clone(&shared), listener, stop_receiver));
        Ok(Self {
            shared,
            caller_server,
            background_tasks,
            admin_server,
        })
    }

    /// Returns the state that the daemon's parts share.
    #[must_use]
    pub fn shared(&self) -> &Arc<SharedState> {
        &self.shared
    }

    /// Begins to drain: the daemon announces that it leaves, stops accepting connections and
    /// finishes its open requests.
    pub fn drain(&self) {
        self.shared.events.send(Event::DrainRequested);
    }

    /// Waits until the daemon has drained, then revokes its lease and stops all parts.
    pub async fn wait_until_stopped(self) {
        let _ = self.caller_server.await;
        self.shared.control.stop();
        // Queued results are written and the membership record is removed first.
        self.shared.control.wait_until_stopped().await;
        for task in &self.background_tasks {
            task.abort();
        }
        drop(self.admin_server);
    }
}

fn start_error(setting: &'static str, address: SocketAddr, error: &dyn fmt::Display) -> StartError {
    StartError {
        setting,
        address,
        cause: error.to_string(),
    }
}

fn new_driver(
    shared: &Arc<SharedState>,
    reducer: Box<dyn EventReducer>,
    snapshot_requests: mpsc::Receiver<oneshot::Sender<ReducerSnapshot>>,
    stop: watch::Sender<Option<Duration>>,
) -> ReducerDriver {
    ReducerDriver {
        reducer,
        snapshot_requests,
        events: shared.events.clone(),
        clock: Arc::clone(&shared.clock),
        control: shared.control.clone(),
        requests: Arc::<RequestTable>::clone(&shared.requests),
        view: Arc::<ServingView>::clone(&shared.view),
        metrics: Arc::clone(&shared.metrics),
        stop,
    }
}

/// Waits for SIGTERM or SIGINT.
///
/// # Errors
/// If a signal handler cannot be installed.
pub async fn wait_for_termination() -> io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
