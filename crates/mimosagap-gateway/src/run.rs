//! Startup and shutdown of the process.

use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_platform::settings::{self, HostSettings, SETTINGS_PATH_VARIABLE, SettingsError};
use mimosagap_routing::shutdown::ShutdownWindow;
use mimosagap_types::prelude::*;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

use crate::listeners::{ADDRESS_TTL, ListenerKind, accept_connections, bind_listener};
use crate::log::{EventLog, LogEvent};
use crate::metrics::GatewayMetrics;
use crate::state::{Gateway, SharedGateway};
use crate::store::StoreClient;
use crate::{
    client_connections, peers, reach, registration, store_sync, stream_records, version_admission,
};

/// Callers keep using an address for up to this many times its time to live.
const ADDRESS_TTL_FACTOR: u32 = 2;

/// Interval at which a draining process checks whether its last request has ended.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Command-line options of the gateway.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// Path of the settings file; `None` takes it from the environment.
    pub settings_path: Option<PathBuf>,
    /// Validate the settings and exit.
    pub check_only: bool,
    /// Additional port for metrics and the other status endpoints; `None` opens none.
    pub metrics_port: Option<u16>,
    /// Hedges per request for routes without a value of their own; `None` takes it from the
    /// settings.
    pub hedge_ratio: Option<f64>,
}

/// How a run of the gateway ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The settings are valid; nothing was started.
    SettingsChecked,
    /// The process was asked to stop, and all requests had completed.
    Drained,
    /// The process was asked to stop, and the grace period ended with requests in flight.
    DrainTimedOut,
}

/// Why the gateway did not start.
#[derive(Debug)]
pub enum Error {
    /// Neither an option nor the environment names a settings file.
    MissingSettingsPath,
    /// The settings file cannot be read.
    UnreadableSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The settings file is invalid.
    InvalidSettings {
        /// Path of the settings file.
        path: PathBuf,
        /// The setting that is invalid.
        cause: SettingsError,
    },
    /// A listener, the runtime, the log or a signal handler cannot be started.
    StartFailed {
        /// The resource, as the message names it.
        resource: String,
        /// Error of the operating system.
        cause: std::io::Error,
    },
    /// The metrics cannot be registered.
    MetricsFailed(prometheus::Error),
    /// A command-line option has an invalid value.
    InvalidOption(SettingsError),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::MissingSettingsPath => {
                write!(
                    f,
                    "no settings file is named; set {SETTINGS_PATH_VARIABLE} or use --settings"
                )
            }
            Self::UnreadableSettings { path, cause } => {
                write!(
                    f,
                    "cannot read the settings file {}: {cause}; name a readable file",
                    path.display()
                )
            }
            Self::InvalidSettings { path, cause } => {
                write!(f, "invalid settings file {}: {cause}", path.display())
            }
            Self::StartFailed { resource, cause } => {
                write!(
                    f,
                    "cannot start {resource}: {cause}; free the address or raise process limits"
                )
            }
            Self::InvalidOption(cause) => write!(f, "invalid option: {cause}"),
            Self::MetricsFailed(cause) => {
                write!(f, "cannot register the metrics: {cause}; report this bug")
            }
        }
    }
}

impl std::error::Error for Error {}

/// Runs the gateway until it is asked to stop.
///
/// # Errors
/// If the settings are invalid or a resource cannot be started. Nothing keeps running then.
pub fn run(options: &Options) -> Result<Outcome, Error> {
    let path = settings_path(options)?;
    if let Some(ratio) = options.hedge_ratio {
        settings::check_hedge_ratio("--hedge-ratio", ratio).map_err(Error::InvalidOption)?;
    }
    let settings = read_settings(&path, options)?;
    if options.check_only {
        return Ok(Outcome::SettingsChecked);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| start_error("the runtime", cause))?;
    let local_set = tokio::task::LocalSet::new();
    local_set.block_on(&runtime, run_gateway(settings, path, options))
}

fn settings_path(options: &Options) -> Result<PathBuf, Error> {
    options
        .settings_path
        .clone()
        .or_else(|| std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from))
        .ok_or(Error::MissingSettingsPath)
}

/// Reads the settings file; options take the place of its values.
fn read_settings(path: &PathBuf, options: &Options) -> Result<HostSettings, Error> {
    let text = std::fs::read_to_string(path).map_err(|cause| Error::UnreadableSettings {
        path: path.clone(),
        cause,
    })?;
    let mut settings = settings::parse(&text).map_err(|cause| Error::InvalidSettings {
        path: path.clone(),
        cause,
    })?;
    if let Some(ratio) = options.hedge_ratio {
        settings.hedging.max_extra_ratio = ratio;
    }
    Ok(settings)
}

fn start_error(resource: impl Into<String>, cause: std::io::Error) -> Error {
    Error::StartFailed {
        resource: resource.into(),
        cause,
    }
}

