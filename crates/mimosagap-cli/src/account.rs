//! `mimosagap account`: why requests were lost or late, from the gateways' logs.

use std::collections::BTreeMap;
use std::path::PathBuf;

use mimosagap_explain::{RequestOutcome, SummaryOptions, count_outcomes};
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::explain::read_all;
use crate::output::{Report, align};

/// Counts the fates of all requests.
pub fn run(files: &[PathBuf]) -> Result<Report, CommandError> {
    let logs = read_all(files)?;
    let counts = count_outcomes(&logs, SummaryOptions::default());
    let parts = [
        ("generations", &counts.generations),
        ("calls", &counts.calls),
    ];
    let mut text: Vec<String> = parts
        .iter()
        .map(|(name, fates)| format!("{name}\n{}", table(fates)))
        .collect();
    if counts.omitted_lines > 0 {
        let left_out = counts.omitted_lines;
        text.push(format!(
            "note: the hosts left out {left_out} lines, so the counts are too low"
        ));
    }
    let text = text.join("\n");
    let fates = |fates: &BTreeMap<RequestOutcome, u64>| -> Value {
        let named = fates
            .iter()
            .map(|(fate, count)| (fate.label(), json!(count)));
        Value::Object(named.collect())
    };
    let json = json!({
        "generations": fates(&counts.generations),
        "calls": fates(&counts.calls),
        "left_out": counts.omitted_lines,
    });
    Ok(Report::new(text, json))
}

fn table(fates: &BTreeMap<RequestOutcome, u64>) -> String {
    let rows: Vec<Vec<String>> = fates
        .iter()
        .map(|(fate, count)| vec![count.to_string(), fate.label()])
        .collect();
    align(&rows)
}
