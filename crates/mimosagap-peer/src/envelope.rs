//! Signed envelopes around messages.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use mimosagap_types::prelude::*;
use mimosagap_types::resume::FleetKeys;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use crate::error::MessageError;

/// How far the time of a message may lie from the receiver's wall clock, in either direction.
pub const WINDOW: Duration = Duration::from_secs(30);
/// The largest message other than an answer with rules, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// The largest message, in bytes: a rules text of 950,000 bytes and its envelope.
pub const MAX_RULES_BYTES: usize = 1 << 20;

const TAG_BYTES: usize = 32;
/// At 320 daemons a daemon hears about 10 messages a second, so 600 within the window.
const MAX_REMEMBERED: usize = 100_000;

/// The direction of a message, so that a request cannot be passed off as a reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub enum Direction {
    /// From the daemon that opened the connection.
    Request,
    /// From the daemon that accepted it.
    Reply,
}

/// A message with what its signature covers.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub struct Envelope<M> {
    /// Whether it asks or answers.
    pub direction: Direction,
    /// The sender.
    pub sender: DaemonId,
    /// The receiver; `None` in a hello, whose sender knows only the address.
    pub receiver: Option<DaemonId>,
    /// Milliseconds since the Unix epoch by the sender's clock.
    pub sent_ms: u64,
    /// Random in a request; repeated in its reply.
    pub nonce: u128,
    /// The message.
    pub message: M,
}

impl<M: Serialize> Envelope<M> {
    /// The encoded envelope followed by its signature.
    ///
    /// # Panics
    /// Never: messages have only types that `bincode` can encode.
    #[must_use]
    pub fn seal(&self, keys: &FleetKeys) -> Vec<u8> {
        let mut bytes = bincode::serde::encode_to_vec(self, bincode::config::standard())
            .expect("messages have only types that bincode can encode");
        let tag = keys.sign(&bytes);
        bytes.extend_from_slice(&tag);
        bytes
    }
}

impl<M: DeserializeOwned> Envelope<M> {
    /// Checks the signature, decodes the envelope and checks its time.
    ///
    /// # Errors
    /// See [`MessageError`]; nothing is decoded before the signature holds.
    pub fn open(bytes: &[u8], keys: &FleetKeys, now: SystemTime) -> Result<Self, MessageError> {
        let split = bytes
            .len()
            .checked_sub(TAG_BYTES)
            .ok_or(MessageError::Malformed)?;
        let (body, tag) = bytes.split_at(split);
        if !keys.verify(body, tag) {
            return Err(MessageError::Forged);
        }
        let config = bincode::config::standard().with_limit::<{ 2 * MAX_RULES_BYTES }>();
        let (envelope, read): (Self, usize) =
            bincode::serde::decode_from_slice(body, config).map_err(|_| MessageError::Malformed)?;
        if read != body.len() {
            return Err(MessageError::Malformed);
        }
        let sent = Duration::from_millis(envelope.sent_ms);
        if since_epoch(now).abs_diff(sent) > WINDOW {
            return Err(MessageError::Stale);
        }
        Ok(envelope)
    }
}

/// Milliseconds since the Unix epoch, as in [`Envelope::sent_ms`].
#[must_use]
pub fn unix_millis(now: SystemTime) -> u64 {
    u64::try_from(since_epoch(now).as_millis()).unwrap_or(u64::MAX)
}

fn since_epoch(now: SystemTime) -> Duration {
    now.duration_since(UNIX_EPOCH).unwrap_or_default()
}

pub(crate) fn random_nonce() -> u128 {
    let mut bytes = [0; 16];
    getrandom::fill(&mut bytes).expect("the operating system provides random bytes");
    u128::from_be_bytes(bytes)
}

/// Remembers the nonces of accepted messages for as long as their times are acceptable.
#[derive(Debug, Default)]
pub struct ReplayGuard {
    nonces: HashSet<u128>,
    order: VecDeque<(SystemTime, u128)>,
}

impl ReplayGuard {
    /// Accepts a nonce once.
    ///
    /// # Errors
    /// [`MessageError::Replayed`], also when more messages arrive than can be remembered.
    pub fn accept(&mut self, nonce: u128, now: SystemTime) -> Result<(), MessageError> {
        while let Some((forget, old)) = self.order.front().copied() {
            if forget > now && self.order.len() < MAX_REMEMBERED {
                break;
            }
            if forget > now {
                return Err(MessageError::Replayed);
            }
            self.order.pop_front();
            self.nonces.remove(&old);
        }
        if !self.nonces.insert(nonce) {
            return Err(MessageError::Replayed);
        }
        // A message may come from a clock that is ahead by the whole window.
        self.order.push_back((now + 2 * WINDOW, nonce));
        Ok(())
    }
}
