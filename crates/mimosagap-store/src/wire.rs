//! Encodings of the etcd JSON gateway: 64-bit integers are strings, bytes are base64, and fields
//! with their default value are absent.

use std::fmt;

use serde::{Deserialize, Deserializer, Serialize, Serializer, de};

/// 64-bit integer, encoded as a string and decoded from a string or a number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) struct Int64(pub(crate) u64);

impl Serialize for Int64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(&self.0)
    }
}

impl<'de> Deserialize<'de> for Int64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct Visitor;
        impl de::Visitor<'_> for Visitor {
            type Value = Int64;

            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("a 64-bit integer as a string or a number")
            }

            fn visit_str<E: de::Error>(self, text: &str) -> Result<Int64, E> {
                text.parse().map(Int64).map_err(E::custom)
            }

            fn visit_u64<E: de::Error>(self, number: u64) -> Result<Int64, E> {
                Ok(Int64(number))
            }

            fn visit_i64<E: de::Error>(self, number: i64) -> Result<Int64, E> {
                u64::try_from(number).map(Int64).map_err(E::custom)
            }
        }
        deserializer.deserialize_any(Visitor)
    }
}

/// Bytes, encoded as base64.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(crate) struct Base64(pub(crate) Vec<u8>);

impl From<&str> for Base64 {
    fn from(text: &str) -> Self {
        Self(text.as_bytes().to_vec())
    }
}

impl Serialize for Base64 {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        base64_bytes::serialize(&self.0, serializer)
    }
}

impl<'de> Deserialize<'de> for Base64 {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        base64_bytes::deserialize(deserializer).map(Self)
    }
}

/// Base64 encoding of byte vectors, for `#[serde(with)]`.
pub(crate) mod base64_bytes {
    use base64::Engine as _;
    use base64::engine::general_purpose::STANDARD;
    use serde::{Deserialize as _, Deserializer, Serializer, de};

    pub(crate) fn serialize<S: Serializer>(bytes: &[u8], serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&STANDARD.encode(bytes))
    }

    pub(crate) fn deserialize<'de, D: Deserializer<'de>>(d: D) -> Result<Vec<u8>, D::Error> {
        let text = std::borrow::Cow::<str>::deserialize(d)?;
        STANDARD.decode(text.as_bytes()).map_err(de::Error::custom)
    }
}

#[derive(Debug, Default)]
#[derive(Deserialize)]
pub(crate) struct ResponseHeader {
    #[serde(default)]
    pub(crate) revision: Int64,
}

#[derive(Debug)]
#[derive(Deserialize)]
pub(crate) struct WireKeyValue {
    pub(crate) key: Base64,
    #[serde(default)]
    pub(crate) value: Base64,
    #[serde(default, alias = "createRevision")]
    pub(crate) create_revision: Int64,
    #[serde(default, alias = "modRevision")]
    pub(crate) mod_revision: Int64,
    #[serde(default)]
    pub(crate) lease: Int64,
}
