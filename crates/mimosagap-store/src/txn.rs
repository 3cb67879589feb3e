//! Transactions: compares, and operations for success and failure.

use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};

use crate::client::StoreClient;
use crate::counters::CallKind;
use crate::error::CallError;
use crate::kv::{
    DeleteAnswer, DeleteOptions, DeleteRequest, KeyValue, PutOptions, PutRequest, RangeAnswer,
    RangeOptions, RangeOutcome, RangeRequest,
};
use crate::wire::{Base64, Header, Int64};

/// A condition on one key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Compare {
    /// The key does not exist.
    Absent {
        /// The key.
        key: String,
    },
    /// The key exists and was written last at this revision.
    Unchanged {
        /// The key.
        key: String,
        /// The revision of the last write; 0 means that the key does not exist.
        mod_revision: u64,
    },
}

/// One operation of a transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Operation {
    /// A read.
    Range(RangeOptions),
    /// A write.
    Put(PutOptions),
    /// A deletion.
    Delete(DeleteOptions),
}

/// The result of one operation.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum OperationOutcome {
    /// The records read.
    Range(RangeOutcome),
    /// The record is written.
    Put,
    /// How many records were deleted.
    Delete {
        /// The number.
        deleted: u64,
    },
}

/// A transaction.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct TxnOptions {
    compares: Vec<Compare>,
    success: Vec<Operation>,
    failure: Vec<Operation>,
}

impl TxnOptions {
    /// A transaction whose success depends on all of `compares`.
    #[must_use]
    pub fn new(compares: Vec<Compare>) -> Self {
        Self {
            compares,
            ..Self::default()
        }
    }

    /// What is done if all compares hold.
    #[must_use]
    pub fn with_success(mut self, operations: Vec<Operation>) -> Self {
        self.success = operations;
        self
    }

    /// What is done otherwise.
    #[must_use]
    pub fn with_failure(mut self, operations: Vec<Operation>) -> Self {
        self.failure = operations;
        self
    }
}

/// A completed transaction.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TxnOutcome {
    /// The store's revision; records written by this transaction have it as mod revision.
    pub revision: u64,
    /// Whether all compares held.
    pub succeeded: bool,
    /// The results of the operations carried out, in their order.
    pub results: Vec<OperationOutcome>,
}

impl TxnOutcome {
    /// The records read by all reads together.
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
    Range(RangeAnswer),
    #[serde(rename = "response_put", alias = "responsePut")]
    Put(IgnoredAny),
    #[serde(rename = "response_delete_range", alias = "responseDeleteRange")]
    Delete(DeleteAnswer),
}

impl From<WireResult> for OperationOutcome {
    fn from(result: WireResult) -> Self {
        match result {
            WireResult::Range(answer) => Self::Range(answer.into()),
            WireResult::Put(_) => Self::Put,
            WireResult::Delete(answer) => Self::Delete {
                deleted: answer.deleted.0,
            },
        }
    }
}

#[derive(Debug)]
#[derive(Deserialize)]
struct TxnAnswer {
    #[serde(default)]
    header: Header,
    #[serde(default)]
    succeeded: bool,
    #[serde(default)]
    responses: Vec<WireResult>,
}

fn wire_operations(operations: Vec<Operation>) -> Vec<WireOperation> {
    operations.into_iter().map(WireOperation::from).collect()
}

impl StoreClient {
    /// Carries out a transaction.
    ///
    /// A compare that does not hold is no error: `succeeded` tells, and nothing was applied.
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
            success: wire_operations(options.success),
            failure: wire_operations(options.failure),
        };
        let answer: TxnAnswer = self.call(CallKind::Txn, &request)?;
        Ok(TxnOutcome {
            revision: answer.header.revision.0,
            succeeded: answer.succeeded,
            results: answer
                .responses
                .into_iter()
                .map(OperationOutcome::from)
                .collect(),
        })
    }
}
