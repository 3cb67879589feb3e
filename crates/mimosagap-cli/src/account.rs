//! `mimosagap account`: why requests were lost or late, from the gateways' logs.

use std::collections::BTreeMap;
use std::path::PathBuf;

use mimosagap_explain::{AccountOptions, RequestFate, account};
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::explain::read_all;
use crate::output::{Report, align};

/// Counts the fates of all requests.
pub fn run(files: &[PathBuf]) -> Result<Report, CommandError> {
    let logs = read_all(files)?;
    let counts = account(&logs, AccountOptions::default());
    let parts = [("generations", &counts.streams), ("calls", &counts.calls)];
    let mut text: Vec<String> = parts
        .iter()
        .map(|(name, fates)| format!("{name}\n{}", table(fates)))
        .collect();
    if counts.left_out > 0 {
        let left_out = counts.left_out;
        text.push(format!(
            "note: the hosts left out {left_out} lines, so the counts are too low"
        ));
    }
    let text = text.join("\n");
    let fates = |fates: &BTreeMap<RequestFate, u64>| -> Value {
        let named = fates
            .iter()
            .map(|(fate, count)| (fate.name(), json!(count)));
        Value::Object(named.collect())
    };
    let json = json!({
        "generations": fates(&counts.streams),
        "calls": fates(&counts.calls),
        "left_out": counts.left_out,
    });
    Ok(Report::new(text, json))
}

fn table(fates: &BTreeMap<RequestFate, u64>) -> String {
    let rows: Vec<Vec<String>> = fates
        .iter()
        .map(|(fate, count)| vec![count.to_string(), fate.name()])
        .collect();
    align(&rows)
}
