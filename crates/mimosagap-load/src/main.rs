//! The load and experiment tool.

use std::process::ExitCode;

use mimosagap_load::bench::bench_command;
use mimosagap_load::command::{CommandError, run_command};
use mimosagap_load::experiment::experiment_command;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let result = match arguments.subcommand() {
        Ok(Some(name)) if name == "run" => run_command(arguments),
        Ok(Some(name)) if name == "experiment" => experiment_command(arguments),
        Ok(Some(name)) if name == "bench" => bench_command(arguments),
        _ => Err(CommandError::Arguments("name a subcommand".to_owned())),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosagap-load: {error}");
            ExitCode::FAILURE
        }
    }
}
