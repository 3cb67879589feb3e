//! `rules status`: which daemons have a revision of the rules in force.

use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use mimosagap_types::prelude::*;
use serde_json::{Value, json};

use crate::error::CommandError;
use crate::http;
use crate::output::{CommandReport, align_columns};

/// The rules revision of one daemon.
struct DaemonStatus {
    daemon_id: String,
    /// Its administration address, as another daemon lists it.
    address: String,
    /// `None` if it did not respond.
    revision: Option<RulesRevision>,
}

/// Reports which daemons have `revision`, or else the newest revision of any daemon, in force. The
/// exit code is 1 if a daemon has an older one or does not respond.
pub fn show(daemon: SocketAddr, revision: Option<u64>) -> Result<CommandReport, CommandError> {
    let statuses = query_all(daemon)?;
    let newest_revision = statuses
        .iter()
        .filter_map(|status| status.revision)
        .max()
        .unwrap_or_default();
    let expected_revision = revision.map_or(newest_revision, RulesRevision);
    Ok(build_report(&statuses, expected_revision))
}

/// Waits until every daemon has `revision` in force, for `timeout` at most, and reports the last
/// state.
pub fn wait_until_in_force(
    daemon: SocketAddr,
    revision: RulesRevision,
    clock: &dyn Clock,
    timeout: Duration,
) -> Result<CommandReport, CommandError> {
    let started_at = clock.now();
    loop {
        let statuses = query_all(daemon)?;
        let is_pending = statuses.iter().any(|status| is_behind(status, revision));
        if !is_pending || clock.now() - started_at >= timeout {
            return Ok(build_report(&statuses, revision));
        }
        thread::sleep(Duration::from_millis(100));
    }
}

fn is_behind(status: &DaemonStatus, expected_revision: RulesRevision) -> bool {
    status
        .revision
        .is_none_or(|revision| revision < expected_revision)
}

/// Lists the daemons that `daemon` knows, and asks all of them at once for their revision.
fn query_all(daemon: SocketAddr) -> Result<Vec<DaemonStatus>, CommandError> {
    let response = http::get_json(daemon, "/admin/v1/daemons")?;
    let rows = response
        .as_array()
        .or_else(|| response.get("daemons").and_then(Value::as_array));
    let rows = rows.map(Vec::as_slice).unwrap_or_default();
    let threads: Vec<_> = rows
        .iter()
        .cloned()
        .map(|row| thread::spawn(move || query_daemon(&row)))
        .collect();
    Ok(threads
        .into_iter()
        .filter_map(|thread| thread.join().ok())
        .collect())
}

/// Asks the daemon in a row of the list for its revision.
fn query_daemon(row: &Value) -> DaemonStatus {
    let field = |name: &str| {
        row.get(name)
            .and_then(Value::as_str)
            .unwrap_or("?")
            .to_owned()
    };
    let address = field("admin_address");
    let response = address
        .parse()
        .ok()
        .and_then(|address| http::get_json(address, "/admin/v1/rules").ok());
    let revision = response
        .as_ref()
        .and_then(|response| response.get("revision")?.as_u64());
    DaemonStatus {
        daemon_id: field("id"),
        address,
        revision: revision.map(RulesRevision),
    }
}

fn build_report(statuses: &[DaemonStatus], expected_revision: RulesRevision) -> CommandReport {
    let behind_count = statuses
        .iter()
        .filter(|status| is_behind(status, expected_revision))
        .count();
    let in_force_count = statuses.len() - behind_count;
    let mut lines = Vec::new();
    for status in statuses {
        let revision = status
            .revision
            .map_or("no response".to_owned(), |revision| revision.to_string());
        let state = if is_behind(status, expected_revision) {
            "not in force"
        } else {
            "in force"
        };
        lines.push(vec![
            status.daemon_id.clone(),
            status.address.clone(),
            revision,
            state.to_owned(),
        ]);
    }
    let text = format!(
        "revision {expected_revision} is in force at {in_force_count} of {} daemons\n{}",
        statuses.len(),
        align_columns(&lines)
    );
    let daemons: Vec<Value> = statuses
        .iter()
        .map(|status| {
            json!({
                "id": status.daemon_id,
                "admin_address": status.address,
                "revision": status.revision.map(|revision| revision.0),
                "in_force": !is_behind(status, expected_revision),
            })
        })
        .collect();
    let json =
        json!({"revision": expected_revision.0, "in_force": in_force_count, "daemons": daemons});
    CommandReport::new(text, json).with_exit_code(u8::from(behind_count > 0))
}
