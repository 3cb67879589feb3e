//! What a command prints.

use serde_json::Value;

/// The result of a command, for people and for programs.
pub struct Report {
    /// The readable form.
    pub text: String,
    /// The machine-readable form.
    pub json: Value,
    /// The exit code.
    pub code: u8,
}

impl Report {
    /// A report whose two forms are the same text.
    pub fn text(text: &str) -> Self {
        Self {
            text: text.to_owned(),
            json: Value::from(text),
            code: 0,
        }
    }

    /// A report with both forms.
    pub fn new(text: String, json: Value) -> Self {
        Self {
            text,
            json,
            code: 0,
        }
    }

    /// Sets the exit code.
    pub fn with_code(mut self, code: u8) -> Self {
        self.code = code;
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

/// A JSON value as readable text: an array of objects as a table, an object as one line a key.
pub fn render(value: &Value) -> String {
    match value {
        Value::Array(rows) if rows.is_empty() => "none".to_owned(),
        Value::Array(rows) if rows.iter().all(Value::is_object) => render_table(rows),
        Value::Object(fields) => {
            let lines = fields.iter().map(|(key, value)| match value {
                Value::Array(_) | Value::Object(_) => format!("{key}:\n{}", indent(&render(value))),
                _ => format!("{key}: {}", cell(value)),
            });
            lines.collect::<Vec<_>>().join("\n")
        }
        _ => cell(value),
    }
}

fn render_table(rows: &[Value]) -> String {
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
            .map(|column| row.get(*column).map_or_else(String::new, cell))
            .collect()
    }));
    align(&lines)
}

/// Aligns columns with two spaces between them.
pub fn align(lines: &[Vec<String>]) -> String {
    let columns = lines.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = lines.iter().filter_map(|line| line.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    let widths: Vec<usize> = (0..columns).map(width).collect();
    let render_line = |line: &Vec<String>| {
        let cells = line
            .iter()
            .zip(&widths)
            .map(|(cell, width)| format!("{cell:<width$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
    };
    lines.iter().map(render_line).collect::<Vec<_>>().join("\n")
}

fn cell(value: &Value) -> String {
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
