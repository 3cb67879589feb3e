//! The names of the records.

use std::net::SocketAddr;

use mimosagap_types::prelude::*;

/// The prefix of all records that every daemon watches.
pub const CONTROL_PREFIX: &str = "mg/c/";
/// The key of the rules text.
pub const RULES_TEXT: &str = "mg/rules/text";
/// The prefix of the deltas between revisions of the rules.
pub const RULES_DELTA_PREFIX: &str = "mg/c/rules/delta/";
/// The prefix of the membership records.
pub const DAEMONS_PREFIX: &str = "mg/c/daemons/";
/// The prefix of the suspect records.
pub const SUSPECTS_PREFIX: &str = "mg/c/suspects/";
/// The prefix of the records that reserve an engine for one trial.
pub const TRIALS_PREFIX: &str = "mg/c/trials/";
/// The prefix of the lender slots.
pub const LENDERS_PREFIX: &str = "mg/c/lenders/";
/// The number of lender slots.
pub const LENDER_SLOTS: u16 = 16;

/// The key of a delta. The number is padded so that keys sort by revision.
#[must_use]
pub fn rules_delta(revision: RulesRevision) -> String {
    format!("{RULES_DELTA_PREFIX}{:020}", revision.0)
}

/// The key of a membership record.
#[must_use]
pub fn daemon(id: &DaemonId) -> String {
    format!("{DAEMONS_PREFIX}{id}")
}

/// The key of an order's claim.
#[must_use]
pub fn order(key: &OrderKey) -> String {
    format!("mg/o/{}/{}", key.team, key.key)
}

/// The key of a suspect record.
#[must_use]
pub fn suspect(digest: &RequestDigest) -> String {
    format!("{SUSPECTS_PREFIX}{digest}")
}

/// The key that reserves an engine for one trial.
#[must_use]
pub fn trial(engine: SocketAddr) -> String {
    format!("{TRIALS_PREFIX}{engine}")
}

/// The key of a lender slot.
#[must_use]
pub fn lender(slot: u16) -> String {
    format!("{LENDERS_PREFIX}{slot:02}")
}

/// The least key greater than all keys with this prefix. Prefixes end in ASCII.
pub(crate) fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    let last = end.pop().map_or('\0', |last| char::from(last as u8 + 1));
    end.push(last);
    end
}
