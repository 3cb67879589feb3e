//! `rules status`: which daemons have a revision in force.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use mimosagap_types::prelude::*;
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::http;
use crate::output::{Report, align};

/// What one daemon says.
struct DaemonStatus {
    daemon: String,
    address: String,
    revision: Option<RulesRevision>,
}

/// Reports every daemon's revision; exit code 1 if one lags behind or does not answer.
pub fn rules(daemon: SocketAddr, revision: Option<u64>) -> Result<Report, CommandError> {
    let statuses = ask_all(daemon)?;
    let newest = statuses
        .iter()
        .filter_map(|status| status.revision)
        .max()
        .unwrap_or_default();
    let wanted = revision.map_or(newest, RulesRevision);
    Ok(report(&statuses, wanted))
}

/// Waits until every daemon has `revision` in force, for `limit` at most.
pub fn wait(
    daemon: SocketAddr,
    revision: RulesRevision,
    clock: &dyn Clock,
    limit: Duration,
) -> Result<Report, CommandError> {
    let start = clock.now();
    loop {
        let statuses = ask_all(daemon)?;
        let behind = statuses.iter().any(|status| lags(status, revision));
        if !behind || clock.now() - start >= limit {
            return Ok(report(&statuses, revision));
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn lags(status: &DaemonStatus, wanted: RulesRevision) -> bool {
    status.revision.is_none_or(|revision| revision < wanted)
}

fn ask_all(daemon: SocketAddr) -> Result<Vec<DaemonStatus>, CommandError> {
    let answer = http::get(daemon, "/admin/v1/daemons")?;
    let rows = answer
        .as_array()
        .or_else(|| answer.get("daemons").and_then(Value::as_array));
    let rows = rows.map(Vec::as_slice).unwrap_or_default();
    let threads: Vec<_> = rows
        .iter()
        .cloned()
        .map(|row| thread::spawn(move || ask(&row)))
        .collect();
    Ok(threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect())
}

fn ask(row: &Value) -> DaemonStatus {
    let field = |name: &str| {
        row.get(name)
            .and_then(Value::as_str)
            .unwrap_or("?")
            .to_owned()
    };
    let address = field("admin_address");
    let answer = address
        .parse()
        .ok()
        .and_then(|address| http::get(address, "/admin/v1/rules").ok());
    let revision = answer
        .as_ref()
        .and_then(|answer| answer.get("revision")?.as_u64());
    DaemonStatus {
        daemon: field("id"),
        address,
        revision: revision.map(RulesRevision),
    }
}

fn report(statuses: &[DaemonStatus], wanted: RulesRevision) -> Report {
    let behind = statuses
        .iter()
        .filter(|status| lags(status, wanted))
        .count();
    let have = statuses.len() - behind;
    let mut lines = Vec::new();
    for status in statuses {
        let revision = status
            .revision
            .map_or("no answer".to_owned(), |r| r.to_string());
        let state = if lags(status, wanted) {
            "not in force"
        } else {
            "in force"
        };
        lines.push(vec![
            status.daemon.clone(),
            status.address.clone(),
            revision,
            state.to_owned(),
        ]);
    }
    let text = format!(
        "revision {wanted} is in force at {have} of {} daemons\n{}",
        statuses.len(),
        align(&lines)
    );
    let daemons: Vec<Value> = statuses
        .iter()
        .map(|status| {
            json!({
                "id": status.daemon,
                "admin_address": status.address,
                "revision": status.revision.map(|revision| revision.0),
                "in_force": !lags(status, wanted),
            })
        })
        .collect();
    let json = json!({"revision": wanted.0, "in_force": have, "daemons": daemons});
    Report::new(text, json).with_code(u8::from(behind > 0))
}
