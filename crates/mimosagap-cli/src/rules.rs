//! `rules check`, `fetch`, `show`, `diff` and `apply`.
//!
//! The first line of the stored rules is `# revision N`, so that the line numbers in refusals and
//! logs are those of the file that `fetch` writes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mimosagap_rules::{RuleSet, RulesDelta, unified_diff};
use mimosagap_store::rules::{ApplyOptions, ApplyOutcome, StoredRules};
use mimosagap_store::{StoreClient, StoreOptions};
use mimosagap_types::prelude::*;
use serde_json::json;

use crate::error::CommandError;
use crate::output::CommandReport;
use crate::settings::read_file;
use crate::status;

/// Limit on one call of the store.
const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// Accepted rules must be in force at all daemons within this time.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);
/// The beginning of the line that names the revision.
const REVISION_PREFIX: &str = "# revision ";

/// A rules file and the revision that it is based on.
struct RulesFile {
    /// The revision in its first line; `None` without such a line.
    base_revision: Option<RulesRevision>,
    /// The whole file, with the line of the revision.
    content: String,
}

impl RulesFile {
    /// The file without the line that names the revision.
    fn body(&self) -> &str {
        split_revision(&self.content).1
    }
}

/// Checks a rules file with the daemons' own parser.
pub fn check(path: &Path) -> Result<CommandReport, CommandError> {
    let file = load_file(path)?;
    compile(&file.content)?;
    let rules = count_rules(&file.content);
    let json = json!({"ok": true, "rules": rules});
    Ok(CommandReport::new(
        format!("{}: valid, {rules} rules", path.display()),
        json,
    ))
}

/// Writes the rules in force to a file, with their revision in the first line. An existing file may
/// hold edits that are not applied yet, so it is replaced only with `overwrite`.
pub fn fetch(
    store: SocketAddr,
    path: &Path,
    overwrite: bool,
) -> Result<CommandReport, CommandError> {
    if path.exists() && !overwrite {
        let cause = "the file already exists; name another one or add --overwrite".to_owned();
        return Err(CommandError::File {
            path: path.to_owned(),
            cause,
        });
    }
    let stored = read_rules(store)?;
    let revision = stored.record.revision;
    let content = with_revision(revision, split_revision(&stored.record.text).1);
    std::fs::write(path, content).map_err(|error| CommandError::File {
        path: path.to_owned(),
        cause: error.to_string(),
    })?;
    let json = json!({"revision": revision.0, "rules": count_rules(&stored.record.text)});
    Ok(CommandReport::new(
        format!("revision {revision} written to {}", path.display()),
        json,
    ))
}

/// Prints the rules in force.
pub fn show(store: SocketAddr) -> Result<CommandReport, CommandError> {
    let record = read_rules(store)?.record;
    let text = with_revision(record.revision, split_revision(&record.text).1);
    Ok(CommandReport::new(
        text,
        json!({"revision": record.revision.0, "text": record.text}),
    ))
}

/// Shows what applying a file would change.
pub fn diff(store: SocketAddr, path: &Path) -> Result<CommandReport, CommandError> {
    let file = load_file(path)?;
    compile(&file.content)?;
    let stored = read_rules(store)?;
    let difference = unified_diff(split_revision(&stored.record.text).1, file.body());
    let text = if difference.is_empty() {
        "no difference".to_owned()
    } else {
        difference.clone()
    };
    let json = json!({"revision": stored.record.revision.0, "difference": difference});
    Ok(CommandReport::new(text, json))
}

/// Puts a file in force, if the rules in force are still those that it is based on. With a daemon,
/// also waits until all daemons have the new revision in force.
pub fn apply(
    store: SocketAddr,
    path: &Path,
    daemon: Option<SocketAddr>,
) -> Result<CommandReport, CommandError> {
    let file = load_file(path)?;
    compile(&file.content)?;
    let stored = read_rules(store)?;
    check_base(&file, &stored)?;
    let difference = unified_diff(split_revision(&stored.record.text).1, file.body());
    if difference.is_empty() && stored.mod_revision != 0 {
        let revision = stored.record.revision;
        let json = json!({"revision": revision.0, "difference": ""});
        return Ok(CommandReport::new(
            format!("no difference from revision {revision}"),
            json,
        ));
    }
    let revision = write_rules(store, &stored, &file)?;
    update_file(path, &with_revision(revision, file.body()), revision)?;
    let json = json!({"revision": revision.0, "difference": difference});
    let report = CommandReport::new(format!("{difference}revision {revision} accepted"), json);
    match daemon {
        Some(daemon) => Ok(add_status(&report, daemon, revision)),
        None => Ok(report),
    }
}

