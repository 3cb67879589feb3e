//! The mimosagap daemon for entry hosts.
#![deny(unsafe_code, missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use mimosagap_daemon::daemon::{RunningDaemon, new_core, new_identity, termination};
use mimosagap_daemon::logging;
use mimosagap_gateway::{Options as GatewayOptions, Outcome as GatewayOutcome};
use mimosagap_settings::Settings;
use pico_args::Arguments;

const HELP: &str = "\
mimosagapd: the mimosagap daemon for entry hosts

Usage: mimosagapd --settings FILE [--check] [--log-level LEVEL]
       mimosagapd gateway [--settings FILE] [--check] [--metrics-port PORT]

  --settings FILE    JSON settings; see docs/operators.md
  --check            check the settings and end
  --log-level LEVEL  error, warn, info (default), debug or trace
  --metrics-port PORT  where the gateway serves metrics, on the host's own address
  --help             print this text
  --version          print the version

The gateway serves the users' platform; see docs/platform.md. Its settings are the platform's file,
by default the one that MIMOSAGAP_SETTINGS names.

SIGTERM drains the daemon. Exit codes: 0 drained or settings correct, 1 failure while running,
2 wrong options or settings; nothing was started.
";

/// Entry hosts are small, and every further thread costs wake-ups for each token: the relay of
/// 11,250 tokens/s needs less than half a core.
const WORKER_THREADS: usize = 2;

const EXIT_FAILED: u8 = 1;
const EXIT_NOT_STARTED: u8 = 2;

struct Options {
    settings: PathBuf,
    check: bool,
    log_level: String,
}

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    if arguments.contains(["-V", "--version"]) {
        println!("mimosagapd {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match arguments.subcommand() {
        Ok(None) => {}
        Ok(Some(name)) if name == "gateway" => return run_gateway(arguments),
        Ok(Some(name)) => {
            eprintln!("mimosagapd: unknown command {name}; see mimosagapd --help");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
        Err(error) => {
            eprintln!("mimosagapd: {error}; see mimosagapd --help");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
    }
    match read_options(arguments).and_then(|options| Ok((read_settings(&options)?, options))) {
        Ok((_, options)) if options.check => {
            println!("{}: the settings are correct", options.settings.display());
            ExitCode::SUCCESS
        }
        Ok((settings, options)) => run(settings, &options),
        Err(message) => {
            eprintln!("{message}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

fn run_gateway(arguments: Arguments) -> ExitCode {
    let result = gateway_options(arguments)
        .and_then(|options| mimosagap_gateway::run(&options).map_err(|error| error.to_string()));
    match result {
        Ok(GatewayOutcome::SettingsChecked) => {
            println!("the settings are correct");
            ExitCode::SUCCESS
        }
        Ok(GatewayOutcome::Drained) => ExitCode::SUCCESS,
        Ok(GatewayOutcome::DrainTimedOut) => ExitCode::from(EXIT_FAILED),
        Err(message) => {
            eprintln!("mimosagapd: {message}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

fn gateway_options(mut arguments: Arguments) -> Result<GatewayOptions, String> {
    let wrong = |error: pico_args::Error| format!("{error}; see mimosagapd --help");
    let options = GatewayOptions {
        settings_path: arguments.opt_value_from_str("--settings").map_err(wrong)?,
        check_only: arguments.contains("--check"),
        metrics_port: arguments
            .opt_value_from_str("--metrics-port")
            .map_err(wrong)?,
    };
    match arguments.finish().first() {
        None => Ok(options),
        Some(rest) => Err(format!(
            "unknown option {}; see mimosagapd --help",
            rest.display()
        )),
    }
}

fn read_options(mut arguments: Arguments) -> Result<Options, String> {
    let wrong = |error: pico_args::Error| format!("mimosagapd: {error}; see mimosagapd --help");
    let options = Options {
        settings: arguments.value_from_str("--settings").map_err(wrong)?,
        check: arguments.contains("--check"),
        log_level: arguments
            .opt_value_from_str("--log-level")
            .map_err(wrong)?
            .unwrap_or_else(|| "info".to_owned()),
    };
    let rest = arguments.finish();
    if !rest.is_empty() {
        return Err(format!(
            "mimosagapd: unknown option {}; see mimosagapd --help",
            rest[0].display()
        ));
    }
    if options.log_level.parse::<log::LevelFilter>().is_err() {
        return Err(format!(
            "mimosagapd: \"{}\" is no log level; use error, warn, info, debug or trace",
            options.log_level
        ));
    }
    Ok(options)
}

fn read_settings(options: &Options) -> Result<Arc<Settings>, String> {
    let path = options.settings.display();
    let text = std::fs::read_to_string(&options.settings)
        .map_err(|error| format!("{path}: {error}; name a readable settings file"))?;
    Settings::parse(&text).map(Arc::new).map_err(|errors| {
        let lines: Vec<String> = errors
            .iter()
            .map(|error| format!("{path}: {error}"))
            .collect();
        lines.join("\n")
    })
}

fn run(settings: Arc<Settings>, options: &Options) -> ExitCode {
    let _logger = match logging::start(&options.log_level) {
        Ok(logger) => logger,
        Err(error) => {
            eprintln!("mimosagapd: cannot start logging: {error}; check --log-level");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
    };
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(WORKER_THREADS)
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("mimosagapd: cannot start threads: {error}; raise the limits of the process");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
    };
    let code = runtime.block_on(serve(settings));
    runtime.shutdown_background();
    code
}

async fn serve(settings: Arc<Settings>) -> ExitCode {
    let identity = new_identity(&settings);
    let core = Box::new(new_core(&settings, &identity));
    let listen = settings.listen;
    let daemon = match RunningDaemon::start(settings, identity.clone(), core) {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("mimosagapd: {error}");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
    };
    log::info!(
        "event=started daemon={identity} callers={} admin={}",
        listen.callers,
        listen.admin
    );
    if let Err(error) = termination().await {
        log::error!("event=no_signal_handler cause={error:?}");
        return ExitCode::from(EXIT_FAILED);
    }
    daemon.drain();
    daemon.wait_until_stopped().await;
    log::info!("event=stopped daemon={identity}");
    ExitCode::SUCCESS
}
