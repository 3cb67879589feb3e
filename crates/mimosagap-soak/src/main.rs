//! Runs the soak by hand.
#![deny(unsafe_code, missing_docs)]

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use mimosagap_soak::plan::plan;
use mimosagap_soak::run::{Options, run};
use pico_args::Arguments;

const HELP: &str = "\
mimosagap-soak: real gateways under injected faults

Usage: mimosagap-soak [--seed N] [--count N] [--seconds N] [--program FILE] [--folder DIR]

  --seed N        first seed (default 1); a seed determines faults and requests
  --count N       seeds to run, one after the other (default 1)
  --seconds N     how long faults strike (default 12)
  --program FILE  the gateway (default target/release/mimosagapd)
  --folder DIR    settings and logs of each seed (default target/soak)
  --port N        first port of the gateways (default 21000)

Exit codes: 0 no promise was broken, 1 one was, 2 wrong options.
";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    if arguments.contains(["-h", "--help"]) {
        print!("{HELP}");
        return ExitCode::SUCCESS;
    }
    match read(&mut arguments) {
        Ok((options, count)) => soak(&options, count),
        Err(error) => {
            eprintln!("mimosagap-soak: {error}; see mimosagap-soak --help");
            ExitCode::from(2)
        }
    }
}

fn read(arguments: &mut Arguments) -> Result<(Options, u64), pico_args::Error> {
    let seed = arguments.opt_value_from_str("--seed")?.unwrap_or(1);
    let count = arguments.opt_value_from_str("--count")?.unwrap_or(1);
    let seconds = arguments.opt_value_from_str("--seconds")?.unwrap_or(12);
    let program: Option<PathBuf> = arguments.opt_value_from_str("--program")?;
    let folder: Option<PathBuf> = arguments.opt_value_from_str("--folder")?;
    let options = Options {
        seed,
        length: Duration::from_secs(seconds),
        program: program.unwrap_or_else(|| PathBuf::from("target/release/mimosagapd")),
        folder: folder.unwrap_or_else(|| PathBuf::from("target/soak")),
        base_port: arguments.opt_value_from_str("--port")?.unwrap_or(21_000),
    };
    Ok((options, count))
}

fn soak(options: &Options, count: u64) -> ExitCode {
    let mut is_clean = true;
    for seed in options.seed..options.seed + count {
        let options = Options {
            seed,
            folder: options.folder.join(seed.to_string()),
            ..options.clone()
        };
        is_clean &= run_seed(&options);
    }
    if is_clean {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}

fn run_seed(options: &Options) -> bool {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let outcome = runtime.and_then(|runtime| {
        let tasks = tokio::task::LocalSet::new();
        tasks.block_on(&runtime, run(options))
    });
    match outcome {
        Ok(outcome) if outcome.violations.is_empty() => {
            println!(
                "seed {}: passed, {} of {} requests served",
                options.seed, outcome.served, outcome.sent
            );
            true
        }
        Ok(outcome) => {
            println!(
                "seed {}: FAILED; logs in {}",
                options.seed,
                options.folder.display()
            );
            for step in plan(options.seed, options.length) {
                println!("  {step:?}");
            }
            for violation in &outcome.violations {
                println!("  {violation}");
            }
            false
        }
        Err(error) => {
            println!("seed {}: not run: {error}", options.seed);
            false
        }
    }
}
