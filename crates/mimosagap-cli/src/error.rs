//! Errors of commands and their exit codes.

use std::fmt;
use std::path::PathBuf;

use mimosagap_rules::LineError;
use mimosagap_settings::SettingsError;
use mimosagap_types::prelude::*;
use serde_json::{Value, json};

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The command line is invalid; the text says why.
    Usage(String),
    /// A file cannot be read or written.
    File {
        /// The file as it was named.
        path: PathBuf,
        /// The message of the operating system, or what is wrong with the file.
        cause: String,
    },
    /// The rules file has invalid lines; nothing was changed.
    InvalidRules(Vec<LineError>),
    /// The settings file has invalid entries.
    InvalidSettings(Vec<SettingsError>),
    /// The rules in force are not those on which the file was based; nothing was changed.
    Conflict {
        /// The revision in force.
        current: RulesRevision,
        /// The revision on which the file was based.
        base: RulesRevision,
        /// Unified diff from the rules in force to the file.
        difference: String,
    },
    /// The store or a daemon could not be reached; nothing was changed.
    Unreachable {
        /// The service and its address, for example "the store at 10.0.0.1:2380".
        service: String,
        /// The message of the HTTP client or store client.
        cause: String,
    },
    /// The change was sent to the store, but the response was lost and reading back failed.
    Uncertain,
}

impl CommandError {
    /// The exit code: 1 for a refusal, 2 for bad input, 3 if the store or daemon could not be
    /// reached, 4 if it is unknown whether a change was made.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Conflict { .. } => 1,
            Self::Usage(_)
            | Self::File { .. }
            | Self::InvalidRules(_)
            | Self::InvalidSettings(_) => 2,
            Self::Unreachable { .. } => 3,
            Self::Uncertain => 4,
        }
    }

    /// Writes the error to standard error, or as JSON to standard output if `json` is set.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", self.to_json());
        } else {
            eprintln!("error: {self}");
        }
    }

    fn to_json(&self) -> Value {
        let faults: Vec<Value> = match self {
            Self::InvalidRules(errors) => errors
                .iter()
                .map(|error| {
                    json!({"line": error.line_number, "cause": error.cause, "remedy": error.remedy})
                })
                .collect(),
            Self::InvalidSettings(errors) => errors
                .iter()
                .map(|error| {
                    json!({"path": error.path, "cause": error.cause, "remedy": error.remedy})
                })
                .collect(),
            _ => Vec::new(),
        };
        json!({"error": self.to_string(), "exit_code": self.exit_code(), "faults": faults})
    }
}

impl fmt::Display for CommandError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage(cause) => f.write_str(cause),
            Self::File { path, cause } => {
                write!(
                    f,
                    "{}: {cause}; check the path and its permissions",
                    path.display()
                )
            }
            Self::InvalidRules(errors) => {
                write!(
                    f,
                    "the rules file is invalid, nothing was changed; correct these lines:"
                )?;
                errors.iter().try_for_each(|error| write!(f, "\n  {error}"))
            }
            Self::InvalidSettings(errors) => {
                write!(f, "the settings file is invalid; correct these entries:")?;
                errors.iter().try_for_each(|error| write!(f, "\n  {error}"))
            }
            Self::Conflict {
                current,
                base,
                difference,
            } => write!(
                f,
                "the file is based on revision {base}, but revision {current} is in force; \
                 nothing was changed. Fetch the rules again, make your change in them and \
                 apply. The difference from the rules in force to your file:\n{difference}"
            ),
            Self::Unreachable { service, cause } => {
                write!(
                    f,
                    "the request to {service} failed: {cause}; nothing was changed, try again"
                )
            }
            Self::Uncertain => f.write_str(
                "the store's response was lost and the rules cannot be read back; run \
                 \"mimosagap rules diff\" when the store is reachable to see whether the change \
                 is in force",
            ),
        }
    }
}

impl std::error::Error for CommandError {}
