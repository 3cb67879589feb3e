//! Reports of commands, as text or JSON.

use serde_json::Value;

/// The result of a command, in both forms.
pub struct CommandReport {
    /// Text for people.
    pub text: String,
    /// JSON for programs, printed with `--json`.
    pub json: Value,
    /// The exit code of the process; 0 unless it is set.
    pub exit_code: u8,
}

impl CommandReport {
    /// A report whose two forms are the same text.
    pub fn from_text(text: &str) -> Self {
        Self {
            text: text.to_owned(),
            json: Value::from(text),
            exit_code: 0,
        }
    }

    /// A report whose forms differ.
    pub fn new(text: String, json: Value) -> Self {
        Self {
            text,
            json,
            exit_code: 0,
        }
    }

    /// The same report with another exit code.
    pub fn with_exit_code(mut self, exit_code: u8) -> Self {
        self.exit_code = exit_code;
        self
    }

    /// Writes the report to standard output.
    pub fn print(&self, json: bool) {
        if json {
            println!("{}", self.json);
        } else {
            println!("{}", self.text.trim_end_matches('\n'));
        }
    }
}

/// Formats a JSON value as text: an array of objects as a table, an object with one line for each
/// key.
pub fn format_value(value: &Value) -> String {
    match value {
        Value::Array(rows) if rows.is_empty() => "none".to_owned(),
        Value::Array(rows) if rows.iter().all(Value::is_object) => format_table(rows),
        Value::Object(fields) => {
            let lines = fields.iter().map(|(key, value)| match value {
                Value::Array(_) | Value::Object(_) => {
                    format!("{key}:\n{}", indent(&format_value(value)))
                }
                _ => format!("{key}: {}", format_cell(value)),
            });
            lines.collect::<Vec<_>>().join("\n")
        }
        _ => format_cell(value),
    }
}

fn format_table(rows: &[Value]) -> String {
    let mut columns: Vec<&String> = Vec::new();
    for key in rows
        .iter()
        .filter_map(Value::as_object)
        .flat_map(|row| row.keys())
    {
        if !columns.contains(&key) {
            columns.push(key);
        }
    }
    let mut lines = vec![columns.iter().map(ToString::to_string).collect::<Vec<_>>()];
    lines.extend(rows.iter().map(|row| {
        columns
            .iter()
            .map(|column| row.get(*column).map_or_else(String::new, format_cell))
            .collect()
    }));
    align_columns(&lines)
}

/// Formats lines of cells as columns, with two spaces between them.
pub fn align_columns(lines: &[Vec<String>]) -> String {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let format_line = |line: &Vec<String>| {
        let cells = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    lines.iter().map(format_line).collect::<Vec<_>>().join("\n")
}

fn format_cell(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        Value::Null => "-".to_owned(),
        other => other.to_string(),
    }
}

fn indent(text: &str) -> String {
    text.lines()
        .map(|line| format!("  {line}"))
        .collect::<Vec<_>>()
        .join("\n")
}
