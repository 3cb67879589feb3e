//! Order claims: the right to send an order, once, and its result.

use std::time::Duration;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::keys;
use crate::kv::KeyValue;
use crate::lease::LeaseId;
use crate::nonce::Nonce;
use crate::wire::base64_bytes;
use crate::write::{Resolution, Write, WriteError};

/// The longest body kept in a record, in bytes.
pub const MAX_RESULT_BYTES: usize = 16 << 10;
/// The most claims in one transaction.
pub const MAX_BATCH: usize = 64;

/// The answer of a service to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderResult {
    /// The HTTP status.
    pub status: u16,
    /// The `Content-Type` header, if there was one.
    pub content_type: Option<String>,
    /// The body; `None` if it was longer than [`MAX_RESULT_BYTES`].
    pub body: Option<ResultBody>,
}

/// Bytes in base64.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResultBody(#[serde(with = "base64_bytes")] pub Vec<u8>);

/// What became of a claimed order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The winner may send it, may have sent it, or is gone.
    Claimed,
    /// The winner knows that no byte of it was sent, and will send none.
    NotRun,
    /// The target answered.
    Ran(OrderResult),
}

/// The record of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// The winner's mark.
    pub nonce: Nonce,
    /// The digest of the order's body.
    pub digest: RequestDigest,
    /// Milliseconds since the Unix epoch at which it was claimed.
    pub claimed_at_ms: u64,
    /// What became of it.
    pub state: ClaimState,
}

/// One order to claim. All fields of the record but its state are the claimant's.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// The order.
    pub key: OrderKey,
    /// The record to write.
    pub record: ClaimRecord,
}

/// Orders to claim together.
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// The orders, [`MAX_BATCH`] at most.
    pub requests: Vec<ClaimRequest>,
    /// The lease which ends the records' lives.
    pub lease: LeaseId,
    /// How long lost answers and conflicts may be resolved.
    pub retry_timeout: Duration,
}

/// What the store says to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The claimant alone may send the order.
    Acquired {
        /// The record's revision, which [`StoreClient::finish_claims`] compares.
        mod_revision: u64,
    },
    /// The order ran before.
    AlreadyRan(OrderResult),
    /// Another claim exists, without a result.
    InProgress,
    /// The key was claimed for another body.
    BodyMismatch,
}

/// A claim of the caller's that comes to its end.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishRequest {
    /// The order.
    pub key: OrderKey,
    /// The record with its final state.
    pub record: ClaimRecord,
    /// The revision under which the claim was won.
    pub mod_revision: u64,
}

/// Claims to finish together.
#[derive(Debug, Clone)]
pub struct FinishOptions {
    /// The claims, [`MAX_BATCH`] at most.
    pub requests: Vec<FinishRequest>,
    /// The lease which ends the records' lives.
    pub lease: LeaseId,
    /// How long lost answers and conflicts may be resolved.
    pub retry_timeout: Duration,
}

/// What became of a finish.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The record has the final state.
    Recorded,
    /// The record is gone or not the caller's.
    Superseded,
}

impl ClaimRecord {
    /// Reads a record's value.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// The value as written.
    ///
    /// # Panics
    /// Never: all fields can be written as JSON.
    #[must_use]
    pub fn to_value(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim has only types that JSON can hold")
    }
}

impl StoreClient {
    /// Claims orders: creates their records, or takes over records whose winner wrote `not_run`.
    /// Each result stands at the position of its request.
    ///
    /// A claim that another body holds is `BodyMismatch` in any state, so that a key never names two
    /// orders.
    #[must_use]
    pub fn claim_orders(&self, options: ClaimOptions) -> Vec<Result<ClaimOutcome, WriteError>> {
        let ClaimOptions {
            requests,
            lease,
            retry_timeout,
        } = options;
        let writes = requests.iter().map(|request| Write {
            key: keys::order(&request.key),
            expected: 0,
            value: request.record.to_value(),
        });
        self.write_together(
            writes.collect(),
            Some(lease),
            retry_timeout,
            |mod_revision| ClaimOutcome::Acquired { mod_revision },
            |index, found| resolve_claim(&requests[index].record, found),
        )
    }

    /// Writes the final states of claims. Each result stands at the position of its request.
    #[must_use]
    pub fn finish_claims(&self, options: FinishOptions) -> Vec<Result<FinishOutcome, WriteError>> {
        let FinishOptions {
            requests,
            lease,
            retry_timeout,
        } = options;
        let writes = requests.iter().map(|request| Write {
            key: keys::order(&request.key),
            expected: request.mod_revision,
            value: request.record.to_value(),
        });
        self.write_together(
            writes.collect(),
            Some(lease),
            retry_timeout,
            |_| FinishOutcome::Recorded,
            |index, found| resolve_finish(&requests[index].record, found),
        )
    }
}

fn resolve_claim(own: &ClaimRecord, found: Option<&KeyValue>) -> Resolution<ClaimOutcome> {
    let Some(entry) = found else {
        return Resolution::Replace(0);
    };
    let Some(record) = ClaimRecord::parse(&entry.value) else {
        return Resolution::Done(ClaimOutcome::InProgress);
    };
    if record.nonce == own.nonce {
        return Resolution::Done(ClaimOutcome::Acquired {
            mod_revision: entry.mod_revision,
        });
    }
    if record.digest != own.digest {
        return Resolution::Done(ClaimOutcome::BodyMismatch);
    }
    match record.state {
        ClaimState::Claimed => Resolution::Done(ClaimOutcome::InProgress),
        ClaimState::NotRun => Resolution::Replace(entry.mod_revision),
        ClaimState::Ran(result) => Resolution::Done(ClaimOutcome::AlreadyRan(result)),
    }
}

fn resolve_finish(own: &ClaimRecord, found: Option<&KeyValue>) -> Resolution<FinishOutcome> {
    let record = found.and_then(|entry| ClaimRecord::parse(&entry.value));
    match (found, record) {
        (Some(_), Some(record)) if record == *own => Resolution::Done(FinishOutcome::Recorded),
        (Some(entry), Some(record))
            if record.nonce == own.nonce && record.state == ClaimState::Claimed =>
        {
            Resolution::Replace(entry.mod_revision)
        }
        _ => Resolution::Done(FinishOutcome::Superseded),
    }
}
