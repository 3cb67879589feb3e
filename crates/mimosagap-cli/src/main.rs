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
use crate::output::Report;

fn main() -> ExitCode {
    let invocation = match arguments::parse(pico_args::Arguments::from_env()) {
        Ok(invocation) => invocation,
        Err(error) => return finish(Err(error), false),
    };
    let Invocation { command, json } = invocation;
    finish(run(command), json)
}

fn run(command: Command) -> Result<Report, CommandError> {
    match command {
        Command::Help(text) => Ok(Report::text(text)),
        Command::Version => Ok(Report::text(concat!(
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
        Command::RulesStatus { daemon, revision } => status::rules(daemon, revision),
        Command::SettingsCheck { file } => settings::check(&file),
        Command::Explain { id, files } => explain::run(&id, &files),
        Command::Account { files } => account::run(&files),
        Command::Token { team } => token::create(&team),
        Command::Query { daemon, subject } => query::run(daemon, subject),
    }
}

fn finish(result: Result<Report, CommandError>, json: bool) -> ExitCode {
    match result {
        Ok(report) => {
            report.print(json);
            ExitCode::from(report.code)
        }
        Err(error) => {
            error.print(json);
            if matches!(error, CommandError::Usage(_)) && !json {
                eprintln!("\n{HELP}");
            }
            ExitCode::from(error.code())
        }
    }
}
