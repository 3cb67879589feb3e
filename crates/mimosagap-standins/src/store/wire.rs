//! JSON messages of the etcd v3 gateway. Bytes are in base64, 64-bit integers are strings, and
//! responses leave out fields with their default value.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

const CLUSTER_ID: u64 = 1;

/// Serde functions for bytes in base64.
mod base64_bytes {
    use base64::Engine as _;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize, Deserializer, Serializer, de};

    pub(super) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(
        deserializer: D,
    ) -> Result<Vec<u8>, D::Error> {
        let text = String::deserialize(deserializer)?;
        STANDARD.decode(text).map_err(de::Error::custom)
    }
}

/// Serde functions for 64-bit integers, written as strings and read from strings or numbers.
mod int64 {
    use serde::{Deserialize, Deserializer, Serializer, de};

    #[derive(Deserialize)]
    #[serde(untagged)]
    enum Form {
        Text(String),
        Number(u64),
    }

    // Serde passes the field by reference.
    #[allow(clippy::trivially_copy_pass_by_ref)]
    pub(super) fn serialize<S: Serializer>(number: &u64, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&number.to_string())
    }

    pub(super) fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        match Form::deserialize(deserializer)? {
            Form::Text(text) => text.parse().map_err(de::Error::custom),
            Form::Number(number) => Ok(number),
        }
    }
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_zero(number: &u64) -> bool {
    *number == 0
}

#[allow(clippy::trivially_copy_pass_by_ref)]
fn is_false(flag: &bool) -> bool {
    !*flag
}

#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct RangeRequest {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub(super) range_end: Vec<u8>,
    #[serde(with = "int64")]
    pub(super) limit: u64,
    #[serde(with = "int64")]
    pub(super) revision: u64,
    #[serde(alias = "keysOnly")]
    pub(super) keys_only: bool,
    #[serde(alias = "countOnly")]
    pub(super) count_only: bool,
}

#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct PutRequest {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(with = "base64_bytes")]
    pub(super) value: Vec<u8>,
    #[serde(with = "int64")]
    pub(super) lease: u64,
    #[serde(alias = "prevKv")]
    pub(super) prev_kv: bool,
}

#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct DeleteRequest {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub(super) range_end: Vec<u8>,
    #[serde(alias = "prevKv")]
    pub(super) prev_kv: bool,
}

#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum CompareResult {
    #[default]
    Equal,
    Greater,
    Less,
    NotEqual,
}

#[derive(Debug, Clone, Copy, Default)]
#[derive(Deserialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub(super) enum CompareTarget {
    #[default]
    Version,
    Create,
    Mod,
    Value,
    Lease,
}

#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct Compare {
    pub(super) result: CompareResult,
    pub(super) target: CompareTarget,
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(with = "int64")]
    pub(super) version: u64,
    #[serde(with = "int64", alias = "createRevision")]
    pub(super) create_revision: u64,
    #[serde(with = "int64", alias = "modRevision")]
    pub(super) mod_revision: u64,
    #[serde(with = "base64_bytes")]
    pub(super) value: Vec<u8>,
    #[serde(with = "int64")]
    pub(super) lease: u64,
}

/// An operation of a transaction. Exactly one field is set.
#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default, deny_unknown_fields)]
pub(super) struct RequestOp {
    #[serde(rename = "request_range", alias = "requestRange")]
    pub(super) range: Option<RangeRequest>,
    #[serde(rename = "request_put", alias = "requestPut")]
    pub(super) put: Option<PutRequest>,
    #[serde(rename = "request_delete_range", alias = "requestDeleteRange")]
    pub(super) delete_range: Option<DeleteRequest>,
}

#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct TxnRequest {
    pub(super) compare: Vec<Compare>,
    pub(super) success: Vec<RequestOp>,
    pub(super) failure: Vec<RequestOp>,
}

#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct LeaseRequest {
    #[serde(rename = "ID", with = "int64")]
    pub(super) id: u64,
    #[serde(rename = "TTL", with = "int64")]
    pub(super) ttl: u64,
}

#[derive(Debug, Clone, Default)]
#[derive(Deserialize)]
#[serde(default)]
pub(super) struct WatchCreate {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(with = "base64_bytes", alias = "rangeEnd")]
    pub(super) range_end: Vec<u8>,
    #[serde(with = "int64", alias = "startRevision")]
    pub(super) start_revision: u64,
    #[serde(alias = "prevKv")]
    pub(super) prev_kv: bool,
}

#[derive(Debug, Clone)]
#[derive(Deserialize)]
pub(super) struct WatchRequest {
    #[serde(alias = "createRequest")]
    pub(super) create_request: WatchCreate,
}

#[derive(Debug, Clone, Copy)]
#[derive(Serialize)]
pub(super) struct ResponseHeader {
    #[serde(with = "int64")]
    cluster_id: u64,
    #[serde(with = "int64")]
    member_id: u64,
    #[serde(with = "int64")]
    revision: u64,
    #[serde(with = "int64")]
    raft_term: u64,
}

