//! Runs one stand-in.

use std::process::ExitCode;

use mimosagap_standins::engine;

fn main() -> ExitCode {
    let mut arguments = pico_args::Arguments::from_env();
    let result = match arguments.subcommand() {
        Ok(Some(name)) if name == "engine" => engine::run(arguments).map_err(|e| e.to_string()),
        _ => Err("expected a subcommand: engine".to_owned()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("mimosagap-standins: {error}");
            ExitCode::FAILURE
        }
    }
}
