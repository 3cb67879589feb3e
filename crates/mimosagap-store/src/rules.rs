//! The rules text and the deltas between its revisions.

use std::fmt;
use std::thread;
use std::time::Duration;

use mimosagap_rules::RulesDelta;
use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::error::{CallError, NotApplied};
use crate::keys;
use crate::kv::{DeleteOptions, KeyValue, PutOptions, RangeOptions};
use crate::nonce::Nonce;
use crate::txn::{Operation, TxnOptions};
use crate::write::compare;

/// How many deltas are kept. At 4,100 changes a day they cover 20 minutes on average; a daemon
/// which is further behind takes the whole text.
const KEPT_DELTAS: u64 = 64;
/// A larger delta is stored empty, as it saves nothing against the text, and the store takes no
/// value above 1 MB.
const MAX_DELTA_BYTES: usize = 256 << 10;
const MAX_ATTEMPTS: u32 = 5;
const FIRST_PAUSE: Duration = Duration::from_millis(100);

/// The rules as written by the operators.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RulesRecord {
    /// The revision.
    pub revision: RulesRevision,
    /// The file's text.
    pub text: String,
}

/// The change from one revision to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DeltaRecord {
    /// The revision to which the delta applies.
    pub base: RulesRevision,
    /// The revision that results.
    pub revision: RulesRevision,
    /// A [`RulesDelta`] as JSON; empty if it would be too large.
    pub delta: String,
    /// The writer's mark, by which it knows its own write when the store's answer is lost.
    pub nonce: Nonce,
}

/// The rules in the store. Without a record the revision is 0 and the text empty.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredRules {
    /// The record.
    pub record: RulesRecord,
    /// The store's revision of the record, which [`StoreClient::apply_rules`] compares; 0 without
    /// a record.
    pub mod_revision: u64,
}

/// A change to apply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOptions {
    /// The mod revision of the record that the operator started from.
    pub base_mod_revision: u64,
    /// The rules revision of that record.
    pub base: RulesRevision,
    /// The new text.
    pub text: String,
    /// The [`RulesDelta`] from the base to the new text, as JSON.
    pub delta: String,
}

/// What became of a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is accepted under this revision.
    Applied(RulesRevision),
    /// Somebody else changed the rules since; nothing was written. Here is what they are now.
    Conflict(StoredRules),
    /// The change was sent, no answer arrived, and reading back failed too.
    Uncertain,
}

/// Why rules could not be read or applied. Nothing was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RulesError {
    /// The call failed.
    Call(CallError),
    /// The record is malformed.
    Malformed,
}

impl fmt::Display for RulesError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Call(error) => error.fmt(f),
            Self::Malformed => f.write_str(
                "the rules record is malformed; delete mg/rules/text and apply the rules again",
            ),
        }
    }
}

impl std::error::Error for RulesError {}

impl From<CallError> for RulesError {
    fn from(error: CallError) -> Self {
        Self::Call(error)
    }
}

impl RulesRecord {
    /// Reads a record's value.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

impl DeltaRecord {
    /// Reads a record's value.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The change; `None` if it is malformed or names other revisions than the record.
    #[must_use]
    pub fn to_delta(&self) -> Option<RulesDelta> {
        let delta: RulesDelta = serde_json::from_str(&self.delta).ok()?;
        (delta.base == self.base && delta.revision == self.revision).then_some(delta)
    }
}

impl StoredRules {
    fn from_entry(entry: Option<&KeyValue>) -> Result<Self, RulesError> {
        let Some(entry) = entry else {
            return Ok(Self::default());
        };
        Ok(Self {
            record: RulesRecord::parse(&entry.value).ok_or(RulesError::Malformed)?,
            mod_revision: entry.mod_revision,
        })
    }
}

impl StoreClient {
    /// Reads the rules.
    ///
    /// # Errors
    /// See [`RulesError`].
    pub fn read_rules(&self) -> Result<StoredRules, RulesError> {
        let outcome = self.range(RangeOptions::new(keys::RULES_TEXT))?;
        StoredRules::from_entry(outcome.entries.first())
    }

