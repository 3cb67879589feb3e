//! `account`: counts the outcomes of requests from the gateways' logs, and why they were lost or
//! late.

use std::collections::BTreeMap;
use std::path::PathBuf;

use mimosagap_explain::{RequestOutcome, SummaryOptions, count_outcomes};
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::explain::read_logs;
use crate::output::{CommandReport, align_columns};

/// Counts the outcomes of all requests in these logs.
pub fn run(files: &[PathBuf]) -> Result<CommandReport, CommandError> {
    let logs = read_logs(files)?;
    let counts = count_outcomes(&logs, SummaryOptions::default());
    let sections = [
        ("generations", &counts.generations),
        ("calls", &counts.calls),
    ];
    let mut text: Vec<String> = sections
        .iter()
        .map(|(name, outcomes)| format!("{name}\n{}", format_counts(outcomes)))
        .collect();
    if counts.omitted_lines > 0 {
        let omitted_lines = counts.omitted_lines;
        text.push(format!(
            "note: the hosts left out {omitted_lines} log lines, so the counts are too low"
        ));
    }
    let text = text.join("\n");
    let outcomes_json = |outcomes: &BTreeMap<RequestOutcome, u64>| -> Value {
        let members = outcomes
            .iter()
            .map(|(outcome, count)| (outcome.label(), json!(count)));
        Value::Object(members.collect())
    };
    let json = json!({
        "generations": outcomes_json(&counts.generations),
        "calls": outcomes_json(&counts.calls),
        "left_out": counts.omitted_lines,
    });
    Ok(CommandReport::new(text, json))
}

fn format_counts(outcomes: &BTreeMap<RequestOutcome, u64>) -> String {
    let rows: Vec<Vec<String>> = outcomes
        .iter()
        .map(|(outcome, count)| vec![count.to_string(), outcome.label()])
        .collect();
    align_columns(&rows)
}
