//! Names, addresses and keys by which the crates refer to teams, targets and requests.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::sync::Arc;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

macro_rules! name_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
        #[derive(Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name. Its characters are not checked.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

name_type!(
    /// The name of a team, the unit of authentication, limits and fair sharing.
    TeamName
);
name_type!(
    /// The name of a model, as callers request it.
    ModelName
);
name_type!(
    /// The name of a request class; labels metrics and log lines.
    ClassName
);
name_type!(
    /// The name of a group of targets that share one configuration.
    DeploymentName
);
name_type!(
    /// The name of an availability zone.
    ZoneName
);
name_type!(
    /// The name of a region.
    RegionName
);
name_type!(
    /// The version of the software of an engine, as the engine names it. Versions have no order.
    SoftwareVersion
);
name_type!(
    /// The id of a daemon process. A restarted daemon has a new id.
    DaemonId
);

/// The IP address and port of a target. Targets are never addressed by host name.
pub type TargetAddress = SocketAddr;

/// The revision number of the rules file; it grows with each change.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RulesRevision(pub u64);

impl fmt::Display for RulesRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies the lifetime of a target process; a restarted target reports another value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// Identifies a caller's request within one daemon process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestTicket(pub u64);

/// SHA-256 digest of the parts of a request that determine its effect.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// Hashes `parts`. Each is preceded by its length, so that the same bytes split otherwise give
    /// another digest.
    #[must_use]
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hasher = Sha256::new();
        for part in parts {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        }
        Self(hasher.finalize().into())
    }
}

impl fmt::Display for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for RequestDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Error for text that is not a digest: it does not have 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestError;

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest must have 64 hexadecimal digits; copy all of it")
    }
}

impl std::error::Error for DigestError {}

impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != 64 || !text.is_ascii() {
            return Err(DigestError);
        }
        let mut bytes = [0; 32];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let pair = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(pair, 16).map_err(|_| DigestError)?;
        }
        Ok(Self(bytes))
    }
}

/// Identifies an order, which is a request to a plain service that must run at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct OrderKey {
    /// The team that sent the order. Idempotency keys of different teams are distinct.
    pub team: TeamName,
    /// SHA-256 digest of the service name and the caller's idempotency key.
    pub key: RequestDigest,
}
