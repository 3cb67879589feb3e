//! `mimosagap explain`: the story of one request from the gateways' logs.

use std::fs::File;
use std::io::{BufReader, stdin};
use std::path::{Path, PathBuf};
use std::time::Duration;

use mimosagap_explain::{AttemptTrace, ExplainOptions, LogRecord, LogSet, RequestReport, explain};
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::output::{Report, align};

/// The name of standard input among the files.
const STANDARD_INPUT: &str = "-";

/// Exit code if no line has the id.
const NOT_FOUND: u8 = 1;

/// Tells the story of a request.
pub fn run(id: &str, files: &[PathBuf]) -> Result<Report, CommandError> {
    let logs = read_all(files)?;
    Ok(match explain(&logs, id, ExplainOptions::default()) {
        Ok(outcome) => Report::new(render(&outcome), as_json(&outcome)),
        Err(error) => Report::text(&error.to_string()).with_code(NOT_FOUND),
    })
}

/// Reads the logs of several hosts.
pub fn read_all(files: &[PathBuf]) -> Result<LogSet, CommandError> {
    let mut logs = LogSet::default();
    for file in files {
        read(&mut logs, file).map_err(|cause| CommandError::File {
            path: file.clone(),
            cause: cause.to_string(),
        })?;
    }
    Ok(logs)
}

fn read(logs: &mut LogSet, file: &Path) -> std::io::Result<()> {
    if file == Path::new(STANDARD_INPUT) {
        return logs.read_log(STANDARD_INPUT, stdin().lock());
    }
    let name = file.file_stem().unwrap_or_default().to_string_lossy();
    logs.read_log(&name, BufReader::new(File::open(file)?))
}

fn render(outcome: &RequestReport) -> String {
    let origin = origin(outcome);
    let mut parts: Vec<String> = outcome
        .attempts
        .iter()
        .map(|story| verdict(story) + &table(&story.records, origin))
        .collect();
    if !outcome.related_records.is_empty() {
        let table = table(&outcome.related_records, origin);
        parts.push(format!("meanwhile\n{table}"));
    }
    let notes = outcome.warnings.iter();
    let notes: Vec<String> = notes.map(|caution| format!("note: {caution}")).collect();
    parts.push(notes.join("\n"));
    parts.join("\n\n")
}

fn origin(outcome: &RequestReport) -> Duration {
    let lines = outcome.attempts.iter().flat_map(|story| &story.records);
    lines.map(|line| line.timestamp).min().unwrap_or_default()
}

fn verdict(story: &AttemptTrace) -> String {
    let id = &story.id;
    match (story.cause(), story.terminal_record()) {
        (Some(cause), _) => format!(
            "request {id}: failed\ncause: {}: {}\nmay have run: {}\nnext: {}\n",
            cause.name,
            cause.description,
            cause.may_have_run.label(),
            cause.next_step
        ),
        (None, Some(_)) => format!("request {id}: served\n"),
        (None, None) => format!("request {id}: no end\n"),
    }
}

fn table(lines: &[LogRecord], origin: Duration) -> String {
    let rows: Vec<Vec<String>> = lines
        .iter()
        .map(|line| {
            let fields = line.fields.iter().filter(|(name, _)| *name != "id");
            let fields: Vec<String> = fields
                .map(|(name, value)| format!("{name}={}", plain(value)))
                .collect();
            vec![
                offset(line.timestamp, origin),
                line.host.clone(),
                line.event.clone(),
                fields.join(" "),
            ]
        })
        .collect();
    align(&rows)
}

fn offset(at: Duration, origin: Duration) -> String {
    match at.checked_sub(origin) {
        Some(after) => format!("+{:.3} s", after.as_secs_f64()),
        None => format!("-{:.3} s", origin.saturating_sub(at).as_secs_f64()),
    }
}

fn plain(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn as_json(outcome: &RequestReport) -> Value {
    let line = |line: &LogRecord| {
        let at_ms = u64::try_from(line.timestamp.as_millis()).unwrap_or(u64::MAX);
        json!({"host": line.host, "at_ms": at_ms, "event": line.event, "fields": line.fields})
    };
    let lines = |lines: &[LogRecord]| lines.iter().map(line).collect::<Vec<_>>();
    let tries: Vec<Value> = outcome
        .attempts
        .iter()
        .map(|story| {
            let cause = story.cause().map(|cause| {
                json!({
                    "name": cause.name,
                    "what": cause.description,
                    "may_have_run": cause.may_have_run.label(),
                    "next": cause.next_step,
                })
            });
            json!({"id": story.id, "cause": cause, "lines": lines(&story.records)})
        })
        .collect();
    json!({
        "tries": tries,
        "meanwhile": lines(&outcome.related_records),
        "cautions": outcome.warnings,
    })
}