impl ResponseHeader {
    pub(super) fn new(revision: u64) -> Self {
        Self {
            cluster_id: CLUSTER_ID,
            member_id: 1,
            revision,
            raft_term: 1,
        }
    }
}

#[derive(Debug, Clone)]
#[derive(Serialize)]
pub(super) struct KeyValue {
    #[serde(with = "base64_bytes")]
    pub(super) key: Vec<u8>,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(super) create_revision: u64,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(super) mod_revision: u64,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(super) version: u64,
    #[serde(with = "base64_bytes", skip_serializing_if = "Vec::is_empty")]
    pub(super) value: Vec<u8>,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(super) lease: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct RangeResponse {
    pub(super) header: ResponseHeader,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) kvs: Vec<KeyValue>,
    #[serde(skip_serializing_if = "is_false")]
    pub(super) more: bool,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(super) count: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct PutResponse {
    pub(super) header: ResponseHeader,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) prev_kv: Option<KeyValue>,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct DeleteResponse {
    pub(super) header: ResponseHeader,
    #[serde(with = "int64", skip_serializing_if = "is_zero")]
    pub(super) deleted: u64,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) prev_kvs: Vec<KeyValue>,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) enum ResponseOp {
    #[serde(rename = "response_range")]
    Range(RangeResponse),
    #[serde(rename = "response_put")]
    Put(PutResponse),
    #[serde(rename = "response_delete_range")]
    Delete(DeleteResponse),
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct TxnResponse {
    pub(super) header: ResponseHeader,
    #[serde(skip_serializing_if = "is_false")]
    pub(super) succeeded: bool,
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub(super) responses: Vec<ResponseOp>,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct LeaseResponse {
    pub(super) header: ResponseHeader,
    #[serde(rename = "ID", with = "int64", skip_serializing_if = "is_zero")]
    pub(super) id: u64,
    /// Left out if the lease has expired, as in the etcd gateway.
    #[serde(rename = "TTL", with = "int64", skip_serializing_if = "is_zero")]
    pub(super) ttl: u64,
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct ErrorBody {
    error: String,
    code: u32,
    message: String,
}

impl ErrorBody {
    pub(super) fn new(code: u32, message: &str) -> Self {
        Self {
            error: message.to_owned(),
            code,
            message: message.to_owned(),
        }
    }
}

#[derive(Debug)]
#[derive(Serialize)]
pub(super) struct WatchEvent {
    /// `None` for a put, which is the default type and is left out.
    #[serde(rename = "type", skip_serializing_if = "Option::is_none")]
    pub(super) kind: Option<&'static str>,
    pub(super) kv: KeyValue,
    #[serde(skip_serializing_if = "Option::is_none")]
    pub(super) prev_kv: Option<KeyValue>,
}

/// One line of a watch response.
pub(super) struct WatchLine(Value);

impl WatchLine {
    pub(super) fn created(revision: u64) -> Self {
        Self(json!({"header": ResponseHeader::new(revision), "created": true}))
    }

    pub(super) fn progress(revision: u64) -> Self {
        Self(json!({"header": ResponseHeader::new(revision)}))
    }

    pub(super) fn events(revision: u64, events: &[WatchEvent]) -> Self {
        Self(json!({"header": ResponseHeader::new(revision), "events": events}))
    }

    pub(super) fn compacted(revision: u64, compacted: u64) -> Self {
        Self(json!({
            "header": ResponseHeader::new(revision),
            "canceled": true,
            "compact_revision": compacted.to_string(),
            "cancel_reason": "etcdserver: mvcc: required revision has been compacted",
        }))
    }

    pub(super) fn into_bytes(self) -> Bytes {
        let mut text = json!({ "result": self.0 }).to_string();
        text.push('\n');
        text.into()
    }
}

/// Whether either branch of a transaction contains a put or a deletion.
pub(super) fn txn_writes(body: &[u8]) -> bool {
    serde_json::from_slice::<TxnRequest>(body).is_ok_and(|txn| {
        let mut operations = txn.success.iter().chain(&txn.failure);
        operations.any(|operation| operation.range.is_none())
    })
}

/// Whether any field `key` in the body holds a key with this prefix.
pub(super) fn names_key_with_prefix(body: &[u8], prefix: &[u8]) -> bool {
    serde_json::from_slice::<Value>(body).is_ok_and(|value| value_names_key(&value, prefix))
}

fn value_names_key(value: &Value, prefix: &[u8]) -> bool {
    match value {
        Value::Object(fields) => fields.iter().any(|(name, field)| match field {
            Value::String(text) if name == "key" => decode_base64(text).starts_with(prefix),
            other => value_names_key(other, prefix),
        }),
        Value::Array(items) => items.iter().any(|item| value_names_key(item, prefix)),
        _ => false,
    }
}

fn decode_base64(text: &str) -> Vec<u8> {
    use base64::Engine as _;
    base64::engine::general_purpose::STANDARD
        .decode(text)
        .unwrap_or_default()
}
