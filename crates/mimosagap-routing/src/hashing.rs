//! Hashes that are equal on all hosts.

use sha2::{Digest, Sha256};

/// Hashes a sequence of parts. The result is the same on every host and in every build.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    let digest = hasher.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |value, byte| (value << 8) | u64::from(*byte))
}
