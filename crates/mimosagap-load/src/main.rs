//! Command line of the load generator.

use std::process::ExitCode;

use mimosagap_load::bench::run_bench;
use mimosagap_load::command::{CommandError, run_command};
use mimosagap_load::experiment::run_experiment;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let result = match arguments.subcommand() {
        Ok(Some(name)) if name == "run" => run_command(arguments),
        Ok(Some(name)) if name == "experiment" => run_experiment(arguments),
        Ok(Some(name)) if name == "bench" => run_bench(arguments),
        _ => Err(CommandError::Arguments(
            "the subcommand is missing or unknown".to_owned(),
        )),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosagap-load: {error}");
            ExitCode::FAILURE
        }
    }
}
