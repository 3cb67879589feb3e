//! The command line of the mimosagap daemon.
#![deny(unsafe_code, missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;

use mimosagap_daemon::daemon::{
    RunningDaemon, generate_daemon_id, new_reducer, wait_for_termination,
};
use mimosagap_daemon::logging;
use mimosagap_gateway::{Options as GatewayOptions, Outcome as GatewayOutcome};
use mimosagap_settings::Settings;
use pico_args::Arguments;

const HELP: &str = "\
mimosagapd: the mimosagap daemon for entry hosts

Usage: mimosagapd --settings FILE [--check] [--log-level LEVEL]
       mimosagapd gateway [--settings FILE] [--check] [--metrics-port PORT] [--hedge-ratio RATIO]

  --settings FILE    JSON settings; see docs/operators.md
  --check            check the settings and exit
  --log-level LEVEL  error, warn, info (default), debug or trace
  --metrics-port PORT  where the gateway serves metrics, on the host's own address
  --hedge-ratio RATIO  hedged requests per request of a service for routes without a value of
                     their own, 0 (off) to 1, in place of hedging.max_extra_ratio
  --help             print this help
  --version          print the version

The gateway serves the users' platform; see docs/platform.md. Its settings are the platform's file,
by default the one that MIMOSAGAP_SETTINGS names.

SIGTERM drains the daemon. Exit codes: 0 drained or settings correct, 1 failure at run time,
2 invalid options or settings; nothing was started.
";

/// Entry hosts are small, and each further thread costs wake-ups for every token. Relaying 11,250
/// tokens/s takes less than half a core.
const WORKER_THREADS: usize = 2;

const EXIT_RUNTIME_FAILURE: u8 = 1;
const EXIT_NOT_STARTED: u8 = 2;

struct DaemonOptions {
    settings_path: PathBuf,
    check_only: bool,
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
        Ok((_, options)) if options.check_only => {
            println!(
                "{}: the settings are correct",
                options.settings_path.display()
            );
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
        Ok(GatewayOutcome::DrainTimedOut) => ExitCode::from(EXIT_RUNTIME_FAILURE),
        Err(message) => {
            eprintln!("mimosagapd: {message}");
            ExitCode::from(EXIT_NOT_STARTED)
        }
    }
}

fn gateway_options(mut arguments: Arguments) -> Result<GatewayOptions, String> {
    let usage_error = |error: pico_args::Error| format!("{error}; see mimosagapd --help");
    let options = GatewayOptions {
        settings_path: arguments
            .opt_value_from_str("--settings")
            .map_err(usage_error)?,
        check_only: arguments.contains("--check"),
        metrics_port: arguments
            .opt_value_from_str("--metrics-port")
            .map_err(usage_error)?,
        hedge_ratio: arguments
            .opt_value_from_str("--hedge-ratio")
            .map_err(usage_error)?,
    };
    match arguments.finish().first() {
        None => Ok(options),
        Some(option) => Err(format!(
            "unknown option {}; see mimosagapd --help",
            option.display()
        )),
    }
}

fn read_options(mut arguments: Arguments) -> Result<DaemonOptions, String> {
    let usage_error =
        |error: pico_args::Error| format!("mimosagapd: {error}; see mimosagapd --help");
    let options = DaemonOptions {
        settings_path: arguments
            .value_from_str("--settings")
            .map_err(usage_error)?,
        check_only: arguments.contains("--check"),
        log_level: arguments
            .opt_value_from_str("--log-level")
            .map_err(usage_error)?
            .unwrap_or_else(|| "info".to_owned()),
    };
    let unknown_options = arguments.finish();
    if !unknown_options.is_empty() {
        return Err(format!(
            "mimosagapd: unknown option {}; see mimosagapd --help",
            unknown_options[0].display()
        ));
    }
    if options.log_level.parse::<log::LevelFilter>().is_err() {
        return Err(format!(
            "mimosagapd: \"{}\" is not a log level; use error, warn, info, debug or trace",
            options.log_level
        ));
    }
    Ok(options)
}

fn read_settings(options: &DaemonOptions) -> Result<Arc<Settings>, String> {
    let path = options.settings_path.display();
    let text = std::fs::read_to_string(&options.settings_path)
        .map_err(|error| format!("{path}: {error}; --settings must name a readable file"))?;
    Settings::parse(&text).map(Arc::new).map_err(|errors| {
        let messages: Vec<String> = errors
            .iter()
            .map(|error| format!("{path}: {error}"))
            .collect();
        messages.join("\n")
    })
}

fn run(settings: Arc<Settings>, options: &DaemonOptions) -> ExitCode {
    let _logger = match logging::init(&options.log_level) {
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
            eprintln!(
                "mimosagapd: cannot start threads: {error}; raise the resource limits of the process"
            );
            return ExitCode::from(EXIT_NOT_STARTED);
        }
    };
    let exit_code = runtime.block_on(run_until_drained(settings));
    runtime.shutdown_background();
    exit_code
}

async fn run_until_drained(settings: Arc<Settings>) -> ExitCode {
    let daemon_id = generate_daemon_id(&settings);
    let reducer = Box::new(new_reducer(&settings, &daemon_id));
    let listen = settings.listen;
    let daemon = match RunningDaemon::start(settings, daemon_id.clone(), reducer) {
        Ok(daemon) => daemon,
        Err(error) => {
            eprintln!("mimosagapd: {error}");
            return ExitCode::from(EXIT_NOT_STARTED);
        }
    };
    log::info!(
        "event=started daemon={daemon_id} callers={} admin={}",
        listen.callers,
        listen.admin
    );
    if let Err(error) = wait_for_termination().await {
        log::error!("event=no_signal_handler cause={error:?}");
        return ExitCode::from(EXIT_RUNTIME_FAILURE);
    }
    daemon.drain();
    daemon.wait_until_stopped().await;
    log::info!("event=stopped daemon={daemon_id}");
    ExitCode::SUCCESS
}
