//! The command line: its help texts, and parsing into a [`Command`].

use std::net::SocketAddr;
use std::path::PathBuf;

use pico_args::Arguments;

use crate::error::CommandError;
use crate::query::QuerySubject;

pub const HELP: &str = "\
mimosagap: operate a mimosagap fleet

USAGE: mimosagap COMMAND [OPTIONS]

COMMANDS:
  rules check FILE                     check a rules file
  rules fetch FILE --store ADDR [--overwrite]
                                       write the rules in force to FILE, with their revision
  rules show --store ADDR              print the rules in force
  rules diff FILE --store ADDR         show what applying FILE would change
  rules apply FILE --store ADDR [--daemon ADDR]
                                       put FILE in force; with --daemon, wait until every daemon has it
  rules status --daemon ADDR [--revision N]
                                       show which daemons have the newest (or the given) revision in force
  settings check FILE                  check a daemon's settings file
  explain ID FILE...                   show the attempts of a request and why it failed, from the
                                       gateways' logs; FILE - is standard input
  account FILE...                      count the outcomes of requests, and why they were lost or
                                       late, from the gateways' logs
  token TEAM                           create a token for a team and print its rule line
  daemons | targets | limits | quarantine | health --daemon ADDR
                                       query a daemon's administration API

OPTIONS:
  --store ADDR    address of the platform's key-value service, IP:PORT
  --daemon ADDR   administration address of any daemon, IP:PORT
  --json          print JSON instead of text
  --help          print this, or the help of a command
  --version       print the version

EXIT CODES: 0 done, 1 refused, not found or not yet in force everywhere, 2 bad input, 3 not reachable,
4 unknown whether a change was made";

const RULES_HELP: &str = "\
USAGE: mimosagap rules check|fetch|diff|apply FILE | show | status [OPTIONS]

\"fetch\" writes the rules in force to FILE, with the line \"# revision N\" first. Edit the file and
\"apply\" it. If other rules came into force in between, nothing is changed and the difference is
shown. A file without the revision line is accepted only while no rules are in force.

Each line has the form STATEMENT # ROLE: reason, with ROLE insurer, manager or crew lead.";

/// A parsed command line.
pub struct Invocation {
    /// The command and its arguments.
    pub command: Command,
    /// Whether to print JSON instead of text.
    pub json: bool,
}

