//! Transactions: operations that depend on compares and are applied atomically.

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::counters::CallKind;
use crate::error::CallError;
use crate::kv::{
    DeleteOptions, DeleteRequest, DeleteResponse, KeyValue, PutOptions, PutRequest, RangeOptions,
    RangeOutcome, RangeRequest, RangeResponse,
};
use crate::wire::{Base64, Int64, ResponseHeader};

/// Condition on one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent {
        /// Key to compare.
        key: String,
    },
    /// The key was last written at this revision.
    Unchanged {
        /// Key to compare.
        key: String,
        /// Mod revision; 0 means that the key does not exist.
        mod_revision: u64,
    },
}

/// Operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// Reads records.
    Range(RangeOptions),
    /// Writes a record.
    Put(PutOptions),
    /// Deletes records.
    Delete(DeleteOptions),
}

/// Result of one operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationOutcome {
    /// Records read.
    Range(RangeOutcome),
    /// The record was written.
    Put,
    /// Records were deleted.
    Delete {
        /// Number of deleted records.
        deleted: u64,
    },
}

/// Options of [`StoreClient::txn`].
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TxnOptions {
    compares: Vec<Compare>,
    success: Vec<Operation>,
    failure: Vec<Operation>,
}

impl TxnOptions {
    /// Creates a transaction without operations. It succeeds if all of `compares` hold.
    #[must_use]
    pub fn new(compares: Vec<Compare>) -> Self {
        Self {
            compares,
            ..Self::default()
        }
    }

    /// Sets the operations to carry out if all compares hold.
    #[must_use]
    pub fn with_success(mut self, operations: Vec<Operation>) -> Self {
        self.success = operations;
        self
    }

    /// Sets the operations to carry out if any compare does not hold.
    #[must_use]
    pub fn with_failure(mut self, operations: Vec<Operation>) -> Self {
        self.failure = operations;
        self
    }
}

/// Result of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnOutcome {
    /// Store revision; the mod revision of all records that the transaction wrote.
    pub revision: u64,
    /// Whether all compares held.
    pub succeeded: bool,
    /// Results of the operations carried out, in order.
    pub results: Vec<OperationOutcome>,
}

impl TxnOutcome {
    /// Records returned by all reads of the transaction.
    #[must_use]
    pub fn entries(self) -> Vec<KeyValue> {
        self.results
            .into_iter()
            .filter_map(|result| match result {
                OperationOutcome::Range(range) => Some(range.entries),
                OperationOutcome::Put | OperationOutcome::Delete { .. } => None,
            })
            .flatten()
            .collect()
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct WireCompare {
    key: Base64,
    result: &'static str,
    target: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    create_revision: Option<Int64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    mod_revision: Option<Int64>,
}

impl From<Compare> for WireCompare {
    fn from(compare: Compare) -> Self {
        match compare {
            Compare::Absent { key } => Self {
                key: key.as_str().into(),
                result: "EQUAL",
                target: "CREATE",
                create_revision: Some(Int64(0)),
                mod_revision: None,
            },
            Compare::Unchanged { key, mod_revision } => Self {
                key: key.as_str().into(),
                result: "EQUAL",
                target: "MOD",
                create_revision: None,
                mod_revision: Some(Int64(mod_revision)),
            },
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
enum WireOperation {
    #[serde(rename = "request_range")]
    Range(RangeRequest),
    #[serde(rename = "request_put")]
    Put(PutRequest),
    #[serde(rename = "request_delete_range")]
    Delete(DeleteRequest),
}

impl From<Operation> for WireOperation {
    fn from(operation: Operation) -> Self {
        match operation {
            Operation::Range(options) => Self::Range(options.into()),
            Operation::Put(options) => Self::Put(options.into()),
            Operation::Delete(options) => Self::Delete(options.into()),
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
struct TxnRequest {
    compare: Vec<WireCompare>,
    success: Vec<WireOperation>,
    failure: Vec<WireOperation>,
}

#[derive(Debug)]
#[derive(Deserialize)]
enum WireResult {
    #[serde(rename = "response_range", alias = "responseRange")]
    Range(RangeResponse),
    #[serde(rename = "response_put", alias = "responsePut")]
    Put(IgnoredAny),
    #[serde(rename = "response_delete_range", alias = "responseDeleteRange")]
    Delete(DeleteResponse),
}

impl From<WireResult> for OperationOutcome {
    fn from(result: WireResult) -> Self {
        match result {
            WireResult::Range(response) => Self::Range(response.into()),
            WireResult::Put(_) => Self::Put,
            WireResult::Delete(response) => Self::Delete {
                deleted: response.deleted.0,
            },
        }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct TxnResponse {
    #[serde(default)]
    header: ResponseHeader,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<WireResult>,
}

fn encode_operations(operations: Vec<Operation>) -> Vec<WireOperation> {
    operations.into_iter().map(WireOperation::from).collect()
}

impl StoreClient {
    /// Carries out a transaction.
    ///
    /// A compare that does not hold is not an error: `succeeded` is false then, and only the
    /// operations for failure were carried out.
    ///
    /// # Errors
    /// See [`CallError`].
    pub fn txn(&self, options: TxnOptions) -> Result<TxnOutcome, CallError> {
        let request = TxnRequest {
            compare: options
                .compares
                .into_iter()
                .map(WireCompare::from)
                .collect(),
            success: encode_operations(options.success),
            failure: encode_operations(options.failure),
        };
        let response: TxnResponse = self.call(CallKind::Txn, &request)?;
        Ok(TxnOutcome {
            revision: response.header.revision.0,
            succeeded: response.succeeded,
            results: response
                .responses
                .into_iter()
                .map(OperationOutcome::from)
                .collect(),
        })
    }
}