/// Writes the file's rules to the store as the revision after `stored`.
fn write_rules(
    store: SocketAddr,
    stored: &StoredRules,
    file: &RulesFile,
) -> Result<RulesRevision, CommandError> {
    let base = stored.record.revision;
    let text = with_revision(RulesRevision(base.0 + 1), file.body());
    let delta = RulesDelta::between(base, &stored.record.text, &text);
    let options = ApplyOptions {
        base_mod_revision: stored.mod_revision,
        base,
        text,
        delta: serde_json::to_string(&delta).expect("a delta has only types that JSON can hold"),
    };
    match store_client(store).apply_rules(&options) {
        Ok(ApplyOutcome::Applied(revision)) => Ok(revision),
        Ok(ApplyOutcome::Conflict(current)) => Err(conflict_error(file, &current)),
        Ok(ApplyOutcome::Uncertain) => Err(CommandError::Uncertain),
        Err(error) => Err(unreachable_error(store, &error)),
    }
}

/// Writes the new revision into the file, so that it can be edited and applied again.
fn update_file(path: &Path, content: &str, revision: RulesRevision) -> Result<(), CommandError> {
    std::fs::write(path, content).map_err(|error| {
        let cause =
            format!("revision {revision} is accepted, but the file was not updated: {error}");
        CommandError::File {
            path: path.to_owned(),
            cause,
        }
    })
}

/// Waits until all daemons have the revision in force, and adds their state to the report.
fn add_status(
    report: &CommandReport,
    daemon: SocketAddr,
    revision: RulesRevision,
) -> CommandReport {
    match status::wait_until_in_force(daemon, revision, &SystemClock, IN_FORCE_LIMIT) {
        Ok(status) => {
            let text = format!("{}\n{}", report.text, status.text);
            let json = json!({"applied": report.json, "status": status.json});
            CommandReport::new(text, json).with_exit_code(status.exit_code)
        }
        Err(error) => {
            let text = format!(
                "{}\nunknown which daemons have it in force: {error}",
                report.text
            );
            CommandReport::new(text, json!({"applied": report.json, "status": null}))
                .with_exit_code(1)
        }
    }
}

/// Checks that the file is based on the rules in force. A file without a revision is accepted only
/// while the store has no rules: otherwise lines that another operator added meanwhile would be
/// lost unnoticed.
fn check_base(file: &RulesFile, stored: &StoredRules) -> Result<(), CommandError> {
    if file.base_revision.unwrap_or_default() == stored.record.revision {
        Ok(())
    } else {
        Err(conflict_error(file, stored))
    }
}

fn conflict_error(file: &RulesFile, current: &StoredRules) -> CommandError {
    CommandError::Conflict {
        current: current.record.revision,
        base: file.base_revision.unwrap_or_default(),
        difference: unified_diff(split_revision(&current.record.text).1, file.body()),
    }
}

fn load_file(path: &Path) -> Result<RulesFile, CommandError> {
    let content = read_file(path)?;
    let base_revision = match split_revision(&content).0 {
        Some(number) => {
            Some(
                number
                    .parse()
                    .map(RulesRevision)
                    .map_err(|_| CommandError::File {
                        path: path.to_owned(),
                        cause: format!("\"{number}\" in the first line is not a revision number"),
                    })?,
            )
        }
        None => None,
    };
    Ok(RulesFile {
        base_revision,
        content,
    })
}

/// Splits off the first line if it names a revision; returns the text of the revision and the rest.
fn split_revision(content: &str) -> (Option<&str>, &str) {
    let (first, rest) = content.split_once('\n').unwrap_or((content, ""));
    match first.strip_prefix(REVISION_PREFIX) {
        Some(number) => (Some(number.trim()), rest),
        None => (None, content),
    }
}

fn with_revision(revision: RulesRevision, body: &str) -> String {
    format!("{REVISION_PREFIX}{revision}\n{body}")
}

fn compile(text: &str) -> Result<RuleSet, CommandError> {
    RuleSet::compile(RulesRevision::default(), text).map_err(CommandError::InvalidRules)
}

fn count_rules(text: &str) -> usize {
    let is_rule = |line: &&str| !line.trim().is_empty() && !line.trim().starts_with('#');
    text.lines().filter(is_rule).count()
}

fn read_rules(store: SocketAddr) -> Result<StoredRules, CommandError> {
    store_client(store)
        .read_rules()
        .map_err(|error| unreachable_error(store, &error))
}

fn store_client(address: SocketAddr) -> StoreClient {
    StoreClient::new(StoreOptions {
        address,
        timeout: STORE_TIMEOUT,
    })
}

fn unreachable_error(store: SocketAddr, error: &dyn std::error::Error) -> CommandError {
    CommandError::Unreachable {
        service: format!("the store at {store}"),
        cause: error.to_string(),
    }
}
