//! Signed envelopes, which authenticate messages and bind them to a receiver, a time and a nonce.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mimosagap_types::prelude::*;
use mimosagap_types::resume::FleetKeys;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::MessageError;

/// Largest accepted difference between the time of a message and the receiver's wall clock, in
/// either direction.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_secs(30);
/// Size limit of all messages except replies with rules, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// Size limit of replies with rules, in bytes: a rules text of 950,000 bytes and its envelope.
pub const MAX_RULES_BYTES: usize = 1 << 20;

const SIGNATURE_BYTES: usize = 32;
/// Bounds the memory. In a fleet of 320 daemons each receives about 10 messages a second, which is
/// 600 within the time that nonces are remembered.
const MAX_REMEMBERED_NONCES: usize = 100_000;

/// Direction of a message. It is signed, so that a request cannot be replayed as a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Direction {
    /// From the daemon that opened the connection.
    Request,
    /// From the daemon that accepted it.
    Reply,
}

/// Message with the metadata that its signature also covers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope<M> {
    /// Whether the message is a request or a reply.
    pub direction: Direction,
    /// Daemon that sent and signed the message.
    pub sender: DaemonId,
    /// Daemon that the message is for; `None` in [`Request::Hello`](crate::Request::Hello), whose
    /// sender knows only the address.
    pub receiver: Option<DaemonId>,
    /// Time of sending by the sender's wall clock, in milliseconds since the Unix epoch.
    pub sent_ms: u64,
    /// Random in a request; a reply repeats the nonce of its request.
    pub nonce: u128,
    /// Content of the message.
    pub message: M,
}

impl<M: Serialize> Envelope<M> {
    /// Encodes the envelope and appends its signature.
    ///
    /// # Panics
    /// Never: messages have only types that `bincode` can encode.
    #[must_use]
    pub fn sign(&self, keys: &FleetKeys) -> Vec<u8> {
        let mut bytes = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("messages have only types that bincode can encode");
        let signature = keys.sign(&bytes);
        bytes.extend_from_slice(&signature);
        bytes
    }
}

impl<M: DeserializeOwned> Envelope<M> {
    /// Verifies the signature, decodes the envelope and checks its time.
    ///
    /// # Errors
    /// See [`MessageError`]; nothing is decoded before the signature is verified.
    pub fn verify(bytes: &[u8], keys: &FleetKeys, now: SystemTime) -> Result<Self, MessageError> {
        let signature_start = bytes
            .len()
            .checked_sub(SIGNATURE_BYTES)
            .ok_or(MessageError::Malformed)?;
        let (encoded, signature) = bytes.split_at(signature_start);
        if !keys.verify(encoded, signature) {
            return Err(MessageError::BadSignature);
        }
        let config = bincode::config::standard().with_limit::<{ 2 * MAX_RULES_BYTES }>();
        let (envelope, bytes_read): (Self, usize) =
            bincode::serde::decode_from_slice(encoded, config)
                .map_err(|_| MessageError::Malformed)?;
        if bytes_read != encoded.len() {
            return Err(MessageError::Malformed);
        }
        let sent_at = Duration::from_millis(envelope.sent_ms);
        if unix_time(now).abs_diff(sent_at) > MAX_CLOCK_SKEW {
            return Err(MessageError::BadTimestamp);
        }
        Ok(envelope)
    }
}

/// Time in milliseconds since the Unix epoch, as in [`Envelope::sent_ms`].
#[must_use]
pub fn unix_millis(now: SystemTime) -> u64 {
    u64::try_from(unix_time(now).as_millis()).unwrap_or(u64::MAX)
}

fn unix_time(now: SystemTime) -> Duration {
    now.duration_since(UNIX_EPOCH).unwrap_or_default()
}

pub(crate) fn random_nonce() -> u128 {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).expect("the operating system provides random bytes");
    u128::from_be_bytes(bytes)
}

/// Rejects replayed messages. Remembers the nonces of accepted messages until the time check
/// rejects the messages anyway.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    nonces: HashSet<u128>,
    expiries: VecDeque<(SystemTime, u128)>,
}

impl ReplayGuard {
    /// Accepts a nonce that is not remembered.
    ///
    /// # Errors
    /// [`MessageError::Replayed`] if the nonce was seen, or if no more nonces can be remembered.
    pub fn accept(&mut self, nonce: u128, now: SystemTime) -> Result<(), MessageError> {
        while let Some((expires_at, oldest_nonce)) = self.expiries.front().copied() {
            if expires_at > now && self.expiries.len() < MAX_REMEMBERED_NONCES {
                break;
            }
            if expires_at > now {
                return Err(MessageError::Replayed);
            }
            self.expiries.pop_front();
            self.nonces.remove(&oldest_nonce);
        }
        if !self.nonces.insert(nonce) {
            return Err(MessageError::Replayed);
        }
        // A message from a clock that is ahead by the whole skew stays valid for twice as long.
        self.expiries.push_back((now + 2 * MAX_CLOCK_SKEW, nonce));
        Ok(())
    }
}
