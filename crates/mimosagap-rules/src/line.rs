//! Lines of the rules file: a statement and the comment that names who asked for it.

use std::fmt;

use crate::statement::{Statement, parse_statement};

/// The roles which may ask for a rule.
pub const ROLES: [&str; 3] = ["insurer", "manager", "crew lead"];

/// The longest accepted line, in bytes.
pub const MAX_LINE_BYTES: usize = 512;

/// One rule with its place in the file.
#[derive(Debug, Clone, PartialEq)]
pub struct RuleLine {
    /// The line number, starting at 1.
    pub line_number: u32,
    /// The rule.
    pub statement: Statement,
    /// The comment, `ROLE: reason`.
    pub asked_by: String,
}

/// A line that is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineError {
    /// The line number, starting at 1.
    pub line_number: u32,
    /// What is wrong.
    pub cause: String,
    /// What to do about it.
    pub remedy: String,
}

impl LineError {
    /// An error on line `line_number`.
    #[must_use]
    pub fn new(line_number: u32, cause: impl Into<String>, remedy: impl Into<String>) -> Self {
        Self {
            line_number,
            cause: cause.into(),
            remedy: remedy.into(),
        }
    }
}

impl fmt::Display for LineError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "line {}: {}; {}",
            self.line_number, self.cause, self.remedy
        )
    }
}

impl std::error::Error for LineError {}

/// Parses every line of `text`.
///
/// # Errors
/// All bad lines, in the order of the file.
pub fn parse_rules(text: &str) -> Result<Vec<RuleLine>, Vec<LineError>> {
    let mut lines = Vec::new();
    let mut errors = Vec::new();
    for (line_number, line) in (1..).zip(text.lines()) {
        match parse_line(line_number, line) {
            Ok(Some(rule)) => lines.push(rule),
            Ok(None) => {}
            Err(error) => errors.push(error),
        }
    }
    if errors.is_empty() {
        Ok(lines)
    } else {
        Err(errors)
    }
}

fn parse_line(line_number: u32, line: &str) -> Result<Option<RuleLine>, LineError> {
    if line.len() > MAX_LINE_BYTES {
        let cause = format!("{} bytes long", line.len());
        return Err(LineError::new(
            line_number,
            cause,
            "shorten it to 512 bytes",
        ));
    }
    let line = line.trim();
    if line.is_empty() || line.starts_with('#') {
        return Ok(None);
    }
    let Some((statement, comment)) = line.split_once('#') else {
        let remedy = "end the line with \"# insurer: …\", \"# manager: …\" or \"# crew lead: …\"";
        return Err(LineError::new(
            line_number,
            "no comment names who asked for the rule",
            remedy,
        ));
    };
    let statement = parse_statement(statement.trim()).map_err(|cause| {
        LineError::new(
            line_number,
            cause,
            "see the list of statements in docs/operators.md",
        )
    })?;
    let asked_by = parse_comment(line_number, comment.trim())?;
    Ok(Some(RuleLine {
        line_number,
        statement,
        asked_by,
    }))
}

fn parse_comment(line_number: u32, comment: &str) -> Result<String, LineError> {
    let (role, reason) = comment.split_once(':').unwrap_or((comment, ""));
    if !ROLES.contains(&role.trim()) {
        let cause = format!("\"{}\" is not one who may ask for a rule", role.trim());
        let remedy = "begin the comment with \"insurer:\", \"manager:\" or \"crew lead:\"";
        return Err(LineError::new(line_number, cause, remedy));
    }
    if reason.trim().is_empty() {
        return Err(LineError::new(
            line_number,
            "the comment gives no reason",
            "add it after the colon",
        ));
    }
    Ok(format!("{}: {}", role.trim(), reason.trim()))
}
