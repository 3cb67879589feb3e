//! Command-line entry point: runs one stand-in, chosen by subcommand.

use std::process::ExitCode;

use mimosagap_standins::{engine, hosts, proxy, service, store, weights};
use pico_args::Arguments;

const USAGE: &str = "usage: mimosagap-standins store|hosts|engine|service|weights|proxy --listen IP:PORT \
                     [options]; the options are listed in docs/design.md, section 10";

fn main() -> ExitCode {
    let mut arguments = Arguments::from_env();
    let result = match arguments.subcommand() {
        Ok(Some(name)) => match name.as_str() {
            "store" => store::run(arguments),
            "engine" => engine::run(arguments).map_err(Into::into),
            "hosts" => hosts::run(arguments),
            "service" => service::run(arguments),
            "weights" => weights::run(arguments),
            "proxy" => proxy::run(arguments),
            _ => Err(format!("unknown subcommand \"{name}\"; {USAGE}").into()),
        },
        _ => Err(USAGE.into()),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
