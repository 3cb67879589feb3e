//! Lender slots: who runs the token buckets of which teams.

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

/// The holder of a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct LenderRecord {
    /// The daemon.
    pub daemon: DaemonId,
}

/// A slot to take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcquireSlotOptions {
    /// The slot.
    pub slot: u16,
    /// Who takes it.
    pub daemon: DaemonId,
    /// The taker's lease, with which the slot becomes free again.
    pub lease: LeaseId,
    /// How long a lost answer may be resolved.
    pub retry_timeout: Duration,
}

/// What the store says to a take.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum AcquireSlotOutcome {
    /// The caller holds the slot.
    Acquired {
        /// The record's create revision, the slot's fencing number.
        fence: u64,
    },
    /// Another daemon holds it.
    Held(Option<DaemonId>),
}

/// A slot to give up.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct ReleaseSlotOptions {
    /// The slot.
    pub slot: u16,
    /// The fencing number under which it is held.
    pub fence: u64,
}

/// What became of a release.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ReleaseSlotOutcome {
    /// The slot is free.
    Released,
    /// The caller did not hold it any more.
    NotHeld,
}

impl LenderRecord {
    /// Reads a record's value.
    #[must_use]
    pub fn parse(value: &[u8]) -> Option<Self> {
        serde_json::from_slice(value).ok()
    }
}

impl StoreClient {
    /// Takes a slot if it is free.
    ///
    /// # Errors
    /// See [`WriteError`].
    ///
    /// # Panics
    /// Never: the record can be written as JSON.
    pub fn acquire_slot(
        &self,
        options: &AcquireSlotOptions,
    ) -> Result<AcquireSlotOutcome, WriteError> {
        let record = LenderRecord {
            daemon: options.daemon.clone(),
        };
        let write = Write {
            key: keys::lender(options.slot),
            expected: 0,
            value: serde_json::to_vec(&record).expect("a lender can be written as JSON"),
        };
        let results = self.write_together(
            vec![write],
            Some(options.lease),
            options.retry_timeout,
            |fence| AcquireSlotOutcome::Acquired { fence },
            |_, found| {
                let Some(entry) = found else {
                    return Resolution::Replace(0);
                };
                let holder = LenderRecord::parse(&entry.value).map(|record| record.daemon);
                let own =
                    holder.as_ref() == Some(&options.daemon) && entry.lease == Some(options.lease);
                Resolution::Done(if own {
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

    /// Gives up a slot. The record is never rewritten, so its mod revision is its fencing number.
    ///
    /// # Errors
    /// See [`CallError`]; giving it up again is harmless.
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