/// A command of the tool with its arguments.
pub enum Command {
    Help(&'static str),
    Version,
    RulesCheck {
        file: PathBuf,
    },
    RulesFetch {
        store: SocketAddr,
        file: PathBuf,
        overwrite: bool,
    },
    RulesShow {
        store: SocketAddr,
    },
    RulesDiff {
        store: SocketAddr,
        file: PathBuf,
    },
    RulesApply {
        store: SocketAddr,
        file: PathBuf,
        daemon: Option<SocketAddr>,
    },
    RulesStatus {
        daemon: SocketAddr,
        revision: Option<u64>,
    },
    SettingsCheck {
        file: PathBuf,
    },
    Explain {
        id: String,
        files: Vec<PathBuf>,
    },
    Account {
        files: Vec<PathBuf>,
    },
    Token {
        team: String,
    },
    Query {
        daemon: SocketAddr,
        subject: QuerySubject,
    },
}

/// Parses the command line. Unknown arguments are an error.
pub fn parse(mut arguments: Arguments) -> Result<Invocation, CommandError> {
    let json = arguments.contains("--json");
    let help = arguments.contains(["-h", "--help"]);
    let version = arguments.contains("--version");
    let name = arguments.subcommand().map_err(usage_error)?;
    let command = match name.as_deref() {
        _ if version => Command::Version,
        Some("rules") if help => Command::Help(RULES_HELP),
        None if !help => return Err(CommandError::Usage("no command given".to_owned())),
        _ if help => Command::Help(HELP),
        Some("rules") => parse_rules(&mut arguments)?,
        Some("settings") => parse_settings(&mut arguments)?,
        Some("explain") => parse_explain(&mut arguments)?,
        Some("account") => Command::Account {
            files: file_arguments(&mut arguments)?,
        },
        Some("token") => Command::Token {
            team: positional_argument(&mut arguments, "TEAM")?,
        },
        Some(other) => {
            let subject = QuerySubject::parse(other)
                .ok_or_else(|| CommandError::Usage(format!("unknown command \"{other}\"")))?;
            Command::Query {
                daemon: address_option(&mut arguments, "--daemon")?,
                subject,
            }
        }
        None => Command::Help(HELP),
    };
    let unused = arguments.finish();
    if unused.is_empty() || help || version {
        Ok(Invocation { command, json })
    } else {
        let unused: Vec<_> = unused.iter().map(|text| text.to_string_lossy()).collect();
        Err(CommandError::Usage(format!(
            "unknown arguments: {}",
            unused.join(" ")
        )))
    }
}

fn parse_rules(arguments: &mut Arguments) -> Result<Command, CommandError> {
    let name = arguments.subcommand().map_err(usage_error)?;
    match name.as_deref() {
        Some("check") => Ok(Command::RulesCheck {
            file: file_argument(arguments)?,
        }),
        Some("fetch") => {
            let store = address_option(arguments, "--store")?;
            let overwrite = arguments.contains("--overwrite");
            Ok(Command::RulesFetch {
                store,
                file: file_argument(arguments)?,
                overwrite,
            })
        }
        Some("show") => Ok(Command::RulesShow {
            store: address_option(arguments, "--store")?,
        }),
        Some("diff") => {
            let store = address_option(arguments, "--store")?;
            Ok(Command::RulesDiff {
                store,
                file: file_argument(arguments)?,
            })
        }
        Some("apply") => {
            let store = address_option(arguments, "--store")?;
            let daemon = arguments
                .opt_value_from_str("--daemon")
                .map_err(usage_error)?;
            Ok(Command::RulesApply {
                store,
                file: file_argument(arguments)?,
                daemon,
            })
        }
        Some("status") => {
            let daemon = address_option(arguments, "--daemon")?;
            let revision = arguments
                .opt_value_from_str("--revision")
                .map_err(usage_error)?;
            Ok(Command::RulesStatus { daemon, revision })
        }
        other => {
            let cause = format!("unknown rules command \"{}\"", other.unwrap_or_default());
            Err(CommandError::Usage(cause))
        }
    }
}

fn parse_settings(arguments: &mut Arguments) -> Result<Command, CommandError> {
    match arguments.subcommand().map_err(usage_error)?.as_deref() {
        Some("check") => Ok(Command::SettingsCheck {
            file: file_argument(arguments)?,
        }),
        other => {
            let cause = format!("unknown settings command \"{}\"", other.unwrap_or_default());
            Err(CommandError::Usage(cause))
        }
    }
}

fn parse_explain(arguments: &mut Arguments) -> Result<Command, CommandError> {
    let id = positional_argument(arguments, "ID")?;
    let files = file_arguments(arguments)?;
    Ok(Command::Explain { id, files })
}

/// Takes one file or more.
fn file_arguments(arguments: &mut Arguments) -> Result<Vec<PathBuf>, CommandError> {
    let mut files = vec![file_argument(arguments)?];
    while let Some(path) = arguments
        .opt_free_from_str::<PathBuf>()
        .map_err(usage_error)?
    {
        files.push(path);
    }
    Ok(files)
}

fn address_option(
    arguments: &mut Arguments,
    option: &'static str,
) -> Result<SocketAddr, CommandError> {
    arguments.value_from_str(option).map_err(usage_error)
}

fn file_argument(arguments: &mut Arguments) -> Result<PathBuf, CommandError> {
    positional_argument(arguments, "FILE").map(PathBuf::from)
}

/// Takes the next positional argument; `name` is its name in the help. `-` alone is a value.
fn positional_argument(arguments: &mut Arguments, name: &str) -> Result<String, CommandError> {
    let text: Option<String> = arguments.opt_free_from_str().map_err(usage_error)?;
    match text {
        Some(text) if text == "-" || !text.starts_with('-') => Ok(text),
        Some(text) => Err(CommandError::Usage(format!(
            "{name} expected, found \"{text}\""
        ))),
        None => Err(CommandError::Usage(format!("{name} is missing"))),
    }
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "used as a function for map_err"
)]
fn usage_error(error: pico_args::Error) -> CommandError {
    CommandError::Usage(error.to_string())
}
