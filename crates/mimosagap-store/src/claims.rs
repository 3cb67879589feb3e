//! Claims of orders. A target must receive an order at most once, although several daemons may
//! get it and responses of the store may be lost. A daemon therefore creates a claim record before
//! it sends the order, and writes the result into that record afterwards.

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

/// Longest response body that is stored in a claim record, in bytes.
pub const MAX_RESULT_BYTES: usize = 16 << 10;
/// Largest number of claims in one transaction.
pub const MAX_BATCH: usize = 64;

/// Response of a service to an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct OrderResult {
    /// HTTP status of the service's response.
    pub status: u16,
    /// Value of the `Content-Type` header; `None` if the response had none.
    pub content_type: Option<String>,
    /// Response body; `None` if it was longer than [`MAX_RESULT_BYTES`].
    pub body: Option<ResultBody>,
}

/// Response body, stored as base64.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct ResultBody(#[serde(with = "base64_bytes")] pub Vec<u8>);

/// State of a claimed order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// The owner of the claim may send the order, may have sent it, or has crashed.
    Claimed,
    /// The owner sent no byte of the order and will send none.
    NotRun,
    /// The target responded.
    Ran(OrderResult),
}

/// Claim record of an order.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Identifies the claim that wrote the record.
    pub nonce: Nonce,
    /// Digest of the order's body, which detects a different body under the same key.
    pub digest: RequestDigest,
    /// Time of the claim by the owner's wall clock, in milliseconds since the Unix epoch.
    pub claimed_at_ms: u64,
    /// State of the order.
    pub state: ClaimState,
}

/// One order to claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimRequest {
    /// Key of the order.
    pub key: OrderKey,
    /// Record to write, in state [`ClaimState::Claimed`].
    pub record: ClaimRecord,
}

/// Options of [`StoreClient::claim_orders`].
#[derive(Debug, Clone)]
pub struct ClaimOptions {
    /// Orders to claim, at most [`MAX_BATCH`].
    pub requests: Vec<ClaimRequest>,
    /// Lease that the records are attached to; they are deleted when it expires.
    pub lease: LeaseId,
    /// Time during which the writes are retried after conflicts and lost responses.
    pub retry_timeout: Duration,
}

/// Result of claiming one order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// The caller holds the claim: it alone may send the order.
    Acquired {
        /// Mod revision of the record, to be passed to [`StoreClient::finish_claims`].
        mod_revision: u64,
    },
    /// The order ran before, with this result.
    AlreadyRan(OrderResult),
    /// Another claim of the order exists and has no result yet.
    InProgress,
    /// The key was claimed for an order with a different body.
    BodyMismatch,
}

/// One claim whose final state is to be written.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishRequest {
    /// Key of the order.
    pub key: OrderKey,
    /// The caller's own record, with its final state.
    pub record: ClaimRecord,
    /// Mod revision with which the claim was acquired.
    pub mod_revision: u64,
}

/// Options of [`StoreClient::finish_claims`].
#[derive(Debug, Clone)]
pub struct FinishOptions {
    /// Claims to finish, at most [`MAX_BATCH`].
    pub requests: Vec<FinishRequest>,
    /// Lease that the records are attached to; they are deleted when it expires.
    pub lease: LeaseId,
    /// Time during which the writes are retried after conflicts and lost responses.
    pub retry_timeout: Duration,
}

/// Result of finishing one claim.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum FinishOutcome {
    /// The record holds the final state.
    Recorded,
    /// The record is deleted or belongs to another claim; nothing was written.
    Superseded,
}

impl ClaimRecord {
    /// Decodes the value of a record; `None` if it is malformed.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }

    /// Encodes the record as the value to store.
    ///
    /// # Panics
    /// Never: every field has a JSON representation.
    #[must_use]
    pub fn to_value(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a claim has only types that JSON can hold")
    }
}

impl StoreClient {
    /// Claims orders: creates their records, or replaces records in state [`ClaimState::NotRun`].
    /// The results are in the order of the requests.
    ///
    /// A record with the digest of another body yields `BodyMismatch` in any state, so that a key
    /// never identifies two different orders.
    #[must_use]
    pub fn claim_orders(&self, options: ClaimOptions) -> Vec<Result<ClaimOutcome, WriteError>> {
        let ClaimOptions {
            requests,
            lease,
            retry_timeout,
        } = options;
        let writes = requests.iter().map(|request| Write {
            key: keys::order(&request.key),
            expected_revision: 0,
            value: request.record.to_value(),
        });
        self.write_batch(
            writes.collect(),
            Some(lease),
            retry_timeout,
            |mod_revision| ClaimOutcome::Acquired { mod_revision },
            |index, stored| resolve_claim(&requests[index].record, stored),
        )
    }

    /// Writes the final states of claims. The results are in the order of the requests.
    #[must_use]
    pub fn finish_claims(&self, options: FinishOptions) -> Vec<Result<FinishOutcome, WriteError>> {
        let FinishOptions {
            requests,
            lease,
            retry_timeout,
        } = options;
        let writes = requests.iter().map(|request| Write {
            key: keys::order(&request.key),
            expected_revision: request.mod_revision,
            value: request.record.to_value(),
        });
        self.write_batch(
            writes.collect(),
            Some(lease),
            retry_timeout,
            |_| FinishOutcome::Recorded,
            |index, stored| resolve_finish(&requests[index].record, stored),
        )
    }
}

fn resolve_claim(own_record: &ClaimRecord, stored: Option<&KeyValue>) -> Resolution<ClaimOutcome> {
    let Some(entry) = stored else {
        return Resolution::Replace(0);
    };
    let Some(record) = ClaimRecord::parse(&entry.value) else {
        return Resolution::Done(ClaimOutcome::InProgress);
    };
    if record.nonce == own_record.nonce {
        return Resolution::Done(ClaimOutcome::Acquired {
            mod_revision: entry.mod_revision,
        });
    }
    if record.digest != own_record.digest {
        return Resolution::Done(ClaimOutcome::BodyMismatch);
    }
    match record.state {
        ClaimState::Claimed => Resolution::Done(ClaimOutcome::InProgress),
        ClaimState::NotRun => Resolution::Replace(entry.mod_revision),
        ClaimState::Ran(result) => Resolution::Done(ClaimOutcome::AlreadyRan(result)),
    }
}

fn resolve_finish(
    own_record: &ClaimRecord,
    stored: Option<&KeyValue>,
) -> Resolution<FinishOutcome> {
    let record = stored.and_then(|entry| ClaimRecord::parse(&entry.value));
    match (stored, record) {
        (Some(_), Some(record)) if record == *own_record => {
            Resolution::Done(FinishOutcome::Recorded)
        }
        (Some(entry), Some(record))
            if record.nonce == own_record.nonce && record.state == ClaimState::Claimed =>
        {
            Resolution::Replace(entry.mod_revision)
        }
        _ => Resolution::Done(FinishOutcome::Superseded),
    }
}
