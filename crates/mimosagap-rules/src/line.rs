//! Lines of the rules file: a statement, and a comment that names the role that requested it.

use std::fmt;

use crate::statement::{Statement, parse_statement};

/// Roles that may request a rule.
pub const REQUESTER_ROLES: [&str; 3] = ["insurer", "manager", "crew lead"];

/// Maximum length of a line, in bytes.
pub const MAX_LINE_BYTES: usize = 512;

/// A rule and its position in the file.
#[derive(Debug, Clone, PartialEq)]
pub struct RuleLine {
    /// Line number, from 1.
    pub line_number: u32,
    /// Rule that the line states, without its comment.
    pub statement: Statement,
    /// Normalized comment, `ROLE: reason`.
    pub asked_by: String,
}

/// An error in one line, with its remedy.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LineError {
    /// Line number, from 1.
    pub line_number: u32,
    /// What is wrong with the line.
    pub cause: String,
    /// How the operator corrects the line.
    pub remedy: String,
}

impl LineError {
    /// Creates an error for the line with this number.
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

/// Parses all lines of `text`; blank lines and comment lines yield no rule.
///
/// # Errors
/// One error for each invalid line, in the order of the file.
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
        let cause = format!("the line has {} bytes", line.len());
        return Err(LineError::new(
            line_number,
            cause,
            "shorten it to at most 512 bytes",
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
    if !REQUESTER_ROLES.contains(&role.trim()) {
        let cause = format!("\"{}\" is not a role that may ask for a rule", role.trim());
        let remedy = "begin the comment with \"insurer:\", \"manager:\" or \"crew lead:\"";
        return Err(LineError::new(line_number, cause, remedy));
    }
    if reason.trim().is_empty() {
        return Err(LineError::new(
            line_number,
            "the comment gives no reason",
            "add a reason after the colon",
        ));
    }
    Ok(format!("{}: {}", role.trim(), reason.trim()))
}
