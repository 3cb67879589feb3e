//! Reads, unconditional writes and deletions of records.

use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::counters::CallKind;
use crate::error::CallError;
use crate::keys::prefix_end;
use crate::lease::LeaseId;
use crate::wire::{Base64, Int64, ResponseHeader, WireKeyValue};

/// Record of the store, with the metadata that the store keeps for it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct KeyValue {
    /// Key of the record. Invalid UTF-8 is replaced.
    pub key: String,
    /// Value as written.
    pub value: Vec<u8>,
    /// Store revision at which the key was last created; serves as a fencing token.
    pub create_revision: u64,
    /// Store revision of the last write to the key.
    pub mod_revision: u64,
    /// Lease that the record is attached to; `None` if it does not expire.
    pub lease: Option<LeaseId>,
}

impl From<WireKeyValue> for KeyValue {
    fn from(wire_record: WireKeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&wire_record.key.0).into_owned(),
            value: wire_record.value.0,
            create_revision: wire_record.create_revision.0,
            mod_revision: wire_record.mod_revision.0,
            lease: (wire_record.lease.0 != 0).then_some(LeaseId(wire_record.lease.0)),
        }
    }
}

/// Keys to read.
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

/// Result of a read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RangeOutcome {
    /// Store revision at the time of the read.
    pub revision: u64,
    /// Records found, in the order of their keys.
    pub entries: Vec<KeyValue>,
}

/// Record to write.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PutOptions {
    key: String,
    value: Vec<u8>,
    lease: Option<LeaseId>,
}

impl PutOptions {
    /// Writes `value` without a lease, so that the record does not expire.
    #[must_use]
    pub fn new(key: &str, value: Vec<u8>) -> Self {
        Self {
            key: key.to_owned(),
            value,
            lease: None,
        }
    }

    /// Attaches the record to a lease: it is deleted when the lease expires or is revoked.
    #[must_use]
    pub fn with_lease(mut self, lease: Option<LeaseId>) -> Self {
        self.lease = lease;
        self
    }
}

/// Result of a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PutOutcome {
    /// Store revision of the write.
    pub revision: u64,
}

/// Keys to delete.
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

    /// Deletes all keys from `key`, inclusive, to `end`, exclusive.
    #[must_use]
    pub fn with_end(key: &str, end: &str) -> Self {
        Self {
            key: key.to_owned(),
            end: Some(end.to_owned()),
        }
    }
}

/// Result of a deletion.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DeleteOutcome {
    /// Store revision of the deletion.
    pub revision: u64,
    /// Number of deleted records.
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
pub(crate) struct RangeResponse {
    #[serde(default)]
    header: ResponseHeader,
    #[serde(default)]
    kvs: Vec<WireKeyValue>,
}

impl From<RangeResponse> for RangeOutcome {
    fn from(response: RangeResponse) -> Self {
        Self {
            revision: response.header.revision.0,
            entries: response.kvs.into_iter().map(KeyValue::from).collect(),
        }
    }
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct PutResponse {
    #[serde(default)]
    header: ResponseHeader,
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct DeleteResponse {
    #[serde(default)]
    header: ResponseHeader,
    #[serde(default)]
    pub(crate) deleted: Int64,
}

impl StoreClient {
    /// Reads the record of a key, or all records under a prefix.
    ///
    /// # Errors
    /// See [`CallError`]; a read may always be repeated.
    pub fn range(&self, options: RangeOptions) -> Result<RangeOutcome, CallError> {
        let response: RangeResponse = self.call(CallKind::Range, &RangeRequest::from(options))?;
        Ok(response.into())
    }

    /// Writes one record unconditionally.
    ///
    /// # Errors
    /// See [`CallError`].
    pub fn put(&self, options: PutOptions) -> Result<PutOutcome, CallError> {
        let response: PutResponse = self.call(CallKind::Put, &PutRequest::from(options))?;
        Ok(PutOutcome {
            revision: response.header.revision.0,
        })
    }

    /// Deletes the record of a key, or all records in a range of keys.
    ///
    /// # Errors
    /// See [`CallError`].
    pub fn delete(&self, options: DeleteOptions) -> Result<DeleteOutcome, CallError> {
        let response: DeleteResponse =
            self.call(CallKind::Delete, &DeleteRequest::from(options))?;
        Ok(DeleteOutcome {
            revision: response.header.revision.0,
            deleted: response.deleted.0,
        })
    }
}
