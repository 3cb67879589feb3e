//! `rules check`, `fetch`, `show`, `diff` and `apply`.
//!
//! The first line of a stored text is `# revision N`, so that the line numbers in refusals and logs
//! are those of the file which `fetch` writes.

use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use mimosagap_rules::{RuleSet, RulesDelta, unified_diff};
use mimosagap_store::rules::{ApplyOptions, ApplyOutcome, StoredRules};
use mimosagap_store::{StoreClient, StoreOptions};
use mimosagap_types::prelude::*;
use serde_json::json;

use crate::error::CommandError;
use crate::output::Report;
use crate::settings::read;
use crate::status;

const STORE_TIMEOUT: Duration = Duration::from_secs(2);
/// An accepted rule has to be in force everywhere within 3 s.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(3);
const HEADER: &str = "# revision ";

/// A rules file with the revision on which it is based.
struct RulesFile {
    base: Option<RulesRevision>,
    /// Everything, as read.
    content: String,
}

impl RulesFile {
    /// The file without the line which names the revision.
    fn body(&self) -> &str {
        split_header(&self.content).1
    }
}

/// Checks a file as the daemons would.
pub fn check(path: &Path) -> Result<Report, CommandError> {
    let file = load(path)?;
    compile(&file.content)?;
    let rules = count(&file.content);
    let json = json!({"ok": true, "rules": rules});
    Ok(Report::new(
        format!("{}: good, {rules} rules", path.display()),
        json,
    ))
}

/// Writes the rules in force to a file, with their revision in the first line. A file that exists
/// may hold edits which are not applied yet, so it is replaced only on request.
pub fn fetch(store: SocketAddr, path: &Path, overwrite: bool) -> Result<Report, CommandError> {
    if path.exists() && !overwrite {
        let cause = "the file exists; name another one or add --overwrite".to_owned();
        return Err(CommandError::File {
            path: path.to_owned(),
            cause,
        });
    }
    let stored = read_store(store)?;
    let revision = stored.record.revision;
    let content = with_header(revision, split_header(&stored.record.text).1);
    std::fs::write(path, content).map_err(|error| CommandError::File {
        path: path.to_owned(),
        cause: error.to_string(),
    })?;
    let json = json!({"revision": revision.0, "rules": count(&stored.record.text)});
    Ok(Report::new(
        format!("revision {revision} written to {}", path.display()),
        json,
    ))
}

/// Prints the rules in force.
pub fn show(store: SocketAddr) -> Result<Report, CommandError> {
    let record = read_store(store)?.record;
    let text = with_header(record.revision, split_header(&record.text).1);
    Ok(Report::new(
        text,
        json!({"revision": record.revision.0, "text": record.text}),
    ))
}

/// Shows what applying a file would change.
pub fn diff(store: SocketAddr, path: &Path) -> Result<Report, CommandError> {
    let file = load(path)?;
    compile(&file.content)?;
    let stored = read_store(store)?;
    let difference = unified_diff(split_header(&stored.record.text).1, file.body());
    let text = if difference.is_empty() {
        "no difference".to_owned()
    } else {
        difference.clone()
    };
    let json = json!({"revision": stored.record.revision.0, "difference": difference});
    Ok(Report::new(text, json))
}

/// Puts a file in force, if the rules are still those on which it is based.
pub fn apply(
    store: SocketAddr,
    path: &Path,
    daemon: Option<SocketAddr>,
) -> Result<Report, CommandError> {
    let file = load(path)?;
    compile(&file.content)?;
    let stored = read_store(store)?;
    check_base(&file, &stored)?;
    let difference = unified_diff(split_header(&stored.record.text).1, file.body());
    if difference.is_empty() && stored.mod_revision != 0 {
        let revision = stored.record.revision;
        let json = json!({"revision": revision.0, "difference": ""});
        return Ok(Report::new(
            format!("no difference from revision {revision}"),
            json,
        ));
    }
    let revision = write(store, &stored, &file)?;
    write_file(path, &with_header(revision, file.body()), revision)?;
    let json = json!({"revision": revision.0, "difference": difference});
    let report = Report::new(format!("{difference}revision {revision} accepted"), json);
    match daemon {
        Some(daemon) => Ok(with_status(&report, daemon, revision)),
        None => Ok(report),
    }
}

