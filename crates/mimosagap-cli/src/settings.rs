//! `settings check`.

use std::path::Path;

use mimosagap_settings::Settings;
use serde_json::json;

use crate::error::CommandError;
use crate::output::Report;

/// Checks a settings file as the daemon would.
pub fn check(path: &Path) -> Result<Report, CommandError> {
    let text = read(path)?;
    let settings = Settings::parse(&text).map_err(CommandError::BadSettings)?;
    let count = settings.deployments.len();
    let json = json!({"ok": true, "deployments": count});
    Ok(Report::new(
        format!("{}: good, {count} deployments", path.display()),
        json,
    ))
}

/// Reads a file.
pub fn read(path: &Path) -> Result<String, CommandError> {
    std::fs::read_to_string(path).map_err(|error| CommandError::File {
        path: path.to_owned(),
        cause: error.to_string(),
    })
}
