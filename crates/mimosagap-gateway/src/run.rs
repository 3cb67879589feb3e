//! Start and stop of the process.

use std::fmt;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;

use mimosagap_platform::settings::{self, HostSettings, SETTINGS_PATH_VARIABLE, SettingsError};
use mimosagap_types::prelude::*;
use tokio::net::UdpSocket;
use tokio::signal::unix::{SignalKind, signal};

use crate::listeners::{ADDRESS_LIFE, ListenerKind, accept, bind};
use crate::log::{EventLog, LogEvent};
use crate::metrics::GatewayMetrics;
use crate::state::{Gateway, SharedGateway};
use crate::store::StoreClient;
use crate::{peers, store_sync};

/// Time kept for the end of the process before it is killed, its last log lines included.
const END_MARGIN: Duration = Duration::from_millis(800);

/// Callers use an address for up to this many times its life.
const ADDRESS_LIVES: u32 = 2;

/// How often a process that stops looks whether its last request has ended.
const STOP_CHECK: Duration = Duration::from_millis(50);

/// How the gateway is started.
#[derive(Debug, Clone, Default)]
pub struct Options {
    /// The settings file; by default the one that the environment names.
    pub settings_path: Option<PathBuf>,
    /// Check the settings and end.
    pub check_only: bool,
    /// Port on which metrics are served, besides the questions of the platform.
    pub metrics_port: Option<u16>,
}

/// How the gateway ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The settings are correct.
    SettingsChecked,
    /// It was asked to stop and all requests had ended.
    Drained,
    /// It was asked to stop and some requests were cut off.
    DrainTimedOut,
}

/// Why the gateway did not start.
#[derive(Debug)]
pub enum Error {
    /// No settings file is named.
    NoSettings,
    /// The settings file cannot be read.
    Read {
        /// The file.
        path: PathBuf,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The settings are wrong.
    Settings {
        /// The file.
        path: PathBuf,
        /// What is wrong.
        cause: SettingsError,
    },
    /// A listener or the runtime cannot be started.
    Start {
        /// What was to be started.
        what: String,
        /// What the system said.
        cause: std::io::Error,
    },
    /// The metrics cannot be registered.
    Metrics(prometheus::Error),
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoSettings => {
                write!(
                    f,
                    "no settings file; set {SETTINGS_PATH_VARIABLE} or use --settings"
                )
            }
            Self::Read { path, cause } => {
                write!(f, "{}: {cause}; name a readable file", path.display())
            }
            Self::Settings { path, cause } => write!(f, "{}: {cause}", path.display()),
            Self::Start { what, cause } => {
                write!(
                    f,
                    "cannot start {what}: {cause}; free the address or raise the limit"
                )
            }
            Self::Metrics(cause) => write!(f, "cannot register metrics: {cause}; report this"),
        }
    }
}

impl std::error::Error for Error {}

/// Runs the gateway until it is asked to stop.
///
/// # Errors
/// If the settings are wrong or something cannot be started; then nothing is left running.
pub fn run(options: &Options) -> Result<Outcome, Error> {
    let path = settings_path(options)?;
    let settings = read_settings(&path)?;
    if options.check_only {
        return Ok(Outcome::SettingsChecked);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|cause| start_error("the runtime", cause))?;
    let tasks = tokio::task::LocalSet::new();
    tasks.block_on(&runtime, serve(settings, path, options.metrics_port))
}

fn settings_path(options: &Options) -> Result<PathBuf, Error> {
    options
        .settings_path
        .clone()
        .or_else(|| std::env::var_os(SETTINGS_PATH_VARIABLE).map(PathBuf::from))
        .ok_or(Error::NoSettings)
}

fn read_settings(path: &PathBuf) -> Result<HostSettings, Error> {
    let text = std::fs::read_to_string(path).map_err(|cause| Error::Read {
        path: path.clone(),
        cause,
    })?;
    settings::parse(&text).map_err(|cause| Error::Settings {
        path: path.clone(),
        cause,
    })
}

fn start_error(what: impl Into<String>, cause: std::io::Error) -> Error {
    Error::Start {
        what: what.into(),
        cause,
    }
}