/// Starts all tasks, waits for SIGTERM and drains. SIGHUP validates the settings again.
async fn run_gateway(
    settings: HostSettings,
    path: PathBuf,
    options: &Options,
) -> Result<Outcome, Error> {
    let clock = SystemClock;
    let log =
        EventLog::new(clock, std::io::stdout()).map_err(|cause| start_error("the log", cause))?;
    let metrics = GatewayMetrics::new().map_err(Error::MetricsFailed)?;
    let store_address = settings.store_address;
    let gateway = Rc::new(Gateway::new(settings, log, metrics, clock));
    let mut sigterm =
        signal(SignalKind::terminate()).map_err(|cause| start_error("signals", cause))?;
    let mut sighup = signal(SignalKind::hangup()).map_err(|cause| start_error("signals", cause))?;
    start_listeners(&gateway, options.metrics_port)?;
    start_peer_endpoint(&gateway).await?;
    let store_calls = &gateway.metrics.store_calls;
    let watch_client = StoreClient::new(store_address, store_calls.clone());
    let registration_client = StoreClient::new(store_address, store_calls.clone());
    tokio::task::spawn_local(store_sync::follow_store(Rc::clone(&gateway), watch_client));
    tokio::task::spawn_local(reach::probe_isolated(Rc::clone(&gateway)));
    tokio::task::spawn_local(client_connections::close_overdue(Rc::clone(&gateway)));
    tokio::task::spawn_local(registration::maintain_registration(
        Rc::clone(&gateway),
        registration_client,
    ));
    let version_client = StoreClient::new(store_address, store_calls.clone());
    tokio::task::spawn_local(version_admission::maintain_versions(
        Rc::clone(&gateway),
        version_client,
    ));
    let record_client = StoreClient::new(store_address, store_calls.clone());
    tokio::task::spawn_local(stream_records::maintain_records(
        Rc::clone(&gateway),
        record_client,
    ));
    let host = gateway.settings.host.as_str();
    let version = env!("CARGO_PKG_VERSION");
    gateway.log.event(&LogEvent::Started { host, version });
    loop {
        tokio::select! {
            _ = sigterm.recv() => break,
            _ = sighup.recv() => check_settings_change(&gateway, &path, options),
        }
    }
    Ok(drain(&gateway).await)
}

fn start_listeners(gateway: &SharedGateway, metrics_port: Option<u16>) -> Result<(), Error> {
    let settings = &gateway.settings;
    let mut status_addresses = vec![settings.readiness_address];
    status_addresses.extend(settings.lookup_address);
    for (address, kind) in std::iter::once((settings.caller_address, ListenerKind::Callers)).chain(
        status_addresses
            .into_iter()
            .map(|address| (address, ListenerKind::Status)),
    ) {
        let listener =
            bind_listener(address).map_err(|cause| start_error(address.to_string(), cause))?;
        tokio::task::spawn_local(accept_connections(Rc::clone(gateway), listener, kind));
    }
    if let Some(port) = metrics_port {
        let address = std::net::SocketAddr::new(settings.ip, port);
        match bind_listener(address) {
            Ok(listener) => {
                let kind = ListenerKind::Status;
                tokio::task::spawn_local(accept_connections(Rc::clone(gateway), listener, kind));
            }
            // Requests are served without metrics, too.
            Err(error) => gateway.log.event(&LogEvent::Trouble {
                what: "the listener for metrics cannot be opened; requests are served without it",
                cause: format!("{address}: {error}"),
            }),
        }
    }
    Ok(())
}

async fn start_peer_endpoint(gateway: &SharedGateway) -> Result<(), Error> {
    let address = std::net::SocketAddr::new(gateway.settings.ip, gateway.settings.peer_port);
    let listener =
        bind_listener(address).map_err(|cause| start_error(address.to_string(), cause))?;
    tokio::task::spawn_local(accept_connections(
        Rc::clone(gateway),
        listener,
        ListenerKind::Peers,
    ));
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|cause| start_error(address.to_string(), cause))?;
    let socket = Rc::new(socket);
    gateway.placer_rpc.set_socket(Rc::clone(&socket));
    tokio::task::spawn_local(peers::receive_messages(
        Rc::clone(gateway),
        Rc::clone(&socket),
    ));
    tokio::task::spawn_local(peers::report_loads(Rc::clone(gateway), socket));
    Ok(())
}

/// Validates the settings file again and logs whether it changed. Addresses and bounds are fixed
/// while a process runs, so a change takes effect at the next start.
fn check_settings_change(gateway: &Gateway, path: &PathBuf, options: &Options) {
    let text = match read_settings(path, options) {
        Ok(settings) if settings == gateway.settings => "unchanged".to_owned(),
        Ok(_) => "changed; takes effect at the next start".to_owned(),
        Err(error) => error.to_string(),
    };
    gateway.log.event(&LogEvent::Reloaded { result: &text });
}

/// Deregisters this host, waits for requests in flight, and closes the log.
async fn drain(gateway: &SharedGateway) -> Outcome {
    let stopping_since = gateway.now();
    let host = gateway.settings.host.as_str();
    gateway.with_state(|state| state.stopping_since = Some(stopping_since));
    gateway.registration_wakeup.notify_one();
    // Requests that wait for room have to be refused while another host can serve them.
    gateway.capacity_freed.notify_waiters();
    let in_flight = gateway.in_flight.get();
    gateway.log.event(&LogEvent::Stopping { host, in_flight });
    let window = ShutdownWindow::new(stopping_since, gateway.settings.bounds.grace_period);
    let min_drain_time = ADDRESS_TTL * ADDRESS_TTL_FACTOR;
    loop {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
        let now = gateway.now();
        let has_drained = now >= stopping_since + min_drain_time && gateway.in_flight.get() == 0;
        if has_drained || window.is_over(now) {
            break;
        }
    }
    let in_flight = gateway.in_flight.get();
    gateway.log.event(&LogEvent::Stopped { host, in_flight });
    gateway.log.close();
    if in_flight == 0 {
        Outcome::Drained
    } else {
        Outcome::DrainTimedOut
    }
}
