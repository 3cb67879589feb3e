//! `settings check`: checks a settings file without a daemon.

use std::path::Path;

use mimosagap_settings::Settings;
use serde_json::json;

use crate::error::CommandError;
use crate::output::CommandReport;

/// Checks a settings file with the daemon's own parser.
pub fn check(path: &Path) -> Result<CommandReport, CommandError> {
    let text = read_file(path)?;
    let settings = Settings::parse(&text).map_err(CommandError::InvalidSettings)?;
    let count = settings.deployments.len();
    let json = json!({"ok": true, "deployments": count});
    Ok(CommandReport::new(
        format!("{}: valid, {count} deployments", path.display()),
        json,
    ))
}

/// Reads a text file; an error names its path.
pub fn read_file(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::File {
        path: path.to_owned(),
        cause: error.to_string(),
    })
}