async fn serve(
    settings: HostSettings,
    path: PathBuf,
    metrics_port: Option<u16>,
) -> Result<Outcome, Error> {
    let clock = SystemClock;
    let log =
        EventLog::new(clock, std::io::stdout()).map_err(|cause| start_error("the log", cause))?;
    let metrics = GatewayMetrics::new().map_err(Error::Metrics)?;
    let store = settings.store_address;
    let gateway = Rc::new(Gateway::new(settings, log, metrics, clock));
    let mut terminations =
        signal(SignalKind::terminate()).map_err(|cause| start_error("signals", cause))?;
    let mut hangups =
        signal(SignalKind::hangup()).map_err(|cause| start_error("signals", cause))?;
    start_listeners(&gateway, metrics_port)?;
    start_peers(&gateway).await?;
    let calls = &gateway.metrics.store_calls;
    let follower = StoreClient::new(store, calls.clone());
    let writer = StoreClient::new(store, calls.clone());
    tokio::task::spawn_local(store_sync::follow(Rc::clone(&gateway), follower));
    tokio::task::spawn_local(store_sync::register(Rc::clone(&gateway), writer));
    let host = gateway.settings.host.as_str();
    let version = env!("CARGO_PKG_VERSION");
    gateway.log.event(&LogEvent::Started { host, version });
    loop {
        tokio::select! {
            _ = terminations.recv() => break,
            _ = hangups.recv() => reload(&gateway, &path),
        }
    }
    Ok(stop(&gateway).await)
}

fn start_listeners(gateway: &SharedGateway, metrics_port: Option<u16>) -> Result<(), Error> {
    let settings = &gateway.settings;
    let mut questions = vec![settings.readiness_address];
    questions.extend(settings.lookup_address);
    for (address, kind) in std::iter::once((settings.caller_address, ListenerKind::Callers)).chain(
        questions
            .into_iter()
            .map(|address| (address, ListenerKind::Questions)),
    ) {
        let listener = bind(address).map_err(|cause| start_error(address.to_string(), cause))?;
        tokio::task::spawn_local(accept(Rc::clone(gateway), listener, kind));
    }
    if let Some(port) = metrics_port {
        let address = std::net::SocketAddr::new(settings.ip, port);
        match bind(address) {
            Ok(listener) => {
                let kind = ListenerKind::Questions;
                tokio::task::spawn_local(accept(Rc::clone(gateway), listener, kind));
            }
            // Requests are served without metrics too.
            Err(error) => gateway.log.event(&LogEvent::Trouble {
                what: "metrics are not served",
                cause: format!("{address}: {error}"),
            }),
        }
    }
    Ok(())
}

async fn start_peers(gateway: &SharedGateway) -> Result<(), Error> {
    let address = std::net::SocketAddr::new(gateway.settings.ip, gateway.settings.peer_port);
    let listener = bind(address).map_err(|cause| start_error(address.to_string(), cause))?;
    tokio::task::spawn_local(accept(Rc::clone(gateway), listener, ListenerKind::Peers));
    let socket = UdpSocket::bind(address)
        .await
        .map_err(|cause| start_error(address.to_string(), cause))?;
    let socket = Rc::new(socket);
    gateway.placers.set_socket(Rc::clone(&socket));
    tokio::task::spawn_local(peers::hear(Rc::clone(gateway), Rc::clone(&socket)));
    tokio::task::spawn_local(peers::tell_loads(Rc::clone(gateway), socket));
    Ok(())
}

/// Addresses and bounds hold for the life of a process, so a change is checked and logged only.
fn reload(gateway: &Gateway, path: &PathBuf) {
    let text = match read_settings(path) {
        Ok(settings) if settings == gateway.settings => "unchanged".to_owned(),
        Ok(_) => "changed; in force after the next start".to_owned(),
        Err(error) => error.to_string(),
    };
    gateway.log.event(&LogEvent::Reloaded { result: &text });
}

/// Leaves the list of hosts, finishes what is in flight, and ends.
async fn stop(gateway: &SharedGateway) -> Outcome {
    let now = gateway.now();
    let host = gateway.settings.host.as_str();
    gateway.with_state(|state| state.stopping_since = Some(now));
    gateway.registration_wakeup.notify_one();
    let in_flight = gateway.in_flight.get();
    gateway.log.event(&LogEvent::Stopping { host, in_flight });
    let grace = gateway
        .settings
        .bounds
        .grace_period
        .saturating_sub(END_MARGIN);
    let linger = (ADDRESS_LIFE * ADDRESS_LIVES).min(grace);
    loop {
        tokio::time::sleep(STOP_CHECK).await;
        let since = gateway.now().saturating_sub(now);
        let is_idle = gateway.in_flight.get() == 0;
        if since >= grace || (since >= linger && is_idle) {
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
