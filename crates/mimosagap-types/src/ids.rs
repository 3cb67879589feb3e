//! Identifiers shared by all crates.

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
            /// Wraps a name without checking its characters.
            #[must_use]
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// The name as text.
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
    /// The name of a team, the unit of authentication, limits and fairness.
    TeamName
);
name_type!(
    /// The name of a model.
    ModelName
);
name_type!(
    /// The name of a request class.
    ClassName
);
name_type!(
    /// The name of a group of targets which share one configuration in the settings.
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
    /// The identity of one daemon process. A restarted daemon gets a new one.
    DaemonId
);

/// The address of a target. Targets are met by IP number, never by name.
pub type TargetAddress = SocketAddr;

/// The number of a rules revision; a later revision has a greater number.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct RulesRevision(pub u64);

impl fmt::Display for RulesRevision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One life of a target process; a restarted target reports another value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
#[derive(Serialize, Deserialize)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

/// The number of a caller's request within one daemon process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestTicket(pub u64);

/// SHA-256 over the parts of a request which decide what it does.
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct RequestDigest(pub [u8; 32]);

impl RequestDigest {
    /// Hashes `parts`, each preceded by its length so that no two splits give the same digest.
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

/// Text that is not 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DigestError;

impl fmt::Display for DigestError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a digest has 64 hexadecimal digits; copy it whole")
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

/// The name of an order: its team and the hash of the caller's idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[derive(Serialize, Deserialize)]
pub struct OrderKey {
    /// The team which placed the order; keys of different teams never collide.
    pub team: TeamName,
    /// SHA-256 over the service name and the caller's idempotency key.
    pub key: RequestDigest,
}
