//! Commands that change what the engine serves, with fencing numbers.

use std::collections::BTreeSet;

use serde::Serialize;

use crate::engine::options::FencingMode;
use crate::engine::stats::wall_ms;

/// What a command does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum CommandKind {
    LoadModel,
    LoadAdapter,
    UnloadAdapter,
    Role,
}

/// Why a command was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum CommandError {
    /// The engine checks fencing numbers, and none was sent.
    NoNumber,
    /// A greater number was seen before.
    OldNumber {
        /// The greatest number seen.
        newest: u64,
    },
    /// The adapter to unload is not loaded.
    NotLoaded,
}

/// A command that was carried out.
#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(crate) struct CommandRecord {
    kind: CommandKind,
    name: String,
    fencing_number: Option<u64>,
    at_ms: u64,
}

/// What the engine serves.
#[derive(Debug)]
pub(crate) struct ServedSet {
    mode: FencingMode,
    newest: u64,
    names: BTreeSet<String>,
    pub(crate) role: String,
    pub(crate) records: Vec<CommandRecord>,
    pub(crate) refused: u64,
}

impl ServedSet {
    pub(crate) fn new(mode: FencingMode, models: &[String]) -> Self {
        Self {
            mode,
            newest: 0,
            names: models.iter().cloned().collect(),
            role: "mixed".to_owned(),
            records: Vec::new(),
            refused: 0,
        }
    }

    /// The models and adapters.
    pub(crate) fn names(&self) -> &BTreeSet<String> {
        &self.names
    }

    /// Carries out a command.
    pub(crate) fn apply(
        &mut self,
        kind: CommandKind,
        name: String,
        number: Option<u64>,
    ) -> Result<(), CommandError> {
        let result = self.check(number).and_then(|()| self.change(kind, &name));
        match result {
            Ok(()) => self.records.push(CommandRecord {
                kind,
                name,
                fencing_number: number,
                at_ms: wall_ms(),
            }),
            Err(_) => self.refused += 1,
        }
        result
    }

    fn check(&mut self, number: Option<u64>) -> Result<(), CommandError> {
        if self.mode == FencingMode::Ignore {
            return Ok(());
        }
        let number = number.ok_or(CommandError::NoNumber)?;
        if number < self.newest {
            let newest = self.newest;
            return Err(CommandError::OldNumber { newest });
        }
        self.newest = number;
        Ok(())
    }

    fn change(&mut self, kind: CommandKind, name: &str) -> Result<(), CommandError> {
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
