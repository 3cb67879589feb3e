//! Reads, writes and deletions.

use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::counters::CallKind;
use crate::error::CallError;
use crate::keys::prefix_end;
use crate::lease::LeaseId;
use crate::wire::{Base64, Header, Int64, WireKeyValue};

/// A record with the revisions that the store keeps for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// The store's revision at which the key was created last; serves as a fencing number.
    pub create_revision: u64,
    /// The store's revision of the last write.
    pub mod_revision: u64,
    /// The lease under which the record lives.
    pub lease: Option<LeaseId>,
}

impl From<WireKeyValue> for KeyValue {
    fn from(wire: WireKeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&wire.key.0).into_owned(),
            value: wire.value.0,
            create_revision: wire.create_revision.0,
            mod_revision: wire.mod_revision.0,
            lease: (wire.lease.0 != 0).then_some(LeaseId(wire.lease.0)),
        }
    }
}

/// Which keys to read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeOptions {
    key: String,
    end: Option<String>,
}

impl RangeOptions {
    /// Reads one key.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            end: None,
        }
    }

    /// Reads all keys that start with `prefix`.
    #[must_use]
    pub fn with_prefix(prefix: &str) -> Self {
        Self {
            key: prefix.to_owned(),
            end: Some(prefix_end(prefix)),
        }
    }
}

/// The records found.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeOutcome {
    /// The store's revision at the time of the read.
    pub revision: u64,
    /// The records in the order of their keys.
    pub entries: Vec<KeyValue>,
}

/// What to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PutOptions {
    key: String,
    value: Vec<u8>,
    lease: Option<LeaseId>,
}

impl PutOptions {
    /// Writes `value` for good.
    #[must_use]
    pub fn new(key: &str, value: Vec<u8>) -> Self {
        Self {
            key: key.to_owned(),
            value,
            lease: None,
        }
    }

    /// Lets the record live under a lease.
    #[must_use]
    pub fn with_lease(mut self, lease: Option<LeaseId>) -> Self {
        self.lease = lease;
        self
    }
}

/// A completed write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PutOutcome {
    /// The store's revision of the write.
    pub revision: u64,
}

/// Which keys to delete.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DeleteOptions {
    key: String,
    end: Option<String>,
}

impl DeleteOptions {
    /// Deletes one key.
    #[must_use]
    pub fn new(key: &str) -> Self {
        Self {
            key: key.to_owned(),
            end: None,
        }
    }

    /// Deletes the keys from `key` on that are less than `end`.
    #[must_use]
    pub fn with_end(key: &str, end: &str) -> Self {
        Self {
            key: key.to_owned(),
            end: Some(end.to_owned()),
        }
    }
}

/// A completed deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeleteOutcome {
    /// The store's revision of the deletion.
    pub revision: u64,
    /// How many records were deleted.
    pub deleted: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct RangeRequest {
    key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<Base64>,
}

impl From<RangeOptions> for RangeRequest {
    fn from(options: RangeOptions) -> Self {
        Self {
            key: options.key.as_str().into(),
            range_end: options.end.as_deref().map(Base64::from),
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct PutRequest {
    key: Base64,
    value: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    lease: Option<Int64>,
}

impl From<PutOptions> for PutRequest {
    fn from(options: PutOptions) -> Self {
        Self {
            key: options.key.as_str().into(),
            value: Base64(options.value),
            lease: options.lease.map(|lease| Int64(lease.0)),
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
pub(crate) struct DeleteRequest {
    key: Base64,
    #[serde(skip_serializing_if = "Option::is_none")]
    range_end: Option<Base64>,
}

impl From<DeleteOptions> for DeleteRequest {
    fn from(options: DeleteOptions) -> Self {
        Self {
            key: options.key.as_str().into(),
            range_end: options.end.as_deref().map(Base64::from),
        }
    }
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct RangeAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    kvs: Vec<WireKeyValue>,
}

impl From<RangeAnswer> for RangeOutcome {
    fn from(answer: RangeAnswer) -> Self {
        Self {
            revision: answer.header.revision.0,
            entries: answer.kvs.into_iter().map(KeyValue::from).collect(),
        }
    }
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct PutAnswer {
    #[serde(default)]
    header: Header,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct DeleteAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    pub(crate) deleted: Int64,
}

impl StoreClient {
    /// Reads records.
    ///
    /// # Errors
    /// See [`CallError`]; a read has no effect in any case.
    pub fn range(&self, options: RangeOptions) -> Result<RangeOutcome, CallError> {
        let answer: RangeAnswer = self.call(CallKind::Range, &RangeRequest::from(options))?;
        Ok(answer.into())
    }

    /// Writes one record unconditionally.
    ///
    /// # Errors
    /// See [`CallError`].
    pub fn put(&self, options: PutOptions) -> Result<PutOutcome, CallError> {
        let answer: PutAnswer = self.call(CallKind::Put, &PutRequest::from(options))?;
        Ok(PutOutcome {
            revision: answer.header.revision.0,
        })
    }

    /// Deletes records.
    ///
    /// # Errors
    /// See [`CallError`].
    pub fn delete(&self, options: DeleteOptions) -> Result<DeleteOutcome, CallError> {
        let answer: DeleteAnswer = self.call(CallKind::Delete, &DeleteRequest::from(options))?;
        Ok(DeleteOutcome {
            revision: answer.header.revision.0,
            deleted: answer.deleted.0,
        })
    }
}
