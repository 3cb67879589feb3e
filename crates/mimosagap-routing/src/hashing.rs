//! Short marks for things that all hosts have to name alike.

use sha2::{Digest, Sha256};

/// A mark of some parts; the same on every host and in every build.
#[must_use]
pub fn stable_hash(parts: &[&[u8]]) -> u64 {
    let mut hash = Sha256::new();
    for part in parts {
        hash.update((part.len() as u64).to_be_bytes());
        hash.update(part);
    }
    let digest = hash.finalize();
    digest
        .iter()
        .take(8)
        .fold(0, |value, byte| (value << 8) | u64::from(*byte))
}