    /// Writes the text and its delta in one transaction that compares the base's mod revision, and
    /// drops old deltas. A lost answer is resolved by reading back.
    ///
    /// # Errors
    /// See [`RulesError`]; nothing was written.
    ///
    /// # Panics
    /// Never: both records can be written as JSON.
    pub fn apply_rules(&self, options: &ApplyOptions) -> Result<ApplyOutcome, RulesError> {
        let delta = DeltaRecord {
            base: options.base,
            revision: RulesRevision(options.base.0 + 1),
            delta: stored_delta(&options.delta),
            nonce: Nonce::random(),
        };
        let transaction = apply_transaction(options, &delta);
        let mut pause = FIRST_PAUSE;
        let mut fate_unknown = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.txn(transaction.clone()) {
                Ok(outcome) if outcome.succeeded => {
                    return Ok(ApplyOutcome::Applied(delta.revision));
                }
                Ok(outcome) => return resolve_conflict(&outcome.entries(), &delta),
                Err(CallError::NotApplied(NotApplied::TooManyCalls)) => {}
                Err(error @ CallError::NotApplied(_)) if !fate_unknown => return Err(error.into()),
                Err(CallError::NotApplied(_)) => {}
                Err(CallError::Unknown(_)) => fate_unknown = true,
            }
            thread::sleep(pause);
            pause *= 2;
        }
        if fate_unknown {
            Ok(ApplyOutcome::Uncertain)
        } else {
            Err(CallError::NotApplied(NotApplied::TooManyCalls).into())
        }
    }
}

fn stored_delta(delta: &str) -> String {
    if delta.len() > MAX_DELTA_BYTES {
        String::new()
    } else {
        delta.to_owned()
    }
}

fn apply_transaction(options: &ApplyOptions, delta: &DeltaRecord) -> TxnOptions {
    let text = RulesRecord {
        revision: delta.revision,
        text: options.text.clone(),
    };
    let text = serde_json::to_vec(&text).expect("rules have only types that JSON can hold");
    let value = serde_json::to_vec(delta).expect("a delta has only types that JSON can hold");
    let delta_key = keys::rules_delta(delta.revision);
    let mut success = vec![
        Operation::Put(PutOptions::new(keys::RULES_TEXT, text)),
        Operation::Put(PutOptions::new(&delta_key, value)),
    ];
    if let Some(oldest) = delta.revision.0.checked_sub(KEPT_DELTAS) {
        let first = keys::rules_delta(RulesRevision(0));
        let end = keys::rules_delta(RulesRevision(oldest + 1));
        success.push(Operation::Delete(DeleteOptions::with_end(&first, &end)));
    }
    let failure = vec![
        Operation::Range(RangeOptions::new(keys::RULES_TEXT)),
        Operation::Range(RangeOptions::new(&delta_key)),
    ];
    TxnOptions::new(vec![compare(keys::RULES_TEXT, options.base_mod_revision)])
        .with_success(success)
        .with_failure(failure)
}

/// The compare failed: either an earlier attempt of this very change took effect, which its delta
/// shows even if somebody applied the next change on top of it, or somebody else was first.
fn resolve_conflict(entries: &[KeyValue], delta: &DeltaRecord) -> Result<ApplyOutcome, RulesError> {
    let find = |key: &str| entries.iter().find(|entry| entry.key == key);
    let found =
        find(&keys::rules_delta(delta.revision)).and_then(|entry| DeltaRecord::parse(&entry.value));
    if found.is_some_and(|found| found.nonce == delta.nonce) {
        return Ok(ApplyOutcome::Applied(delta.revision));
    }
    let current = StoredRules::from_entry(find(keys::RULES_TEXT))?;
    Ok(ApplyOutcome::Conflict(current))
}
