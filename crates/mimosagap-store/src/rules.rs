//! Records of the routing rules: the whole text and the deltas between its revisions. A text may
//! have hundreds of kilobytes and changes thousands of times a day, so daemons watch only the
//! deltas and read the text when they miss one.

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

/// Number of deltas kept in the store. At 4,100 changes a day they cover 20 minutes on average; a
/// daemon that is further behind reads the whole text.
const KEPT_DELTAS: u64 = 64;
/// A longer delta is stored empty: it saves nothing over the text, and the store rejects values
/// above 1 MB.
const MAX_DELTA_BYTES: usize = 256 << 10;
const MAX_ATTEMPTS: u32 = 5;
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Record of the rules text.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct RulesRecord {
    /// Revision of the rules.
    pub revision: RulesRevision,
    /// Text of the rules file, as written by the operators.
    pub text: String,
}

/// Record of the change from one revision to the next.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct DeltaRecord {
    /// Revision that the delta applies to.
    pub base: RulesRevision,
    /// Revision that results.
    pub revision: RulesRevision,
    /// [`RulesDelta`] as JSON; empty if it would be longer than 256 KiB.
    pub delta: String,
    /// Identifies the write, so that the writer recognizes it after a lost response.
    pub nonce: Nonce,
}

/// Rules as read from the store. Without a record the revision is 0 and the text is empty.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredRules {
    /// Record in the store; the default if there is none.
    pub record: RulesRecord,
    /// Mod revision of the record, which [`StoreClient::apply_rules`] compares; 0 without a record.
    pub mod_revision: u64,
}

/// Options of [`StoreClient::apply_rules`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ApplyOptions {
    /// Mod revision of the record that the change is based on; 0 if there was none.
    pub base_mod_revision: u64,
    /// Rules revision of that record.
    pub base: RulesRevision,
    /// Text that replaces that of the base.
    pub text: String,
    /// [`RulesDelta`] from the base to the new text, as JSON.
    pub delta: String,
}

/// Result of applying a change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The change is stored as this revision.
    Applied(RulesRevision),
    /// The rules changed since the base was read; nothing was written. Holds the current rules.
    Conflict(StoredRules),
    /// The change may or may not be stored: the response was lost, and reading back failed.
    Uncertain,
}

/// Failure to read or apply rules. Nothing was written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RulesError {
    /// The store call failed.
    Call(CallError),
    /// The stored record of the rules text is malformed.
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
    /// Decodes the value of a record; `None` if it is malformed.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

impl DeltaRecord {
    /// Decodes the value of a record; `None` if it is malformed.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Decodes the delta; `None` if it is empty, malformed or for other revisions than the record.
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
    /// Reads the current rules.
    ///
    /// # Errors
    /// See [`RulesError`].
    pub fn read_rules(&self) -> Result<StoredRules, RulesError> {
        let outcome = self.range(RangeOptions::new(keys::RULES_TEXT))?;
        StoredRules::from_entry(outcome.entries.first())
    }

    /// Writes the text and its delta in one transaction, if the record still has the base's mod
    /// revision, and deletes old deltas. After a lost response the transaction is repeated, and its
    /// failure branch reads back whether the first attempt was applied.
    ///
    /// # Errors
    /// See [`RulesError`]; nothing was written.
    ///
    /// # Panics
    /// Never: both records have a JSON representation.
    pub fn apply_rules(&self, options: &ApplyOptions) -> Result<ApplyOutcome, RulesError> {
        let delta_record = DeltaRecord {
            base: options.base,
            revision: RulesRevision(options.base.0 + 1),
            delta: truncate_delta(&options.delta),
            nonce: Nonce::random(),
        };
        let transaction = apply_transaction(options, &delta_record);
        let mut retry_delay = INITIAL_RETRY_DELAY;
        let mut maybe_applied = false;
        for _ in 0..MAX_ATTEMPTS {
            match self.txn(transaction.clone()) {
                Ok(outcome) if outcome.succeeded => {
                    return Ok(ApplyOutcome::Applied(delta_record.revision));
                }
                Ok(outcome) => return resolve_conflict(&outcome.entries(), &delta_record),
                Err(CallError::NotApplied(NotApplied::TooManyCalls)) => {}
                Err(error @ CallError::NotApplied(_)) if !maybe_applied => return Err(error.into()),
                Err(CallError::NotApplied(_)) => {}
                Err(CallError::Unknown(_)) => maybe_applied = true,
            }
            thread::sleep(retry_delay);
            retry_delay *= 2;
        }
        if maybe_applied {
            Ok(ApplyOutcome::Uncertain)
        } else {
            Err(CallError::NotApplied(NotApplied::TooManyCalls).into())
        }
    }
}

/// Delta to store; empty if it is longer than [`MAX_DELTA_BYTES`].
fn truncate_delta(delta: &str) -> String {
    if delta.len() > MAX_DELTA_BYTES {
        String::new()
    } else {
        delta.to_owned()
    }
}

fn apply_transaction(options: &ApplyOptions, delta_record: &DeltaRecord) -> TxnOptions {
    let text_record = RulesRecord {
        revision: delta_record.revision,
        text: options.text.clone(),
    };
    let text_value =
        serde_json::to_vec(&text_record).expect("rules have only types that JSON can hold");
    let delta_value =
        serde_json::to_vec(delta_record).expect("a delta has only types that JSON can hold");
    let delta_key = keys::rules_delta(delta_record.revision);
    let mut success = vec![
        Operation::Put(PutOptions::new(keys::RULES_TEXT, text_value)),
        Operation::Put(PutOptions::new(&delta_key, delta_value)),
    ];
    if let Some(last_expired) = delta_record.revision.0.checked_sub(KEPT_DELTAS) {
        let first_key = keys::rules_delta(RulesRevision(0));
        let end_key = keys::rules_delta(RulesRevision(last_expired + 1));
        success.push(Operation::Delete(DeleteOptions::with_end(
            &first_key, &end_key,
        )));
    }
    let failure = vec![
        Operation::Range(RangeOptions::new(keys::RULES_TEXT)),
        Operation::Range(RangeOptions::new(&delta_key)),
    ];
    TxnOptions::new(vec![compare(keys::RULES_TEXT, options.base_mod_revision)])
        .with_success(success)
        .with_failure(failure)
}

/// Resolves a failed compare: either an earlier attempt of this change was applied, or another
/// change came first. The stored delta shows which, even if a later change replaced the text.
fn resolve_conflict(
    entries: &[KeyValue],
    delta_record: &DeltaRecord,
) -> Result<ApplyOutcome, RulesError> {
    let find_entry = |key: &str| entries.iter().find(|entry| entry.key == key);
    let stored_record = find_entry(&keys::rules_delta(delta_record.revision))
        .and_then(|entry| DeltaRecord::parse(&entry.value));
    if stored_record.is_some_and(|record| record.nonce == delta_record.nonce) {
        return Ok(ApplyOutcome::Applied(delta_record.revision));
    }
    let current = StoredRules::from_entry(find_entry(keys::RULES_TEXT))?;
    Ok(ApplyOutcome::Conflict(current))
}