fn write(
    store: SocketAddr,
    stored: &StoredRules,
    file: &RulesFile,
) -> Result<RulesRevision, CommandError> {
    let base = stored.record.revision;
    let text = with_header(RulesRevision(base.0 + 1), file.body());
    let delta = RulesDelta::between(base, &stored.record.text, &text);
    let options = ApplyOptions {
        base_mod_revision: stored.mod_revision,
        base,
        text,
        delta: serde_json::to_string(&delta).expect("a delta has only types that JSON can hold"),
    };
    match client(store).apply_rules(&options) {
        Ok(ApplyOutcome::Applied(revision)) => Ok(revision),
        Ok(ApplyOutcome::Conflict(current)) => Err(conflict(file, &current)),
        Ok(ApplyOutcome::Uncertain) => Err(CommandError::Uncertain),
        Err(error) => Err(unreachable(store, &error)),
    }
}

/// Gives the file the new revision, so that it can be edited and applied again.
fn write_file(path: &Path, content: &str, revision: RulesRevision) -> Result<(), CommandError> {
    std::fs::write(path, content).map_err(|error| {
        let cause =
            format!("revision {revision} is accepted, but the file was not updated: {error}");
        CommandError::File {
            path: path.to_owned(),
            cause,
        }
    })
}

fn with_status(report: &Report, daemon: SocketAddr, revision: RulesRevision) -> Report {
    match status::wait(daemon, revision, &SystemClock, IN_FORCE_LIMIT) {
        Ok(status) => {
            let text = format!("{}\n{}", report.text, status.text);
            let json = json!({"applied": report.json, "status": status.json});
            Report::new(text, json).with_code(status.code)
        }
        Err(error) => {
            let text = format!(
                "{}\nits state at the daemons is not known: {error}",
                report.text
            );
            Report::new(text, json!({"applied": report.json, "status": null})).with_code(1)
        }
    }
}

/// A file without a base is taken only while the store has no rules: otherwise lines which another
/// operator added meanwhile would vanish unseen.
fn check_base(file: &RulesFile, stored: &StoredRules) -> Result<(), CommandError> {
    if file.base.unwrap_or_default() == stored.record.revision {
        Ok(())
    } else {
        Err(conflict(file, stored))
    }
}

fn conflict(file: &RulesFile, current: &StoredRules) -> CommandError {
    CommandError::Conflict {
        current: current.record.revision,
        base: file.base.unwrap_or_default(),
        difference: unified_diff(split_header(&current.record.text).1, file.body()),
    }
}

fn load(path: &Path) -> Result<RulesFile, CommandError> {
    let content = read(path)?;
    let base = match split_header(&content).0 {
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
    Ok(RulesFile { base, content })
}

/// The revision in the first line, if it names one, and the rest.
fn split_header(content: &str) -> (Option<&str>, &str) {
    let (first, rest) = content.split_once('\n').unwrap_or((content, ""));
    match first.strip_prefix(HEADER) {
        Some(number) => (Some(number.trim()), rest),
        None => (None, content),
    }
}

fn with_header(revision: RulesRevision, body: &str) -> String {
    format!("{HEADER}{revision}\n{body}")
}

fn compile(text: &str) -> Result<RuleSet, CommandError> {
    RuleSet::compile(RulesRevision::default(), text).map_err(CommandError::BadRules)
}

fn count(text: &str) -> usize {
    let is_rule = |line: &&str| !line.trim().is_empty() && !line.trim().starts_with('#');
    text.lines().filter(is_rule).count()
}

fn read_store(store: SocketAddr) -> Result<StoredRules, CommandError> {
    client(store)
        .read_rules()
        .map_err(|error| unreachable(store, &error))
}

fn client(address: SocketAddr) -> StoreClient {
    StoreClient::new(StoreOptions {
        address,
        timeout: STORE_TIMEOUT,
    })
}

fn unreachable(store: SocketAddr, error: &dyn std::error::Error) -> CommandError {
    CommandError::Unreachable {
        what: format!("the store at {store}"),
        cause: error.to_string(),
    }
}
