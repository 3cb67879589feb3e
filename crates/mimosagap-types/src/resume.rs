//! Resume keys: opaque response ids from which any daemon can continue a stream.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::ids::{Incarnation, TargetAddress, TeamName};

/// How long a resume key is accepted after its issue.
pub const RESUME_TOKEN_LIFETIME: Duration = Duration::from_hours(1);

const TAG_BYTES: usize = 32;
const PREFIX: &str = "resp_";

/// The secret keys of a fleet: the first signs, all verify, so that keys can be rotated.
#[derive(Clone)]
pub struct FleetKeys {
    keys: Vec<Vec<u8>>,
}

impl FleetKeys {
    /// Wraps the keys.
    ///
    /// # Panics
    /// If `keys` is empty; the settings check refuses such a file before.
    #[must_use]
    pub fn new(keys: Vec<Vec<u8>>) -> Self {
        assert!(!keys.is_empty(), "a fleet needs at least one key");
        Self { keys }
    }

    /// The signature of `message` under the signing key.
    #[must_use]
    pub fn sign(&self, message: &[u8]) -> [u8; TAG_BYTES] {
        mac(&self.keys[0], message).finalize().into_bytes().into()
    }

    /// Whether `tag` is the signature of `message` under any key, compared in constant time.
    #[must_use]
    pub fn verify(&self, message: &[u8], tag: &[u8]) -> bool {
        self.keys
            .iter()
            .any(|key| mac(key, message).verify_slice(tag).is_ok())
    }
}

impl fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FleetKeys({} keys)", self.keys.len())
    }
}

fn mac(key: &[u8], message: &[u8]) -> Hmac<Sha256> {
    let mut mac = Hmac::new_from_slice(key).expect("HMAC accepts keys of any length");
    mac.update(message);
    mac
}

/// Where a generation runs and whose it is.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ResumeToken {
    /// The engine which runs the generation.
    pub target: TargetAddress,
    /// The life of the engine process in which it was started.
    pub incarnation: Incarnation,
    /// The engine's own response id.
    pub response_id: String,
    /// The team which may resume or cancel it.
    pub team: TeamName,
    /// Seconds since the Unix epoch at issue.
    pub issued_unix_s: u64,
}

/// Why a resume key is not accepted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeError {
    /// Not a key of this fleet: malformed, altered or signed with a retired key.
    Forged,
    /// Issued longer ago than [`RESUME_TOKEN_LIFETIME`].
    Expired,
    /// Issued to another team.
    OtherTeam,
}

impl fmt::Display for ResumeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Forged => "the response id was not issued by this fleet; use it as received",
            Self::Expired => "the response id is more than an hour old; send the request again",
            Self::OtherTeam => "the response belongs to another team; use that team's token",
        })
    }
}

impl std::error::Error for ResumeError {}

impl ResumeToken {
    /// The signed text form which the caller sees as its response id.
    ///
    /// # Panics
    /// Never: all fields have types that `bincode` can encode.
    #[must_use]
    pub fn sign(&self, keys: &FleetKeys) -> String {
        let mut message = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("a resume key has only types that bincode can encode");
        let tag = keys.sign(&message);
        message.extend_from_slice(&tag);
        format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(message))
    }

    /// Checks signature, age and team of a response id.
    ///
    /// # Errors
    /// See [`ResumeError`]; the team is compared only after the signature holds.
    pub fn verify(
        text: &str,
        keys: &FleetKeys,
        team: &TeamName,
        now: SystemTime,
    ) -> Result<Self, ResumeError> {
        let body = text.strip_prefix(PREFIX).ok_or(ResumeError::Forged)?;
        let bytes = URL_SAFE_NO_PAD
            .decode(body)
            .map_err(|_| ResumeError::Forged)?;
        let split = bytes
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(ResumeError::Forged)?;
        let (message, tag) = bytes.split_at(split);
        if !keys.verify(message, tag) {
            return Err(ResumeError::Forged);
        }
        let (key, _): (Self, usize) =
            bincode::serde::decode_from_slice(message, bincode::config::standard())
                .map_err(|_| ResumeError::Forged)?;
        let issued = UNIX_EPOCH + Duration::from_secs(key.issued_unix_s);
        if now
            .duration_since(issued)
            .is_ok_and(|age| age > RESUME_TOKEN_LIFETIME)
        {
            return Err(ResumeError::Expired);
        }
        if key.team != *team {
            return Err(ResumeError::OtherTeam);
        }
        Ok(key)
    }
}
