//! Records of the lender slots. A team's rate limit holds across all daemons because its token
//! bucket exists once, at the daemon that holds the team's slot. Slots are acquired by
//! compare-and-swap under the daemon's lease, so each has at most one holder.

use std::time::Duration;

use mimosagap_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::error::CallError;
use crate::keys;
use crate::kv::DeleteOptions;
use crate::lease::LeaseId;
use crate::txn::{Operation, TxnOptions};
use crate::write::{Resolution, Write, WriteError, compare};

/// Record of a held slot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LenderRecord {
    /// Daemon that holds the slot.
    pub daemon: DaemonId,
}

/// Options of [`StoreClient::acquire_slot`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcquireSlotOptions {
    /// Number of the slot, less than [`keys::LENDER_SLOTS`].
    pub slot: u16,
    /// Daemon that acquires the slot.
    pub daemon: DaemonId,
    /// Lease of that daemon; the slot becomes free when it expires.
    pub lease: LeaseId,
    /// Time during which the write is retried after a lost response.
    pub retry_timeout: Duration,
}

/// Result of acquiring a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireSlotOutcome {
    /// The caller holds the slot.
    Acquired {
        /// Create revision of the record: the fencing token of this holder, greater than that of
        /// any earlier one.
        fence: u64,
    },
    /// Another daemon, or the caller under another lease, holds the slot; `None` if the record is
    /// malformed.
    Held(Option<DaemonId>),
}

/// Options of [`StoreClient::release_slot`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleaseSlotOptions {
    /// Number of the slot, less than [`keys::LENDER_SLOTS`].
    pub slot: u16,
    /// Fencing token with which the slot was acquired.
    pub fence: u64,
}

/// Result of releasing a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseSlotOutcome {
    /// The slot is free.
    Released,
    /// The caller no longer held the slot; nothing was written.
    NotHeld,
}

impl LenderRecord {
    /// Decodes the value of a record; `None` if it is malformed.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

impl StoreClient {
    /// Acquires a slot if it is free or already held under the same lease.
    ///
    /// # Errors
    /// See [`WriteError`].
    ///
    /// # Panics
    /// Never: the record has a JSON representation.
    pub fn acquire_slot(
        &self,
        options: &AcquireSlotOptions,
    ) -> Result<AcquireSlotOutcome, WriteError> {
        let record = LenderRecord {
            daemon: options.daemon.clone(),
        };
        let write = Write {
            key: keys::lender(options.slot),
            expected_revision: 0,
            value: serde_json::to_vec(&record).expect("a lender can be written as JSON"),
        };
        let results = self.write_batch(
            vec![write],
            Some(options.lease),
            options.retry_timeout,
            |fence| AcquireSlotOutcome::Acquired { fence },
            |_, stored| {
                let Some(entry) = stored else {
                    return Resolution::Replace(0);
                };
                let holder = LenderRecord::parse(&entry.value).map(|record| record.daemon);
                let is_own =
                    holder.as_ref() == Some(&options.daemon) && entry.lease == Some(options.lease);
                Resolution::Done(if is_own {
                    AcquireSlotOutcome::Acquired {
                        fence: entry.create_revision,
                    }
                } else {
                    AcquireSlotOutcome::Held(holder)
                })
            },
        );
        results
            .into_iter()
            .next()
            .unwrap_or(Err(WriteError::Contended))
    }

    /// Releases a slot. The record is never updated, so its mod revision equals its create revision
    /// and can be compared with the fencing token.
    ///
    /// # Errors
    /// See [`CallError`]; the release may be repeated.
    pub fn release_slot(
        &self,
        options: ReleaseSlotOptions,
    ) -> Result<ReleaseSlotOutcome, CallError> {
        let key = keys::lender(options.slot);
        let transaction = TxnOptions::new(vec![compare(&key, options.fence)])
            .with_success(vec![Operation::Delete(DeleteOptions::new(&key))]);
        let outcome = self.txn(transaction)?;
        Ok(if outcome.succeeded {
            ReleaseSlotOutcome::Released
        } else {
            ReleaseSlotOutcome::NotHeld
        })
    }
}
