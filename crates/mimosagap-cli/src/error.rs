//! Failures of commands and their exit codes.

use std::fmt;
use std::path::PathBuf;

use mimosagap_rules::LineError;
use mimosagap_settings::SettingsError;
use mimosagap_types::prelude::*;
use serde_json::{Value, json};

/// Why a command failed.
#[derive(Debug)]
pub enum CommandError {
    /// The command line is wrong.
    Usage(String),
    /// A file cannot be read or written.
    File {
        /// The file.
        path: PathBuf,
        /// The operating system's message.
        cause: String,
    },
    /// The rules file has bad lines; nothing was changed.
    BadRules(Vec<LineError>),
    /// The settings file has faults.
    BadSettings(Vec<SettingsError>),
    /// The rules in force are not those on which the file was based; nothing was changed.
    Conflict {
        /// The revision in force.
        current: RulesRevision,
        /// The revision on which the file was based.
        base: RulesRevision,
        /// From the rules in force to the file.
        difference: String,
    },
    /// The store or a daemon could not be reached; nothing was changed.
    Unreachable {
        /// What was asked.
        what: String,
        /// The cause.
        cause: String,
    },
    /// The store took the change but its answer was lost, and reading back failed.
    Uncertain,
}

impl CommandError {
    /// 1 for a refusal, 2 for bad input, 3 if the other side could not be reached, 4 if the fate
    /// of a change is not known.
    pub fn code(&self) -> u8 {
        match self {
            Self::Conflict { .. } => 1,
            Self::Usage(_) | Self::File { .. } | Self::BadRules(_) | Self::BadSettings(_) => 2,
            Self::Unreachable { .. } => 3,
            Self::Uncertain => 4,
        }
    }

    /// Writes the error to standard error, and in JSON to standard output if `json` is set.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", self.to_json());
        } else {
            eprintln!("error: {self}");
        }
    }

    fn to_json(&self) -> Value {
        let faults: Vec<Value> = match self {
            Self::BadRules(errors) => errors
                .iter()
                .map(|e| json!({"line": e.line_number, "cause": e.cause, "remedy": e.remedy}))
                .collect(),
            Self::BadSettings(errors) => errors
                .iter()
                .map(|e| json!({"path": e.path, "cause": e.cause, "remedy": e.remedy}))
                .collect(),
            _ => Vec::new(),
        };
        json!({"error": self.to_string(), "exit_code": self.code(), "faults": faults})
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
            Self::BadRules(errors) => {
                write!(f, "the rules were refused, nothing was changed")?;
                errors.iter().try_for_each(|error| write!(f, "\n  {error}"))
            }
            Self::BadSettings(errors) => {
                write!(f, "the settings were refused")?;
                errors.iter().try_for_each(|error| write!(f, "\n  {error}"))
            }
            Self::Conflict {
                current,
                base,
                difference,
            } => write!(
                f,
                "the file is based on revision {base}, but revision {current} is in force; \
                 nothing was changed. Fetch the rules again, put your change into them and \
                 apply. From the rules in force to your file:\n{difference}"
            ),
            Self::Unreachable { what, cause } => {
                write!(f, "{what}: {cause}; nothing was changed, try again")
            }
            Self::Uncertain => f.write_str(
                "the store's answer was lost and it cannot be read back; run \
                 \"mimosagap rules diff\" when it is reachable to see whether the change is in \
                 force",
            ),
        }
    }
}

impl std::error::Error for CommandError {}
