//! The load and experiment tool.

use std::process::ExitCode;

use mimosagap_load::command::{self, CommandError};

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let result = match arguments.subcommand() {
        Ok(Some(name)) if name == "run" => command::run_command(arguments),
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
