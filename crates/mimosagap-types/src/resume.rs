//! Resume tokens: opaque, signed response ids with which any daemon can resume a stream.

use std::fmt;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use base64::Engine as _;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;
use hmac::{Hmac, Mac};
use serde::{Deserialize, Serialize};
use sha2::Sha256;

use crate::ids::{Incarnation, TargetAddress, TeamName};

/// Time for which a resume token is accepted after its issue.
pub const RESUME_TOKEN_LIFETIME: Duration = Duration::from_hours(1);

const SIGNATURE_BYTES: usize = 32;
/// Marks a response id as a resume token; its base64 form follows.
const PREFIX: &str = "resp_";

/// The secret keys of a fleet. The first one signs and all of them verify, so that keys can be
/// rotated.
#[derive(Clone)]
pub struct FleetKeys {
    keys: Vec<Vec<u8>>,
}

impl FleetKeys {
    /// Takes the keys with the signing key first.
    ///
    /// # Panics
    /// If `keys` is empty. The check of the settings rejects such a file beforehand.
    #[must_use]
    pub fn new(keys: Vec<Vec<u8>>) -> Self {
        assert!(!keys.is_empty(), "a fleet needs at least one key");
        Self { keys }
    }

    /// Signs `message` with HMAC-SHA-256 under the signing key.
    #[must_use]
    pub fn sign(&self, message: &[u8]) -> [u8; SIGNATURE_BYTES] {
        hmac_state(&self.keys[0], message)
            .finalize()
            .into_bytes()
            .into()
    }

    /// Whether `signature` is that of `message` under any of the keys, compared in constant time.
    #[must_use]
    pub fn verify(&self, message: &[u8], signature: &[u8]) -> bool {
        self.keys
            .iter()
            .any(|key| hmac_state(key, message).verify_slice(signature).is_ok())
    }
}

impl fmt::Debug for FleetKeys {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "FleetKeys({} keys)", self.keys.len())
    }
}

fn hmac_state(key: &[u8], message: &[u8]) -> Hmac<Sha256> {
    let mut state = Hmac::new_from_slice(key).expect("HMAC accepts keys of any length");
    state.update(message);
    state
}

/// Names the engine that runs a generation and the team that owns it. The order of the fields is
/// the encoded format.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct ResumeToken {
    /// The engine that runs the generation.
    pub target: TargetAddress,
    /// The lifetime of the engine process that started it.
    pub incarnation: Incarnation,
    /// The engine's own response id.
    pub response_id: String,
    /// The team that may resume or cancel it.
    pub team: TeamName,
    /// Time of issue in seconds since the Unix epoch.
    pub issued_unix_s: u64,
}

/// Reason why a resume token is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ResumeError {
    /// Malformed, altered, or signed with a key that the fleet does not hold or has retired.
    Invalid,
    /// Issued longer ago than [`RESUME_TOKEN_LIFETIME`].
    Expired,
    /// Issued to another team.
    OtherTeam,
}

impl fmt::Display for ResumeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Invalid => "the response id was not issued by this fleet; use it as received",
            Self::Expired => "the response id is more than an hour old; send the request again",
            Self::OtherTeam => "the response belongs to another team; use that team's token",
        })
    }
}

impl std::error::Error for ResumeError {}

impl ResumeToken {
    /// Encodes and signs the token. The caller receives the text as its response id.
    ///
    /// # Panics
    /// Never: all fields have types that `bincode` can encode.
    #[must_use]
    pub fn sign(&self, keys: &FleetKeys) -> String {
        let mut message = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("a resume token has only types that bincode can encode");
        let signature = keys.sign(&message);
        message.extend_from_slice(&signature);
        format!("{PREFIX}{}", URL_SAFE_NO_PAD.encode(message))
    }

    /// Decodes a response id and verifies its signature, age and team.
    ///
    /// # Errors
    /// See [`ResumeError`]. Age and team are checked only after the signature is verified.
    pub fn verify(
        text: &str,
        keys: &FleetKeys,
        team: &TeamName,
        now: SystemTime,
    ) -> Result<Self, ResumeError> {
        let encoded = text.strip_prefix(PREFIX).ok_or(ResumeError::Invalid)?;
        let bytes = URL_SAFE_NO_PAD
            .decode(encoded)
            .map_err(|_| ResumeError::Invalid)?;
        let message_length = bytes
            .len()
            .checked_sub(SIGNATURE_BYTES)
            .ok_or(ResumeError::Invalid)?;
        let (message, signature) = bytes.split_at(message_length);
        if !keys.verify(message, signature) {
            return Err(ResumeError::Invalid);
        }
        let (token, _): (Self, usize) =
            bincode::serde::decode_from_slice(message, bincode::config::standard())
                .map_err(|_| ResumeError::Invalid)?;
        let issued_at = UNIX_EPOCH + Duration::from_secs(token.issued_unix_s);
        if now
            .duration_since(issued_at)
            .is_ok_and(|age| age > RESUME_TOKEN_LIFETIME)
        {
            return Err(ResumeError::Expired);
        }
        if token.team != *team {
            return Err(ResumeError::OtherTeam);
        }
        Ok(token)
    }
}
