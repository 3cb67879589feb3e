//! Client of the key-value store, and the records that mimosagap keeps there.
//!
//! [`StoreClient`] is blocking and uses a subset of the etcd v3 JSON gateway. Each error tells
//! whether the call was certainly not applied or may have been applied. The record operations in
//! [`rules`], [`claims`], [`suspects`] and [`lenders`] resolve the second case by reading back,
//! where their records allow it.
#![deny(unsafe_code, missing_docs)]

pub mod claims;
mod client;
mod counters;
mod error;
pub mod keys;
mod kv;
mod lease;
pub mod lenders;
pub mod members;
mod nonce;
pub mod rules;
pub mod suspects;
mod txn;
mod watch;
mod wire;
mod write;

pub use client::{StoreClient, StoreHealth, StoreOptions};
pub use counters::{CallCount, CallCounts, CallKind};
pub use error::{CallError, NotApplied, UnknownFate};
pub use kv::{
    DeleteOptions, DeleteOutcome, KeyValue, PutOptions, PutOutcome, RangeOptions, RangeOutcome,
};
pub use lease::{GrantOptions, GrantOutcome, KeepAliveOutcome, LeaseId, RevokeOutcome};
pub use nonce::Nonce;
pub use txn::{Compare, Operation, OperationOutcome, TxnOptions, TxnOutcome};
pub use watch::{Change, Watch, WatchBatch, WatchError, WatchOptions};
pub use write::WriteError;
