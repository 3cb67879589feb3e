//! Commands that change the models, adapters and role of the engine, checked by fencing number.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::engine::options::FencingMode;
use crate::engine::stats::unix_millis;

/// Kind of command; `/control/stats` reports it under the serialized name.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CommandKind {
    LoadModel,
    LoadAdapter,
    UnloadAdapter,
    Role,
}

/// Reasons for refusing a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandError {
    /// The engine checks fencing numbers and the command has none.
    MissingFencingNumber,
    /// The engine has accepted a greater fencing number before.
    StaleFencingNumber {
        /// The greatest fencing number accepted so far.
        newest_number: u64,
    },
    /// The adapter to unload is not loaded.
    NotLoaded,
}

/// A command that was executed, as `/control/stats` reports it.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct CommandRecord {
    kind: CommandKind,
    name: String,
    fencing_number: Option<u64>,
    at_ms: u64,
}

/// The models and adapters that the engine serves, its role, and the record of commands.
#[derive(Debug)]
pub(crate) struct ServedSet {
    fencing_mode: FencingMode,
    newest_number: u64,
    names: BTreeSet<String>,
    pub(crate) role: String,
    pub(crate) records: Vec<CommandRecord>,
    pub(crate) refused: u64,
}

impl ServedSet {
    pub(crate) fn new(fencing_mode: FencingMode, models: &[String]) -> Self {
        Self {
            fencing_mode,
            newest_number: 0,
            names: models.iter().cloned().collect(),
            role: "mixed".to_owned(),
            records: Vec::new(),
            refused: 0,
        }
    }

    /// Names of the served models and adapters.
    pub(crate) fn names(&self) -> &BTreeSet<String> {
        &self.names
    }

    /// Checks the fencing number, executes the command and records it.
    pub(crate) fn apply(
        &mut self,
        kind: CommandKind,
        name: String,
        number: Option<u64>,
    ) -> Result<(), CommandError> {
        let result = self
            .check_fencing(number)
            .and_then(|()| self.apply_change(kind, &name));
        match result {
            Ok(()) => self.records.push(CommandRecord {
                kind,
                name,
                fencing_number: number,
                at_ms: unix_millis(),
            }),
            Err(_) => self.refused += 1,
        }
        result
    }

    fn check_fencing(&mut self, number: Option<u64>) -> Result<(), CommandError> {
        if self.fencing_mode == FencingMode::Ignore {
            return Ok(());
        }
        let number = number.ok_or(CommandError::MissingFencingNumber)?;
        if number < self.newest_number {
            let newest_number = self.newest_number;
            return Err(CommandError::StaleFencingNumber { newest_number });
        }
        self.newest_number = number;
        Ok(())
    }

    fn apply_change(&mut self, kind: CommandKind, name: &str) -> Result<(), CommandError> {
        match kind {
            CommandKind::LoadModel | CommandKind::LoadAdapter => {
                self.names.insert(name.to_owned());
            }
            CommandKind::UnloadAdapter => {
                if !self.names.remove(name) {
                    return Err(CommandError::NotLoaded);
                }
            }
            CommandKind::Role => name.clone_into(&mut self.role),
        }
        Ok(())
    }
}
