//! Keys of the records in the store.

use std::net::SocketAddr;

use mimosagap_types::prelude::*;

/// Prefix of all records that every daemon watches.
pub const CONTROL_PREFIX: &str = "mg/c/";
/// Key of the rules text. It lies outside [`CONTROL_PREFIX`], so that watches transfer only the
/// much smaller deltas.
pub const RULES_TEXT: &str = "mg/rules/text";
/// Prefix of the deltas between revisions of the rules.
pub const RULES_DELTA_PREFIX: &str = "mg/c/rules/delta/";
/// Prefix of the membership records of daemons.
pub const DAEMONS_PREFIX: &str = "mg/c/daemons/";
/// Prefix of the suspect records.
pub const SUSPECTS_PREFIX: &str = "mg/c/suspects/";
/// Prefix of the records that reserve an engine for one trial.
pub const TRIALS_PREFIX: &str = "mg/c/trials/";
/// Prefix of the lender slots.
pub const LENDERS_PREFIX: &str = "mg/c/lenders/";
/// Number of lender slots, over which the teams are spread.
pub const LENDER_SLOTS: u16 = 16;

/// Key of the delta that leads to `revision`. The number is padded, so that keys sort by revision.
#[must_use]
pub fn rules_delta(revision: RulesRevision) -> String {
    format!("{RULES_DELTA_PREFIX}{:020}", revision.0)
}

/// Key of a daemon's membership record.
#[must_use]
pub fn daemon(id: &DaemonId) -> String {
    format!("{DAEMONS_PREFIX}{id}")
}

/// Key of the claim record of an order.
#[must_use]
pub fn order(key: &OrderKey) -> String {
    format!("mg/o/{}/{}", key.team, key.key)
}

/// Key of the suspect record of the request with this digest.
#[must_use]
pub fn suspect(digest: &RequestDigest) -> String {
    format!("{SUSPECTS_PREFIX}{digest}")
}

/// Key of the record that reserves an engine for one trial.
#[must_use]
pub fn trial(engine: SocketAddr) -> String {
    format!("{TRIALS_PREFIX}{engine}")
}

/// Key of a lender slot; `slot` is less than [`LENDER_SLOTS`].
#[must_use]
pub fn lender(slot: u16) -> String {
    format!("{LENDERS_PREFIX}{slot:02}")
}

/// Smallest key that is greater than all keys with this prefix, which ends in an ASCII character.
pub(crate) fn prefix_end(prefix: &str) -> String {
    let mut end = prefix.to_owned();
    let last = end.pop().map_or('\0', |last| char::from(last as u8 + 1));
    end.push(last);
    end
}
