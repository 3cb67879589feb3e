//! The operators' command-line tool of mimosagap.
#![deny(unsafe_code, missing_docs)]

mod account;
mod arguments;
mod error;
mod explain;
mod http;
mod output;
mod query;
mod rules;
mod settings;
mod status;
mod token;

use std::process::ExitCode;

use crate::arguments::{Command, HELP, Invocation};
use crate::error::CommandError;
use crate::output::CommandReport;

fn main() -> ExitCode {
    let invocation = match arguments::parse(pico_args::Arguments::from_env()) {
        Ok(invocation) => invocation,
        Err(error) => return print_result(Err(error), false),
    };
    let Invocation { command, json } = invocation;
    print_result(run_command(command), json)
}

fn run_command(command: Command) -> Result<CommandReport, CommandError> {
    match command {
        Command::Help(text) => Ok(CommandReport::from_text(text)),
        Command::Version => Ok(CommandReport::from_text(concat!(
            "mimosagap ",
            env!("CARGO_PKG_VERSION")
        ))),
        Command::RulesCheck { file } => rules::check(&file),
        Command::RulesFetch {
            store,
            file,
            overwrite,
        } => rules::fetch(store, &file, overwrite),
        Command::RulesShow { store } => rules::show(store),
        Command::RulesDiff { store, file } => rules::diff(store, &file),
        Command::RulesApply {
            store,
            file,
            daemon,
        } => rules::apply(store, &file, daemon),
        Command::RulesStatus { daemon, revision } => status::show(daemon, revision),
        Command::SettingsCheck { file } => settings::check(&file),
        Command::Explain { id, files } => explain::run(&id, &files),
        Command::Account { files } => account::run(&files),
        Command::Token { team } => token::create(&team),
        Command::Query { daemon, subject } => query::run(daemon, subject),
    }
}

/// Prints a report or an error, and returns its exit code.
fn print_result(result: Result<CommandReport, CommandError>, json: bool) -> ExitCode {
    match result {
        Ok(report) => {
            report.print(json);
            ExitCode::from(report.exit_code)
        }
        Err(error) => {
            error.print(json);
            if matches!(error, CommandError::Usage(_)) && !json {
                eprintln!("\n{HELP}");
            }
            ExitCode::from(error.exit_code())
        }
    }
}
