//! A whole daemon: all parts, started and stopped together.

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
use crate::driver::{Driver, EventSender};
use crate::front::server;
use crate::metrics::Metrics;
use crate::requests::RequestTable;
use crate::shared::Shared;
use crate::snapshot::{Decide, Snapshot, SnapshotSource};
use crate::targets;
use crate::view::View;

/// An address that the daemon cannot listen on.
#[derive(Debug)]
pub struct StartError {
    /// The path in the settings.
    pub path: &'static str,
    /// The address.
    pub address: SocketAddr,
    /// What the operating system says.
    pub cause: String,
}

impl fmt::Display for StartError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            path,
            address,
            cause,
        } = self;
        write!(
            f,
            "{path}: cannot listen on {address}: {cause}; name a free address of this host"
        )
    }
}

impl std::error::Error for StartError {}

/// A running daemon.
pub struct Daemon {
    shared: Arc<Shared>,
    server: JoinHandle<()>,
    background: Vec<JoinHandle<()>>,
    admin: AdminServer,
}

/// A reducer for these settings.
#[must_use]
pub fn new_core(settings: &Settings, daemon: &DaemonId) -> DaemonReducer {
    DaemonReducer::new(mimosagap_core::ReducerOptions {
        daemon: daemon.clone(),
        zone: settings.location.zone.clone(),
        region: settings.location.region.clone(),
        seed: random(),
    })
}

/// An identity for a new process: its address and a random number.
#[must_use]
pub fn new_identity(settings: &Settings) -> DaemonId {
    let number = random() >> 32;
    DaemonId::new(&format!("{}-{number:08x}", settings.listen.callers))
}

fn random() -> u64 {
    rand::random()
}

impl Daemon {
    /// Binds the addresses and starts all parts on the current runtime.
    ///
    /// # Errors
    /// If an address cannot be bound.
    pub fn start(
        settings: Arc<Settings>,
        daemon: DaemonId,
        core: Box<dyn Decide>,
    ) -> Result<Self, StartError> {
        let listen = settings.listen;
        let listener = server::bind(listen.callers)
            .map_err(|error| start_error("listen.callers", listen.callers, &error))?;
        let clock: Arc<dyn Clock> = Arc::new(SystemClock);
        let (events, receiver) = EventSender::new();
        let (snapshots, questions) = SnapshotSource::new();
        let control = ControlHandle::start(ControlOptions {
            settings: Arc::clone(&settings),
            daemon: daemon.clone(),
            clock: Arc::clone(&clock),
            events: events.clone(),
        });
        let shared = Arc::new(Shared {
            keys: settings.decode_fleet_keys(),
            settings,
            daemon,
            clock,
            requests: Arc::new(RequestTable::new(events.clone())),
            events,
            view: Arc::default(),
            metrics: Arc::new(Metrics::new()),
            snapshots,
            control,
        });
        let admin = AdminServer::start(Arc::clone(&shared), listen.admin)
            .map_err(|error| start_error("listen.admin", listen.admin, &error))?;
        let (stop, stopping) = watch::channel(None);
        let driver = new_driver(&shared, core, questions, stop);
        let background = vec![
            tokio::spawn(driver.run(receiver)),
            tokio::spawn(targets::watch(Arc::clone(&shared))),
        ];
        let server = tokio::spawn(server::serve(Arc::clone(&shared), listener, stopping));
        Ok(Self {
            shared,
            server,
            background,
            admin,
        })
    }

    /// The parts.
    #[must_use]
    pub fn shared(&self) -> &Arc<Shared> {
        &self.shared
    }

    /// Begins to drain.
    pub fn drain(&self) {
        self.shared.events.send(Event::DrainRequested);
    }

    /// Waits until the daemon has drained, then gives up its lease.
    pub async fn ended(self) {
        let _ = self.server.await;
        self.shared.control.stop();
        // Results that wait to be written and the membership record are settled first.
        self.shared.control.stopped().await;
        for task in &self.background {
            task.abort();
        }
        drop(self.admin);
    }
}

fn start_error(path: &'static str, address: SocketAddr, error: &dyn fmt::Display) -> StartError {
    StartError {
        path,
        address,
        cause: error.to_string(),
    }
}

fn new_driver(
    shared: &Arc<Shared>,
    core: Box<dyn Decide>,
    questions: mpsc::Receiver<oneshot::Sender<Snapshot>>,
    stop: watch::Sender<Option<Duration>>,
) -> Driver {
    Driver {
        core,
        questions,
        events: shared.events.clone(),
        clock: Arc::clone(&shared.clock),
        control: shared.control.clone(),
        requests: Arc::<RequestTable>::clone(&shared.requests),
        view: Arc::<View>::clone(&shared.view),
        metrics: Arc::clone(&shared.metrics),
        stop,
    }
}

/// Waits for the operating system to ask for the end of the process.
///
/// # Errors
/// If signal handlers cannot be installed.
pub async fn termination() -> io::Result<()> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}
