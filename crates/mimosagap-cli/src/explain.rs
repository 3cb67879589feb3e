//! `explain`: the attempts of one request and the cause of its failure, from the gateways' logs.

use std::fs::File;
use std::io::{BufReader, stdin};
use std::path::{Path, PathBuf};
use std::time::Duration;

use mimosagap_explain::{AttemptTrace, ExplainOptions, LogRecord, LogSet, RequestReport, explain};
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::output::{CommandReport, align_columns};

/// The file name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Exit code if no log line has the request id.
const NOT_FOUND_EXIT_CODE: u8 = 1;

/// Reports what the logs say of the request with an id.
pub fn run(id: &str, files: &[PathBuf]) -> Result<CommandReport, CommandError> {
    let logs = read_logs(files)?;
    Ok(match explain(&logs, id, ExplainOptions::default()) {
        Ok(report) => CommandReport::new(format_report(&report), report_json(&report)),
        Err(error) => {
            CommandReport::from_text(&error.to_string()).with_exit_code(NOT_FOUND_EXIT_CODE)
        }
    })
}

/// Reads the logs of several hosts. A log belongs to the host that its file is named after.
pub fn read_logs(files: &[PathBuf]) -> Result<LogSet, CommandError> {
    let mut logs = LogSet::default();
    for file in files {
        read_log(&mut logs, file).map_err(|cause| CommandError::File {
            path: file.clone(),
            cause: cause.to_string(),
        })?;
    }
    Ok(logs)
}

fn read_log(logs: &mut LogSet, file: &Path) -> std::io::Result<()> {
    if file == Path::new(STANDARD_INPUT) {
        return logs.read_log(STANDARD_INPUT, stdin().lock());
    }
    let host = file.file_stem().unwrap_or_default().to_string_lossy();
    logs.read_log(&host, BufReader::new(File::open(file)?))
}

fn format_report(report: &RequestReport) -> String {
    let start_time = first_timestamp(report);
    let mut sections: Vec<String> = report
        .attempts
        .iter()
        .map(|trace| format_result(trace) + &format_records(&trace.records, start_time))
        .collect();
    if !report.related_records.is_empty() {
        let table = format_records(&report.related_records, start_time);
        sections.push(format!("meanwhile\n{table}"));
    }
    let warnings = report.warnings.iter();
    let notes: Vec<String> = warnings.map(|warning| format!("note: {warning}")).collect();
    sections.push(notes.join("\n"));
    sections.join("\n\n")
}

/// The time of the first record of any attempt, which the printed times are relative to.
fn first_timestamp(report: &RequestReport) -> Duration {
    let records = report.attempts.iter().flat_map(|trace| &trace.records);
    records
        .map(|record| record.timestamp)
        .min()
        .unwrap_or_default()
}

/// Formats how an attempt ended, and for a failure why and what to do.
fn format_result(trace: &AttemptTrace) -> String {
    let id = &trace.id;
    match (trace.cause(), trace.terminal_record()) {
        (Some(cause), _) => format!(
            "request {id}: failed\ncause: {}: {}\nmay have run: {}\nnext: {}\n",
            cause.name,
            cause.description,
            cause.may_have_run.label(),
            cause.next_step
        ),
        (None, Some(_)) => format!("request {id}: served\n"),
        (None, None) => format!("request {id}: no end in these logs\n"),
    }
}

fn format_records(records: &[LogRecord], start_time: Duration) -> String {
    let rows: Vec<Vec<String>> = records
        .iter()
        .map(|record| {
            let fields = record.fields.iter().filter(|(name, _)| *name != "id");
            let fields: Vec<String> = fields
                .map(|(name, value)| format!("{name}={}", format_field(value)))
                .collect();
            vec![
                format_offset(record.timestamp, start_time),
                record.host.clone(),
                record.event.clone(),
                fields.join(" "),
            ]
        })
        .collect();
    align_columns(&rows)
}

/// Formats a time relative to `start_time`, in seconds with a sign.
fn format_offset(timestamp: Duration, start_time: Duration) -> String {
    match timestamp.checked_sub(start_time) {
        Some(elapsed) => format!("+{:.3} s", elapsed.as_secs_f64()),
        None => format!(
            "-{:.3} s",
            start_time.saturating_sub(timestamp).as_secs_f64()
        ),
    }
}

fn format_field(value: &Value) -> String {
    match value {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

fn report_json(report: &RequestReport) -> Value {
    let record_value = |record: &LogRecord| {
        let at_ms = u64::try_from(record.timestamp.as_millis()).unwrap_or(u64::MAX);
        json!({"host": record.host, "at_ms": at_ms, "event": record.event, "fields": record.fields})
    };
    let records_json = |records: &[LogRecord]| records.iter().map(record_value).collect::<Vec<_>>();
    let attempts: Vec<Value> = report
        .attempts
        .iter()
        .map(|trace| {
            let cause = trace.cause().map(|cause| {
                json!({
                    "name": cause.name,
                    "what": cause.description,
                    "may_have_run": cause.may_have_run.label(),
                    "next": cause.next_step,
                })
            });
            json!({"id": trace.id, "cause": cause, "lines": records_json(&trace.records)})
        })
        .collect();
    json!({
        "tries": attempts,
        "meanwhile": records_json(&report.related_records),
        "cautions": report.warnings,
    })
}
